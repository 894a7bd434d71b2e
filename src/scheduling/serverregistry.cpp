#include <ragwortrelay/core/decay.h>
#include <ragwortrelay/detail/scheduling/servers.h>

#include <algorithm>
#include <iterator>

namespace RagwortRelay::Scheduling {

namespace {

using Configuration::Server;
using Configuration::ServerUse;

bool isSameServer(const Server &left, const Server &right)
{
    return left.m_service == right.m_service && left.m_address == right.m_address && left.m_incarnation == right.m_incarnation;
}

/// Evidence against the path between the host and the server, not against the server as such.
bool isAboutPath(AttemptEnd end)
{
    return end == AttemptEnd::Unreachable || end == AttemptEnd::TimedOut;
}

bool isFailure(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Failed:
    case AttemptEnd::NotListening:
    case AttemptEnd::Unreachable:
    case AttemptEnd::Broken:
    case AttemptEnd::MalformedResponse:
    case AttemptEnd::TimedOut:
        return true;
    case AttemptEnd::Succeeded:
    case AttemptEnd::Shed:
    case AttemptEnd::Misdirected:
    case AttemptEnd::Abandoned:
        return false;
    }
    return false;
}

/// Returns the evidence of one failed request: such that a server's suspicion neither grows nor fades at the share of failures from which
/// it counts as sick.
double failureEvidence(const ServicePolicy &policy, const Health::SuspicionSettings &settings, AttemptEnd end)
{
    constexpr double LeastShare = 0.01;
    if (!policy.m_sickAbove) {
        return end == AttemptEnd::Failed ? settings.m_reportedFailure : settings.m_failure;
    }
    const double share = std::max(LeastShare, *policy.m_sickAbove);
    return std::min(settings.m_maxEvidence, -settings.m_success * (1.0 - share) / share);
}

void noteFailure(
    ServerState &state, const ServerSelectionSettings &settings, const ServicePolicy &policy, AttemptEnd end, const Requester &requester, TimePoint now)
{
    const Health::SuspicionSettings &suspicion = settings.m_suspicion;
    const double failure = failureEvidence(policy, suspicion, end);
    state.m_failedAt = now;
    if (isAboutPath(end)) {
        Health::addEvidence(suspicion, state.m_suspicion.m_byHost[requester.m_host], suspicion.m_maxEvidence, now);
        // The rest of the fleet is told a little: a server that hangs looks like one that can't be reached.
        Health::addEvidence(suspicion, state.m_suspicion.m_byDomain[requester.m_domain], failure / 2, now);
        return;
    }
    const double evidence = end == AttemptEnd::NotListening ? suspicion.m_maxEvidence : failure;
    Health::addEvidence(suspicion, state.m_suspicion.m_byDomain[requester.m_domain], evidence, now);
}

void noteSuccess(
    ServerRegistry &registry, ServerState &state, const ServerSelectionSettings &settings, const AttemptReport &done, const Requester &requester, TimePoint now)
{
    constexpr double ServiceSmoothing = 0.02;
    constexpr double ServerSmoothing = 0.15;
    constexpr double MostSlowness = 10.0;
    Health::addSuccess(settings.m_suspicion, state.m_suspicion, requester.m_host, requester.m_domain, now);
    if (now < state.m_warmAt) {
        return; // A cold server's time tells nothing.
    }
    ServiceState &service = registry.m_services[state.m_server.m_service];
    const double elapsed = static_cast<double>(done.m_elapsed.count());
    const double usual = static_cast<double>(service.m_usualTime.count());
    service.m_usualTime = Duration(static_cast<std::int64_t>(usual + ServiceSmoothing * (elapsed - usual)));
    const double ratio = std::min(MostSlowness, elapsed / std::max(1.0, usual));
    const double known = detail::slownessOf(state, settings, now);
    state.m_slowness = known + ServerSmoothing * (ratio - known);
    state.m_slownessAt = now;
}

/// Notes since when a server has looked sick to the asking host.
void reportSuspicion(ServerState &state, const ServerSelectionSettings &settings, const Requester &requester, TimePoint now)
{
    const double unhealthyProbability = Health::unhealthyProbability(settings.m_suspicion, state.m_suspicion, requester.m_host, requester.m_domain, now);
    if (unhealthyProbability <= settings.m_avoidAbove) {
        state.m_suspectSince.reset();
    } else if (!state.m_suspectSince) {
        state.m_suspectSince = now;
    }
}

/// Forgets a request that runs. Returns whether no other attempt follows when it has failed.
bool removeRunning(ServerState &state, const PlacementId &id)
{
    const auto running = std::ranges::find(state.m_running, id, &RunningAttempt::m_id);
    if (running == state.m_running.end()) {
        return true;
    }
    const bool isLastTry = running->m_isLastTry;
    state.m_running.erase(running);
    return isLastTry;
}

/// Notes that a host has a connection which it doesn't use.
void keepIdle(ServiceState &service, const HostId &host, const IdleConnection &connection)
{
    constexpr std::size_t MostOfHost = 8;
    std::vector<IdleConnection> &idle = service.m_idle[host];
    if (idle.size() >= MostOfHost) {
        idle.erase(idle.begin());
    }
    idle.push_back(connection);
}

/// Notes that a host uses its latest connection to a server.
void takeIdle(ServiceState &service, const HostId &host, const ServerId &server)
{
    const auto known = service.m_idle.find(host);
    if (known == service.m_idle.end()) {
        return;
    }
    std::vector<IdleConnection> &idle = known->second;
    const auto latest = std::find_if(idle.rbegin(), idle.rend(), [&](const IdleConnection &connection) { return connection.m_server == server; });
    if (latest != idle.rend()) {
        idle.erase(std::next(latest).base());
    }
}

void noteOutcome(ServiceState &service, const ServerSelectionSettings &settings, bool failed, TimePoint now)
{
    const double left = decayFactor(now - service.m_outcomesAt, settings.m_failureDecayTime);
    service.m_outcomes = service.m_outcomes * left + 1.0;
    service.m_failures = service.m_failures * left + (failed ? 1.0 : 0.0);
    service.m_outcomesAt = now;
}

}

