#include <ragwortrelay/detail/scheduling/placement.h>

#include <algorithm>

namespace RagwortRelay::Scheduling::detail {

namespace {

/// Returns how long a placement may wait for a token such that it can still be answered within its objective.
Duration longestTokenWait(const Scheduler &scheduler, const PlacementRequest &placement)
{
    constexpr double ShareOfObjective = 0.5; // Of what the work at the server leaves of it.
    const Duration spare = placement.m_objectiveLeft - usualTimeOf(scheduler, placement.m_service);
    const auto allowed = std::chrono::duration_cast<Duration>(spare * ShareOfObjective);
    return std::min(scheduler.m_settings.m_tokenWaitAtMost, allowed);
}

/// Returns a placement with the time that is left of it after it has waited.
PlacementRequest afterWait(const QueuedPlacement &entry, TimePoint now)
{
    PlacementRequest placement = entry.m_placement;
    placement.m_timeLeft = entry.m_answerBy - now;
    placement.m_objectiveLeft = entry.m_objectiveAt - now;
    return placement;
}

}

LimitOutcome takeLimit(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now)
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
    if (!wait || *wait > longestTokenWait(scheduler, placement)) {
        return LimitOutcome::Refused;
    }
    scheduler.m_awaitingTokens[placement.m_workspace].push_back(queuedPlacement(placement, requester, 0.0, now));
    return LimitOutcome::Waits;
}

PlacementReply overLimit(Scheduler &scheduler, const PlacementRequest &placement, TimePoint now)
{
    const auto wait = Limits::assignRetryDelay(scheduler.m_buckets.at(placement.m_workspace), LongestRetryAfter, now);
    return refusal(placement, RefusalReason::OverLimit, wait.value_or(LongestRetryAfter));
}

void serveTokens(Scheduler &scheduler, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses)
{
    for (auto &[workspace, waiting] : scheduler.m_awaitingTokens) {
        const auto bucket = scheduler.m_buckets.find(workspace);
        while (!waiting.empty()) {
            const QueuedPlacement entry = waiting.front();
            const PlacementRequest placement = afterWait(entry, now);
            const bool isLate = placement.m_timeLeft < usualTimeOf(scheduler, placement.m_service) / 2;
            if (!isLate && bucket != scheduler.m_buckets.end() && !Limits::takeToken(bucket->second, now)) {
                break;
            }
            waiting.pop_front();
            const auto response = isLate && bucket != scheduler.m_buckets.end() ? overLimit(scheduler, placement, now)
                                                                                : place(scheduler, placement, entry.m_requester, random, now);
            if (response) {
                responses.push_back({entry.m_requester.m_host, *response});
            }
        }
    }
    std::erase_if(scheduler.m_awaitingTokens, [](const auto &entry) { return entry.second.empty(); });
}

}
