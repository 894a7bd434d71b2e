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

/// Returns the number of placements that get a token of the workspace before this one: those of the same or a higher priority that wait already.
std::size_t countAhead(const Scheduler &scheduler, const PlacementRequest &placement)
{
    const auto waiting = scheduler.m_awaitingTokens.find(placement.m_workspace);
    if (waiting == scheduler.m_awaitingTokens.end()) {
        return 0;
    }
    const auto isAhead = [&](const QueuedPlacement &entry) { return entry.m_placement.m_priority <= placement.m_priority; };
    return static_cast<std::size_t>(std::ranges::count_if(waiting->second, isAhead));
}

}

LimitOutcome takeWorkspaceToken(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now)
{
    if (!isLimited(scheduler, placement)) {
        return LimitOutcome::Passed;
    }
    Limits::TokenBucket &bucket = scheduler.m_buckets.at(placement.m_workspace);
    const std::size_t ahead = countAhead(scheduler, placement);
    if (ahead == 0 && Limits::takeToken(bucket, now)) {
        return LimitOutcome::Passed;
    }
    Limits::refill(bucket, now);
    const auto wait = Limits::timeUntilToken(bucket, ahead);
    if (!wait || *wait > maxTokenWait(scheduler, placement)) {
        return LimitOutcome::Refused;
    }
    auto &waiting = scheduler.m_awaitingTokens[placement.m_workspace];
    waiting.insert(waiting.begin() + static_cast<std::ptrdiff_t>(ahead), makeQueuedPlacement(placement, requester, 0.0, now));
    scheduler.m_waiting.insert({requester.m_host, placement.m_number});
    return LimitOutcome::Waits;
}

PlacementReply refuseOverLimit(Scheduler &scheduler, const PlacementRequest &placement, TimePoint now)
{
    recordRefusal(scheduler.m_registry, scheduler.m_settings.m_selection, placement.m_service, now);
    const auto wait = Limits::assignRetryDelay(scheduler.m_buckets.at(placement.m_workspace), MaxRetryAfter, now);
    return refusal(placement, RefusalReason::OverLimit, wait.value_or(MaxRetryAfter));
}

namespace {

/// Refuses the waiting placements that would be too late with a token. Those of a low priority may have others before them that came later.
void refuseLate(Scheduler &scheduler, std::deque<QueuedPlacement> &waiting, TimePoint now, std::vector<AddressedReply> &responses)
{
    std::erase_if(waiting, [&](const QueuedPlacement &entry) {
        const PlacementRequest placement = withRemainingTime(entry, now);
        const bool isLate = placement.m_timeLeft < usualTimeOf(scheduler, placement.m_service) / 2;
        if (isLate) {
            scheduler.m_waiting.erase(idOf(entry));
            responses.push_back({entry.m_requester.m_host, refuseOverLimit(scheduler, placement, now)});
        }
        return isLate;
    });
}

}

void serveTokens(Scheduler &scheduler, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses)
{
    for (auto &[workspace, waiting] : scheduler.m_awaitingTokens) {
        const auto bucket = scheduler.m_buckets.find(workspace);
        if (bucket != scheduler.m_buckets.end()) {
            refuseLate(scheduler, waiting, now, responses);
        }
        while (!waiting.empty()) {
            const QueuedPlacement entry = waiting.front();
            const PlacementRequest placement = withRemainingTime(entry, now);
            if (isServiceEvacuated(scheduler.m_registry, placement.m_service, now)) {
                waiting.pop_front();
                scheduler.m_waiting.erase(idOf(entry));
                responses.push_back({entry.m_requester.m_host, refuseEvacuated(placement)});
                continue;
            }
            if (bucket != scheduler.m_buckets.end() && !Limits::takeToken(bucket->second, now)) {
                break;
            }
            waiting.pop_front();
            scheduler.m_waiting.erase(idOf(entry));
            const auto response = placeOrEnqueue(scheduler, placement, entry.m_requester, random, now);
            if (response) {
                responses.push_back({entry.m_requester.m_host, *response});
            }
        }
    }
    std::erase_if(scheduler.m_awaitingTokens, [](const auto &entry) { return entry.second.empty(); });
}

}
