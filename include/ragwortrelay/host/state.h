#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/claimledger.h>
#include <ragwortrelay/fleet/leadership.h>
#include <ragwortrelay/fleet/tablereplica.h>
#include <ragwortrelay/host/action.h>
#include <ragwortrelay/host/configurationsource.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/host/settings.h>
#include <ragwortrelay/limits/throttle.h>
#include <ragwortrelay/operators/command.h>
#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/reporting/servicelevel.h>
#include <ragwortrelay/scheduling/scheduler.h>
#include <ragwortrelay/scheduling/serverpauses.h>
#include <ragwortrelay/store/tablewatcher.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace RagwortRelay::Host {

/// A running attempt of a request.
struct Attempt {
    ExchangeId m_exchange = 0; ///< Number of the request; 0 once nobody waits for the response.
    std::uint64_t m_placement = 0; ///< Number of the placement that selected the server.
    HostId m_leader; ///< Host that granted the placement; empty when this host decided by itself.
    ServerId m_server;
    TimePoint m_startedAt;
    std::uint64_t m_fingerprint = 0; ///< Fingerprint of the request.
    std::optional<std::uint64_t> m_incarnation; ///< Incarnation of the server by its listing at the start; empty if it wasn't registered.
    bool m_isForwarded = false; ///< The response is forwarded to the caller.
    ServiceId m_service; ///< Service of the request; set while a response is streamed to the caller.
    TimePoint m_arrivedAt; ///< Arrival of the request; set while a response is streamed to the caller.
    std::optional<Dispatch::ClaimantId> m_claim; ///< Claim that the end of a streamed response settles.
};

/// State of the claim of a request on its idempotency key.
enum class ClaimProgress : std::uint8_t {
    None,
    Waiting,
    Held,
};

/// A complete response that has not been forwarded yet.
struct RetainedResponse {
    AttemptId m_attempt = 0;
    std::uint16_t m_status = 0;
    std::optional<Dispatch::StoredResponse> m_stored; ///< Response to store for a request with an idempotency key.
};

/// A placement that was denied a server.
struct DeniedPlacement {
    HostId m_leader; ///< Host that denied the placement.
    std::uint64_t m_number = 0;
    Scheduling::RefusalReason m_reason{};
};

/// A workspace whose requests the leader has refused as over the limit.
struct ThrottledWorkspace {
    Limits::Throttle m_throttle;
    DeniedPlacement m_denied; ///< Last placement that the leader denied.
    bool m_isLogged = false; ///< Its first request that was refused without asking the leader has been logged.
};

/// A placement request that the leader has not replied to in time.
struct OverduePlacement {
    WorkspaceId m_workspace;
    Scheduling::AttemptKind m_purpose{};
    TimePoint m_since; ///< Time at which the host decided by itself.
};

/// A request of a caller that hasn't been answered yet.
struct Exchange {
    RequestArrived m_request;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue; ///< Catalogue that was in force when the request arrived.
    Configuration::Route m_route;
    ServiceId m_service; ///< Service selected by the shares of the route.
    WorkspaceId m_workspace; ///< Workspace of the caller; empty on routes that need no key.
    KeyId m_key;
    std::uint64_t m_fingerprint = 0;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    std::vector<ServerId> m_tried;
    std::uint32_t m_sent = 0; ///< Number of attempts that reached a server.
    std::uint32_t m_unsent = 0; ///< Number of attempts that reached no server.
    std::set<AttemptId> m_running;
    std::optional<std::uint64_t> m_placement; ///< Number of the placement that waits for its reply.
    std::optional<DeniedPlacement> m_denied; ///< Last denied placement.
    std::optional<RetainedResponse> m_failedResponse; ///< Response by which a server reports a failure, kept while another server is tried.
    ClaimProgress m_claim = ClaimProgress::None;
    bool m_mayHaveRun = false;
    bool m_isAnswered = false; ///< The response of a server is forwarded to the caller.
    bool m_hasHedged = false;
    bool m_isCallerGone = false; ///< The caller has disconnected; the request runs on to complete its claim.
};

