#include <ragwortrelay/detail/scheduling/selection.h>
#include <ragwortrelay/detail/scheduling/servers.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace RagwortRelay::Scheduling {

namespace {

using detail::allowsColdStart;
using detail::Candidate;
using detail::connectedServers;
using detail::costOf;
using detail::hasFreeSlot;
using detail::hasSpilloverPrice;
using detail::isUsable;
using detail::kibOf;
using detail::slownessOf;

/// Tells whether so many requests of a service fail that no healthy server may be left unused.
bool isFailing(const ServiceState &service, const ServerSelectionSettings &settings)
{
    constexpr double MinOutcomes = 8.0;
    return service.m_outcomes >= MinOutcomes && service.m_failures > settings.m_failingThreshold * service.m_outcomes;
}

bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::ranges::find(servers, server) != servers.end();
}

/// Returns the time over which a restored server of a service comes back.
Duration rampOf(const ServerSelectionSettings &settings, const ServiceState &service)
{
    return service.m_policy.m_warmup > Duration(0) ? service.m_policy.m_warmup : settings.m_restoreRamp;
}

/// Tells whether a server comes back from an evacuation. It may be cold without its listing saying so.
bool isComingBack(const ServerSelectionSettings &settings, const ServiceState &service, const ServerState &state, TimePoint now)
{
    return state.m_restoredAt && now - *state.m_restoredAt < rampOf(settings, service);
}

}

bool detail::allowsColdStart(
    const ServerRegistry &registry, const ServerSelectionSettings &settings, const ServiceState &service, const ServerState &state, TimePoint now)
{
    const double coldRate = service.m_policy.m_coldRate;
    const bool isLimited = settings.m_warmupBounds && coldRate > 0.0 && (isCold(state, now) || isComingBack(settings, service, state, now));
    return !isLimited || allowsStart(state.m_recentStarts, maxColdStarts(*settings.m_warmupBounds, coldRate, registry.m_warmupShare.m_usable), now);
}

namespace {

/// Decides for one selection whether it may use servers that come back from an evacuation. The share of the selections that may grows in proportion
/// to the time since the restoration. One draw holds for all servers: with a draw for each, nearly every selection would find one that it may use.
///
/// @param drawn number drawn for this selection, 0 to 1; set for the first server that needs it
bool allowsRestored(std::optional<double> &drawn,
                    RandomGenerator &random,
                    const ServerSelectionSettings &settings,
                    const ServiceState &service,
                    const ServerState &state,
                    TimePoint now)
{
    if (!isComingBack(settings, service, state, now)) {
        return true;
    }
    drawn = drawn ? drawn : std::optional(randomUnit(random));
    const double elapsed = static_cast<double>((now - *state.m_restoredAt).count()) / static_cast<double>(rampOf(settings, service).count());
    return *drawn < std::max(settings.m_minRestoredShare, elapsed);
}

}

std::vector<ServerId> detail::connectedServers(
    const ServerSelectionSettings &settings, const ServiceState &service, const PlacementRequest &placement, const HostId &host, TimePoint now)
{
    std::vector<ServerId> servers;
    const auto idle = service.m_idleConnections.find(host);
    if (idle != service.m_idleConnections.end()) {
        const Duration maxIdleTime = placement.m_idempotent ? settings.m_maxConnectionIdleTime : settings.m_maxConnectionIdleTimeNonIdempotent;
        for (const IdleConnection &connection : idle->second) {
            if (now - connection.m_since < maxIdleTime) {
                servers.push_back(connection.m_server);
            }
        }
    }
    return servers;
}

CostComponents detail::costOf(
    const ServerSelectionSettings &settings, const Candidate &candidate, const PlacementRequest &placement, const Requester &requester, TimePoint now)
{
    const ServerState &state = *candidate.m_state;
    const double utilization = static_cast<double>(state.m_running.size()) / static_cast<double>(state.m_server.m_slots);
    CostComponents cost;
    cost.m_failure = candidate.m_unhealthyProbability * (placement.m_idempotent ? settings.m_retryCost : settings.m_failureCost);
    cost.m_utilization = utilization * settings.m_utilizationCost / state.m_server.m_weight;
    const double crossDomainCost = hasSpilloverPrice(settings, requester) ? spilloverPrice(settings.m_spillover, kibOf(placement)) : settings.m_crossDomainCost;
    cost.m_domain = state.m_server.m_domain == requester.m_domain ? 0.0 : crossDomainCost;
    cost.m_connection = candidate.m_isConnected ? 0.0 : settings.m_connectionCost;
    cost.m_warmup = isCold(state, now) ? settings.m_warmupCost : 0.0;
    cost.m_slowness = std::max(0.0, slownessOf(state, settings, now) - 1.0) * settings.m_slownessCost;
    return cost;
}

