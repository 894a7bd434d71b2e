#include <ragwortrelay/detail/scheduling/placement.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace RagwortRelay::Scheduling::detail {

namespace {

bool goesBefore(const QueuedPlacement &left, const QueuedPlacement &right)
{
    return std::tie(left.m_placement.m_priority, left.m_turn) < std::tie(right.m_placement.m_priority, right.m_turn);
}

/// Returns the turn of the next placement of a workspace.
double nextTurn(const PlacementQueue &queue, const WorkspaceId &workspace)
{
    const auto next = queue.m_nextTurns.find(workspace);
    return next == queue.m_nextTurns.end() ? queue.m_turn : std::max(queue.m_turn, next->second);
}

double weightOf(const Scheduler &scheduler, const WorkspaceId &workspace)
{
    const auto weight = scheduler.m_weights.find(workspace);
    return weight == scheduler.m_weights.end() ? 1.0 : weight->second;
}

/// Takes the turn of a placement that leaves its queue to be served.
void takeTurn(PlacementQueue &queue, const QueuedPlacement &entry)
{
    queue.m_turn = std::max(queue.m_turn, entry.m_turn);
    std::erase_if(queue.m_nextTurns, [&](const auto &next) { return next.second <= queue.m_turn; });
}

/// Returns how long a placement would wait behind those that go before it.
Duration expectedWait(const Scheduler &scheduler, const PlacementQueue &queue, const QueuedPlacement &entry, TimePoint now)
{
    const PlacementRequest &placement = entry.m_placement;
    const std::uint32_t slots = slotsOf(scheduler.m_registry, placement.m_service, now);
    if (slots == 0) {
        return Duration::max();
    }
    const auto ahead = std::ranges::count_if(queue.m_placements, [&](const QueuedPlacement &other) { return !goesBefore(entry, other); });
    return usualTimeOf(scheduler, placement.m_service) * (ahead + 1) / slots;
}

/// Refuses the placements that can't be answered in time any more.
void expire(Scheduler &scheduler, const ServiceId &service, PlacementQueue &queue, TimePoint now, std::vector<AddressedReply> &responses)
{
    const Duration usual = usualTimeOf(scheduler, service);
    std::erase_if(queue.m_placements, [&](const QueuedPlacement &entry) {
        const bool isLate = now + usual / 2 > entry.m_answerBy;
        if (isLate) {
            responses.push_back({entry.m_requester.m_host, refuse(scheduler, entry.m_placement, RefusalReason::Overload, usual, now)});
        }
        return isLate;
    });
}

/// Returns the placement that is served next: the most urgent, among equals the first that can still meet its objective.
/// @param isBlocked placements that found no server in this round
std::deque<QueuedPlacement>::iterator nextOf(PlacementQueue &queue, const std::set<PlacementId> &isBlocked, Duration usual, TimePoint now)
{
    auto best = queue.m_placements.end();
    for (auto entry = queue.m_placements.begin(); entry != queue.m_placements.end(); ++entry) {
        if (isBlocked.contains(idOf(*entry))) {
            continue;
        }
        const bool isUrgent = best == queue.m_placements.end() || entry->m_placement.m_priority < best->m_placement.m_priority;
        if (best != queue.m_placements.end() && entry->m_placement.m_priority > best->m_placement.m_priority) {
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

std::optional<PlacementReply> enqueue(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now)
{
    PlacementQueue &queue = scheduler.m_queues[placement.m_service];
    const QueuedPlacement entry = queuedPlacement(placement, requester, nextTurn(queue, placement.m_workspace), now);
    const Duration wait = expectedWait(scheduler, queue, entry, now);
    const bool isTooLate = wait > placement.m_timeLeft - usualTimeOf(scheduler, placement.m_service) / 2;
    if (queue.m_placements.size() >= scheduler.m_settings.m_maxQueueLength || isTooLate || placement.m_purpose == AttemptKind::Hedge) {
        return refuse(scheduler, placement, RefusalReason::Overload, std::min(wait, LongestRetryAfter), now);
    }
    queue.m_nextTurns[placement.m_workspace] = entry.m_turn + 1.0 / weightOf(scheduler, placement.m_workspace);
    queue.m_placements.insert(std::upper_bound(queue.m_placements.begin(), queue.m_placements.end(), entry, goesBefore), entry);
    return std::nullopt;
}

void serveQueue(
    Scheduler &scheduler, const ServiceId &service, PlacementQueue &queue, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses)
{
    constexpr std::size_t MostBlocked = 8; // Looked at past the first one that finds no server.
    expire(scheduler, service, queue, now, responses);
    if (!hasFreeSlot(scheduler.m_registry, service, now)) {
        return;
    }
    const Duration usual = usualTimeOf(scheduler, service);
    std::set<PlacementId> blocked;
    while (blocked.size() < MostBlocked) {
        const auto entry = nextOf(queue, blocked, usual, now);
        if (entry == queue.m_placements.end()) {
            return;
        }
        if (const auto quarantined = quarantineRemaining(scheduler, entry->m_placement, now)) {
            responses.push_back({entry->m_requester.m_host, refusal(entry->m_placement, RefusalReason::Quarantined, *quarantined)});
            queue.m_placements.erase(entry);
            continue;
        }
        if (awaitsReports(scheduler, entry->m_placement, now)) {
            blocked.insert(idOf(*entry));
            continue;
        }
        const auto server = selectServer(scheduler.m_registry, scheduler.m_settings.m_selection, entry->m_placement, entry->m_requester, random, now);
        if (server) {
            responses.push_back({entry->m_requester.m_host, grant(scheduler, entry->m_placement, *server, entry->m_requester, now)});
            takeTurn(queue, *entry);
            queue.m_placements.erase(entry);
        } else if (server.error() == SelectionFailure::NoServer) {
            responses.push_back({entry->m_requester.m_host, refuse(scheduler, entry->m_placement, RefusalReason::NoServer, usual, now)});
            queue.m_placements.erase(entry);
        } else {
            blocked.insert(idOf(*entry));
        }
    }
}

}