/// Kind of work that a timer starts.
enum class TimerKind : std::uint8_t {
    Deadline, ///< Deadline of an exchange.
    UnansweredDeadline, ///< Deadline of an exchange, after the responses that had arrived by then were read.
    Hedge, ///< Hedged attempt of an exchange.
    PlacementRequest, ///< Placement request without a reply of the leader.
    Silence, ///< Time after which an attempt without a response counts as a sign that its server has ended.
    LeftRunning, ///< End of the time that an attempt nobody waits for may run.
};

/// Work to be done at a given time.
struct Timer {
    TimerKind m_kind{};
    std::uint64_t m_subject = 0; ///< Number of the exchange, placement or attempt.
};

/// A placement that waits for its reply.
struct PendingPlacement {
    ExchangeId m_exchange = 0;
    Scheduling::PlacementRequest m_placement;
    HostId m_leader; ///< Host that was asked; empty when the placement waits in the queue of this host.
    TimePoint m_sentAt;
    TimePoint m_decideAt; ///< Time at which the host decides by itself if the leader hasn't replied.
    unsigned m_unacknowledged = 0; ///< Number of times the request was sent since the last message of the leader about it.
    bool m_isQueued = false; ///< The leader has queued the placement and replies later.
    bool m_isExtended = false; ///< The leader is late, and the host waits on since it has no token for the request.
};

/// Purpose of a call to the store.
enum class CallPurpose : std::uint8_t {
    Watch, ///< Reads the changes of a table.
    Register, ///< Writes the record of this host.
    Unregister, ///< Erases the record of a host that is gone.
    Edit, ///< Edits the operators' table.
    Claim, ///< Claims an idempotency key or settles the claim.
    StoreLevels, ///< Writes the service levels of this host.
    ReadLevels, ///< Reads the service levels of all hosts.
};

/// A running call to the store.
struct RunningCall {
    CallPurpose m_purpose{};
    Fleet::TableKind m_table{}; ///< Table that is watched.
    std::uint64_t m_subject = 0; ///< Number of the operator's command or of the call of a claim.
};

/// Changes of a table in the form in which they are sent, by the version that the receiver knows.
struct PreparedDeltas {
    std::uint64_t m_version = 0; ///< Version of the replica for which they were made.
    std::map<std::uint64_t, std::vector<Fleet::DeltaPart>> m_parts;
};

/// A table of the store that a host keeps up to date.
struct ReplicatedTable {
    Fleet::TableReplica m_replica;
    Store::TableWatcher m_watcher;
    std::uint64_t m_appliedVersion = 0; ///< Version up to which all changes were applied. Single rows may be newer.
    bool m_isWatched = false; ///< This host currently watches the table in the store.
    PreparedDeltas m_preparedDeltas; ///< Changes that were sent since the replica's last version.
    Fleet::ReplicaPosition m_leaderPosition; ///< Position of the leader's replica by its last heartbeat.
};

/// An edit of the operators' table that hasn't been answered yet.
struct RunningEdit {
    Operators::EditTable m_edit;
    TimePoint m_arrivedAt;
    Store::Version m_committed = 0; ///< Version of the edit; 0 until it is durable.
    std::optional<TimePoint> m_retryAt; ///< Time of the next call; empty while a call runs.
    bool m_mayBeCommitted = false; ///< A write was sent and its result is unknown.
};

/// A burn report whose records are still being read.
struct PendingReport {
    Reporting::ServiceLevels m_levels;
    std::size_t m_records = 1;
};

/// Service levels of this host and the reports made from them.
struct ServiceLevelState {
    Reporting::ServiceLevels m_levels;
    Reporting::UnixSeconds m_wallClock = 0;
    std::int64_t m_storedHour = 0; ///< Hour of the record that is written; 0 for none.
    std::optional<TimePoint> m_storedAt;
    bool m_isStoring = false;
    std::map<Operators::CommandId, PendingReport> m_reports;
};