namespace detail {

bool isUsable(const ServerState &state, TimePoint now)
{
    return !isDraining(state, now) && state.m_server.m_weight > 0.0;
}

bool hasFreeSlot(const ServerState &state, TimePoint now)
{
    const bool isFull = state.m_fullUntil && now < *state.m_fullUntil;
    return !isFull && state.m_running.size() < state.m_server.m_slots;
}

double slownessOf(const ServerState &state, const ServerSelectionSettings &settings, TimePoint now)
{
    return 1.0 + (state.m_slowness - 1.0) * decayFactor(now - state.m_slownessAt, settings.m_slownessDecayTime);
}

}

bool isDraining(const ServerState &state, TimePoint now)
{
    const bool saidSo = state.m_drainingUntil && now < *state.m_drainingUntil;
    return saidSo || state.m_server.m_use == ServerUse::Draining;
}

bool setServer(ServerRegistry &registry, const Configuration::Server &server, TimePoint now)
{
    const auto known = registry.m_servers.find(server.m_id);
    const bool isAnother = known != registry.m_servers.end() && !isSameServer(known->second.m_server, server);
    if (isAnother) {
        eraseServer(registry, server.m_id);
    }
    const auto [found, isNew] = registry.m_servers.try_emplace(server.m_id);
    found->second.m_server = server;
    if (isNew) {
        found->second.m_warmAt = now + server.m_warmupLeft;
        std::vector<ServerId> &servers = registry.m_services[server.m_service].m_servers;
        servers.insert(std::ranges::upper_bound(servers, server.m_id), server.m_id);
    }
    return isAnother;
}

bool eraseServer(ServerRegistry &registry, const ServerId &id)
{
    const auto known = registry.m_servers.find(id);
    if (known == registry.m_servers.end()) {
        return false;
    }
    std::erase(registry.m_services[known->second.m_server.m_service].m_servers, id);
    registry.m_servers.erase(known);
    return true;
}

void startAttempt(ServerRegistry &registry,
                  const ServerSelectionSettings &settings,
                  const PlacementRequest &placement,
                  const ServerId &server,
                  const Requester &requester,
                  TimePoint now)
{
    ServerState &state = registry.m_servers.at(server);
    const bool isLastTry = !placement.m_idempotent || placement.m_purpose == AttemptKind::Retry;
    state.m_running.push_back({{requester.m_host, placement.m_number}, now, isLastTry, false});
    state.m_usedAt = now;
    takeIdle(registry.m_services[state.m_server.m_service], requester.m_host, server);
    if (Health::unhealthyProbability(settings.m_suspicion, state.m_suspicion, requester.m_host, requester.m_domain, now) > settings.m_avoidAbove) {
        state.m_triedAt = now;
    }
}

