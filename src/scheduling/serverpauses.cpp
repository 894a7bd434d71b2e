#include <ragwortrelay/detail/scheduling/servers.h>
#include <ragwortrelay/scheduling/serverpauses.h>

#include <algorithm>

namespace RagwortRelay::Scheduling {

namespace {

/// Returns the incarnation of a server by its listing, or an unknown one if it isn't registered.
std::uint64_t incarnationOf(const ServerRegistry &registry, const ServerId &server)
{
    const auto known = registry.m_servers.find(server);
    return known == registry.m_servers.end() ? Configuration::UnknownIncarnation : known->second.m_server.m_incarnation;
}

/// Returns the running pause of a server, or nullptr. A pause ends with the process that asked for it.
const ServerPause *pauseOf(const ServerPauses &pauses, const ServerRegistry &registry, const ServerId &server, TimePoint now)
{
    const auto found = pauses.m_pauses.find(server);
    if (found == pauses.m_pauses.end() || found->second.m_until <= now) {
        return nullptr;
    }
    const std::uint64_t listed = incarnationOf(registry, server);
    const std::uint64_t paused = found->second.m_incarnation;
    const bool isOtherProcess = listed != paused && listed != Configuration::UnknownIncarnation && paused != Configuration::UnknownIncarnation;
    return isOtherProcess ? nullptr : &found->second;
}

}

bool startPause(ServerPauses &pauses, const ServerRegistry &registry, const ServerId &server, Duration length, TimePoint now)
{
    const ServerPause *running = pauseOf(pauses, registry, server, now);
    if (running != nullptr) {
        const TimePoint until = std::max(running->m_until, now + length);
        pauses.m_pauses[server] = {until, running->m_incarnation, running->m_hasSentTrial};
        return false;
    }
    pauses.m_pauses[server] = {now + length, incarnationOf(registry, server), false};
    return true;
}

bool mayStart(const ServerPauses &pauses, const ServerRegistry &registry, const ServerId &server, TimePoint now)
{
    const ServerPause *pause = pauseOf(pauses, registry, server, now);
    return pause == nullptr || !pause->m_hasSentTrial;
}

void recordStart(ServerPauses &pauses, const ServerId &server, TimePoint now)
{
    const auto found = pauses.m_pauses.find(server);
    if (found != pauses.m_pauses.end() && now < found->second.m_until) {
        found->second.m_hasSentTrial = true;
    }
}

std::vector<ServerId> excludedByPauses(const ServerPauses &pauses, const ServerRegistry &registry, const ServiceId &service, TimePoint now)
{
    const auto known = registry.m_services.find(service);
    if (pauses.m_pauses.empty() || known == registry.m_services.end()) {
        return {};
    }
    std::vector<ServerId> paused;
    std::vector<ServerId> withTrial;
    bool areAllPaused = true;
    for (const ServerId &id : known->second.m_servers) {
        const ServerPause *pause = pauseOf(pauses, registry, id, now);
        if (pause == nullptr) {
            areAllPaused = areAllPaused && !detail::isUsable(registry.m_servers.at(id), now);
            continue;
        }
        paused.push_back(id);
        if (pause->m_hasSentTrial) {
            withTrial.push_back(id);
        }
    }
    return areAllPaused ? withTrial : paused;
}

void expirePauses(ServerPauses &pauses, TimePoint now)
{
    std::erase_if(pauses.m_pauses, [&](const auto &entry) { return entry.second.m_until <= now; });
}

}
