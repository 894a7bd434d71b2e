#include <ragwortrelay/core/decay.h>
#include <ragwortrelay/detail/scheduling/servers.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace RagwortRelay::Scheduling {

namespace {

using Configuration::Server;
using Configuration::ServerUse;

bool isSameServer(const Server &left, const Server &right)
{
    return left.m_service == right.m_service && left.m_address == right.m_address && left.m_incarnation == right.m_incarnation;
}

/// Tells whether an attempt end is evidence against the network path from the host to the server rather than against the server itself.
bool isPathFailure(AttemptEnd end)
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

/// Returns the evidence of one failed request. If the service configures a failure share, the evidence is chosen such that the suspicion of
/// a server with exactly that share neither grows nor shrinks.
double failureEvidence(const ServicePolicy &policy, const Health::SuspicionSettings &settings, AttemptEnd end)
{
    constexpr double MinShare = 0.01;
    if (!policy.m_unhealthyFailureShare) {
        return end == AttemptEnd::Failed ? settings.m_reportedFailure : settings.m_failure;
    }
    const double share = std::max(MinShare, *policy.m_unhealthyFailureShare);
    return std::min(settings.m_maxEvidence, -settings.m_success * (1.0 - share) / share);
}

void recordFailure(
    ServerState &state, const ServerSelectionSettings &settings, const ServicePolicy &policy, AttemptEnd end, const Requester &requester, TimePoint now)
{
    const Health::SuspicionSettings &suspicion = settings.m_suspicion;
    const double failure = failureEvidence(policy, suspicion, end);
    state.m_lastFailureAt = now;
    if (isPathFailure(end)) {
        Health::addEvidence(suspicion, state.m_suspicion.m_byHost[requester.m_host], suspicion.m_maxEvidence, now);
        // Half the evidence counts for the rest of the fleet, as a server that hangs looks like one that is unreachable.
        Health::addEvidence(suspicion, state.m_suspicion.m_byDomain[requester.m_domain], failure / 2, now);
        return;
    }
    const double evidence = end == AttemptEnd::NotListening ? suspicion.m_maxEvidence : failure;
    Health::addEvidence(suspicion, state.m_suspicion.m_byDomain[requester.m_domain], evidence, now);
}

void recordSuccess(ServerRegistry &registry,
                   ServerState &state,
                   const ServerSelectionSettings &settings,
                   const AttemptReport &report,
                   const Requester &requester,
                   TimePoint now)
{
    constexpr double ServiceSmoothingFactor = 0.02;
    constexpr double ServerSmoothingFactor = 0.15;
    constexpr double MaxSlowness = 10.0;
    Health::addSuccess(settings.m_suspicion, state.m_suspicion, requester.m_host, requester.m_domain, now);
    if (isCold(state, now)) {
        return; // The latency of a server that is warming up isn't representative.
    }
    ServiceState &service = registry.m_services[state.m_server.m_service];
    const double elapsed = static_cast<double>(report.m_elapsed.count());
    const double usual = static_cast<double>(service.m_usualTime.count());
    service.m_usualTime = Duration(static_cast<std::int64_t>(usual + ServiceSmoothingFactor * (elapsed - usual)));
    const double ratio = std::min(MaxSlowness, elapsed / std::max(1.0, usual));
    const double slowness = detail::slownessOf(state, settings, now);
    state.m_slowness = slowness + ServerSmoothingFactor * (ratio - slowness);
    state.m_slownessUpdatedAt = now;
}

/// Updates the time since which a server has looked unhealthy to the requesting host.
void updateSuspectSince(ServerState &state, const ServerSelectionSettings &settings, const Requester &requester, TimePoint now)
{
    const double unhealthyProbability = Health::unhealthyProbability(settings.m_suspicion, state.m_suspicion, requester.m_host, requester.m_domain, now);
    if (!looksUnhealthy(settings, unhealthyProbability)) {
        state.m_suspectSince.reset();
    } else if (!state.m_suspectSince) {
        state.m_suspectSince = now;
    }
}

/// Removes a running attempt. Returns whether its request fails permanently if it has failed; true for an unknown attempt.
bool removeRunning(ServerState &state, const PlacementId &id)
{
    const auto running = std::ranges::find(state.m_running, id, &RunningAttempt::m_id);
    if (running == state.m_running.end()) {
        return true;
    }
    const bool isLastAttempt = running->m_isLastAttempt;
    state.m_running.erase(running);
    return isLastAttempt;
}

/// Records an idle connection of a host. The oldest one is dropped beyond MaxIdlePerHost.
void addIdleConnection(ServiceState &service, const HostId &host, const IdleConnection &connection)
{
    constexpr std::size_t MaxIdlePerHost = 8;
    std::vector<IdleConnection> &idle = service.m_idleConnections[host];
    if (idle.size() >= MaxIdlePerHost) {
        idle.erase(idle.begin());
    }
    idle.push_back(connection);
}

/// Removes the latest idle connection of a host to a server, as an attempt uses it.
void removeIdleConnection(ServiceState &service, const HostId &host, const ServerId &server)
{
    const auto known = service.m_idleConnections.find(host);
    if (known == service.m_idleConnections.end()) {
        return;
    }
    std::vector<IdleConnection> &idle = known->second;
    const auto latest = std::find_if(idle.rbegin(), idle.rend(), [&](const IdleConnection &connection) { return connection.m_server == server; });
    if (latest != idle.rend()) {
        idle.erase(std::next(latest).base());
    }
}

/// Marks a server that has just been registered as leaving if its process has announced that before. An announcement of another
/// process is dropped.
void applyLeavingNotice(ServerRegistry &registry, ServerState &state)
{
    const auto notice = registry.m_leaving.find(state.m_server.m_id);
    if (notice == registry.m_leaving.end()) {
        return;
    }
    if (state.m_server.m_incarnation == Configuration::UnknownIncarnation) { // A restart wouldn't show; the next response tells again.
        registry.m_leaving.erase(notice);
        return;
    }
    std::optional<std::uint64_t> &incarnation = notice->second.m_incarnation;
    incarnation = incarnation.value_or(state.m_server.m_incarnation);
    state.m_isLeaving = *incarnation == state.m_server.m_incarnation;
    if (!state.m_isLeaving) {
        registry.m_leaving.erase(notice);
    }
}

/// Tells whether a server is usable and doesn't look unhealthy to a host.
bool isHealthy(const ServerState &state, const ServerSelectionSettings &settings, const Requester &requester, TimePoint now)
{
    const double unhealthyProbability = Health::unhealthyProbability(settings.m_suspicion, state.m_suspicion, requester.m_host, requester.m_domain, now);
    return detail::isUsable(state, now) && !looksUnhealthy(settings, unhealthyProbability);
}

/// Updates the capacity of each failure domain from its usable servers, weighted by the probability that they are healthy.
void updateCapacities(const ServerRegistry &registry, ServiceState &service, const ServerSelectionSettings &settings, TimePoint now)
{
    service.m_capacityCheckedAt = now;
    for (auto &[domain, demand] : service.m_demands) {
        demand.m_capacity = 0.0;
    }
    const double usual = std::max(0.001, std::chrono::duration<double>(service.m_usualTime).count());
    for (const ServerId &id : service.m_servers) {
        const ServerState &state = registry.m_servers.at(id);
        if (detail::isUsable(state, now)) {
            const FailureDomainId &domain = state.m_server.m_domain;
            const double healthy = 1.0 - Health::unhealthyProbability(settings.m_suspicion, state.m_suspicion, {}, domain, now);
            service.m_demands[domain].m_capacity += healthy * static_cast<double>(state.m_server.m_slots) / usual;
        }
    }
}

void recordOutcome(ServiceState &service, const ServerSelectionSettings &settings, bool failed, TimePoint now)
{
    const double decay = decayFactor(now - service.m_outcomesUpdatedAt, settings.m_outcomeDecayTime);
    service.m_outcomes = service.m_outcomes * decay + 1.0;
    service.m_failures = service.m_failures * decay + (failed ? 1.0 : 0.0);
    service.m_outcomesUpdatedAt = now;
}

}