/// Changes of a table that were last sent to a follower.
struct SentChanges {
    std::uint64_t m_version = 0; ///< Version of the table when they were sent.
    TimePoint m_unconfirmedSince{}; ///< Time since which some of them aren't shown by the follower's heartbeats.
};

/// Positions of a follower's table replicas.
struct FollowerTables {
    std::vector<Fleet::ReplicaPosition> m_reported; ///< Positions reported by the follower.
    std::array<SentChanges, Fleet::TableKinds> m_sent{}; ///< Changes that were last sent to it.
};

/// Progress of this host's registration in the store.
struct Registration {
    bool m_isRunning = false;
    TimePoint m_nextAt{}; ///< Earliest time of the next call.
    Store::Version m_recordVersion = 0; ///< Version of this host's row in the table of hosts of which m_record was decoded.
    std::optional<Fleet::HostRecord> m_record; ///< Record of this host in the table of hosts; empty if it is unreadable.
};

/// A follower that reads the store for a leader that can't reach it.
struct StoreReader {
    TimePoint m_appointedAt;
    std::optional<TimePoint> m_lastFreshAt; ///< Last time that the follower reported a fresh table.
};

/// Followers that read the store for a leader that can't reach it.
struct StoreReaders {
    std::map<HostId, StoreReader> m_appointed;
    std::map<HostId, TimePoint> m_backoffUntil; ///< Ends of the backoffs of followers that couldn't read the store either.
};

/// Placements with the same outcome that are logged with a single line.
struct SuppressedPlacements {
    TimePoint m_at{}; ///< Time of the last log line.
    std::int64_t m_suppressed = 0; ///< Number of placements since then that were not logged.
};

/// State of the servers and requests that this host has logged.
struct LoggedState {
    TimePoint m_at{}; ///< Last comparison with the present state.
    std::map<std::tuple<ServiceId, WorkspaceId, std::string>, SuppressedPlacements> m_placements; ///< Placements by service, workspace and outcome.
    std::set<ServerId> m_sickServers;
    std::set<Dispatch::Fingerprint> m_quarantinedRequests;
};

/// What a leader reports to all its followers alike.
struct FollowerReports {
    TimePoint m_madeAt{};
    std::vector<Fleet::SuspicionReport> m_suspicions; ///< Suspected servers.
    std::vector<Dispatch::Fingerprint> m_quarantined; ///< Quarantined requests.
};

/// Crashes that hosts report to one another, so that they are known after a change of the leader.
struct CrashReplication {
    std::vector<Scheduling::RecordedCrash> m_replicated; ///< Crashes reported by the leader, which this host may succeed.
    std::set<HostId> m_holders; ///< Hosts that hold a replica of the crashes that this host knows as the leader.
    HostId m_leader; ///< Leader from which the last heartbeat came; empty while this host leads.
    Fleet::Incarnation m_leaderIncarnation = 0; ///< Incarnation of its process.
    TimePoint m_followedSince{}; ///< First heartbeat of that process.
};

