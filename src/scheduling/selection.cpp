#include <ragwortrelay/detail/scheduling/servers.h>

#include <algorithm>
#include <limits>

namespace RagwortRelay::Scheduling {

namespace {

using detail::hasFreeSlot;
using detail::isUsable;
using detail::slownessOf;

/// Tells whether so many requests of a service aren't served that no sound server may be left unused.
bool isFailing(const ServiceState &service, const ServerSelectionSettings &settings)
{
    constexpr double LeastOutcomes = 8.0;
    return service.m_outcomes >= LeastOutcomes && service.m_failures > settings.m_failingAbove * service.m_outcomes;
}

bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::ranges::find(servers, server) != servers.end();
}

/// A server that could be picked.
struct Candidate {
    const ServerState *m_state = nullptr;
    double m_unhealthyProbability = 0.0;
    bool m_isConnected = false; ///< The host that asks has a connection to it.
};

/// Returns the servers to which a host is likely to have a connection that a request may go out on.
std::vector<ServerId>
connectedServers(const ServerSelectionSettings &settings, const ServiceState &service, const PlacementRequest &placement, const HostId &host, TimePoint now)
{
    std::vector<ServerId> servers;
    const auto idle = service.m_idle.find(host);
    if (idle != service.m_idle.end()) {
        const Duration longest = placement.m_idempotent ? settings.m_connectionKept : settings.m_connectionFresh;
        for (const IdleConnection &connection : idle->second) {
            if (now - connection.m_since < longest) {
                servers.push_back(connection.m_server);
            }
        }
    }
    return servers;
}

double costOf(const ServerSelectionSettings &settings, const Candidate &candidate, const PlacementRequest &placement, const Requester &requester, TimePoint now)
{
    const ServerState &state = *candidate.m_state;
    const double occupied = static_cast<double>(state.m_running.size()) / static_cast<double>(state.m_server.m_slots);
    double cost = candidate.m_unhealthyProbability * (placement.m_idempotent ? settings.m_retryCost : settings.m_failureCost);
    cost += occupied * settings.m_occupiedCost / state.m_server.m_weight;
    cost += state.m_server.m_domain == requester.m_domain ? 0.0 : settings.m_otherDomainCost;
    cost += candidate.m_isConnected ? 0.0 : settings.m_connectionCost;
    cost += now < state.m_warmAt ? settings.m_warmupCost : 0.0;
    cost += std::max(0.0, slownessOf(state, settings, now) - 1.0) * settings.m_slownessCost;
    return cost;
}

/// Returns the servers that may be looked at: all of a small service, a random run of a large one and those that the host is connected to.
std::vector<Candidate> candidatesOf(const ServerRegistry &registry,
                                    const ServerSelectionSettings &settings,
                                    const ServiceState &service,
                                    const PlacementRequest &placement,
                                    const Requester &requester,
                                    RandomGenerator &random,
                                    TimePoint now)
{
    const std::size_t count = service.m_servers.size();
    const std::size_t start = count > settings.m_candidatesAtMost ? randomBelow(random, count) : 0;
    std::vector<ServerId> connected = connectedServers(settings, service, placement, requester.m_host, now);
    std::vector<Candidate> candidates;
    const auto add = [&](const ServerId &id, bool isConnected) {
        const auto found = registry.m_servers.find(id);
        if (found != registry.m_servers.end() && isUsable(found->second, now)) {
            const Health::ServerSuspicion &suspicion = found->second.m_suspicion;
            const double unhealthyProbability = Health::unhealthyProbability(settings.m_suspicion, suspicion, requester.m_host, requester.m_domain, now);
            candidates.push_back({&found->second, unhealthyProbability, isConnected});
        }
    };
    for (std::size_t i = 0; i < std::min(count, settings.m_candidatesAtMost); ++i) {
        const ServerId &id = service.m_servers[(start + i) % count];
        add(id, std::erase(connected, id) > 0);
    }
    std::ranges::sort(connected);
    connected.erase(std::unique(connected.begin(), connected.end()), connected.end());
    for (const ServerId &id : connected) {
        add(id, true);
    }
    return candidates;
}

/// Splits off the servers that look sick, as many as the floor allows; those that look worst first.
std::vector<Candidate> extractAvoided(const ServerSelectionSettings &settings, const ServicePolicy &policy, std::vector<Candidate> &candidates, TimePoint now)
{
    const auto isSick = [&](const Candidate &candidate) {
        const std::optional<TimePoint> &since = candidate.m_state->m_suspectSince;
        return candidate.m_unhealthyProbability > settings.m_avoidAbove && now - since.value_or(now) >= policy.m_sickAfter;
    };
    std::ranges::sort(candidates, [](const Candidate &left, const Candidate &right) { return left.m_unhealthyProbability > right.m_unhealthyProbability; });
    const double floor = policy.m_floor.value_or(settings.m_floor);
    const auto most = static_cast<std::size_t>((1.0 - floor) * static_cast<double>(candidates.size()));
    std::vector<Candidate> avoided;
    std::vector<Candidate> others;
    for (const Candidate &candidate : candidates) {
        (avoided.size() < most && isSick(candidate) ? avoided : others).push_back(candidate);
    }
    candidates = std::move(others);
    return avoided;
}

const Candidate *cheapest(const ServerSelectionSettings &settings,
                          const std::vector<Candidate> &candidates,
                          const PlacementRequest &placement,
                          const Requester &requester,
                          RandomGenerator &random,
                          TimePoint now)
{
    constexpr double Tie = 0.002; // Servers of about the same cost take turns by chance.
    const Candidate *best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (const Candidate &candidate : candidates) {
        if (contains(placement.m_excluded, candidate.m_state->m_server.m_id) || !hasFreeSlot(*candidate.m_state, now)) {
            continue;
        }
        const double cost = costOf(settings, candidate, placement, requester, now) + Tie * randomUnit(random);
        if (cost < least) {
            least = cost;
            best = &candidate;
        }
    }
    return best;
}

/// Returns an avoided server that is due for a trial request, so that it can prove itself.
const Candidate *dueForTrial(const ServerSelectionSettings &settings, const std::vector<Candidate> &avoided, const PlacementRequest &placement, TimePoint now)
{
    for (const Candidate &candidate : avoided) {
        const ServerState &state = *candidate.m_state;
        const bool isDue = state.m_running.empty() && hasFreeSlot(state, now) && now - state.m_triedAt >= settings.m_trialInterval;
        if (isDue && placement.m_idempotent && placement.m_purpose == AttemptKind::First && !contains(placement.m_excluded, state.m_server.m_id)) {
            return &candidate;
        }
    }
    return nullptr;
}

/// Tells whether a service has so much to do that each of its servers can get some of it.
bool isBusy(const ServiceState &service, const ServerSelectionSettings &settings, std::size_t servers)
{
    return service.m_outcomes >= settings.m_busyPerServer * static_cast<double>(servers);
}

/// Tells whether nobody expects a server to be used: it has just failed. While the service does well, one that looks sick is given longer.
bool isExcused(const ServerSelectionSettings &settings, const Candidate &candidate, bool failing, TimePoint now)
{
    const std::optional<TimePoint> &failedAt = candidate.m_state->m_failedAt;
    const bool looksSick = !failing && candidate.m_unhealthyProbability > settings.m_avoidAbove;
    return failedAt && now - *failedAt < (looksSick ? settings.m_recentSicknessPeriod : settings.m_recentFailurePeriod);
}

/// Servers that got nothing for a while, and how many they are.
struct Unused {
    std::size_t m_count = 0;
    const Candidate *m_best = nullptr; ///< The one to use first; empty when none of them has a free slot.
};

/// Looks for servers that got nothing for a while, among those that have a property.
template<typename Property, typename GoesBefore>
Unused unusedAmong(const ServerSelectionSettings &settings,
                   const std::vector<const Candidate *> &all,
                   const PlacementRequest &placement,
                   TimePoint now,
                   Property has,
                   GoesBefore goesBefore)
{
    Unused unused;
    for (const Candidate *candidate : all) {
        const ServerState &state = *candidate->m_state;
        if (now - state.m_usedAt < settings.m_untouchedAfter || !has(*candidate)) {
            continue;
        }
        ++unused.m_count;
        const bool isFirst = unused.m_best == nullptr || goesBefore(*candidate, *unused.m_best);
        if (isFirst && hasFreeSlot(state, now) && !contains(placement.m_excluded, state.m_server.m_id)) {
            unused.m_best = candidate;
        }
    }
    return unused;
}

/// Returns a server that got nothing for a while, when too many didn't for a service that fails, or for one that has enough to do for all.
/// Neither avoiding servers nor preferring some must go so far that sound ones are left out. Those that are trusted go first.
const Candidate *tooLongUnused(
    const ServerSelectionSettings &settings, const std::vector<Candidate> &all, const ServiceState &service, const PlacementRequest &placement, TimePoint now)
{
    const bool failing = isFailing(service, settings);
    if (!failing && !isBusy(service, settings, all.size())) {
        return nullptr;
    }
    std::vector<const Candidate *> expected;
    for (const Candidate &candidate : all) {
        if (!isExcused(settings, candidate, failing, now)) {
            expected.push_back(&candidate);
        }
    }
    const auto isTrusted = [&](const Candidate &candidate) { return candidate.m_unhealthyProbability < settings.m_trustedBelow; };
    const auto isIdleForLonger = [](const Candidate &left, const Candidate &right) { return left.m_state->m_usedAt < right.m_state->m_usedAt; };
    const Unused trusted = unusedAmong(settings, expected, placement, now, isTrusted, isIdleForLonger);
    if (static_cast<double>(trusted.m_count) > settings.m_untouchedTrusted * static_cast<double>(expected.size())) {
        return trusted.m_best;
    }
    const auto isAny = [](const Candidate &) { return true; };
    const auto isLessSuspect = [](const Candidate &left, const Candidate &right) { return left.m_unhealthyProbability < right.m_unhealthyProbability; };
    const Unused any = unusedAmong(settings, expected, placement, now, isAny, isLessSuspect);
    const bool isBold = failing || placement.m_idempotent;
    const double most = (isBold ? settings.m_untouchedAtMost : settings.m_untouchedAtMostOnce) * static_cast<double>(expected.size());
    return static_cast<double>(any.m_count) > most ? any.m_best : nullptr;
}

}

