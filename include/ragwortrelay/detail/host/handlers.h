#pragma once

#include <ragwortrelay/host/state.h>

#include <string_view>

namespace RagwortRelay::Host::detail {

// Requests

void onRequestArrived(State &state, const RequestArrived &request, TimePoint now, Actions &actions);
void onRequestReadFailed(State &state, const RequestReadFailed &unread, TimePoint now, Actions &actions);
void onCallerDisconnected(State &state, const CallerDisconnected &gone, TimePoint now, Actions &actions);

/// Answers the caller with a refusal, and forgets the request. A request that may have run is never told that it was not run.
void refuse(State &state, ExchangeId id, const Dispatch::Problem &problem, TimePoint now, Actions &actions);

/// Adds to a line about a request who denied it a server, and by which placement.
Reporting::LogLine withDenied(Reporting::LogLine line, const std::optional<DeniedPlacement> &denied);

/// Forgets a request; attempts of it that run are cancelled.
void endExchange(State &state, ExchangeId id, TimePoint now, Actions &actions);

/// Does what is due for a request by time.
void onDeadline(State &state, ExchangeId id, TimePoint now, Actions &actions);
void onHedgeDue(State &state, ExchangeId id, TimePoint now, Actions &actions);

// Attempts

void onAttemptResponded(State &state, const AttemptResponded &response, TimePoint now, Actions &actions);
void onAttemptFailed(State &state, const AttemptFailed &failure, TimePoint now, Actions &actions);
void onAttemptEnded(State &state, const AttemptEnded &ended, TimePoint now, Actions &actions);
void onServerClosing(State &state, const ServerClosing &closes, TimePoint now);

/// Lets an attempt run on though nobody waits for its answer: it may run only once, and its end tells about the server. A server that doesn't
/// answer mustn't hold its slot for ever, so there is a limit.
/// @param deadline of the request
void leaveRunning(State &state, AttemptId id, TimePoint deadline, TimePoint now, Actions &actions);

/// Gives up an attempt that was left running, if it still runs.
void onLeftRunning(State &state, AttemptId id, TimePoint now, Actions &actions);

/// Tells the scheduler that an attempt has ended and forgets it; returns it, or nothing when it is unknown.
std::optional<Attempt> finishAttempt(State &state, AttemptId id, Scheduling::AttemptEnd end, const std::optional<Http::LoadReport> &load, TimePoint now);

/// Takes in the answer to a placement.
/// @param leader that answered; empty when this host did by itself
void onPlacementReply(State &state, const HostId &leader, const Scheduling::PlacementReply &response, TimePoint now, Actions &actions);

/// Refuses a request of a workspace that is over its limit, as the leader has just said of another one.
void denyOverLimit(State &state, ExchangeId id, const ExhaustedLimit &spent, TimePoint now, Actions &actions);

// Placements

/// Asks for a server for the next attempt of a request.
void requestPlacement(State &state, ExchangeId id, Scheduling::AttemptKind purpose, TimePoint now, Actions &actions);

/// Forgets a placement whose answer is no longer wanted.
void cancelPlacement(State &state, std::uint64_t number);

/// Tells whoever granted a placement how its attempt has ended.
void reportDone(State &state, const HostId &leader, const Scheduling::AttemptReport &done, TimePoint now);

/// Asks the leader once more about a placement, or decides without it.
void onPlacementDue(State &state, std::uint64_t number, TimePoint now, Actions &actions);

/// Answers placements that wait in the queues of this host.
void serveQueues(State &state, TimePoint now, Actions &actions);

/// Tells whether another host decides for this one.
bool hasLeader(const State &state);

// As a leader, or as a host that is asked

void onPlacementRequest(State &state, const HostId &from, const Scheduling::PlacementRequest &placement, TimePoint now, Actions &actions);
void onAttemptReport(State &state, const HostId &from, const Scheduling::AttemptReport &done, TimePoint now);
void onPlacementCancelled(State &state, const HostId &from, const Fleet::PlacementCancelled &withdrawn, TimePoint now);

// From the leader

void onPlacementQueued(State &state, const HostId &from, const Fleet::PlacementQueued &queued);

// Claims

/// Claims the idempotency key of a request that has one and may run only once. Returns whether the request has to wait for it.
bool claimKey(State &state, ExchangeId id, TimePoint now, Actions &actions);

/// Settles the claim of a request, if it has one.
void completeClaim(State &state, ExchangeId id, const Exchange &exchange, const Dispatch::ClaimResult &result, TimePoint now, Actions &actions);

/// Settles a held claim whose request is forgotten already.
void settleHeld(State &state, Dispatch::ClaimantId claimant, const Dispatch::ClaimResult &result, TimePoint now, Actions &actions);
void onClaimCallCompleted(State &state, Dispatch::ClaimCallId call, const Store::Result &result, TimePoint now, Actions &actions);
void tickClaims(State &state, TimePoint now, Actions &actions);

/// Carries on with the requests whose claims were decided.
void performClaimDecisions(State &state, TimePoint now, Actions &actions);

/// Returns when tickClaims() has something to do at the latest.
TimePoint nextClaimsAt(const State &state);

// Operators

void onOperatorCommand(State &state, const OperatorCommandReceived &asked, TimePoint now, Actions &actions);
void onEditCompleted(State &state, Operators::CommandId call, const Store::Result &result, TimePoint now, Actions &actions);

/// Sends edits again that got no answer, and gives those up that were tried for long enough.
void tickEdits(State &state, TimePoint now, Actions &actions);

/// Returns when tickEdits() has something to do at the latest.
TimePoint nextEditsAt(const State &state);

// Service levels

/// Records how a request was answered.
void recordResponse(State &state, const ServiceId &service, std::uint16_t status, Duration latency);

/// Stores the record of the present hour when the last time is long enough ago.
void storeLevels(State &state, TimePoint now, Actions &actions);
void onLevelsStored(State &state, const Store::Result &result);

/// Starts to read the records of all hosts for an operator.
void startBurnReport(State &state, Operators::CommandId call, Actions &actions);
void onLevelsRead(State &state, Operators::CommandId call, const Store::Result &result, Actions &actions);

// Beliefs

/// Logs which servers this host has begun or ceased to avoid, and which requests it has begun to refuse, when it decides by itself.
void logStateChanges(State &state, TimePoint now, Actions &actions);

// Fleet

void onPeerDatagram(State &state, const PeerDatagramReceived &spoke, TimePoint now, Actions &actions);

/// Does what is due by time: heartbeats, shares of limits, host records.
void tickFleet(State &state, TimePoint now, Actions &actions);

/// Tells the leader what it lacks: a fresh confirmation, or that this host can't read the store either.
void sendConfirmation(State &state, bool hasJustFailed, TimePoint now);

/// As a leader that can't read the store, asks followers to do it, others when those can't either.
void manageStoreReaders(State &state, TimePoint now, Actions &actions);

/// Returns when manageStoreReaders() has something to do at the latest.
TimePoint nextStoreReadersAt(const State &state);

/// Tells whether this host is in touch with most of the registered hosts and knows all that they know. No edit of the operators' table is
/// acknowledged without such hosts, so that they can go on without the store.
bool hasQuorum(const State &state, TimePoint now);

/// Asks the seeds for the other hosts while this one knows nobody.
void askSeeds(State &state, TimePoint now, Actions &actions);

/// Returns when askSeeds() has something to do at the latest.
TimePoint nextSeedsAt(const State &state);

/// Tells the hosts that follow this one, or the leader, of changes that they lack.
void propagateChanges(State &state, Fleet::TableKind kind);

/// Adds a message for another host.
void sendTo(State &state, const HostId &host, Fleet::Message message);

/// Returns who this host is to schedulers.
Scheduling::Requester selfOf(const State &state);

// Tables of the store

void onStoreResponded(State &state, const StoreResponded &response, TimePoint now, Actions &actions);

/// Starts the calls to the store that are due.
void callStore(State &state, TimePoint now, Actions &actions);

/// Brings in force what has changed in a table.
void onTableChanged(State &state, Fleet::TableKind kind, TimePoint now, Actions &actions);

/// Returns one of the tables.
ReplicatedTable &tableOf(State &state, Fleet::TableKind kind);
const ReplicatedTable &tableOf(const State &state, Fleet::TableKind kind);

/// Returns when callStore() has something to do at the latest.
TimePoint nextStoreCallAt(const State &state);

/// Returns the version of the configuration in force; 0 before the first one.
std::int64_t configurationVersion(const State &state);

/// Returns how old the configuration may be at most; nothing before the first one.
std::optional<Duration> configurationAge(const State &state, TimePoint now);

/// Tells whether the configuration is recent enough to tell that a key or a route isn't there.
bool canRejectUnknown(const State &state, TimePoint now);

/// Tells whether the configuration is recent enough for requests of workspaces.
bool mayServeWorkspaces(const State &state, TimePoint now);

/// Starts a call to the store.
void startCall(State &state, const RunningCall &running, Store::Call call, Actions &actions);

// Host records

/// Registers this host when it isn't, and as a leader forgets hosts that are gone.
void tickRegistration(State &state, TimePoint now, Actions &actions);
void onRegistrationCompleted(State &state, CallPurpose purpose, const Store::Result &result, TimePoint now, Actions &actions);

/// Takes over the registered hosts.
void applyMembership(State &state, TimePoint now, Actions &actions);

/// Adds a line to the log.
void log(Actions &actions, Reporting::LogLine line);

}