namespace {

/// Returns the usable servers to select from: all of a small service; of a large one, a run of the list from a random start, plus the servers
/// to which the host is connected and those that have just got a free slot. With a price, some free servers of the host's own failure domain are
/// added; that is linear in the servers.
std::vector<Candidate> candidatesOf(const ServerRegistry &registry,
                                    const ServerSelectionSettings &settings,
                                    const ServiceState &service,
                                    const PlacementRequest &placement,
                                    const Requester &requester,
                                    RandomGenerator &random,
                                    TimePoint now,
                                    const std::vector<ServerId> &freed)
{
    const std::size_t count = service.m_servers.size();
    const std::size_t start = count > settings.m_maxCandidates ? randomBelow(random, count) : 0;
    std::vector<ServerId> connected = connectedServers(settings, service, placement, requester.m_host, now);
    std::vector<Candidate> candidates;
    std::optional<double> restorationDraw;
    const auto add = [&](const ServerState &state, bool isConnected) {
        if (isUsable(state, now)) {
            const double unhealthyProbability =
                Health::unhealthyProbability(settings.m_suspicion, state.m_suspicion, requester.m_host, requester.m_domain, now);
            const bool canStart = hasFreeSlot(state, now) && allowsRestored(restorationDraw, random, settings, service, state, now)
                && allowsColdStart(registry, settings, service, state, now);
            candidates.push_back({&state, unhealthyProbability, isConnected, canStart});
        }
    };
    std::size_t sampled = 0;
    for (std::size_t i = 0; i < count && sampled < settings.m_maxCandidates; ++i) {
        const auto found = registry.m_servers.find(service.m_servers[(start + i) % count]);
        if (found != registry.m_servers.end() && found->second.m_isEvacuated) {
            continue; // Servers are often named after their failure domain: a run of the list could consist of evacuated ones alone.
        }
        ++sampled;
        if (found != registry.m_servers.end()) {
            add(found->second, std::erase(connected, found->first) > 0);
        }
    }
    constexpr std::size_t MinOwnCandidates = 16; // With a price, others are no substitute for servers of the failure domain that the sample has missed.
    std::size_t own = hasSpilloverPrice(settings, requester) ? 0 : MinOwnCandidates;
    for (std::size_t i = settings.m_maxCandidates; i < count && own < MinOwnCandidates; ++i) {
        const auto found = registry.m_servers.find(service.m_servers[(start + i) % count]);
        const bool isOwn = found != registry.m_servers.end() && found->second.m_server.m_domain == requester.m_domain;
        if (isOwn && (own == 0 || hasFreeSlot(found->second, now))) { // One without a free slot shows that there are own servers.
            add(found->second, std::erase(connected, found->first) > 0);
            ++own;
        }
    }
    std::ranges::sort(connected);
    connected.erase(std::unique(connected.begin(), connected.end()), connected.end());
    const auto addById = [&](const ServerId &id, bool isConnected) {
        const auto found = registry.m_servers.find(id);
        if (found != registry.m_servers.end()) {
            add(found->second, isConnected);
        }
    };
    for (const ServerId &id : connected) {
        addById(id, true);
    }
    const auto isCandidate = [&](const ServerId &id) {
        return std::ranges::any_of(candidates, [&](const Candidate &candidate) { return candidate.m_state->m_server.m_id == id; });
    };
    for (const ServerId &id : freed) {
        if (!isCandidate(id)) {
            addById(id, false);
        }
    }
    return candidates;
}

/// Removes the servers that look unhealthy from the candidates, as many as the floor allows and the worst first.
/// @return the removed candidates
std::vector<Candidate> extractAvoided(const ServerSelectionSettings &settings, const ServicePolicy &policy, std::vector<Candidate> &candidates, TimePoint now)
{
    const auto isUnhealthy = [&](const Candidate &candidate) {
        const std::optional<TimePoint> &since = candidate.m_state->m_suspectSince;
        return looksUnhealthy(settings, candidate.m_unhealthyProbability) && now - since.value_or(now) >= policy.m_avoidanceDelay;
    };
    std::ranges::sort(candidates, [](const Candidate &left, const Candidate &right) { return left.m_unhealthyProbability > right.m_unhealthyProbability; });
    const double floor = policy.m_floor.value_or(settings.m_floor);
    const auto maxAvoided = static_cast<std::size_t>((1.0 - floor) * static_cast<double>(candidates.size()));
    std::vector<Candidate> avoided;
    std::vector<Candidate> others;
    for (const Candidate &candidate : candidates) {
        (avoided.size() < maxAvoided && isUnhealthy(candidate) ? avoided : others).push_back(candidate);
    }
    candidates = std::move(others);
    return avoided;
}

/// Returns the candidate of the lowest cost among those with a free slot that satisfy a predicate; null if there is none.
template<typename Predicate>
const Candidate *cheapestOf(const ServerSelectionSettings &settings,
                            const std::vector<Candidate> &candidates,
                            const PlacementRequest &placement,
                            const Requester &requester,
                            RandomGenerator &random,
                            TimePoint now,
                            Predicate isAllowed)
{
    constexpr double TieBreakCost = 0.002; // Chooses randomly among servers of about the same cost.
    const Candidate *best = nullptr;
    double minCost = std::numeric_limits<double>::max();
    for (const Candidate &candidate : candidates) {
        if (contains(placement.m_excluded, candidate.m_state->m_server.m_id) || !candidate.m_canStart || !isAllowed(candidate)) {
            continue;
        }
        const double cost = costOf(settings, candidate, placement, requester, now).total() + TieBreakCost * randomUnit(random);
        if (cost < minCost) {
            minCost = cost;
            best = &candidate;
        }
    }
    return best;
}

const Candidate *cheapest(const ServerSelectionSettings &settings,
                          const std::vector<Candidate> &candidates,
                          const PlacementRequest &placement,
                          const Requester &requester,
                          RandomGenerator &random,
                          TimePoint now)
{
    return cheapestOf(settings, candidates, placement, requester, random, now, [](const Candidate &) { return true; });
}

/// Returns the demand of a failure domain; none if nothing is known.
DomainDemand demandOf(const ServiceState &service, const FailureDomainId &domain)
{
    const auto found = service.m_demands.find(domain);
    return found == service.m_demands.end() ? DomainDemand() : found->second;
}

/// Returns the cheapest server with a free slot. If a price is set, a server of another failure domain is selected only while the own ones look
/// unhealthy, are full or are expected to be, and while waiting for one would cost more than the price. Null if the request has to wait.
const Candidate *cheapestByDomain(const ServerSelectionSettings &settings,
                                  const ServiceState &service,
                                  const std::vector<Candidate> &candidates,
                                  const PlacementRequest &placement,
                                  const Requester &requester,
                                  RandomGenerator &random,
                                  TimePoint now)
{
    if (!hasSpilloverPrice(settings, requester)) {
        return cheapest(settings, candidates, placement, requester, random, now);
    }
    const SpilloverSettings &spillover = settings.m_spillover;
    const DomainDemand demand = demandOf(service, requester.m_domain);
    const auto isHealthy = [&](const Candidate &candidate) { return !looksUnhealthy(settings, candidate.m_unhealthyProbability); };
    const auto isOwn = [&](const Candidate &candidate) { return candidate.m_state->m_server.m_domain == requester.m_domain; };
    const bool hasHealthyOwn = std::ranges::any_of(candidates, [&](const Candidate &candidate) {
        return isOwn(candidate) && isHealthy(candidate) && !contains(placement.m_excluded, candidate.m_state->m_server.m_id);
    });
    if (!hasHealthyOwn) {
        return cheapest(settings, candidates, placement, requester, random, now);
    }
    const double kib = kibOf(placement);
    const auto cheapestOther = [&] {
        std::vector<FailureDomainId> receiving;
        for (const auto &[domain, target] : service.m_demands) {
            if (domain != requester.m_domain && mayReceive(target, demand, spillover, now)) {
                receiving.push_back(domain);
            }
        }
        return cheapestOf(settings, candidates, placement, requester, random, now, [&](const Candidate &candidate) {
            return isHealthy(candidate) && std::ranges::find(receiving, candidate.m_state->m_server.m_domain) != receiving.end();
        });
    };
    if (shouldLeave(demand, spillover, kib)) {
        if (const Candidate *other = cheapestOther()) {
            return other;
        }
    }
    const Candidate *best = cheapestOf(settings, candidates, placement, requester, random, now, isOwn);
    if (best != nullptr && isHealthy(*best)) {
        return best;
    }
    const Candidate *other = cheapestOther();
    if (other == nullptr) {
        return best;
    }
    if (best != nullptr) {
        const bool isCheaper = costOf(settings, *other, placement, requester, now).total() < costOf(settings, *best, placement, requester, now).total();
        return isCheaper ? other : best;
    }
    const double benefit = waitingCost(expectedWait(demand, spillover, now), placement.m_objectiveLeft - service.m_usualTime);
    return spilloverPrice(spillover, kib) <= benefit ? other : nullptr;
}

/// Returns an avoided server that is due for a trial request, which shows whether it has recovered; null if there is none.
const Candidate *selectForTrial(const ServerSelectionSettings &settings,
                                const std::vector<Candidate> &avoided,
                                const PlacementRequest &placement,
                                const Requester &requester,
                                TimePoint now)
{
    const bool hasPrice = hasSpilloverPrice(settings, requester);
    for (const Candidate &candidate : avoided) {
        if (hasPrice && candidate.m_state->m_server.m_domain != requester.m_domain) {
            continue;
        }
        const ServerState &state = *candidate.m_state;
        const bool isDue = state.m_running.empty() && candidate.m_canStart && now - state.m_lastTrialAt >= settings.m_trialInterval;
        if (isDue && placement.m_idempotent && placement.m_purpose == AttemptKind::First && !contains(placement.m_excluded, state.m_server.m_id)) {
            return &candidate;
        }
    }
    return nullptr;
}

/// Tells whether a service gets enough requests to use each of its servers.
bool isBusy(const ServiceState &service, const ServerSelectionSettings &settings, std::size_t servers)
{
    return service.m_outcomes >= settings.m_busyOutcomesPerServer * static_cast<double>(servers);
}

/// Tells whether a server is exempt from regular use because it has failed recently. While the service isn't failing, the exemption of a
/// server that looks unhealthy lasts longer.
bool isExemptFromUse(const ServerSelectionSettings &settings, const Candidate &candidate, bool failing, TimePoint now)
{
    const std::optional<TimePoint> &failedAt = candidate.m_state->m_lastFailureAt;
    const bool isExemptForLonger = !failing && looksUnhealthy(settings, candidate.m_unhealthyProbability);
    return failedAt && now - *failedAt < (isExemptForLonger ? settings.m_recentFailurePeriodUnhealthy : settings.m_recentFailurePeriod);
}

/// Tells whether a server is due for a request that can be sent again. It is due earlier than for others, which then find it used or failed.
/// @param unusedFor time without a request
bool isDueForTrial(const ServerSelectionSettings &settings, const ServerState &state, Duration unusedFor, TimePoint now)
{
    const bool hasFailedRecently = state.m_lastFailureAt && now - *state.m_lastFailureAt < settings.m_idempotentTrialInterval;
    return unusedFor >= settings.m_idempotentTrialInterval && !hasFailedRecently;
}

/// Returns how long a server has been without a request. With a price, requests of its own failure domain are given time to use it first.
Duration unusedFor(const ServerSelectionSettings &settings, const ServerState &state, const Requester &requester, TimePoint now)
{
    const bool isOwn = !hasSpilloverPrice(settings, requester) || state.m_server.m_domain == requester.m_domain;
    return now - state.m_lastUsedAt - (isOwn ? Duration(0) : settings.m_unusedInOtherDomainAfter);
}

/// Servers without recent requests, and the best of them.
struct UnusedServers {
    double m_count = 0.0;
    double m_expectedHealthy = 0.0; ///< Expected number of healthy ones.
    const Candidate *m_best = nullptr; ///< The least suspect one that can take the request; null if there is none.
};

/// Adds a server without recent requests.
void addUnused(UnusedServers &unused, const Candidate &candidate, const PlacementRequest &placement)
{
    unused.m_count += 1.0;
    unused.m_expectedHealthy += 1.0 - candidate.m_unhealthyProbability;
    const bool isBetter = unused.m_best == nullptr || candidate.m_unhealthyProbability < unused.m_best->m_unhealthyProbability;
    if (isBetter && candidate.m_canStart && !contains(placement.m_excluded, candidate.m_state->m_server.m_id)) {
        unused.m_best = &candidate;
    }
}

/// Returns a server without recent requests if a failing or busy service must use it; otherwise null. Neither avoiding unhealthy servers
/// nor preferring cheap ones may leave healthy servers unused. The least suspect goes first.
///
/// Requests that can be sent again use each server. A request that a failure loses goes to an untrusted server only if too many of all or of the
/// expected number of healthy ones are unused; a failing service leaves fewer of them unused. A limit on the share of all servers doesn't suffice,
/// since unhealthy ones count in it: with few healthy servers, most of them could be among the unused ones.
const Candidate *selectUnused(const ServerSelectionSettings &settings,
                              const std::vector<Candidate> &all,
                              const ServiceState &service,
                              const PlacementRequest &placement,
                              const Requester &requester,
                              TimePoint now)
{
    const bool failing = isFailing(service, settings);
    if (!failing && !isBusy(service, settings, all.size())) {
        return nullptr;
    }
    const bool isTrial = placement.m_idempotent && placement.m_purpose == AttemptKind::First;
    UnusedServers unused;
    double expected = 0.0;
    double healthy = 0.0;
    for (const Candidate &candidate : all) {
        const bool isExempt = isExemptFromUse(settings, candidate, failing, now);
        const Duration unusedTime = unusedFor(settings, *candidate.m_state, requester, now);
        const bool isUnused = !isExempt && unusedTime >= settings.m_unusedAfter;
        expected += isExempt ? 0.0 : 1.0;
        healthy += 1.0 - candidate.m_unhealthyProbability;
        if (isTrial ? isDueForTrial(settings, *candidate.m_state, unusedTime, now) : isUnused) {
            addUnused(unused, candidate, placement);
        }
    }
    const double maxShare = failing ? settings.m_maxUnusedShareFailing : settings.m_maxUnusedShare;
    const bool mustUseAny = isTrial || unused.m_count > maxShare * expected || unused.m_expectedHealthy > maxShare * healthy;
    const bool isTrusted = unused.m_best != nullptr && unused.m_best->m_unhealthyProbability < settings.m_trustedThreshold;
    return mustUseAny || isTrusted ? unused.m_best : nullptr;
}

}

