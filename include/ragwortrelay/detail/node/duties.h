#pragma once

#include <ragwortrelay/node/node.h>

namespace RagwortRelay::Node::detail {

// Requests

void onRequestArrived(Node &node, const RequestArrived &request, TimePoint now, Actions &actions);
void onCallerGone(Node &node, const CallerGone &gone, TimePoint now, Actions &actions);
void onAttemptAnswered(Node &node, const AttemptAnswered &answer, TimePoint now, Actions &actions);
void onAttemptFailed(Node &node, const AttemptFailed &failure, TimePoint now, Actions &actions);
void onAttemptEnded(Node &node, const AttemptEnded &ended, TimePoint now, Actions &actions);

/// Takes a request through its steps until one waits or the request is answered.
void advance(Node &node, ExchangeId id, TimePoint now, Actions &actions);

/// Advances all requests that wait.
void advanceWaiting(Node &node, TimePoint now, Actions &actions);

/// Answers the caller with a refusal. A request of which an attempt may have run is never told that it was not run.
void refuse(Node &node, ExchangeId id, const Dispatch::Problem &problem, Actions &actions);

/// Forgets a request that was refused and settles its claim.
void endRefused(Node &node, ExchangeId id, TimePoint now, Actions &actions);

// Steps of a request

/// Takes a token of the workspace's limit.
Progress admitExchange(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions);

/// Claims the idempotency key of a request that isn't idempotent.
Progress claimExchange(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions);

/// Starts an attempt at a backend server that wasn't tried yet.
Progress placeExchange(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions);

// Claims

/// Settles the claim of a request, if it has one.
void settleExchange(Node &node, ExchangeId id, const Exchange &exchange, const Dispatch::ClaimResult &result, TimePoint now, Actions &actions);
void onClaimAnswered(Node &node, const PendingCall &call, const Platform::Result &result, TimePoint now, Actions &actions);
void tickClaims(Node &node, TimePoint now, Actions &actions);

/// Carries on with the requests whose claims were decided.
void performClaimVerdicts(Node &node, TimePoint now, Actions &actions);

// Requests that may crash backend servers

/// Refuses a request that has crashed servers; lets a suspect run only while no other one of its service runs on this host.
Progress guardSuspect(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions);
void noteAttemptFailure(Node &node, const AttemptFailed &failure, const Attempt &attempt, const Exchange &exchange, TimePoint now, Actions &actions);
void noteSuspectAnswered(Node &node, AttemptId attempt, const Exchange &exchange, TimePoint now, Actions &actions);
void onCrashReport(Node &node, const HostId &from, const Dispatch::CrashReport &report, TimePoint now);
void tickSuspects(Node &node, TimePoint now);

// Attempts

/// Forgets an attempt; returns it, or nothing when it is unknown.
std::optional<Attempt> finishAttempt(Node &node, AttemptId id);

/// Takes in the answer of a backend server to a running attempt, before the attempt is finished.
void observeAnswer(Node &node, const AttemptAnswered &answer, TimePoint now);

/// Places a request again that a backend server shed unrun. Precondition: the attempt was finished.
void placeAgainAfterShed(Node &node, ExchangeId id, const ServerId &server, TimePoint now, Actions &actions);

/// Gives the requests that wait for a slot their turns, and refuses those that can't be answered in time any more.
void serveQueues(Node &node, TimePoint now, Actions &actions);

/// Takes a request that its caller gave up out of its queue.
void leaveQueue(Node &node, ExchangeId id, const Exchange &exchange);

// Peers

void onPeerSpoke(Node &node, const PeerSpoke &spoke, TimePoint now, Actions &actions);

// Membership

/// Returns what membership is told about this host.
Membership::MembershipSettings membershipSettingsOf(const NodeSettings &settings);
void onHeartbeat(Node &node, const PeerSpoke &spoke, const Membership::Heartbeat &heartbeat, TimePoint now);
void onMembershipAnswered(Node &node, Membership::CallKind kind, const Platform::Result &result, TimePoint now, Actions &actions);

/// Does what is due by time: heartbeats, reads of the roster, confirmations.
void tickMembership(Node &node, TimePoint now, Actions &actions);

// Health

/// Takes in how a running attempt was answered, before the attempt is finished.
void noteAnswered(Node &node, const AttemptAnswered &answer, TimePoint now);

/// Takes in how an attempt failed. Its exchange may be gone.
void noteFailed(Node &node, const Attempt &attempt, Dispatch::AttemptFailure failure, TimePoint now);

/// Returns how the servers of a service may be used; servers that aren't listed are usable.
std::map<ServerId, Balancing::Standing> standingsOf(const Node &node, const ServiceId &service, TimePoint now);

/// Returns an ejected server that should get this request as a trial.
std::optional<ServerId> takeTrialServer(Node &node, const Exchange &exchange, TimePoint now);

/// Reports, decides and reads the platform's list when that is due.
void tickHealth(Node &node, TimePoint now, Actions &actions);

void onEvidenceReport(Node &node, const PeerSpoke &spoke, const Health::EvidenceReport &report, TimePoint now, Actions &actions);
void onServiceVerdicts(Node &node, const PeerSpoke &spoke, const Health::ServiceVerdicts &verdicts, TimePoint now);
void onTargetsListed(Node &node, const Platform::Result &result);
// Limits

void onLoanRequest(Node &node, const PeerSpoke &spoke, const Limits::LoanRequest &request, TimePoint now, Actions &actions);
void onLoanAnswer(Node &node, const PeerSpoke &spoke, const Limits::LoanAnswer &answer, TimePoint now, Actions &actions);

/// Takes a token of a workspace's limit, or asks a lender for one.
Limits::Admission admitTo(Node &node, const WorkspaceId &workspace, Limits::AdmissionTry &attempt, TimePoint now, Actions &actions);

/// Does what is due by time: borrowing ahead of need, giving back, handing shards over.
void tickLimits(Node &node, TimePoint now, Actions &actions);

/// Stops using all shares, for a host that is leaving; returns whether nothing is lent any more.
bool giveUpLimits(Node &node, TimePoint now, Actions &actions);

// Configuration

/// Does what is due by time: polls, questions to other hosts, edits, and the judgement whether this host may serve workspaces.
void tickConfiguration(Node &node, TimePoint now, Actions &actions);

/// Polls the store now, or once the running poll is over.
void pollSoon(Node &node, TimePoint now, Actions &actions);

/// Handles the answer to a call with one of the configuration's purposes.
void onConfigurationAnswered(Node &node, const PendingCall &call, const Platform::Result &result, TimePoint now, Actions &actions);

/// Brings a durable change in force when it is the next one; returns whether it was.
/// @param body encoded change
bool bringInForce(Node &node, std::uint64_t version, const std::string &body, TimePoint now, Actions &actions);

/// Brings a whole table in force when its version is higher.
void adoptSnapshot(Node &node, const Configuration::Snapshot &snapshot, TimePoint now, Actions &actions);

/// Tells whether this host's configuration is fresh enough to serve workspaces.
bool mayServeWorkspaces(Node &node, TimePoint now);

/// Checks once more, before an attempt starts, that the key of a request is still valid and that this host may serve workspaces.
Progress checkWorkspace(Node &node, ExchangeId id, const Exchange &exchange, TimePoint now, Actions &actions);

// Configuration: edits

/// Takes an edit into the queue.
void queueEdit(Node &node, OperatorCallId call, const EditTable &edit, TimePoint now, Actions &actions);

/// Starts the next write when none runs, and answers edits that can't be written.
void runEdits(Node &node, TimePoint now, Actions &actions);
void onChangeLookedUp(Node &node, const Platform::Result &result, TimePoint now, Actions &actions);
void onChangeObjectWritten(Node &node, const Platform::Result &result, TimePoint now, Actions &actions);
void onChangesAppended(Node &node, const Platform::Result &result, TimePoint now, Actions &actions);

// Configuration: snapshots and trimming of the log

/// Starts a snapshot when this host made a version at which one is due.
void writeSnapshot(Node &node, std::uint64_t firstVersion, TimePoint now, Actions &actions);
void onSnapshotStep(Node &node, const PendingCall &call, const Platform::Result &result, TimePoint now, Actions &actions);

// Configuration: between hosts

/// Handles a message about the configuration; leaves out all others.
void onConfigurationSpoke(Node &node, const PeerSpoke &spoke, TimePoint now, Actions &actions);

/// Notes the version that a host says it has.
void notePeerVersion(Node &node, const HostId &host, std::uint64_t version);

/// Tells some hosts of a version that is news.
void sendHint(Node &node, std::uint64_t version, const std::string &body, Actions &actions);

/// Asks other hosts for their versions, and for changes that this host lacks, when that is due.
void tickSpread(Node &node, TimePoint now, Actions &actions);

/// Tells where a version is in force.
SpreadShown showSpread(Node &node, std::uint64_t version, TimePoint now);

// Service levels

/// Notes what an event tells of the requests that run. Call before the event is handled.
void observeEvent(Node &node, const Event &event, TimePoint now);

/// Records the requests that were answered. Call after the event was handled.
void observeActions(Node &node, const Actions &actions, TimePoint now);

/// Stores the records of the present hour when the last time is long enough ago.
void storeServiceLevels(Node &node, TimePoint now, Actions &actions);
void onServiceLevelsStored(Node &node, const Platform::Result &result);

/// Starts to read the records of all hosts for an operator.
void startBurnReport(Node &node, OperatorCallId call, Actions &actions);
void onServiceLevelsRead(Node &node, const PendingCall &call, const Platform::Result &result, Actions &actions);

// Operators

void onOperatorAsked(Node &node, const OperatorAsked &asked, TimePoint now, Actions &actions);

// Calls to the platform

/// Starts a call and remembers what it is for.
void callPlatform(Node &node, const Platform::Call &request, const PendingCall &pending, Actions &actions);

}