namespace detail {

bool isUsable(const ServerState &state, TimePoint now)
{
    return !isDraining(state, now) && !state.m_isEvacuated && state.m_server.m_weight > 0.0;
}

bool hasFreeSlot(const ServerState &state, TimePoint now)
{
    const bool isFull = state.m_fullUntil && now < *state.m_fullUntil;
    return !isFull && state.m_running.size() < state.m_server.m_slots;
}

double slownessOf(const ServerState &state, const ServerSelectionSettings &settings, TimePoint now)
{
    return 1.0 + (state.m_slowness - 1.0) * decayFactor(now - state.m_slownessUpdatedAt, settings.m_slownessDecayTime);
}

bool hasSpilloverPrice(const ServerSelectionSettings &settings, const Requester &requester)
{
    return isEnabled(settings.m_spillover) && !requester.m_domain.isEmpty();
}

double kibOf(const PlacementRequest &placement)
{
    constexpr double BytesPerKib = 1024.0;
    constexpr double HeaderBytes = 512.0; // Typical size of a request without a body.
    return (HeaderBytes + static_cast<double>(placement.m_bodyBytes)) / BytesPerKib;
}

}

bool isDraining(const ServerState &state, TimePoint now)
{
    const bool hasAnnouncedDraining = state.m_drainingUntil && now < *state.m_drainingUntil;
    return hasAnnouncedDraining || state.m_isLeaving || state.m_server.m_use == ServerUse::Draining;
}

