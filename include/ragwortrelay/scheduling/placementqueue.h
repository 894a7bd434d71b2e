#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/scheduling/placementrequest.h>
#include <ragwortrelay/scheduling/serverregistry.h>

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace RagwortRelay::Scheduling {

/// Placement that waits for a token or a slot.
struct QueuedPlacement {
    PlacementRequest m_placement;
    Requester m_requester;
    TimePoint m_arrivedAt;
    TimePoint m_deadline; ///< Deadline of the request. An attempt that would end later is refused.
    TimePoint m_objectiveDeadline;
    double m_startTag = 0.0; ///< Virtual time at which fair queueing starts the placement.
};

/// What the selection of a server distinguishes among the placements of a service. If no server is found for one of a class, none is found for the others.
struct PlacementClass {
    FailureDomainId m_domain; ///< Failure domain of the requester.
    bool m_mayTry = false; ///< First attempt of an idempotent request, which may be sent to a suspected server as a trial.
    int m_sizeClass = 0; ///< Binary logarithm of the size in KiB where a price depends on it; otherwise 0.
    std::vector<ServerId> m_excluded;

    friend auto operator<=>(const PlacementClass &, const PlacementClass &) = default;
    friend bool operator==(const PlacementClass &, const PlacementClass &) = default;
};

/// Returns the class of a placement. Thread-safe.
/// @param hasPrice whether a price decides about requests to other failure domains
PlacementClass classOf(const PlacementRequest &placement, const Requester &requester, bool hasPrice);

/// Placements queued for one service. Workspaces of the same priority share the slots by weight (start-time fair queueing).
/// Source: P. Goyal, H. Vin, H. Cheng, Start-time fair queueing, IEEE/ACM Transactions on Networking 5 (1997).
struct PlacementQueue {
    std::map<PlacementClass, std::deque<QueuedPlacement>> m_placements; ///< Queued placements by class, each sorted by priority and then by start tag.
    std::size_t m_size = 0; ///< Number of queued placements.
    TimePoint m_earliestDeadline = TimePoint::max(); ///< Lower bound of the deadlines of the queued placements.
    std::map<WorkspaceId, double> m_finishTags; ///< Lower bound on the start tag of each workspace's next placement.
    double m_virtualTime = 0.0; ///< Greatest start tag of the placements served so far.
    std::set<PlacementClass> m_blocked; ///< Classes for which no server was found; without effect on a full check.
    std::vector<ServerId> m_freed; ///< Servers that had no free slot and have got one since; they may serve blocked classes.
    TimePoint m_nextFullCheckAt{}; ///< Time of the next check of all classes with all servers.
    TimePoint m_nextCheckAt{}; ///< Time of the next check; nothing that the queue waits for happens earlier.
};

/// Adds a placement. Not thread-safe on one queue, like all functions that change it. Logarithmic in the classes, linear in the placements of its class.
void insert(PlacementQueue &queue, const QueuedPlacement &entry, bool hasPrice);

/// Returns the number of queued placements that precede another one. Linear in the classes, logarithmic in their placements.
std::size_t countAhead(const PlacementQueue &queue, const QueuedPlacement &entry);

/// Tells whether placements of the same or a higher priority wait. Linear in the classes.
/// @param domain failure domain of the requesters that count; all if empty
bool hasPredecessors(const PlacementQueue &queue, std::uint32_t priority, const std::optional<FailureDomainId> &domain);

/// Position of a queued placement. Valid until the queue changes.
struct QueuePosition {
    std::map<PlacementClass, std::deque<QueuedPlacement>>::iterator m_class;
    std::deque<QueuedPlacement>::iterator m_entry;
};

/// Returns the placement to serve next: of the highest priority present, the first that can still meet its latency objective, or else the
/// first in the queue; nothing if all classes are blocked. Linear in the classes, and in the placements that will miss their objective.
/// @param held placements that have to wait for another reason than a slot
std::optional<QueuePosition> nextPlacement(PlacementQueue &queue, const std::set<PlacementId> &held, Duration usualTime, TimePoint now);

/// Removes a placement.
void erase(PlacementQueue &queue, const QueuePosition &position);

/// Removes and returns the placements that a predicate selects. Linear in the queued placements.
template<typename Predicate> std::vector<QueuedPlacement> extractIf(PlacementQueue &queue, Predicate isSelected)
{
    std::vector<QueuedPlacement> extracted;
    TimePoint earliestDeadline = TimePoint::max();
    for (auto &[placementClass, placements] : queue.m_placements) {
        std::erase_if(placements, [&](QueuedPlacement &entry) {
            if (!isSelected(entry)) {
                earliestDeadline = std::min(earliestDeadline, entry.m_deadline);
                return false;
            }
            extracted.push_back(std::move(entry));
            return true;
        });
    }
    std::erase_if(queue.m_placements, [](const auto &entry) { return entry.second.empty(); });
    queue.m_size -= extracted.size();
    queue.m_earliestDeadline = earliestDeadline;
    return extracted;
}

/// Records that a server has a free slot after it had none. The next check tries it with the blocked classes.
/// @param domain failure domain of the server if a price keeps requests of others away from it; the classes of others stay blocked
void noteFreedSlot(PlacementQueue &queue, const ServerId &server, const std::optional<FailureDomainId> &domain, TimePoint now);

/// Returns the id of a queued placement. Thread-safe.
PlacementId idOf(const QueuedPlacement &entry);

}
