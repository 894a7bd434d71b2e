#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/host/action.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/host/source.h>
#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/scheduling/scheduler.h>
#include <ragwortrelay/store/follower.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace RagwortRelay::Host {

/// How a host behaves.
struct HostSettings {
    HostId m_host;
    FailureDomainId m_domain;
    Duration m_keyFreshness{std::chrono::milliseconds(4500)}; ///< Requests of workspaces run only with a configuration no older than this.
    Duration m_refusalFreshness{std::chrono::milliseconds(1500)}; ///< Only so fresh a configuration tells that a key or route isn't there.
    Duration m_answerGrace{std::chrono::milliseconds(60)}; ///< After its deadline an answer that is on its way is still waited for.
    Duration m_balancerLag{std::chrono::milliseconds(2500)}; ///< A stopping host goes on serving for so long.
    Duration m_stopLimit{std::chrono::milliseconds(5500)}; ///< Longest wait of a stopping host for requests in flight.
    std::uint32_t m_unsentAtMost = 4; ///< Attempts of one request that reached no server.
    Scheduling::SchedulerSettings m_scheduling;
    Store::FollowerSettings m_following;

    friend bool operator==(const HostSettings &, const HostSettings &) = default;
};

/// An attempt that runs.
struct Attempt {
    ExchangeId m_exchange = 0; ///< 0 once nobody waits for it.
    std::uint64_t m_draw = 0; ///< Number of the draw that it has its server from.
    ServerId m_server;
    TimePoint m_startedAt;
    bool m_isForwarded = false; ///< The caller gets its answer.
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
    std::optional<std::uint64_t> m_draw; ///< Draw that waits for its answer.
    std::optional<AttemptId> m_failedAnswer; ///< An answer by which a server says that it failed, kept while another one is tried.
    bool m_mayHaveRun = false;
    bool m_hasHedged = false;
};

/// What is to be done at some time.
enum class DueKind : std::uint8_t {
    Deadline, ///< Of an exchange.
    Hedge, ///< Of an exchange.
};

struct Due {
    DueKind m_kind{};
    ExchangeId m_exchange = 0;
};

/// What an attempt that runs is told apart by in the answers of the scheduler.
struct PendingDraw {
    ExchangeId m_exchange = 0;
};

/// Purpose of a call to the store.
enum class CallPurpose : std::uint8_t {
    FollowConfiguration,
    FollowServers,
};

/// State of one host. The present time and all input reach it as arguments of handle().
struct State {
    HostSettings m_settings;
    Source m_source;
    RandomGenerator m_random;
    Store::ClockMap m_storeClock;
    Store::Follower m_configurationFollower;
    Store::Follower m_serverFollower;
    std::shared_ptr<const Configuration::Catalogue> m_catalogue; ///< Empty before the first one.
    Scheduling::Scheduler m_scheduler;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::unordered_map<std::uint64_t, PendingDraw> m_draws; ///< Draws that wait for their answers, by number.
    std::multimap<TimePoint, Due> m_due;
    std::map<StoreCallId, CallPurpose> m_calls;
    Reporting::Counters m_counters;
    AttemptId m_lastAttempt = 0;
    std::uint64_t m_lastDraw = 0;
    StoreCallId m_lastCall = 0;
    bool m_ready = false;
    std::optional<TimePoint> m_stopAskedAt;
    bool m_callersSentAway = false;
    bool m_exited = false;
};

/// Makes the state of a host that has just started.
/// @param seed of the random numbers
State makeState(const HostSettings &settings, const Source &source, std::uint64_t seed);

/// Takes in one event and returns what to do, in order.
/// Precondition: `now` doesn't run backwards over the calls on one state. Not thread-safe on one state.
Actions handle(State &state, const Event &event, TimePoint now);

/// Returns when handle() has to be called with Ticked at the latest. Thread-safe on a state that doesn't change.
TimePoint nextDueAt(const State &state);

}