bool setServer(ServerRegistry &registry, const Configuration::Server &server, TimePoint now)
{
    const auto known = registry.m_servers.find(server.m_id);
    const bool isReplacement = known != registry.m_servers.end() && !isSameServer(known->second.m_server, server);
    RecentStarts recentStarts;
    if (isReplacement) {
        recentStarts = std::move(known->second.m_recentStarts); // A server that restarts in mid-second must not get the starts of two.
        eraseServer(registry, server.m_id);
    }
    const auto [found, isNew] = registry.m_servers.try_emplace(server.m_id);
    if (isReplacement) {
        found->second.m_recentStarts = std::move(recentStarts);
    }
    found->second.m_server = server;
    found->second.m_isEvacuated = registry.m_evacuatedDomains.contains(server.m_domain);
    if (isNew) {
        applyLeavingNotice(registry, found->second);
        std::vector<ServerId> &servers = registry.m_services[server.m_service].m_servers;
        servers.insert(std::ranges::upper_bound(servers, server.m_id), server.m_id);
    }
    if (isNew || server.m_warmupLeft > Duration(0)) { // A running server may become cold again.
        found->second.m_warmupEndsAt = now + server.m_warmupLeft;
    }
    return isReplacement;
}

void setEvacuatedDomains(ServerRegistry &registry, const std::set<FailureDomainId> &domains, TimePoint now)
{
    registry.m_evacuatedDomains = domains;
    for (auto &[id, state] : registry.m_servers) {
        const bool wasEvacuated = std::exchange(state.m_isEvacuated, domains.contains(state.m_server.m_domain));
        if (wasEvacuated && !state.m_isEvacuated) {
            state.m_restoredAt = now;
        }
    }
}

bool isCold(const ServerState &state, TimePoint now)
{
    return now < state.m_warmupEndsAt;
}

