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
#include <ragwortrelay/operators/command.h>
#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/reporting/servicelevel.h>
#include <ragwortrelay/scheduling/scheduler.h>
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

/// An attempt that runs.
struct Attempt {
    ExchangeId m_exchange = 0; ///< 0 once nobody waits for it.
    std::uint64_t m_placement = 0; ///< Number of the placement that it has its server from.
    HostId m_leader; ///< That granted the placement; empty when this host did by itself.
    ServerId m_server;
    TimePoint m_startedAt;
    std::uint64_t m_fingerprint = 0; ///< Of its request.
    bool m_isForwarded = false; ///< The caller gets its answer.
    ServiceId m_service; ///< Of an answer that is forwarded while it comes.
    TimePoint m_arrivedAt; ///< Of the request, likewise.
    std::optional<Dispatch::ClaimantId> m_claim; ///< That the end of the answer settles, likewise.
};

/// How far the claim of a request on its idempotency key has come.
enum class ClaimUse : std::uint8_t {
    None,
    Waiting,
    Held,
};

/// A whole answer that has not been passed on.
struct RetainedResponse {
    AttemptId m_attempt = 0;
    std::uint16_t m_status = 0;
    std::optional<Dispatch::StoredResponse> m_stored; ///< Of a request with an idempotency key.
};

/// A placement that got no server.
struct DeniedPlacement {
    HostId m_leader; ///< That denied it.
    std::uint64_t m_number = 0;
    Scheduling::RefusalReason m_reason{};
};

/// A workspace of which the leader has said that it is over its limit.
struct ExhaustedLimit {
    DeniedPlacement m_denied; ///< By which it said so.
    TimePoint m_until; ///< Further requests are refused without asking again.
    TimePoint m_comeBackAt; ///< When a token is likely to be there.
};

/// A caller's request that isn't answered yet.
struct Exchange {
    RequestArrived m_request;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue; ///< In force when it arrived.
    Configuration::Route m_route;
    ServiceId m_service; ///< Chosen among the shares of the route.
    WorkspaceId m_workspace; ///< Empty on open routes.
    KeyId m_key;
    std::uint64_t m_fingerprint = 0;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    std::vector<ServerId> m_tried;
    std::uint32_t m_sent = 0; ///< Attempts that reached a server.
    std::uint32_t m_unsent = 0; ///< Attempts that didn't.
    std::set<AttemptId> m_running;
    std::optional<std::uint64_t> m_placement; ///< Placement that waits for its answer.
    std::optional<DeniedPlacement> m_denied; ///< The last one.
    std::optional<RetainedResponse> m_failedResponse; ///< By which a server says that it failed, kept while another one is tried.
    ClaimUse m_claim = ClaimUse::None;
    bool m_mayHaveRun = false;
    bool m_hasHedged = false;
    bool m_callerGone = false; ///< It runs on for its claim's sake.
};

/// What is to be done at some time.
enum class DueKind : std::uint8_t {
    Deadline, ///< Of an exchange.
    Hedge, ///< Of an exchange.
    PlacementRequest, ///< The leader has not answered a placement.
    LeftRunning, ///< An attempt nobody waits for is given up.
};

struct Due {
    DueKind m_kind{};
    std::uint64_t m_subject = 0; ///< Number of the exchange, placement or attempt.
};

/// A placement that waits for its answer.
struct PendingPlacement {
    ExchangeId m_exchange = 0;
    Scheduling::PlacementRequest m_placement;
    HostId m_leader; ///< That was asked; empty when it waits in the queue of this host.
    TimePoint m_sentAt;
    unsigned m_unacknowledged = 0; ///< Times that it was sent since the leader was heard about it.
    bool m_isQueued = false; ///< The leader has said that it will answer later.
};

/// Purpose of a call to the store.
enum class CallPurpose : std::uint8_t {
    Watch, ///< A table.
    Register, ///< This host's record.
    Unregister, ///< The record of a host that is gone.
    Edit, ///< Of the operators' table.
    Claim, ///< On an idempotency key.
    StoreLevels, ///< Record of service levels.
    ReadLevels, ///< Records of service levels of all hosts.
};

/// A call to the store that runs.
struct RunningCall {
    CallPurpose m_purpose{};
    Fleet::TableKind m_table{}; ///< That is followed.
    std::uint64_t m_subject = 0; ///< Number of the operator's command or of the claim's call.
};

/// One of the tables that a host keeps up to date.
struct ReplicatedTable {
    Fleet::TableReplica m_replica;
    Store::TableWatcher m_watcher;
    std::uint64_t m_appliedVersion = 0; ///< Version of the last change that was brought in force.
    bool m_isRead = false; ///< This host follows it in the store at present.
    Fleet::ReplicaPosition m_leaderPosition; ///< How far the leader knows it, by its last heartbeat.
};

/// An edit of the operators' table that isn't answered yet.
struct RunningEdit {
    Operators::EditTable m_edit;
    TimePoint m_arrivedAt;
    Store::Version m_committed = 0; ///< Version that it made, once it is durable.
    std::optional<TimePoint> m_retryAt; ///< No call runs; the next one is due then.
    bool m_mayBeCommitted = false; ///< A write was sent whose answer is unknown.
};

/// A burn report that is being put together.
struct PendingReport {
    Reporting::ServiceLevels m_levels;
    std::size_t m_records = 1;
};

