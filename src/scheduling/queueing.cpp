#include <ragwortrelay/detail/scheduling/placement.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace RagwortRelay::Scheduling::detail {

namespace {

bool precedes(const QueuedPlacement &left, const QueuedPlacement &right)
{
    return std::tie(left.m_placement.m_priority, left.m_startTag) < std::tie(right.m_placement.m_priority, right.m_startTag);
}

/// Returns the start tag of a workspace's next placement: its last finish tag, but no less than the virtual time.
double nextStartTag(const PlacementQueue &queue, const WorkspaceId &workspace)
{
    const auto finishTag = queue.m_finishTags.find(workspace);
    return finishTag == queue.m_finishTags.end() ? queue.m_virtualTime : std::max(queue.m_virtualTime, finishTag->second);
}

double weightOf(const Scheduler &scheduler, const WorkspaceId &workspace)
{
    const auto weight = scheduler.m_weights.find(workspace);
    return weight == scheduler.m_weights.end() ? 1.0 : weight->second;
}

/// Advances the virtual time to the start tag of a placement that is served. Finish tags that are no longer later are removed.
void advanceVirtualTime(PlacementQueue &queue, const QueuedPlacement &entry)
{
    queue.m_virtualTime = std::max(queue.m_virtualTime, entry.m_startTag);
    std::erase_if(queue.m_finishTags, [&](const auto &finishTag) { return finishTag.second <= queue.m_virtualTime; });
}

/// Estimates how long a placement waits behind those that precede it, from the usual latency and the slots of the service.
Duration expectedWait(const Scheduler &scheduler, const PlacementQueue &queue, const QueuedPlacement &entry, TimePoint now)
{
    const PlacementRequest &placement = entry.m_placement;
    const std::uint32_t slots = slotsOf(scheduler.m_registry, placement.m_service, now);
    if (slots == 0) {
        return Duration::max();
    }
    const auto ahead = std::ranges::count_if(queue.m_placements, [&](const QueuedPlacement &other) { return !precedes(entry, other); });
    return usualTimeOf(scheduler, placement.m_service) * (ahead + 1) / slots;
}

/// Refuses the placements that can no longer be answered in time.
void refuseExpired(Scheduler &scheduler, const ServiceId &service, PlacementQueue &queue, TimePoint now, std::vector<AddressedReply> &responses)
{
    const Duration usual = usualTimeOf(scheduler, service);
    std::erase_if(queue.m_placements, [&](const QueuedPlacement &entry) {
        const bool isLate = now + usual / 2 > entry.m_deadline;
        if (isLate) {
            responses.push_back({entry.m_requester.m_host, refuse(scheduler, entry.m_placement, RefusalReason::Overload, usual, now)});
        }
        return isLate;
    });
}

/// Returns the placement to serve next: of the highest priority present, the first that can still meet its latency objective, or else the
/// first in the queue.
/// @param blocked placements that found no server in this round
std::deque<QueuedPlacement>::iterator nextPlacement(PlacementQueue &queue, const std::set<PlacementId> &blocked, Duration usual, TimePoint now)
{
    auto best = queue.m_placements.end();
    for (auto entry = queue.m_placements.begin(); entry != queue.m_placements.end(); ++entry) {
        if (blocked.contains(idOf(*entry))) {
            continue;
        }
        const bool isFirstOfPriority = best == queue.m_placements.end() || entry->m_placement.m_priority < best->m_placement.m_priority;
        if (best != queue.m_placements.end() && entry->m_placement.m_priority > best->m_placement.m_priority) {
            break;
        }
        const bool meetsObjective = now + usual <= entry->m_objectiveDeadline;
        if (meetsObjective) {
            return entry;
        }
        if (isFirstOfPriority) {
            best = entry;
        }
    }
    return best;
}

}

std::optional<PlacementReply> enqueue(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now)
{
    PlacementQueue &queue = scheduler.m_queues[placement.m_service];
    const QueuedPlacement entry = makeQueuedPlacement(placement, requester, nextStartTag(queue, placement.m_workspace), now);
    const Duration wait = expectedWait(scheduler, queue, entry, now);
    const bool isTooLate = wait > placement.m_timeLeft - usualTimeOf(scheduler, placement.m_service) / 2;
    if (queue.m_placements.size() >= scheduler.m_settings.m_maxQueueLength || isTooLate || placement.m_purpose == AttemptKind::Hedge) {
        return refuse(scheduler, placement, RefusalReason::Overload, std::min(wait, MaxRetryAfter), now);
    }
    queue.m_finishTags[placement.m_workspace] = entry.m_startTag + 1.0 / weightOf(scheduler, placement.m_workspace);
    queue.m_placements.insert(std::upper_bound(queue.m_placements.begin(), queue.m_placements.end(), entry, precedes), entry);
    return std::nullopt;
}

void serveQueue(
    Scheduler &scheduler, const ServiceId &service, PlacementQueue &queue, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses)
{
    constexpr std::size_t MaxBlocked = 8; // Bounds the placements tried in one round that find no server.
    constexpr std::size_t MaxBlockedWithPrice = 64; // Placements may wait for servers of their own failure domain, while those of others are free.
    const std::size_t maxBlocked = isEnabled(scheduler.m_settings.m_selection.m_spillover) ? MaxBlockedWithPrice : MaxBlocked;
    if (isServiceEvacuated(scheduler.m_registry, service, now)) {
        for (const QueuedPlacement &entry : std::exchange(queue.m_placements, {})) {
            responses.push_back({entry.m_requester.m_host, refuseEvacuated(entry.m_placement)});
        }
        return;
    }
    refuseExpired(scheduler, service, queue, now, responses);
    if (!hasFreeSlot(scheduler.m_registry, service, now)) {
        return;
    }
    const Duration usual = usualTimeOf(scheduler, service);
    std::set<PlacementId> blocked;
    while (blocked.size() < maxBlocked) {
        const auto entry = nextPlacement(queue, blocked, usual, now);
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
        const PlacementRequest placement = withRemainingTime(*entry, now);
        const auto server = selectServer(scheduler.m_registry, scheduler.m_settings.m_selection, placement, entry->m_requester, random, now);
        if (server) {
            responses.push_back({entry->m_requester.m_host, grant(scheduler, entry->m_placement, *server, entry->m_requester, now)});
            advanceVirtualTime(queue, *entry);
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