bool isServiceEvacuated(const ServerRegistry &registry, const ServiceId &service, TimePoint now)
{
    const auto found = registry.m_services.find(service);
    if (registry.m_evacuatedDomains.empty() || found == registry.m_services.end()) {
        return false;
    }
    const auto isUsable = [&](const ServerId &id) { return detail::isUsable(registry.m_servers.at(id), now); };
    const auto isEvacuated = [&](const ServerId &id) { return registry.m_servers.at(id).m_isEvacuated; };
    return std::ranges::none_of(found->second.m_servers, isUsable) && std::ranges::any_of(found->second.m_servers, isEvacuated);
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

bool noteLeaving(
    ServerRegistry &registry, const ServerSelectionSettings &settings, const ServerId &server, std::optional<std::uint64_t> incarnation, TimePoint now)
{
    const auto known = registry.m_servers.find(server);
    if (known == registry.m_servers.end()) {
        return registry.m_leaving.try_emplace(server, LeavingNotice{incarnation, now}).second;
    }
    ServerState &state = known->second;
    const bool isOtherProcess = incarnation && *incarnation != state.m_server.m_incarnation;
    if (isOtherProcess || state.m_isLeaving) {
        return false;
    }
    if (state.m_server.m_incarnation == Configuration::UnknownIncarnation) { // A restart wouldn't show.
        const bool isNew = !isDraining(state, now);
        state.m_drainingUntil = now + settings.m_drainingPeriod;
        return isNew;
    }
    state.m_isLeaving = true;
    registry.m_leaving[server] = {state.m_server.m_incarnation, now};
    return true;
}

bool isLeaving(const ServerRegistry &registry, const ServerId &server)
{
    return registry.m_leaving.contains(server);
}

std::vector<LeavingServer> leavingServers(const ServerRegistry &registry)
{
    std::vector<LeavingServer> servers;
    for (const auto &[id, notice] : registry.m_leaving) {
        const auto known = registry.m_servers.find(id);
        if (known != registry.m_servers.end() && known->second.m_server.m_use == ServerUse::Active) {
            servers.push_back({id, known->second.m_server.m_incarnation});
        }
    }
    return servers;
}

void forgetLeavingServers(ServerRegistry &registry, TimePoint now)
{
    constexpr Duration Retention = std::chrono::minutes(10);
    std::erase_if(registry.m_leaving, [&](const auto &entry) { return !registry.m_servers.contains(entry.first) && now - entry.second.m_notedAt > Retention; });
}

void recordArrival(
    ServerRegistry &registry, const ServerSelectionSettings &settings, const PlacementRequest &placement, const Requester &requester, TimePoint now)
{
    const auto found = registry.m_services.find(placement.m_service);
    if (!detail::hasSpilloverPrice(settings, requester) || found == registry.m_services.end()) {
        return;
    }
    ServiceState &service = found->second;
    if (now - service.m_capacityCheckedAt >= settings.m_spillover.m_capacityCheckInterval) {
        updateCapacities(registry, service, settings, now);
    }
    DomainDemand &demand = service.m_demands[requester.m_domain];
    demand = afterArrival(demand, settings.m_spillover, detail::kibOf(placement), now);
}

void recordSpillover(ServerRegistry &registry,
                     const ServerSelectionSettings &settings,
                     const PlacementRequest &placement,
                     const ServerId &server,
                     const Requester &requester,
                     TimePoint now)
{
    const ServerState &target = registry.m_servers.at(server);
    if (!detail::hasSpilloverPrice(settings, requester) || target.m_server.m_domain == requester.m_domain) {
        return;
    }
    ServiceState &service = registry.m_services[target.m_server.m_service];
    const bool hasHealthyOwn = std::ranges::any_of(service.m_servers, [&](const ServerId &id) {
        const ServerState &state = registry.m_servers.at(id);
        const bool wasTried = std::ranges::find(placement.m_excluded, id) != placement.m_excluded.end();
        return !wasTried && state.m_server.m_domain == requester.m_domain && isHealthy(state, settings, requester, now);
    });
    const double kib = detail::kibOf(placement);
    SpilloverReason reason = SpilloverReason::PriceBelowBenefit;
    if (!hasHealthyOwn) {
        reason = SpilloverReason::OwnServersSick;
    } else if (shouldLeave(service.m_demands[requester.m_domain], settings.m_spillover, kib)) {
        reason = SpilloverReason::OwnServersFull;
    } else if (now - target.m_lastUsedAt >= settings.m_idempotentTrialInterval) {
        reason = SpilloverReason::UnusedServer;
    }
    SpilloverCount &count = service.m_spillovers[reason];
    ++count.m_requests;
    count.m_kib += kib;
    DomainDemand &demand = service.m_demands[target.m_server.m_domain];
    demand = afterReceipt(demand, settings.m_spillover, now);
}

void startAttempt(ServerRegistry &registry,
                  const ServerSelectionSettings &settings,
                  const PlacementRequest &placement,
                  const ServerId &server,
                  const Requester &requester,
                  TimePoint now)
{
    ServerState &state = registry.m_servers.at(server);
    const bool isLastAttempt = !placement.m_idempotent || placement.m_purpose == AttemptKind::Retry;
    state.m_running.push_back({{requester.m_host, placement.m_number}, now, isLastAttempt, false});
    state.m_lastUsedAt = now;
    if (settings.m_warmupBounds && registry.m_services[state.m_server.m_service].m_policy.m_coldRate > 0.0) {
        recordStart(state.m_recentStarts, now);
    }
    removeIdleConnection(registry.m_services[state.m_server.m_service], requester.m_host, server);
    if (looksUnhealthy(settings, Health::unhealthyProbability(settings.m_suspicion, state.m_suspicion, requester.m_host, requester.m_domain, now))) {
        state.m_lastTrialAt = now;
    }
}

void endAttempt(ServerRegistry &registry, const ServerSelectionSettings &settings, const AttemptReport &report, const Requester &requester, TimePoint now)
{
    const auto found = registry.m_servers.find(report.m_server);
    if (report.m_leavingIncarnation) {
        noteLeaving(registry, settings, report.m_server, report.m_leavingIncarnation, now);
    }
    if (found == registry.m_servers.end()) {
        return;
    }
    ServerState &state = found->second;
    ServiceState &service = registry.m_services[state.m_server.m_service];
    const ServicePolicy policy = service.m_policy;
    const bool failed = isFailure(report.m_end);
    const bool isLastAttempt = removeRunning(state, {requester.m_host, report.m_number});
    if ((failed && isLastAttempt) || report.m_end == AttemptEnd::Succeeded) {
        recordOutcome(service, settings, failed, now);
    }
    if (report.m_end == AttemptEnd::Succeeded) {
        addIdleConnection(service, requester.m_host, {report.m_server, now});
    }
    if (report.m_end == AttemptEnd::Shed) {
        state.m_fullUntil = now + settings.m_shedBackoff;
    } else if (report.m_end == AttemptEnd::Misdirected) {
        state.m_drainingUntil = now + settings.m_drainingPeriod;
    } else if (failed) {
        recordFailure(state, settings, policy, report.m_end, requester, now);
    } else if (report.m_end == AttemptEnd::Succeeded) {
        recordSuccess(registry, state, settings, report, requester, now);
    }
    updateSuspectSince(state, settings, requester, now);
}

void recordRefusal(ServerRegistry &registry, const ServerSelectionSettings &settings, const ServiceId &service, TimePoint now)
{
    const auto found = registry.m_services.find(service);
    if (found != registry.m_services.end()) {
        recordOutcome(found->second, settings, true, now);
    }
}

void forgetAttempt(ServerRegistry &registry, const ServerId &server, const PlacementId &id)
{
    const auto found = registry.m_servers.find(server);
    if (found != registry.m_servers.end()) {
        removeRunning(found->second, id);
    }
}

void recordOverdueAttempts(ServerRegistry &registry, const ServerSelectionSettings &settings, const std::map<HostId, FailureDomainId> &domains, TimePoint now)
{
    constexpr int OverdueFactor = 5;
    for (auto &[id, state] : registry.m_servers) {
        if (state.m_running.empty()) {
            continue;
        }
        const ServiceState &service = registry.m_services[state.m_server.m_service];
        for (RunningAttempt &running : state.m_running) {
            const auto domain = domains.find(running.m_id.m_host);
            if (!running.m_isCountedOverdue && now - running.m_startedAt > OverdueFactor * service.m_usualTime && domain != domains.end()) {
                running.m_isCountedOverdue = true;
                const Requester requester{running.m_id.m_host, domain->second};
                recordFailure(state, settings, service.m_policy, AttemptEnd::TimedOut, requester, now);
                updateSuspectSince(state, settings, requester, now);
            }
        }
    }
}

void forgetIdleConnections(ServerRegistry &registry, const ServerSelectionSettings &settings, TimePoint now)
{
    for (auto &[id, service] : registry.m_services) {
        std::erase_if(service.m_idleConnections,
                      [&](const auto &entry) { return entry.second.empty() || now - entry.second.back().m_since >= settings.m_maxConnectionIdleTime; });
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
