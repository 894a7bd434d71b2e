#include <ragwortrelay/detail/scheduling/servers.h>
#include <ragwortrelay/scheduling/placementqueue.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace RagwortRelay::Scheduling {

namespace {

bool precedes(const QueuedPlacement &left, const QueuedPlacement &right)
{
    return std::tie(left.m_placement.m_priority, left.m_startTag) < std::tie(right.m_placement.m_priority, right.m_startTag);
}

/// Placement of a class that is served next, with what decides between classes.
struct ClassCandidate {
    QueuePosition m_position;
    bool m_missesObjective = false;
};

bool isServedBefore(const ClassCandidate &left, const ClassCandidate &right)
{
    const QueuedPlacement &first = *left.m_position.m_entry;
    const QueuedPlacement &second = *right.m_position.m_entry;
    return std::tie(first.m_placement.m_priority, left.m_missesObjective, first.m_startTag)
        < std::tie(second.m_placement.m_priority, right.m_missesObjective, second.m_startTag);
}

/// Returns the placement of one class that is served next; nothing if all are held.
std::optional<ClassCandidate>
nextOfClass(std::map<PlacementClass, std::deque<QueuedPlacement>>::iterator placements, const std::set<PlacementId> &held, Duration usualTime, TimePoint now)
{
    std::optional<ClassCandidate> first;
    for (auto entry = placements->second.begin(); entry != placements->second.end(); ++entry) {
        if (!held.empty() && held.contains(idOf(*entry))) {
            continue;
        }
        if (first && entry->m_placement.m_priority > first->m_position.m_entry->m_placement.m_priority) {
            break;
        }
        if (now + usualTime <= entry->m_objectiveDeadline) {
            return ClassCandidate{{placements, entry}, false};
        }
        if (!first) {
            first = ClassCandidate{{placements, entry}, true};
        }
    }
    return first;
}

}

PlacementClass classOf(const PlacementRequest &placement, const Requester &requester, bool hasPrice)
{
    const bool mayTry = placement.m_idempotent && placement.m_purpose == AttemptKind::First;
    const int sizeClass = hasPrice ? std::ilogb(detail::kibOf(placement)) : 0;
    std::vector<ServerId> excluded = placement.m_excluded;
    std::ranges::sort(excluded);
    return {requester.m_domain, mayTry, sizeClass, std::move(excluded)};
}

void insert(PlacementQueue &queue, const QueuedPlacement &entry, bool hasPrice)
{
    std::deque<QueuedPlacement> &placements = queue.m_placements[classOf(entry.m_placement, entry.m_requester, hasPrice)];
    placements.insert(std::upper_bound(placements.begin(), placements.end(), entry, precedes), entry);
    queue.m_earliestDeadline = std::min(queue.m_earliestDeadline, entry.m_deadline);
    ++queue.m_size;
}

std::size_t countAhead(const PlacementQueue &queue, const QueuedPlacement &entry)
{
    std::size_t count = 0;
    for (const auto &[placementClass, placements] : queue.m_placements) {
        count += static_cast<std::size_t>(std::upper_bound(placements.begin(), placements.end(), entry, precedes) - placements.begin());
    }
    return count;
}

bool hasPredecessors(const PlacementQueue &queue, std::uint32_t priority, const std::optional<FailureDomainId> &domain)
{
    return std::ranges::any_of(queue.m_placements, [&](const auto &entry) {
        const bool counts = !domain || entry.first.m_domain == *domain;
        return counts && entry.second.front().m_placement.m_priority <= priority;
    });
}

std::optional<QueuePosition> nextPlacement(PlacementQueue &queue, const std::set<PlacementId> &held, Duration usualTime, TimePoint now)
{
    std::optional<ClassCandidate> best;
    for (auto placements = queue.m_placements.begin(); placements != queue.m_placements.end(); ++placements) {
        if (queue.m_blocked.contains(placements->first)) {
            continue;
        }
        const auto candidate = nextOfClass(placements, held, usualTime, now);
        if (candidate && (!best || isServedBefore(*candidate, *best))) {
            best = candidate;
        }
    }
    return best ? std::optional(best->m_position) : std::nullopt;
}

void erase(PlacementQueue &queue, const QueuePosition &position)
{
    position.m_class->second.erase(position.m_entry);
    if (position.m_class->second.empty()) {
        queue.m_placements.erase(position.m_class);
    }
    --queue.m_size;
}

void noteFreedSlot(PlacementQueue &queue, const ServerId &server, const std::optional<FailureDomainId> &domain, TimePoint now)
{
    constexpr std::size_t MaxFreed = 8; // A full check finds the others.
    if (queue.m_freed.size() < MaxFreed && std::ranges::find(queue.m_freed, server) == queue.m_freed.end()) {
        queue.m_freed.push_back(server);
    }
    std::erase_if(queue.m_blocked, [&](const PlacementClass &blocked) {
        return !domain || blocked.m_domain == *domain || blocked.m_domain.isEmpty(); // No price applies to a requester without a known failure domain.
    });
    queue.m_nextCheckAt = now;
}

PlacementId idOf(const QueuedPlacement &entry)
{
    return {entry.m_requester.m_host, entry.m_placement.m_number};
}

}
