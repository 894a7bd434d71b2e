#include <ragwortrelay/detail/scheduling/placement.h>
#include <ragwortrelay/detail/scheduling/servers.h>

#include <algorithm>

namespace RagwortRelay::Scheduling::detail {

namespace {

/// Shortest retry delay that a refusal suggests to a caller.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);

/// Retry delay that is suggested to a caller while a service has no usable server.
constexpr Duration NoServerRetryAfter = std::chrono::milliseconds(500);

/// Charges a retry or a hedge to the retry budget of its service; a first attempt adds to the budget.
/// @return the refusal, or nothing if the attempt is allowed
std::optional<PlacementReply> takeFromRetryBudget(Scheduler &scheduler, const PlacementRequest &placement, TimePoint now)
{
    const RetryLimit &limit = scheduler.m_settings.m_retries;
    RetryBudget &budget = scheduler.m_budgets.try_emplace(placement.m_service, initialBudget(limit, scheduler.m_share)).first->second;
    switch (placement.m_purpose) {
    case AttemptKind::First:
        budget = afterRequest(budget, limit);
        return std::nullopt;
    case AttemptKind::Replacement:
        return std::nullopt;
    case AttemptKind::Retry:
    case AttemptKind::Hedge:
        break;
    }
    if (!allowsRetry(budget, limit, scheduler.m_share)) {
        return refuse(scheduler, placement, RefusalReason::NoBudget, Duration(0), now);
    }
    budget = afterRetry(budget);
    return std::nullopt;
}

/// Tells whether another attempt of the request is running. Linear in the running attempts.
bool isRunning(const Scheduler &scheduler, const PlacementRequest &placement, TimePoint now)
{
    const TimePoint since = now - scheduler.m_settings.m_suspects.m_trialDelay; // Older attempts may belong to hosts that are gone.
    return std::ranges::any_of(scheduler.m_granted, [&](const auto &granted) {
        return granted.second.m_fingerprint == placement.m_fingerprint && granted.second.m_grantedAt > since;
    });
}

}

PlacementReply refusal(const PlacementRequest &placement, RefusalReason reason, Duration retryAfter)
{
    return {placement.m_number, std::nullopt, {}, reason, std::max(MinRetryAfter, retryAfter)};
}

PlacementReply refuse(Scheduler &scheduler, const PlacementRequest &placement, RefusalReason reason, Duration retryAfter, TimePoint now)
{
    if (placement.m_purpose != AttemptKind::Hedge) {
        recordRefusal(scheduler.m_registry, scheduler.m_settings.m_selection, placement.m_service, now);
    }
    return refusal(placement, reason, retryAfter);
}

PlacementReply refuseEvacuated(const PlacementRequest &placement)
{
    return refusal(placement, RefusalReason::NoServer, NoServerRetryAfter);
}

PlacementReply grant(Scheduler &scheduler, const PlacementRequest &placement, const ServerId &server, const Requester &requester, TimePoint now)
{
    recordSpillover(scheduler.m_registry, scheduler.m_settings.m_selection, placement, server, requester, now);
    startAttempt(scheduler.m_registry, scheduler.m_settings.m_selection, placement, server, requester, now);
    scheduler.m_granted[{requester.m_host, placement.m_number}] = {server, placement.m_service, now, placement.m_fingerprint};
    return {placement.m_number, server, {}, {}, {}};
}

QueuedPlacement makeQueuedPlacement(const PlacementRequest &placement, const Requester &requester, double startTag, TimePoint now)
{
    return {placement, requester, now, now + placement.m_timeLeft, now + placement.m_objectiveLeft, startTag};
}

PlacementRequest withRemainingTime(const QueuedPlacement &entry, TimePoint now)
{
    PlacementRequest placement = entry.m_placement;
    placement.m_timeLeft = entry.m_deadline - now;
    placement.m_objectiveLeft = entry.m_objectiveDeadline - now;
    return placement;
}

std::optional<Duration> quarantineRemaining(const Scheduler &scheduler, const PlacementRequest &placement, TimePoint now)
{
    constexpr Duration TrialRetryAfter = std::chrono::seconds(1); // While another attempt shows whether the request crashes a server.
    const bool isHedgeOfSuspect = placement.m_purpose == AttemptKind::Hedge && Dispatch::isSuspect(scheduler.m_suspects, placement.m_fingerprint);
    const bool mustRunAlone = Dispatch::mustRunAlone(scheduler.m_suspects, scheduler.m_settings.m_suspects, placement.m_fingerprint, now);
    if (isHedgeOfSuspect || (mustRunAlone && isRunning(scheduler, placement, now))) {
        return TrialRetryAfter;
    }
    const auto remaining = Dispatch::quarantineRemaining(scheduler.m_suspects, scheduler.m_settings.m_suspects, placement.m_fingerprint, now);
    const auto quarantined = scheduler.m_quarantined.find(placement.m_fingerprint);
    if (remaining || quarantined == scheduler.m_quarantined.end() || quarantined->second <= now) {
        return remaining;
    }
    return quarantined->second - now;
}

bool awaitsReports(const Scheduler &scheduler, const PlacementRequest &placement, TimePoint now)
{
    return Dispatch::awaitsReports(scheduler.m_suspects, scheduler.m_settings.m_suspects, placement.m_fingerprint, now);
}

std::optional<PlacementReply>
placeOrEnqueue(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, RandomGenerator &random, TimePoint now)
{
    if (auto refused = takeFromRetryBudget(scheduler, placement, now)) {
        return refused;
    }
    if (placement.m_purpose == AttemptKind::First) {
        recordArrival(scheduler.m_registry, scheduler.m_settings.m_selection, placement, requester, now);
    }
    const PlacementQueue &queue = scheduler.m_queues[placement.m_service];
    const bool hasPrice = hasSpilloverPrice(scheduler.m_settings.m_selection, requester);
    const auto competing = hasPrice ? std::optional(requester.m_domain) : std::nullopt; // Others may wait for servers of their own failure domain.
    if (!hasPredecessors(queue, placement.m_priority, competing) && !awaitsReports(scheduler, placement, now)) {
        ++scheduler.m_selections;
        const auto server = selectServer(scheduler.m_registry, scheduler.m_settings.m_selection, placement, requester, random, now);
        if (server) {
            return grant(scheduler, placement, *server, requester, now);
        }
        if (server.error() == SelectionFailure::NoServer) {
            return refuse(scheduler, placement, RefusalReason::NoServer, NoServerRetryAfter, now);
        }
    }
    return enqueue(scheduler, placement, requester, now);
}

}