tl::expected<ServerId, SelectionFailure> selectServer(const ServerRegistry &registry,
                                                      const ServerSelectionSettings &settings,
                                                      const PlacementRequest &placement,
                                                      const Requester &requester,
                                                      RandomGenerator &random,
                                                      TimePoint now)
{
    const auto service = registry.m_services.find(placement.m_service);
    if (service == registry.m_services.end()) {
        return tl::unexpected(SelectionFailure::NoServer);
    }
    std::vector<Candidate> candidates = candidatesOf(registry, settings, service->second, placement, requester, random, now);
    const std::size_t usable = candidates.size();
    if (const Candidate *unused = tooLongUnused(settings, candidates, service->second, placement, now)) {
        return unused->m_state->m_server.m_id;
    }
    const std::vector<Candidate> avoided = extractAvoided(settings, service->second.m_policy, candidates, now);
    const Candidate *trial = dueForTrial(settings, avoided, placement, now);
    const Candidate *best = trial != nullptr ? trial : cheapest(settings, candidates, placement, requester, random, now);
    if (best != nullptr) {
        return best->m_state->m_server.m_id;
    }
    const auto isExcluded = [&](const Candidate &candidate) { return contains(placement.m_excluded, candidate.m_state->m_server.m_id); };
    const bool allTried = std::ranges::all_of(candidates, isExcluded);
    if (allTried) { // Only servers that look sick are left.
        best = cheapest(settings, avoided, placement, requester, random, now);
        if (best != nullptr) {
            return best->m_state->m_server.m_id;
        }
    }
    const bool hasAny = usable > 0 && !(allTried && std::ranges::all_of(avoided, isExcluded));
    return tl::unexpected(hasAny ? SelectionFailure::AllBusy : SelectionFailure::NoServer);
}

}
