#include <ragwortrelay/detail/scheduling/placement.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace RagwortRelay::Scheduling::detail {

namespace {

bool goesBefore(const QueuedDraw &left, const QueuedDraw &right)
{
    return std::tie(left.m_draw.m_priority, left.m_turn) < std::tie(right.m_draw.m_priority, right.m_turn);
}

/// Returns the turn of the next draw of a workspace.
double nextTurn(const DrawQueue &queue, const WorkspaceId &workspace)
{
    const auto next = queue.m_nextTurns.find(workspace);
    return next == queue.m_nextTurns.end() ? queue.m_turn : std::max(queue.m_turn, next->second);
}

double weightOf(const Scheduler &scheduler, const WorkspaceId &workspace)
{
    const auto weight = scheduler.m_weights.find(workspace);
    return weight == scheduler.m_weights.end() ? 1.0 : weight->second;
}

/// Takes the turn of a draw that leaves its queue to be served.
void takeTurn(DrawQueue &queue, const QueuedDraw &entry)
{
    queue.m_turn = std::max(queue.m_turn, entry.m_turn);
    std::erase_if(queue.m_nextTurns, [&](const auto &next) { return next.second <= queue.m_turn; });
}

/// Returns how long a draw would wait behind those that go before it.
Duration expectedWait(const Scheduler &scheduler, const DrawQueue &queue, const QueuedDraw &entry, TimePoint now)
{
    const Draw &draw = entry.m_draw;
    const std::uint32_t slots = slotsOf(scheduler.m_book, draw.m_service, now);
    if (slots == 0) {
        return Duration::max();
    }
    const auto ahead = std::ranges::count_if(queue.m_draws, [&](const QueuedDraw &other) { return !goesBefore(entry, other); });
    return usualTimeOf(scheduler, draw.m_service) * (ahead + 1) / slots;
}

/// Refuses the draws that can't be answered in time any more.
void expire(Scheduler &scheduler, const ServiceId &service, DrawQueue &queue, TimePoint now, std::vector<Answered> &answers)
{
    const Duration usual = usualTimeOf(scheduler, service);
    std::erase_if(queue.m_draws, [&](const QueuedDraw &entry) {
        const bool isLate = now + usual / 2 > entry.m_answerBy;
        if (isLate) {
            answers.push_back({entry.m_asker.m_host, refuse(scheduler, entry.m_draw, RefusalReason::Overload, usual, now)});
        }
        return isLate;
    });
}

/// Returns the draw that is served next: the most urgent, among equals the first that can still meet its objective.
/// @param isBlocked draws that found no server in this round
std::deque<QueuedDraw>::iterator nextOf(DrawQueue &queue, const std::set<DrawId> &isBlocked, Duration usual, TimePoint now)
{
    auto best = queue.m_draws.end();
    for (auto entry = queue.m_draws.begin(); entry != queue.m_draws.end(); ++entry) {
        if (isBlocked.contains(idOf(*entry))) {
            continue;
        }
        const bool isUrgent = best == queue.m_draws.end() || entry->m_draw.m_priority < best->m_draw.m_priority;
        if (best != queue.m_draws.end() && entry->m_draw.m_priority > best->m_draw.m_priority) {
            break;
        }
        const bool meetsObjective = now + usual <= entry->m_objectiveAt;
        if (meetsObjective) {
            return entry;
        }
        if (isUrgent) {
            best = entry;
        }
    }
    return best;
}

}

std::optional<DrawAnswer> enqueue(Scheduler &scheduler, const Draw &draw, const Asker &asker, TimePoint now)
{
    DrawQueue &queue = scheduler.m_queues[draw.m_service];
    const QueuedDraw entry = queuedDraw(draw, asker, nextTurn(queue, draw.m_workspace), now);
    const Duration wait = expectedWait(scheduler, queue, entry, now);
    const bool isTooLate = wait > draw.m_timeLeft - usualTimeOf(scheduler, draw.m_service) / 2;
    if (queue.m_draws.size() >= scheduler.m_settings.m_queueAtMost || isTooLate || draw.m_purpose == DrawPurpose::Hedge) {
        return refuse(scheduler, draw, RefusalReason::Overload, std::min(wait, LongestRetryAfter), now);
    }
    queue.m_nextTurns[draw.m_workspace] = entry.m_turn + 1.0 / weightOf(scheduler, draw.m_workspace);
    queue.m_draws.insert(std::upper_bound(queue.m_draws.begin(), queue.m_draws.end(), entry, goesBefore), entry);
    return std::nullopt;
}

void serveQueue(Scheduler &scheduler, const ServiceId &service, DrawQueue &queue, RandomGenerator &random, TimePoint now, std::vector<Answered> &answers)
{
    constexpr std::size_t MostBlocked = 8; // Looked at past the first one that finds no server.
    expire(scheduler, service, queue, now, answers);
    if (!hasFreeSlot(scheduler.m_book, service, now)) {
        return;
    }
    const Duration usual = usualTimeOf(scheduler, service);
    std::set<DrawId> blocked;
    while (blocked.size() < MostBlocked) {
        const auto entry = nextOf(queue, blocked, usual, now);
        if (entry == queue.m_draws.end()) {
            return;
        }
        if (const auto barred = barredFor(scheduler, entry->m_draw, now)) {
            answers.push_back({entry->m_asker.m_host, refusal(entry->m_draw, RefusalReason::Quarantined, *barred)});
            queue.m_draws.erase(entry);
            continue;
        }
        if (awaitsReports(scheduler, entry->m_draw, now)) {
            blocked.insert(idOf(*entry));
            continue;
        }
        const auto server = pickServer(scheduler.m_book, scheduler.m_settings.m_pick, entry->m_draw, entry->m_asker, random, now);
        if (server) {
            answers.push_back({entry->m_asker.m_host, grant(scheduler, entry->m_draw, *server, entry->m_asker, now)});
            takeTurn(queue, *entry);
            queue.m_draws.erase(entry);
        } else if (server.error() == PickFailure::NoServer) {
            answers.push_back({entry->m_asker.m_host, refuse(scheduler, entry->m_draw, RefusalReason::NoServer, usual, now)});
            queue.m_draws.erase(entry);
        } else {
            blocked.insert(idOf(*entry));
        }
    }
}

}