/// Service levels of this host.
struct ServiceLevelState {
    Reporting::ServiceLevels m_levels;
    Reporting::UnixSeconds m_wallClock = 0;
    std::int64_t m_storedHour = 0; ///< Hour of the record that is written; 0 for none.
    std::optional<TimePoint> m_storedAt;
    bool m_isStoring = false;
    std::map<Operators::CommandId, PendingReport> m_reports;
};

/// How far a follower knows the tables.
struct FollowerTables {
    std::vector<Fleet::ReplicaPosition> m_logged; ///< By itself.
    std::array<std::uint64_t, Fleet::TableKinds> m_sent{}; ///< Versions up to which it was sent changes since.
};

/// What a host has registered about itself.
struct Registration {
    bool m_isRunning = false;
    TimePoint m_nextAt{}; ///< No call before.
};

/// A follower that reads the store for a leader that can't.
struct StoreReader {
    TimePoint m_appointedAt;
    std::optional<TimePoint> m_provenAt; ///< When it told of something fresh last.
};

/// Followers that read the store for a leader that can't.
struct StoreReaders {
    std::map<HostId, StoreReader> m_appointed;
    std::map<HostId, TimePoint> m_leftAlone; ///< Those that could not read either, until when.
};

/// Placements of one kind that got no server at once.
struct SuppressedPlacements {
    TimePoint m_at{}; ///< Of the last line.
    std::int64_t m_left = 0; ///< Placements since then that got no line.
};

/// What was logged of the beliefs of this host.
struct LoggedState {
    TimePoint m_at{}; ///< Last look.
    std::map<std::tuple<ServiceId, WorkspaceId, std::string>, SuppressedPlacements> m_placements; ///< By what became of them.
    std::set<ServerId> m_sickServers;
    std::set<Dispatch::Fingerprint> m_quarantinedRequests;
};

/// State of one host. The present time and all input reach it as arguments of handle().
struct State {
    HostSettings m_settings;
    ConfigurationSource m_source;
    RandomGenerator m_random;
    Fleet::Incarnation m_incarnation = 0;
    Store::ClockOffset m_storeClock;
    std::array<ReplicatedTable, Fleet::TableKinds> m_tables; ///< By TableKind.
    std::shared_ptr<Configuration::Catalogue> m_catalogue; ///< Empty before the first one. Requests that hold it keep it as it is.
    Configuration::Table m_ownTable; ///< As the operators see it.
    Fleet::Membership m_membership;
    TimePoint m_membershipChangedAt{};
    Fleet::Leadership m_leadership;
    std::map<HostId, FollowerTables> m_followerTables;
    std::uint64_t m_minConfigurationVersion = 0; ///< Lowest version of the configuration on the hosts that the leader hears, by its word.
    std::uint32_t m_reachableHosts = 1; ///< Hosts that the leader hears, itself among them, by its word.
    TimePoint m_quorumUntil{}; ///< The leader has most of the registered hosts with it until then, by its word.
    bool m_hasHadQuorum = false; ///< This process was in touch with most of the registered hosts.
    TimePoint m_seedsAskedAt{}; ///< Last time that the seeds were asked.
    StoreReaders m_storeReaders;
    std::string m_secret; ///< Of the fleet.
    Registration m_registration;
    std::optional<TimePoint> m_startedAt; ///< First event.
    TimePoint m_lastTick{}; ///< Last time that the duties of the fleet were done.
    TimePoint m_leadingSince{}; ///< Since when this host leads.
    TimePoint m_unregisterAt{}; ///< Next look at records of hosts that are gone.
    Duration m_staleDelay{}; ///< Drawn at random, of FreshnessSettings::m_staleSpread.
    Scheduling::Scheduler m_scheduler;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::unordered_map<std::uint64_t, PendingPlacement> m_placements; ///< Placements that wait for their answers, by number.
    std::map<WorkspaceId, ExhaustedLimit> m_exhaustedLimits;
    std::multimap<TimePoint, Due> m_due;
    Dispatch::ClaimLedger m_claims;
    std::vector<Dispatch::ClaimDecision> m_claimDecisions; ///< To be performed before the present event is done.
    std::map<Operators::CommandId, RunningEdit> m_edits;
    ServiceLevelState m_levels;
    std::map<StoreCallId, RunningCall> m_calls;
    std::map<std::string, std::vector<Fleet::Message>> m_outbox; ///< By address; sent at the end of handle().
    LoggedState m_logged;
    Reporting::Counters m_counters;
    AttemptId m_lastAttempt = 0;
    std::uint64_t m_lastPlacement = 0;
    StoreCallId m_lastCall = 0;
    bool m_ready = false;
    std::optional<TimePoint> m_stopRequestedAt;
    bool m_isDrainingCallers = false;
    bool m_exited = false;
};

/// Makes the state of a host that has just started.
/// @param incarnation another one than that of any other life of the host
/// @param seed of the random numbers
State makeState(const HostSettings &settings, const ConfigurationSource &source, Fleet::Incarnation incarnation, std::uint64_t seed);

/// Takes in one event and returns what to do, in order.
/// Precondition: `now` doesn't run backwards over the calls on one state. Not thread-safe on one state.
Actions handle(State &state, const Event &event, TimePoint now);

/// Returns when handle() has to be called with Ticked at the latest. Thread-safe on a state that doesn't change.
TimePoint nextTimerAt(const State &state);

}