tl::expected<ServerId, SelectionFailure> selectServer(const ServerRegistry &registry,
                                                      const ServerSelectionSettings &settings,
                                                      const PlacementRequest &placement,
                                                      const Requester &requester,
                                                      RandomGenerator &random,
                                                      TimePoint now,
                                                      const std::vector<ServerId> &freed)
{
    return detail::selectServer(registry, settings, placement, requester, random, now, freed, nullptr);
}

tl::expected<ServerId, SelectionFailure> detail::selectServer(const ServerRegistry &registry,
                                                              const ServerSelectionSettings &settings,
                                                              const PlacementRequest &placement,
                                                              const Requester &requester,
                                                              RandomGenerator &random,
                                                              TimePoint now,
                                                              const std::vector<ServerId> &freed,
                                                              SelectionTrace *trace)
{
    SelectionTrace unusedTrace;
    SelectionTrace &steps = trace != nullptr ? *trace : unusedTrace;
    const auto service = registry.m_services.find(placement.m_service);
    if (service == registry.m_services.end()) {
        return tl::unexpected(SelectionFailure::NoServer);
    }
    std::vector<Candidate> candidates = candidatesOf(registry, settings, service->second, placement, requester, random, now, freed);
    const std::size_t usable = candidates.size();
    if (trace != nullptr) {
        steps.m_candidates = candidates;
    }
    if (const Candidate *unused = selectUnused(settings, candidates, service->second, placement, requester, now)) {
        steps.m_step = SelectionStep::UnusedServer;
        return unused->m_state->m_server.m_id;
    }
    const std::vector<Candidate> avoided = extractAvoided(settings, service->second.m_policy, candidates, now);
    if (trace != nullptr) {
        steps.m_avoided = avoided;
    }
    const Candidate *trial = selectForTrial(settings, avoided, placement, requester, now);
    const Candidate *best = trial != nullptr ? trial : cheapestByDomain(settings, service->second, candidates, placement, requester, random, now);
    if (best != nullptr) {
        steps.m_step = trial != nullptr ? SelectionStep::Trial : SelectionStep::Cheapest;
        return best->m_state->m_server.m_id;
    }
    const auto isExcluded = [&](const Candidate &candidate) { return contains(placement.m_excluded, candidate.m_state->m_server.m_id); };
    const bool areAllExcluded = std::ranges::all_of(candidates, isExcluded);
    if (areAllExcluded) { // Only servers that look unhealthy are left.
        best = cheapest(settings, avoided, placement, requester, random, now);
        if (best != nullptr) {
            steps.m_step = SelectionStep::LastResort;
            return best->m_state->m_server.m_id;
        }
    }
    const bool hasAny = usable > 0 && !(areAllExcluded && std::ranges::all_of(avoided, isExcluded));
    return tl::unexpected(hasAny ? SelectionFailure::AllBusy : SelectionFailure::NoServer);
}

}
