#pragma once

#include <ragwortrelay/scheduling/scheduler.h>

/// Internal steps of placement in the scheduler. Functions that change a scheduler are not thread-safe on the same one.
namespace RagwortRelay::Scheduling::detail {

/// Longest retry delay that a refusal for lack of a token or a slot suggests to a caller.
inline constexpr Duration MaxRetryAfter = std::chrono::seconds(1);

/// Returns a refusal of a placement. Thread-safe.
PlacementReply refusal(const PlacementRequest &placement, RefusalReason reason, Duration retryAfter);

/// Refuses a placement that no server can take, and records its request as failed. A refused hedge is not recorded, as its request already runs.
PlacementReply refuse(Scheduler &scheduler, const PlacementRequest &placement, RefusalReason reason, Duration retryAfter, TimePoint now);

/// Refuses a placement whose service has no usable server left because failure domains are evacuated. Its request isn't recorded as failed, as that tells
/// nothing about the servers. Thread-safe.
PlacementReply refuseEvacuated(const PlacementRequest &placement);

/// Grants a server to a placement and records the start of its attempt.
PlacementReply grant(Scheduler &scheduler, const PlacementRequest &placement, const ServerId &server, const Requester &requester, TimePoint now);

/// Returns the queue entry of a placement that has to wait. Thread-safe.
QueuedPlacement makeQueuedPlacement(const PlacementRequest &placement, const Requester &requester, double startTag, TimePoint now);

/// Returns the request of a placement that has waited, with its remaining times updated. Thread-safe.
PlacementRequest withRemainingTime(const QueuedPlacement &entry, TimePoint now);

/// Returns how much longer a request is quarantined for crashing servers; nothing if it isn't.
std::optional<Duration> quarantineRemaining(const Scheduler &scheduler, const PlacementRequest &placement, TimePoint now);

/// Tells whether a request has to wait for reports of the other requests that were running when it may have crashed a server.
bool awaitsReports(const Scheduler &scheduler, const PlacementRequest &placement, TimePoint now);

/// Estimates how long a placement waits behind those that precede it, from the usual latency and the slots of the service. Thread-safe.
Duration expectedWait(const Scheduler &scheduler, const PlacementQueue &queue, const QueuedPlacement &entry, TimePoint now);

/// Queues a placement for a slot, or refuses it if the queue is full or the wait would be too long. Hedges are refused.
/// @return the refusal, or nothing if the placement was queued
std::optional<PlacementReply> enqueue(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now);

/// Grants free slots to the placements of a queue, and refuses those that can no longer be answered in time.
void serveQueue(
    Scheduler &scheduler, const ServiceId &service, PlacementQueue &queue, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses);

/// Places an attempt that has passed the limit of its workspace: grants, refuses or queues it.
/// @return the reply, or nothing if the placement was queued
std::optional<PlacementReply>
placeOrEnqueue(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, RandomGenerator &random, TimePoint now);

/// Outcome of applying the limit of a workspace to a placement.
enum class LimitOutcome : std::uint8_t {
    Passed,
    Waits,
    Refused,
};

/// Takes a token of the workspace's limit, or lets the placement wait if one becomes available soon.
LimitOutcome takeWorkspaceToken(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now);

/// Refuses a placement whose workspace gets no token in time. Precondition: the workspace has a limit.
PlacementReply refuseOverLimit(Scheduler &scheduler, const PlacementRequest &placement, TimePoint now);

/// Places the waiting placements for which a token is available. Those that can no longer be answered in time are refused.
void serveTokens(Scheduler &scheduler, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses);

}
