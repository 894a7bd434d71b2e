#pragma once

#include <ragwortrelay/host/state.h>

#include <string_view>

namespace RagwortRelay::Host::detail {

// Requests

void onRequestArrived(State &state, const RequestArrived &request, TimePoint now, Actions &actions);
void onRequestReadFailed(State &state, const RequestReadFailed &failure, TimePoint now, Actions &actions);
void onCallerDisconnected(State &state, const CallerDisconnected &disconnected, TimePoint now, Actions &actions);

/// Creates the exchange of a request that has a route, for a caller who isn't known yet. Draws no random number.
/// @return the exchange, or the problem if the request is refused
tl::expected<Exchange, Dispatch::Problem> findRouteOf(const State &state, const RequestArrived &request, TimePoint now);

/// Sets the workspace and the key of a request, unless its route allows anonymous callers.
/// @return the problem if the request is refused, else nothing
std::optional<Dispatch::Problem> authenticate(const State &state, Exchange &exchange, const std::optional<Workspaces::PresentedKey> &key, TimePoint now);

/// Answers the caller with a refusal and forgets the request. A request that may have run is never reported as not run.
void refuse(State &state, ExchangeId id, const Dispatch::Problem &problem, TimePoint now, Actions &actions);

/// Adds to a log line about a request the host and the placement that denied it a server.
Reporting::LogLine withDenied(Reporting::LogLine line, const std::optional<DeniedPlacement> &denied);

/// Forgets a request and cancels its running attempts.
void endExchange(State &state, ExchangeId id, TimePoint now, Actions &actions);

/// Handles the deadline of a request.
void onDeadline(State &state, ExchangeId id, TimePoint now, Actions &actions);

/// Starts the hedged attempt of a request.
void onHedgeDue(State &state, ExchangeId id, TimePoint now, Actions &actions);

// Attempts

void onAttemptResponded(State &state, const AttemptResponded &response, TimePoint now, Actions &actions);
void onAttemptFailed(State &state, const AttemptFailed &failure, TimePoint now, Actions &actions);
void onAttemptEnded(State &state, const AttemptEnded &ended, TimePoint now, Actions &actions);
/// Logs and counts a response that belonged to an earlier request.
void onResponseSkipped(State &state, const ResponseSkipped &skipped, Actions &actions);
/// Lets an attempt run on although nobody waits for its response.
/// Its request may run only once, and the end of the attempt shows the health of the server. The time is limited, so that a server that
/// doesn't respond doesn't hold a slot forever.
/// @param deadline deadline of the request
void leaveRunning(State &state, AttemptId id, TimePoint deadline, TimePoint now, Actions &actions);

/// Cancels an attempt that was left running if it hasn't ended yet.
void onLeftRunning(State &state, AttemptId id, TimePoint now, Actions &actions);

/// Result of an attempt.
struct AttemptOutcome {
    Scheduling::AttemptEnd m_end{};
    bool m_mayHaveCrashed = false; ///< The server may have ended while it executed the request.
    std::optional<Http::LoadReport> m_load; ///< Load that the server reported.
};

/// Reports the end of an attempt to the scheduler and forgets the attempt. Returns the attempt, or nothing when it is unknown.
std::optional<Attempt> finishAttempt(State &state, AttemptId id, const AttemptOutcome &outcome, TimePoint now);

/// Records that the server of an attempt may have ended, if the attempt still has no response.
void onSilenceDue(State &state, AttemptId id, TimePoint now);

/// Returns the time without a response after which a server may have ended.
Duration silenceTimeout(const State &state, const ServerId &id);

/// Schedules a hedge, a second attempt, for an idempotent request in case that the first attempt is slow.
void scheduleHedge(State &state, ExchangeId id, Exchange &exchange, TimePoint now);

/// Returns whether another attempt of a request may be started.
bool canRetry(const Exchange &exchange, const HostSettings &settings, TimePoint now);

/// Logs the end of an attempt.
void logAttemptEnd(const State &state, const Attempt &attempt, Scheduling::AttemptEnd end, TimePoint now, Actions &actions);

/// Returns whether an attempt has been without a response for much longer than is usual for the service.
bool isSilent(const State &state, const Attempt &attempt, TimePoint now);

/// Processes the reply to a placement request.
/// @param leader host that replied; empty when this host decided by itself
void onPlacementReply(State &state, const HostId &leader, const Scheduling::PlacementReply &reply, TimePoint now, Actions &actions);

/// A request that this host refuses without asking the leader, since the leader has refused others of its workspace.
struct ThrottledRequest {
    DeniedPlacement m_denied; ///< Last placement of the workspace that the leader denied.
    Duration m_retryAfter{};
};

/// Refuses a throttled request.
void refuseThrottled(State &state, ExchangeId id, const ThrottledRequest &throttled, TimePoint now, Actions &actions);

// Throttling

/// Decides whether a request is refused without asking the leader, and counts it if so.
std::optional<ThrottledRequest> throttle(State &state, const WorkspaceId &workspace, Scheduling::AttemptKind purpose, TimePoint now, Actions &actions);

/// Counts whether a leader has found a request within the limit of its workspace.
/// @param leader host that replied; empty when this host decided by itself, which isn't counted
void recordLimitOutcome(
    State &state, const WorkspaceId &workspace, Scheduling::AttemptKind purpose, const HostId &leader, const Scheduling::PlacementReply &reply, TimePoint now);

/// Remembers a placement that this host decides by itself, since the leader hasn't replied in time.
void recordOverdue(State &state, const Scheduling::PlacementRequest &placement, TimePoint now);

/// Counts the reply to a placement that this host has decided by itself in the meantime. A leader that is behind refuses late, and the hosts have to learn of
/// it.
void recordLateReply(State &state, const HostId &leader, const Scheduling::PlacementReply &reply, TimePoint now);

// Announcements of servers

void onServerClosing(State &state, const ServerClosing &closing, TimePoint now);

/// Applies what a server says about itself in a response: that it is draining or leaving, or that it wants a pause.
void applyNotices(State &state, const Attempt &attempt, const Http::ResponseMetadata &metadata, TimePoint now, Actions &actions);

/// Records that a server has announced that it is leaving.
/// @param incarnation incarnation of its process; empty if it isn't known
/// @param from host to which the server has announced it
void recordLeaving(State &state, const ServerId &server, std::optional<std::uint64_t> incarnation, const HostId &from, TimePoint now, Actions &actions);

/// Tells whether an attempt may start on a server. The leader that granted the server may not know yet that it is draining or leaving, and doesn't know the
/// pauses of this host.
bool mayUseServer(const State &state, const ServerId &server, TimePoint now);

/// Returns the incarnation of a server if it has announced that it is leaving, for a report to the leader.
std::optional<std::uint64_t> leavingIncarnation(const State &state, const ServerId &server);

// Placements

/// Makes the placement request for the next attempt of a request.
/// @param number number of the placement
Scheduling::PlacementRequest
placementRequestFor(const State &state, const Exchange &exchange, std::uint64_t number, Scheduling::AttemptKind purpose, TimePoint now);

/// Requests a server for the next attempt of a request.
void requestPlacement(State &state, ExchangeId id, Scheduling::AttemptKind purpose, TimePoint now, Actions &actions);

/// Cancels a placement whose reply is no longer needed.
void cancelPlacement(State &state, std::uint64_t number);

/// Reports the end of an attempt to the host that granted its placement.
void reportAttemptEnd(State &state, const HostId &leader, const Scheduling::AttemptReport &report, TimePoint now);

/// Sends a placement request to the leader again, or decides without the leader.
void onPlacementDue(State &state, std::uint64_t number, TimePoint now, Actions &actions);

/// Replies to placement requests that wait in the queues of this host.
void serveQueues(State &state, TimePoint now, Actions &actions);

/// Returns whether another host decides on the placements of this host.
bool hasLeader(const State &state);

/// Returns whether the next placement request is sent to the leader. A leader that left several without a reply isn't asked for a while.
bool asksLeader(const State &state, TimePoint now);

// Messages from hosts that request placements

void onPlacementRequest(State &state, const HostId &from, const Scheduling::PlacementRequest &placement, TimePoint now, Actions &actions);
void onAttemptReport(State &state, const HostId &from, const Scheduling::AttemptReport &report, TimePoint now);
void onPlacementCancelled(State &state, const HostId &from, const Fleet::PlacementCancelled &cancelled, TimePoint now);

// Messages from the leader

void onPlacementQueued(State &state, const HostId &from, const Fleet::PlacementQueued &queued, TimePoint now);

/// Updates the reply time of the leader by its first message about a placement.
void recordLeaderReply(State &state, const PendingPlacement &pending, TimePoint now);

// Claims

/// Claims the idempotency key of a request that has one and may run only once. Returns whether the request has to wait for the claim.
bool claimKey(State &state, ExchangeId id, TimePoint now, Actions &actions);

/// Settles the claim of a request if there is one.
void completeClaim(State &state, ExchangeId id, const Exchange &exchange, const Dispatch::ClaimResult &result, TimePoint now, Actions &actions);

/// Settles a held claim whose request has already been forgotten.
void settleHeldClaim(State &state, Dispatch::ClaimantId claimant, const Dispatch::ClaimResult &result, TimePoint now, Actions &actions);
void onClaimCallCompleted(State &state, Dispatch::ClaimCallId call, const Store::Result &result, TimePoint now, Actions &actions);
void tickClaims(State &state, TimePoint now, Actions &actions);

/// Continues the requests whose claims have been decided.
void performClaimDecisions(State &state, TimePoint now, Actions &actions);

/// Returns the latest time at which tickClaims() has to be called.
TimePoint nextClaimsAt(const State &state);

// Operators

void onOperatorCommand(State &state, const OperatorCommandReceived &received, TimePoint now, Actions &actions);

/// Explains where a request would go now, by this host's view. Changes nothing and draws no random number from the state.
/// @param call identifies the command; it seeds the choice among servers of about the same cost and the sample of a large service
Operators::Reply explainRequest(const State &state, Operators::CommandId call, const Operators::ExplainRequest &request, TimePoint now);
void onEditCompleted(State &state, Operators::CommandId call, const Store::Result &result, TimePoint now, Actions &actions);

/// Retries unanswered edits and gives up those that have reached HostSettings::m_editLimit.
void tickEdits(State &state, TimePoint now, Actions &actions);

/// Returns the latest time at which tickEdits() has to be called.
TimePoint nextEditsAt(const State &state);

// Service levels

/// Records the status and the latency of a response to a caller.
void recordResponse(State &state, const ServiceId &service, std::uint16_t status, Duration latency);

/// Stores the record of the present hour if the last write was long enough ago.
void storeLevels(State &state, TimePoint now, Actions &actions);
void onLevelsStored(State &state, const Store::Result &result);

/// Starts to read the records of all hosts for the burn report of an operator.
void startBurnReport(State &state, Operators::CommandId call, Actions &actions);
void onLevelsRead(State &state, Operators::CommandId call, const Store::Result &result, Actions &actions);

// Log of the state

/// Logs the servers that this host has begun or ceased to avoid and the requests that it has begun to refuse, while it decides by itself.
void logStateChanges(State &state, TimePoint now, Actions &actions);

// Fleet

void onPeerDatagram(State &state, const PeerDatagramReceived &received, TimePoint now, Actions &actions);

/// Performs the periodic work of the fleet: heartbeats, store readers and shares of limits.
void tickFleet(State &state, TimePoint now, Actions &actions);

/// Sends a heartbeat to the leader, a follower or another host.
void sendHeartbeat(State &state, const Fleet::HeartbeatRequest &request, TimePoint now);

/// Makes the reports that a leader sends to all its followers with their heartbeats. Linear in the servers, and in the product of the requests that may be
/// quarantined and those that were present at crashes.
void makeFollowerReports(State &state, TimePoint now);

/// Sends the leader a heartbeat at once when this host has a fresher confirmation or can't read the store any more.
void sendConfirmation(State &state, bool hasJustFailed, TimePoint now);

/// Updates the state of a store reader from its heartbeat.
void updateStoreReader(State &state, const HostId &from, const Fleet::Heartbeat &heartbeat, TimePoint now);

/// Appoints store readers while this host leads and can't read the store, and replaces those that can't read it either.
void manageStoreReaders(State &state, TimePoint now, Actions &actions);

/// Returns the latest time at which manageStoreReaders() has to be called.
TimePoint nextStoreReadersAt(const State &state);

/// Returns whether this host is in touch with most of the registered hosts and knows all changes that they know.
/// No edit of the operators' table is acknowledged without such a quorum, so that these hosts can go on serving without the store.
bool hasQuorum(const State &state, TimePoint now);

/// Sends heartbeats to the seeds while this host knows no other hosts.
void contactSeeds(State &state, TimePoint now, Actions &actions);

/// Returns the latest time at which contactSeeds() has to be called.
TimePoint nextSeedsAt(const State &state);

/// Sends the changes of a table to the followers that lack them, or to the leader.
void propagateChanges(State &state, Fleet::TableKind kind, TimePoint now);

/// Compares the table positions of both hosts and sends the other one the changes that it lacks.
void compareTables(State &state, const HostId &from, const Fleet::Heartbeat &heartbeat, TimePoint now, Actions &actions);

/// Stores the table positions that a follower reports. What follows from the positions of all is only updated if they have changed.
void recordFollowerTables(State &state, const HostId &from, const Fleet::Heartbeat &heartbeat);

/// Queues a message for another host; it is sent at the end of handle().
void sendTo(State &state, const HostId &host, Fleet::Message message);

/// Returns the identity of this host for schedulers.
Scheduling::Requester ownRequester(const State &state);

// Crashes of servers

/// Logs the crashes that this host has recorded since the last call, and reports them to the leader or, as the leader, to its successors.
void propagateNewCrashes(State &state, TimePoint now, Actions &actions);

/// Sends another host the crashes that it has to know: all to a new leader, recent ones to any leader, those of the fleet to a successor.
void sendKnownCrashes(State &state, const HostId &host, TimePoint now);

/// Records that a heartbeat came from the leader, and hands the known crashes over to a new process that leads.
void onLeaderHeard(State &state, Fleet::Incarnation incarnation, TimePoint now);

/// Records the crashes that the previous leader has reported. Precondition: this host has become the leader.
void adoptReplicatedCrashes(State &state);
void onCrashReports(State &state, const HostId &from, const Fleet::CrashReports &message, TimePoint now);

// Tables of the store

void onStoreResponded(State &state, const StoreResponded &response, TimePoint now, Actions &actions);

/// Starts the due calls that watch tables in the store.
void callStore(State &state, TimePoint now, Actions &actions);

/// Applies the changes of a table.
void onTableChanged(State &state, Fleet::TableKind kind, TimePoint now, Actions &actions);

/// Returns the table of a kind.
ReplicatedTable &tableOf(State &state, Fleet::TableKind kind);
const ReplicatedTable &tableOf(const State &state, Fleet::TableKind kind);

/// Returns the latest time at which callStore() has to be called.
TimePoint nextStoreCallAt(const State &state);

/// Returns the version of the configuration in force; 0 before the first configuration.
std::int64_t configurationVersion(const State &state);

/// Returns the maximum age of the configuration, which is the time since its last confirmation; nothing before the first configuration.
std::optional<Duration> configurationAge(const State &state, TimePoint now);

/// Returns whether the configuration is recent enough to reject a request whose key or route is unknown.
bool canRejectUnknown(const State &state, TimePoint now);

/// Returns whether the configuration is recent enough for requests of workspaces.
bool mayServeWorkspaces(const State &state, TimePoint now);

/// Starts a call to the store.
void startCall(State &state, const RunningCall &running, Store::Call call, Actions &actions);

// Eras of the store

/// Records an era of the store that a response or another host has shown. A later era than the known one means that the store was restored
/// from an older copy and that acknowledged writes may be lost.
void observeStoreEra(State &state, Store::Era era, TimePoint now, Actions &actions);

/// Returns whether a version is of the latest known era, so that it may stand in a precondition.
bool isOfStoreEra(const State &state, Store::Version version);

/// Logs the rows of the operators' table whose content differs from what this host has: edits that the store has lost.
/// Precondition: the rows are those of a later era, and the operators' table doesn't have them yet.
void reportLostRows(State &state, const ChangedRows &rows, Actions &actions);

/// Remembers which workspace keys are withdrawn, and removes from the rows those that only the restored store still has.
void dropWithdrawnKeys(State &state, ChangedRows &rows, bool isEraChanged, Actions &actions);

/// Starts to write the claims again that this host remembers, as the store may have lost them.
void recoverClaims(State &state, Store::Era era, TimePoint now, Actions &actions);

// Host records

/// Registers this host if it isn't registered, and erases the records of hosts that are gone while this host leads.
void tickRegistration(State &state, TimePoint now, Actions &actions);
void onRegistrationCompleted(State &state, CallPurpose purpose, const Store::Result &result, TimePoint now, Actions &actions);

/// Applies the table of the hosts to the membership.
void applyMembership(State &state, TimePoint now, Actions &actions);

/// Adds a line to the log.
void log(Actions &actions, Reporting::LogLine line);

}