/// State of one host.
/// The present time and all input are passed to handle().
struct State {
    HostSettings m_settings;
    ConfigurationSource m_source;
    RandomGenerator m_random;
    Fleet::Incarnation m_incarnation = 0;
    Store::ClockOffset m_storeClock;
    std::optional<Store::Era> m_storeEra; ///< Latest era of the store that this host knows of; empty before the first response or heartbeat.
    std::array<ReplicatedTable, Fleet::TableKinds> m_tables; ///< Tables by TableKind.
    std::shared_ptr<Configuration::Catalogue> m_catalogue; ///< Empty before the first configuration. A catalogue that a request holds is not changed.
    Configuration::Table m_operatorTable; ///< The operators' table as this host knows it.
    Fleet::Membership m_membership;
    Fleet::Membership m_unconfirmedMembers; ///< Hosts that were registered in an earlier era of the store; they count as registered for a while.
    TimePoint m_unconfirmedUntil{}; ///< Time until which they do.
    std::set<std::string> m_withdrawnKeys; ///< Names of the rows of workspace keys that were withdrawn or erased during the life of this process.
    TimePoint m_membershipChangedAt{};
    Fleet::Leadership m_leadership;
    Fleet::ReplyTimeout m_leaderTimeout; ///< Reply time of the present leader to placement requests.
    double m_placementAge = 0.0; ///< Age in seconds of the placement requests of followers when they are read, a moving average.
    double m_resendBudget = 1.0; ///< Placement requests that may be sent again; see PlacementSettings::m_resendRatio.
    std::map<HostId, FollowerTables> m_followerTables;
    std::uint64_t m_minConfigurationVersion =
        0; ///< Lowest version of the configuration on the hosts that send heartbeats to the leader, as reported by the leader.
    std::uint32_t m_reachableHosts = 1; ///< Number of hosts that send heartbeats to the leader, including itself, as reported by the leader.
    TimePoint m_quorumUntil{}; ///< End of the period in which the leader is in touch with most of the registered hosts, as reported by the leader.
    bool m_hasHadQuorum = false; ///< This process has been in touch with most of the registered hosts.
    TimePoint m_seedsContactedAt{}; ///< Last heartbeat sent to the seeds.
    StoreReaders m_storeReaders;
    FollowerReports m_followerReports;
    CrashReplication m_crashReplication;
    std::string m_secret; ///< Secret of the fleet.
    Registration m_registration;
    std::optional<TimePoint> m_startedAt; ///< Time of the first event.
    TimePoint m_lastTick{}; ///< Last call of tickFleet().
    TimePoint m_leadingSince{}; ///< Time at which this host became the leader.
    TimePoint m_unregisterAt{}; ///< Next check for records of hosts that are gone.
    Duration m_staleDelay{}; ///< Random part of FreshnessSettings::m_staleJitter.
    Scheduling::Scheduler m_scheduler;
    Scheduling::ServerPauses m_pauses; ///< Pauses that servers have asked this host for.
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::unordered_map<std::uint64_t, PendingPlacement> m_placements; ///< Placements that wait for their replies, by number.
    std::map<WorkspaceId, ThrottledWorkspace> m_throttled; ///< Workspaces that the present leader has refused as over their limits.
    std::map<std::uint64_t, OverduePlacement> m_overduePlacements; ///< Placements whose replies may still come, by number.
    TimePoint m_throttledCheckedAt{}; ///< Last removal of workspaces that are no longer throttled.
    std::multimap<TimePoint, Timer> m_timers;
    Dispatch::ClaimLedger m_claims;
    std::vector<Dispatch::ClaimDecision> m_claimDecisions; ///< Decisions to be performed before handle() returns.
    std::map<Operators::CommandId, RunningEdit> m_edits;
    ServiceLevelState m_levels;
    std::map<StoreCallId, RunningCall> m_calls;
    std::map<std::string, std::vector<Fleet::Message>> m_outbox; ///< Messages by address; sent at the end of handle().
    LoggedState m_logged;
    Reporting::Counters m_counters;
    AttemptId m_lastAttempt = 0;
    std::uint64_t m_lastPlacement = 0;
    StoreCallId m_lastCall = 0;
    bool m_ready = false;
    std::optional<TimePoint> m_stopRequestedAt;
    bool m_isDrainingCallers = false;
    bool m_hasClosedIdleCallers = false;
    bool m_hasExited = false;
};

/// Makes the state of a host that has just started.
/// @param incarnation unique among all processes that have run under the name of the host
/// @param seed seed of the random number generator
State makeState(const HostSettings &settings, const ConfigurationSource &source, Fleet::Incarnation incarnation, std::uint64_t seed);

/// Processes one event and returns the actions to perform, in order.
/// Precondition: `now` never decreases between calls on the same state. Not thread-safe for calls on the same state.
Actions handle(State &state, const Event &event, TimePoint now);

/// Returns the latest time at which handle() has to be called with TimerExpired. Thread-safe while the state doesn't change.
TimePoint nextTimerAt(const State &state);

}
