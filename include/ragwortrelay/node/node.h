#pragma once

#include <ragwortrelay/balancing/balancer.h>
#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/dispatch/claimledger.h>
#include <ragwortrelay/dispatch/retrybudget.h>
#include <ragwortrelay/dispatch/suspects.h>
#include <ragwortrelay/health/settings.h>
#include <ragwortrelay/limits/limits.h>
#include <ragwortrelay/membership/membership.h>
#include <ragwortrelay/node/action.h>
#include <ragwortrelay/node/configurationstate.h>
#include <ragwortrelay/node/event.h>
#include <ragwortrelay/node/healthstate.h>
#include <ragwortrelay/node/placement.h>
#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/reporting/servicelevel.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace RagwortRelay::Node {

/// What a host is told by its settings.
struct NodeSettings {
    HostId m_host;
    FailureDomainId m_domain;
    std::string m_peerAddress; ///< `IP:PORT` where other hosts reach this one.
    Membership::Incarnation m_incarnation = 0;
    std::vector<std::string> m_seedAddresses; ///< `IP:PORT` of hosts to talk to while the platform can't be reached.
    Duration m_pollInterval{std::chrono::seconds(1)}; ///< Between two reads of the configuration.
    Duration m_balancerLag{std::chrono::seconds(2)}; ///< After failing readiness, until the balancer sends nothing more.
    Duration m_stopLimit{std::chrono::seconds(30)}; ///< Longest wait for requests in flight on stopping.
    std::uint32_t m_attemptsAtMost = 3;
    ConfigurationSettings m_configuration;
    std::string m_platformIncarnation; ///< How the platform's list names this life of the host, empty for none.
    Limits::LimitsSettings m_limits;
    Duration m_seatHorizon{std::chrono::hours(24)}; ///< See Membership::MembershipSettings::m_horizon.
    Dispatch::ClaimSettings m_claims; ///< The owner is set by makeNode().
    Dispatch::RetrySettings m_retries;
    Dispatch::SuspectSettings m_suspects;

    Balancing::BalancerSettings m_balancing;
    Balancing::QueueSettings m_queue;
    Health::HealthSettings m_health;

    friend bool operator==(const NodeSettings &, const NodeSettings &) = default;
};

/// Steps that a request goes through, in order.
enum class Stage : std::uint8_t {
    Admit, ///< Gets a token of its workspace's limit.
    Claim, ///< Becomes the only one with its idempotency key.
    Place, ///< Gets a slot of a backend server.
    Run,
};

/// What a step did with a request.
enum class Progress : std::uint8_t {
    Continue, ///< The next step may begin.
    Wait, ///< The step is to be tried again later.
    Ended, ///< The request was answered.
};

/// How far the claim of a request on its idempotency key has come.
enum class ClaimUse : std::uint8_t {
    None,
    Waiting,
    Held,
};

/// A request that this host answers.
struct Exchange {
    Stage m_stage = Stage::Admit;
    RequestArrived m_request;
    Configuration::Route m_route;
    WorkspaceId m_workspace; ///< Empty on open routes.
    KeyId m_key; ///< Empty on open routes.
    Limits::AdmissionTry m_admission;
    TimePoint m_deadline;
    AttemptId m_attempt = 0; ///< The one that may answer the caller.
    std::uint32_t m_attempts = 0;
    std::set<ServerId> m_tried;
    std::vector<ServerId> m_failedAt; ///< Servers that failed it.
    std::vector<ServerId> m_shedBy; ///< Servers that shed it since it last waited for its turn.
    bool m_isQueued = false; ///< Waits for its turn.
    std::optional<TimePoint> m_placeBefore; ///< Set when it first waits for its turn.
    ClaimUse m_claim = ClaimUse::None;
    bool m_mayHaveRun = false; ///< An attempt that ended may have run it.
    bool m_forwarded = false; ///< The caller gets the answer of the attempt.
    bool m_isSuspect = false; ///< It was present at a crash of a backend server.
    bool m_callerGone = false; ///< It runs on for its claim's sake.
};

/// An attempt that runs.
struct Attempt {
    ExchangeId m_exchange = 0;
    ServerId m_server;
    TimePoint m_startedAt;
    bool m_isTimed = false; ///< Its time is in the evidence, since it ran for far too long.
};

