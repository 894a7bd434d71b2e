#include <ragwortrelay/detail/scheduling/placement.h>

#include <algorithm>

namespace RagwortRelay::Scheduling::detail {

namespace {

/// What a caller is told at least to wait after a refusal.
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(50);

/// Takes a further attempt from the budget of its service.
/// @return the refusal, or nothing when it was taken
std::optional<DrawAnswer> takeBudget(Scheduler &scheduler, const Draw &draw, TimePoint now)
{
    const RetryLimit &limit = scheduler.m_settings.m_retries;
    RetryBudget &budget = scheduler.m_budgets.try_emplace(draw.m_service, firstBudget(limit, scheduler.m_share)).first->second;
    switch (draw.m_purpose) {
    case DrawPurpose::First:
        budget = afterRequest(budget, limit);
        return std::nullopt;
    case DrawPurpose::Instead:
        return std::nullopt;
    case DrawPurpose::Again:
    case DrawPurpose::Hedge:
        break;
    }
    if (!allowsRetry(budget, limit, scheduler.m_share)) {
        return refuse(scheduler, draw, RefusalReason::NoBudget, Duration(0), now);
    }
    budget = afterRetry(budget);
    return std::nullopt;
}

}

DrawAnswer refusal(const Draw &draw, RefusalReason reason, Duration retryAfter)
{
    return {draw.m_number, std::nullopt, {}, reason, std::max(LeastRetryAfter, retryAfter)};
}

DrawAnswer refuse(Scheduler &scheduler, const Draw &draw, RefusalReason reason, Duration retryAfter, TimePoint now)
{
    if (draw.m_purpose != DrawPurpose::Hedge) {
        noteRefused(scheduler.m_book, scheduler.m_settings.m_pick, draw.m_service, now);
    }
    return refusal(draw, reason, retryAfter);
}

DrawAnswer grant(Scheduler &scheduler, const Draw &draw, const ServerId &server, const Asker &asker, TimePoint now)
{
    startDraw(scheduler.m_book, scheduler.m_settings.m_pick, draw, server, asker, now);
    scheduler.m_granted[{asker.m_host, draw.m_number}] = {server, draw.m_service, now, draw.m_fingerprint};
    return {draw.m_number, server, {}, {}, {}};
}

Duration usualTimeOf(const Scheduler &scheduler, const ServiceId &service)
{
    const auto found = scheduler.m_book.m_services.find(service);
    return found == scheduler.m_book.m_services.end() ? Duration(0) : found->second.m_usualTime;
}

QueuedDraw queuedDraw(const Draw &draw, const Asker &asker, double turn, TimePoint now)
{
    return {draw, asker, now, now + draw.m_timeLeft, now + draw.m_objectiveLeft, turn};
}

DrawId idOf(const QueuedDraw &entry)
{
    return {entry.m_asker.m_host, entry.m_draw.m_number};
}

std::optional<Duration> barredFor(const Scheduler &scheduler, const Draw &draw, TimePoint now)
{
    const auto left = Dispatch::quarantineLeft(scheduler.m_suspects, scheduler.m_settings.m_suspects, draw.m_fingerprint, now);
    const auto barred = scheduler.m_barred.find(draw.m_fingerprint);
    if (left || barred == scheduler.m_barred.end() || barred->second <= now) {
        return left;
    }
    return barred->second - now;
}

bool awaitsReports(const Scheduler &scheduler, const Draw &draw, TimePoint now)
{
    return Dispatch::awaitsReports(scheduler.m_suspects, scheduler.m_settings.m_suspects, draw.m_fingerprint, now);
}

std::optional<DrawAnswer> place(Scheduler &scheduler, const Draw &draw, const Asker &asker, RandomGenerator &random, TimePoint now)
{
    if (auto refused = takeBudget(scheduler, draw, now)) {
        return refused;
    }
    const DrawQueue &queue = scheduler.m_queues[draw.m_service];
    const bool othersGoFirst = !queue.m_draws.empty() && queue.m_draws.front().m_draw.m_priority <= draw.m_priority;
    if (!othersGoFirst && !awaitsReports(scheduler, draw, now)) {
        const auto server = pickServer(scheduler.m_book, scheduler.m_settings.m_pick, draw, asker, random, now);
        if (server) {
            return grant(scheduler, draw, *server, asker, now);
        }
        if (server.error() == PickFailure::NoServer) {
            return refuse(scheduler, draw, RefusalReason::NoServer, std::chrono::milliseconds(500), now);
        }
    }
    return enqueue(scheduler, draw, asker, now);
}

}