void endAttempt(ServerRegistry &registry, const ServerSelectionSettings &settings, const AttemptReport &done, const Requester &requester, TimePoint now)
{
    const auto found = registry.m_servers.find(done.m_server);
    if (found == registry.m_servers.end()) {
        return;
    }
    ServerState &state = found->second;
    ServiceState &service = registry.m_services[state.m_server.m_service];
    const ServicePolicy policy = service.m_policy;
    const bool failed = isFailure(done.m_end);
    const bool isLastTry = removeRunning(state, {requester.m_host, done.m_number});
    if ((failed && isLastTry) || done.m_end == AttemptEnd::Succeeded) {
        noteOutcome(service, settings, failed, now);
    }
    if (done.m_end == AttemptEnd::Succeeded) {
        keepIdle(service, requester.m_host, {done.m_server, now});
    }
    if (done.m_end == AttemptEnd::Shed) {
        state.m_fullUntil = now + settings.m_shedHold;
    } else if (done.m_end == AttemptEnd::Misdirected) {
        state.m_drainingUntil = now + settings.m_drainHold;
    } else if (failed) {
        noteFailure(state, settings, policy, done.m_end, requester, now);
    } else if (done.m_end == AttemptEnd::Succeeded) {
        noteSuccess(registry, state, settings, done, requester, now);
    }
    reportSuspicion(state, settings, requester, now);
}

void recordRefusal(ServerRegistry &registry, const ServerSelectionSettings &settings, const ServiceId &service, TimePoint now)
{
    const auto found = registry.m_services.find(service);
    if (found != registry.m_services.end()) {
        noteOutcome(found->second, settings, true, now);
    }
}

void reconcile(ServerRegistry &registry, const HostId &host, const std::vector<std::uint64_t> &running, TimePoint startedBefore)
{
    for (auto &[id, state] : registry.m_servers) {
        std::erase_if(state.m_running, [&](const RunningAttempt &placement) {
            const bool isNamed = std::ranges::find(running, placement.m_id.m_number) != running.end();
            return placement.m_id.m_host == host && placement.m_startedAt < startedBefore && !isNamed;
        });
    }
}

void recordOverdueAttempts(ServerRegistry &registry, const ServerSelectionSettings &settings, const std::map<HostId, FailureDomainId> &domains, TimePoint now)
{
    constexpr int OverdueFactor = 5;
    for (auto &[id, state] : registry.m_servers) {
        const ServiceState &service = registry.m_services[state.m_server.m_service];
        for (RunningAttempt &running : state.m_running) {
            const auto domain = domains.find(running.m_id.m_host);
            if (!running.m_isOverdue && now - running.m_startedAt > OverdueFactor * service.m_usualTime && domain != domains.end()) {
                running.m_isOverdue = true;
                const Requester requester{running.m_id.m_host, domain->second};
                noteFailure(state, settings, service.m_policy, AttemptEnd::TimedOut, requester, now);
                reportSuspicion(state, settings, requester, now);
            }
        }
    }
}

void forgetIdleConnections(ServerRegistry &registry, const ServerSelectionSettings &settings, TimePoint now)
{
    for (auto &[id, service] : registry.m_services) {
        std::erase_if(service.m_idle,
                      [&](const auto &entry) { return entry.second.empty() || now - entry.second.back().m_since >= settings.m_connectionKept; });
    }
}

bool hasFreeSlot(const ServerRegistry &registry, const ServiceId &service, TimePoint now)
{
    const auto found = registry.m_services.find(service);
    return found != registry.m_services.end() && std::ranges::any_of(found->second.m_servers, [&](const ServerId &id) {
               const ServerState &state = registry.m_servers.at(id);
               return detail::isUsable(state, now) && detail::hasFreeSlot(state, now);
           });
}

std::uint32_t slotsOf(const ServerRegistry &registry, const ServiceId &service, TimePoint now)
{
    std::uint32_t slots = 0;
    const auto found = registry.m_services.find(service);
    if (found == registry.m_services.end()) {
        return 0;
    }
    for (const ServerId &id : found->second.m_servers) {
        const ServerState &state = registry.m_servers.at(id);
        slots += detail::isUsable(state, now) ? state.m_server.m_slots : 0;
    }
    return slots;
}

}