/// What a call to the platform was for.
enum class PlatformPurpose : std::uint8_t {
    PollChanges,
    ReadChangeObject,
    ReadSnapshotName,
    ReadSnapshot,
    LookUpChange,
    WriteChangeObject,
    AppendChanges,
    WriteSnapshot,
    CheckSnapshotName,
    WriteSnapshotName,
    ReadOldChanges,
    TrimChanges,
    ListTargets,
    StoreServiceLevels,
    ReadServiceLevels,
    Membership,
    Claim,
};

/// A call to the platform that runs.
struct PendingCall {
    PlatformPurpose m_purpose{};
    OperatorCallId m_operatorCall = 0;
    TimePoint m_startedAt;
    std::uint64_t m_version = 0; ///< Of the configuration that the call is about.
    Membership::CallKind m_membershipCall{}; ///< Of Membership.
    Dispatch::ClaimCallId m_claimCall = 0; ///< Of Claim.
};

/// A request whose answer will count against the objective of its service.
struct TrackedRequest {
    ServiceId m_service;
    TimePoint m_arrivedAt;
    std::uint16_t m_status = 0; ///< Of the last answer of a backend server, 0 for none.
    bool m_forwarded = false; ///< The caller is getting the answer.
};

/// A burn report whose records are being read.
struct PendingReport {
    Reporting::ServiceLevels m_levels;
    std::size_t m_records = 0; ///< Records of hosts read so far.
};

/// What a host records for the service-level report.
struct ServiceLevelState {
    Reporting::ServiceLevels m_levels;
    std::map<ExchangeId, TrackedRequest> m_requests;
    Reporting::WallSeconds m_wallClock = 0;
    std::int64_t m_storedHour = 0; ///< Hours since 1970 of the item that is being written, 0 for none.
    std::uint64_t m_storedVersion = 0; ///< Version of that item.
    std::optional<TimePoint> m_storedAt;
    bool m_storeRuns = false;
    std::map<OperatorCallId, PendingReport> m_reports;
};

/// A spread that this host uses for a workspace's limit.
struct KnownSpread {
    std::uint32_t m_spread = 0;
    std::uint64_t m_rowVersion = 0; ///< Of the workspace's row.
};

/// How the limits were laid on this host's shards last.
struct LimitsDuty {
    std::map<WorkspaceId, KnownSpread> m_spreads;
    std::uint64_t m_rosterVersion = 0;
    std::uint64_t m_tableVersion = 0;
    TimePoint m_ownEnd = TimePoint::min();
    TimePoint m_refreshedAt;
    TimePoint m_handedOverAt;
    bool m_waitsForHosts = false; ///< Some limit isn't in force before more hosts have the configuration.
    bool m_gaveUp = false; ///< The host is leaving and uses no share any more.
};

/// State of one host. The present time and all input reach it as arguments of handle().
struct Node {
    NodeSettings m_settings;
    RandomGenerator m_random;
    Configuration::Table m_table;
    Configuration::Catalogue m_catalogue;
    Limits::LimitsState m_limits;
    LimitsDuty m_limitsDuty;
    Balancing::Balancer m_balancer;
    Placement m_placement;
    HealthState m_health;
    std::map<ExchangeId, Exchange> m_exchanges;
    std::map<AttemptId, Attempt> m_attempts;
    std::map<PlatformCallId, PendingCall> m_calls;
    ConfigurationState m_configuration;
    std::set<ExchangeId> m_waitingExchanges; ///< To be advanced with the next tick.
    Membership::MembershipState m_membership;
    Reporting::Counters m_counters;
    ServiceLevelState m_serviceLevels;
    Dispatch::ClaimLedger m_claims;
    std::vector<Dispatch::ClaimVerdict> m_claimVerdicts; ///< To be performed before the present event is done.
    std::map<ServiceId, Dispatch::RetryBudget> m_retryBudgets;
    Dispatch::Suspects m_suspects;
    AttemptId m_lastAttempt = 0;
    PlatformCallId m_lastCall = 0;
    std::optional<TimePoint> m_polledAt;
    bool m_pollRuns = false;
    bool m_ready = false;
    std::optional<TimePoint> m_stopAskedAt;
    bool m_exited = false;
};

/// Makes the state of a host that has just started.
/// @param seed of the random numbers
Node makeNode(const NodeSettings &settings, std::uint64_t seed);

/// Takes in one event and returns what to do, in order.
/// Precondition: `now` doesn't run backwards over the calls on one node. Not thread-safe on one node.
Actions handle(Node &node, const Event &event, TimePoint now);

}
