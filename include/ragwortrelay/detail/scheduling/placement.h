#pragma once

#include <ragwortrelay/scheduling/scheduler.h>

/// Steps of a placement on its way to a server, for the scheduler's own files. Functions that change a scheduler are not thread-safe on one.
namespace RagwortRelay::Scheduling::detail {

/// What a caller is told at most to wait for a token or a slot.
inline constexpr Duration LongestRetryAfter = std::chrono::seconds(1);

/// Makes the answer to a placement that gets no server. Thread-safe.
PlacementReply refusal(const PlacementRequest &placement, RefusalReason reason, Duration retryAfter);

/// Refuses a placement for want of a server. Its request isn't served, but for a hedge, which runs already.
PlacementReply refuse(Scheduler &scheduler, const PlacementRequest &placement, RefusalReason reason, Duration retryAfter, TimePoint now);

/// Gives a placement its server.
PlacementReply grant(Scheduler &scheduler, const PlacementRequest &placement, const ServerId &server, const Requester &requester, TimePoint now);

/// Returns how long an answer of a service usually takes; zero for one that is unknown.
Duration usualTimeOf(const Scheduler &scheduler, const ServiceId &service);

/// Makes the entry of a placement that is going to wait. Thread-safe.
QueuedPlacement queuedPlacement(const PlacementRequest &placement, const Requester &requester, double turn, TimePoint now);

/// Returns the id of a placement that waits.
PlacementId idOf(const QueuedPlacement &entry);

/// Returns how much longer a request is refused since it has crashed servers.
std::optional<Duration> quarantineRemaining(const Scheduler &scheduler, const PlacementRequest &placement, TimePoint now);

/// Tells whether a request has to wait until it is known what else was present when it may have crashed a server.
bool awaitsReports(const Scheduler &scheduler, const PlacementRequest &placement, TimePoint now);

/// Queues a placement for a slot, or refuses it when it would wait for too long.
std::optional<PlacementReply> enqueue(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now);

/// Answers the placements of a queue for which there is a slot now, and refuses those that can't be answered in time any more.
void serveQueue(
    Scheduler &scheduler, const ServiceId &service, PlacementQueue &queue, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses);

/// Answers a placement that has its token, or queues it for a slot.
std::optional<PlacementReply>
place(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, RandomGenerator &random, TimePoint now);

/// What became of a placement at the limit of its workspace.
enum class LimitOutcome : std::uint8_t {
    Passed,
    Waits,
    Refused,
};

/// Takes a token of the workspace's limit, or lets the placement wait for one that will be there soon.
LimitOutcome takeLimit(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, TimePoint now);

/// Refuses a placement whose workspace has no token in time.
PlacementReply overLimit(Scheduler &scheduler, const PlacementRequest &placement, TimePoint now);

/// Goes on with the placements for which there is a token now. One that can't be answered in time any more is refused.
void serveTokens(Scheduler &scheduler, RandomGenerator &random, TimePoint now, std::vector<AddressedReply> &responses);

}
