#include <ragwortrelay/detail/scheduling/placement.h>
#include <ragwortrelay/detail/scheduling/servers.h>

#include <algorithm>
#include <set>
#include <utility>

namespace RagwortRelay::Scheduling::detail {

namespace {

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

}

Duration expectedWait(const Scheduler &scheduler, const PlacementQueue &queue, const QueuedPlacement &entry, TimePoint now)
{
    const PlacementRequest &placement = entry.m_placement;
    const std::uint32_t slots = slotsOf(scheduler.m_registry, placement.m_service, now);
    if (slots == 0) {
        return Duration::max();
    }
    return usualTimeOf(scheduler, placement.m_service) * static_cast<std::int64_t>(countAhead(queue, entry) + 1) / slots;
}

namespace {

/// Refuses the placements that can no longer be answered in time.
void refuseExpired(Scheduler &scheduler, const ServiceId &service, PlacementQueue &queue, TimePoint now, std::vector<AddressedReply> &responses)
{
    const Duration usual = usualTimeOf(scheduler, service);
    const auto isLate = [&](const QueuedPlacement &entry) { return now + usual / 2 > entry.m_deadline; };
    if (now + usual / 2 <= queue.m_earliestDeadline) {
        return;
    }
    for (const QueuedPlacement &entry : extractIf(queue, isLate)) {
        scheduler.m_waiting.erase(idOf(entry));
        responses.push_back({entry.m_requester.m_host, refuse(scheduler, entry.m_placement, RefusalReason::Overload, usual, now)});
    }
}

/// Refuses all placements of a service whose servers are evacuated.
void refuseAllEvacuated(Scheduler &scheduler, PlacementQueue &queue, std::vector<AddressedReply> &responses)
{
    for (const QueuedPlacement &entry : extractIf(queue, [](const QueuedPlacement &) { return true; })) {
        scheduler.m_waiting.erase(idOf(entry));
        responses.push_back({entry.m_requester.m_host, refuseEvacuated(entry.m_placement)});
    }
}

/// Removes a placement that was served or refused.
void dequeue(Scheduler &scheduler, PlacementQueue &queue, const QueuePosition &position)
{
    scheduler.m_waiting.erase(idOf(*position.m_entry));
    erase(queue, position);
}

/// Tells whether one of the servers that were full still has the slot that it has got since.
bool hasFreedSlot(const Scheduler &scheduler, const PlacementQueue &queue, TimePoint now)
{
    return std::ranges::any_of(queue.m_freed, [&](const ServerId &id) {
        const auto server = scheduler.m_registry.m_servers.find(id);
        return server != scheduler.m_registry.m_servers.end() && isUsable(server->second, now) && hasFreeSlot(server->second, now);
    });
}

/// Result of serving the next placement of a queue.
enum class ServeOutcome : std::uint8_t {
    Served, ///< It was granted a server or refused.
    Blocked, ///< No server was found; its class is blocked.
    Held, ///< It waits for reports of other requests.
};

/// Serves one placement of a queue.
ServeOutcome serveOne(
    Scheduler &scheduler, PlacementQueue &queue, const QueuePosition &position, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses)
{
    const QueuedPlacement &entry = *position.m_entry;
    const HostId host = entry.m_requester.m_host;
    if (const auto quarantined = quarantineRemaining(scheduler, entry.m_placement, now)) {
        responses.push_back({host, refusal(entry.m_placement, RefusalReason::Quarantined, *quarantined)});
        dequeue(scheduler, queue, position);
        return ServeOutcome::Served;
    }
    if (awaitsReports(scheduler, entry.m_placement, now)) {
        return ServeOutcome::Held;
    }
    const PlacementRequest placement = withRemainingTime(entry, now);
    ++scheduler.m_selections;
    const auto server = selectServer(scheduler.m_registry, scheduler.m_settings.m_selection, placement, entry.m_requester, random, now, queue.m_freed);
    if (server) {
        responses.push_back({host, grant(scheduler, entry.m_placement, *server, entry.m_requester, now)});
        advanceVirtualTime(queue, entry);
        dequeue(scheduler, queue, position);
        return ServeOutcome::Served;
    }
    if (server.error() == SelectionFailure::NoServer) {
        const Duration usual = usualTimeOf(scheduler, placement.m_service);
        responses.push_back({host, refuse(scheduler, entry.m_placement, RefusalReason::NoServer, usual, now)});
        dequeue(scheduler, queue, position);
        return ServeOutcome::Served;
    }
    queue.m_blocked.insert(position.m_class->first);
    return ServeOutcome::Blocked;
}

}

std::optional<PlacementReply> enqueue(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now)
{
    PlacementQueue &queue = scheduler.m_queues[placement.m_service];
    const QueuedPlacement entry = makeQueuedPlacement(placement, requester, nextStartTag(queue, placement.m_workspace), now);
    const Duration wait = expectedWait(scheduler, queue, entry, now);
    const bool isTooLate = wait > placement.m_timeLeft - usualTimeOf(scheduler, placement.m_service) / 2;
    if (queue.m_size >= scheduler.m_settings.m_maxQueueLength || isTooLate || placement.m_purpose == AttemptKind::Hedge) {
        return refuse(scheduler, placement, RefusalReason::Overload, std::min(wait, MaxRetryAfter), now);
    }
    queue.m_finishTags[placement.m_workspace] = entry.m_startTag + 1.0 / weightOf(scheduler, placement.m_workspace);
    insert(queue, entry, isEnabled(scheduler.m_settings.m_selection.m_spillover));
    scheduler.m_waiting.insert(idOf(entry));
    return std::nullopt;
}

void serveQueue(
    Scheduler &scheduler, const ServiceId &service, PlacementQueue &queue, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses)
{
    constexpr Duration FullCheckInterval = std::chrono::milliseconds(20); // Servers become available without the end of an attempt, too.
    constexpr std::size_t MaxFailedSelections = 8; // Bounds the work of a round that finds no servers.
    const bool isFullCheck = now >= queue.m_nextFullCheckAt;
    if (isFullCheck) {
        queue.m_nextFullCheckAt = now + FullCheckInterval;
        queue.m_blocked.clear();
    }
    if (isServiceEvacuated(scheduler.m_registry, service, now)) {
        return refuseAllEvacuated(scheduler, queue, responses);
    }
    refuseExpired(scheduler, service, queue, now, responses);
    const Duration usual = usualTimeOf(scheduler, service);
    const bool checksAll = isFullCheck && hasFreeSlot(scheduler.m_registry, service, now);
    std::set<PlacementId> held;
    for (std::size_t failures = 0; failures < MaxFailedSelections && (checksAll || hasFreedSlot(scheduler, queue, now));) {
        const auto position = nextPlacement(queue, held, usual, now);
        if (!position) {
            break;
        }
        const PlacementId id = idOf(*position->m_entry);
        const ServeOutcome outcome = serveOne(scheduler, queue, *position, random, now, responses);
        if (outcome == ServeOutcome::Held) {
            held.insert(id);
        }
        failures += outcome == ServeOutcome::Served ? 0 : 1;
    }
    queue.m_freed.clear(); // Those that still have a slot help no class that could be tried.
}

}
