#include <ragwortrelay/detail/scheduling/placement.h>

#include <algorithm>

namespace RagwortRelay::Scheduling::detail {

namespace {

/// Returns how long a placement may wait for a token and still meet its latency objective.
Duration maxTokenWait(const Scheduler &scheduler, const PlacementRequest &placement)
{
    constexpr double ObjectiveShare = 0.5; // Share of the time to the objective that remains after the usual latency.
    const Duration spare = placement.m_objectiveLeft - usualTimeOf(scheduler, placement.m_service);
    const auto allowed = std::chrono::duration_cast<Duration>(spare * ObjectiveShare);
    return std::min(scheduler.m_settings.m_maxTokenWait, allowed);
}

/// Returns a placement that has waited, with its remaining times updated.
PlacementRequest withRemainingTime(const QueuedPlacement &entry, TimePoint now)
{
    PlacementRequest placement = entry.m_placement;
    placement.m_timeLeft = entry.m_deadline - now;
    placement.m_objectiveLeft = entry.m_objectiveDeadline - now;
    return placement;
}

}

LimitOutcome takeWorkspaceToken(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now)
{
    const auto bucket = scheduler.m_buckets.find(placement.m_workspace);
    if (placement.m_purpose != AttemptKind::First || bucket == scheduler.m_buckets.end()) {
        return LimitOutcome::Passed;
    }
    const auto waiting = scheduler.m_awaitingTokens.find(placement.m_workspace);
    const std::size_t ahead = waiting == scheduler.m_awaitingTokens.end() ? 0 : waiting->second.size();
    if (ahead == 0 && Limits::takeToken(bucket->second, now)) {
        return LimitOutcome::Passed;
    }
    Limits::refill(bucket->second, now);
    const auto wait = Limits::timeUntilToken(bucket->second, ahead);
    if (!wait || *wait > maxTokenWait(scheduler, placement)) {
        return LimitOutcome::Refused;
    }
    scheduler.m_awaitingTokens[placement.m_workspace].push_back(makeQueuedPlacement(placement, requester, 0.0, now));
    return LimitOutcome::Waits;
}

PlacementReply refuseOverLimit(Scheduler &scheduler, const PlacementRequest &placement, TimePoint now)
{
    recordRefusal(scheduler.m_registry, scheduler.m_settings.m_selection, placement.m_service, now);
    const auto wait = Limits::assignRetryDelay(scheduler.m_buckets.at(placement.m_workspace), MaxRetryAfter, now);
    return refusal(placement, RefusalReason::OverLimit, wait.value_or(MaxRetryAfter));
}

void serveTokens(Scheduler &scheduler, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses)
{
    for (auto &[workspace, waiting] : scheduler.m_awaitingTokens) {
        const auto bucket = scheduler.m_buckets.find(workspace);
        while (!waiting.empty()) {
            const QueuedPlacement entry = waiting.front();
            const PlacementRequest placement = withRemainingTime(entry, now);
            if (isServiceEvacuated(scheduler.m_registry, placement.m_service, now)) {
                waiting.pop_front();
                responses.push_back({entry.m_requester.m_host, refuseEvacuated(placement)});
                continue;
            }
            const bool isLate = placement.m_timeLeft < usualTimeOf(scheduler, placement.m_service) / 2;
            if (!isLate && bucket != scheduler.m_buckets.end() && !Limits::takeToken(bucket->second, now)) {
                break;
            }
            waiting.pop_front();
            const auto response = isLate && bucket != scheduler.m_buckets.end() ? refuseOverLimit(scheduler, placement, now)
                                                                                : placeOrEnqueue(scheduler, placement, entry.m_requester, random, now);
            if (response) {
                responses.push_back({entry.m_requester.m_host, *response});
            }
        }
    }
    std::erase_if(scheduler.m_awaitingTokens, [](const auto &entry) { return entry.second.empty(); });
}

}
