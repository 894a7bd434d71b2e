#include <ragwortrelay/detail/scheduling/placement.h>

#include <algorithm>

namespace RagwortRelay::Scheduling::detail {

namespace {

/// Returns how long a draw may wait for a token such that it can still be answered within its objective.
Duration longestTokenWait(const Scheduler &scheduler, const Draw &draw)
{
    constexpr double ShareOfObjective = 0.5; // Of what the work at the server leaves of it.
    const Duration spare = draw.m_objectiveLeft - usualTimeOf(scheduler, draw.m_service);
    const auto allowed = std::chrono::duration_cast<Duration>(spare * ShareOfObjective);
    return std::min(scheduler.m_settings.m_tokenWaitAtMost, allowed);
}

/// Returns a draw with the time that is left of it after it has waited.
Draw afterWait(const QueuedDraw &entry, TimePoint now)
{
    Draw draw = entry.m_draw;
    draw.m_timeLeft = entry.m_answerBy - now;
    draw.m_objectiveLeft = entry.m_objectiveAt - now;
    return draw;
}

}

LimitOutcome takeLimit(Scheduler &scheduler, const Draw &draw, const Asker &asker, TimePoint now)
{
    const auto pool = scheduler.m_pools.find(draw.m_workspace);
    if (draw.m_purpose != DrawPurpose::First || pool == scheduler.m_pools.end()) {
        return LimitOutcome::Passed;
    }
    const auto waiting = scheduler.m_awaitingTokens.find(draw.m_workspace);
    const std::size_t ahead = waiting == scheduler.m_awaitingTokens.end() ? 0 : waiting->second.size();
    if (ahead == 0 && Limits::takeToken(pool->second, now)) {
        return LimitOutcome::Passed;
    }
    Limits::refill(pool->second, now);
    const auto wait = Limits::waitForToken(pool->second, ahead);
    if (!wait || *wait > longestTokenWait(scheduler, draw)) {
        return LimitOutcome::Refused;
    }
    scheduler.m_awaitingTokens[draw.m_workspace].push_back(queuedDraw(draw, asker, 0.0, now));
    return LimitOutcome::Waits;
}

DrawAnswer overLimit(Scheduler &scheduler, const Draw &draw, TimePoint now)
{
    const auto wait = Limits::promiseToken(scheduler.m_pools.at(draw.m_workspace), LongestRetryAfter, now);
    return refusal(draw, RefusalReason::OverLimit, wait.value_or(LongestRetryAfter));
}

void serveTokens(Scheduler &scheduler, RandomGenerator &random, TimePoint now, std::vector<Answered> &answers)
{
    for (auto &[workspace, waiting] : scheduler.m_awaitingTokens) {
        const auto pool = scheduler.m_pools.find(workspace);
        while (!waiting.empty()) {
            const QueuedDraw entry = waiting.front();
            const Draw draw = afterWait(entry, now);
            const bool isLate = draw.m_timeLeft < usualTimeOf(scheduler, draw.m_service) / 2;
            if (!isLate && pool != scheduler.m_pools.end() && !Limits::takeToken(pool->second, now)) {
                break;
            }
            waiting.pop_front();
            const auto answer =
                isLate && pool != scheduler.m_pools.end() ? overLimit(scheduler, draw, now) : place(scheduler, draw, entry.m_asker, random, now);
            if (answer) {
                answers.push_back({entry.m_asker.m_host, *answer});
            }
        }
    }
    std::erase_if(scheduler.m_awaitingTokens, [](const auto &entry) { return entry.second.empty(); });
}

}
