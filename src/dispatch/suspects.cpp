#include <ragwortrelay/dispatch/suspects.h>

#include <algorithm>
#include <set>

namespace RagwortRelay::Dispatch {

namespace {

using Crashes = std::map<CrashId, Crash>;

std::set<ServerId> serversOf(const Crashes &crashes)
{
    std::set<ServerId> servers;
    for (const auto &[id, crash] : crashes) {
        servers.insert(crash.m_server);
    }
    return servers;
}

TimePoint lastOf(const Crashes &crashes)
{
    TimePoint last;
    for (const auto &[id, crash] : crashes) {
        last = std::max(last, crash.m_at);
    }
    return last;
}

bool hasEnough(const Crashes &crashes, const SuspectSettings &settings)
{
    return crashes.size() >= settings.m_crashesUntilRefused || serversOf(crashes).size() >= settings.m_serversUntilRefused;
}

/// Tells whether another suspect was present at crashes on all the same servers, so that it may be the cause as well.
bool hasAlibi(const Suspects &suspects, const std::string &fingerprint, const Crashes &crashes)
{
    const std::set<ServerId> servers = serversOf(crashes);
    return std::ranges::any_of(suspects.m_crashes,
                               [&](const auto &other) { return other.first != fingerprint && std::ranges::includes(serversOf(other.second), servers); });
}

/// Tells whether a request looks guilty, by all that is known of the others.
bool looksGuilty(const Suspects &suspects, const SuspectSettings &settings, const std::string &fingerprint, const Crashes &crashes)
{
    return hasEnough(crashes, settings) && (crashes.size() >= settings.m_crashesUntilRefused || !hasAlibi(suspects, fingerprint, crashes));
}

void dropOldest(Suspects &suspects)
{
    const auto oldest = std::ranges::min_element(suspects.m_crashes, {}, [](const auto &entry) { return lastOf(entry.second); });
    suspects.m_crashes.erase(oldest);
}

}

void noteCrash(Suspects &suspects, const SuspectSettings &settings, const std::string &fingerprint, const CrashId &id, const Crash &crash)
{
    const bool isNew = !suspects.m_crashes.contains(fingerprint);
    if (isNew && suspects.m_crashes.size() >= settings.m_suspectsAtMost) {
        dropOldest(suspects);
    }
    Crashes &crashes = suspects.m_crashes[fingerprint];
    const bool isSame = std::ranges::any_of(crashes, [&](const auto &entry) {
        const Crash &other = entry.second;
        return other.m_server == crash.m_server && std::chrono::abs(other.m_at - crash.m_at) < settings.m_sameCrash;
    });
    if (!isSame && crashes.size() < settings.m_crashesUntilRefused) {
        crashes.emplace(id, crash);
    }
}

bool clearSuspect(Suspects &suspects, const std::string &fingerprint)
{
    return suspects.m_crashes.erase(fingerprint) > 0;
}

bool isSuspect(const Suspects &suspects, const std::string &fingerprint)
{
    return suspects.m_crashes.contains(fingerprint);
}

std::optional<Duration> quarantineLeft(const Suspects &suspects, const SuspectSettings &settings, const std::string &fingerprint, TimePoint now)
{
    const auto found = suspects.m_crashes.find(fingerprint);
    if (found == suspects.m_crashes.end() || !looksGuilty(suspects, settings, fingerprint, found->second)) {
        return std::nullopt;
    }
    const Duration left = lastOf(found->second) + settings.m_quarantine - now;
    const auto guilty = std::ranges::count_if(suspects.m_crashes, [&](const auto &entry) { return hasEnough(entry.second, settings); });
    if (left <= Duration::zero() || static_cast<std::size_t>(guilty) > settings.m_refusedAtMost) {
        return std::nullopt;
    }
    return left;
}

void expireSuspects(Suspects &suspects, const SuspectSettings &settings, TimePoint now)
{
    for (auto &[fingerprint, crashes] : suspects.m_crashes) {
        const bool isRefused = hasEnough(crashes, settings) && now < lastOf(crashes) + settings.m_quarantine;
        if (!isRefused) {
            std::erase_if(crashes, [&](const auto &entry) { return now >= entry.second.m_at + settings.m_window; });
        }
    }
    std::erase_if(suspects.m_crashes, [](const auto &entry) { return entry.second.empty(); });
}

}
