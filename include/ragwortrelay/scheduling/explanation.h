#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/scheduling/placementrequest.h>
#include <ragwortrelay/scheduling/scheduler.h>
#include <ragwortrelay/scheduling/serverregistry.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Explains what a scheduler would decide now about a placement, without a change of the scheduler.
namespace RagwortRelay::Scheduling {

/// Components of the cost of a server for a placement, relative to the value of one request.
struct CostComponents {
    double m_failure = 0.0; ///< Probability that the server is unhealthy, times the cost of a failed attempt.
    double m_utilization = 0.0;
    double m_domain = 0.0; ///< Cost or price of another failure domain.
    double m_connection = 0.0; ///< Cost of opening a connection.
    double m_warmup = 0.0;
    double m_slowness = 0.0;

    /// Returns the cost. No preconditions; thread-safe.
    [[nodiscard]] double total() const
    {
        return m_failure + m_utilization + m_domain + m_connection + m_warmup + m_slowness;
    }

    friend bool operator==(const CostComponents &, const CostComponents &) = default;
};

/// Reason why a server isn't selected for a placement.
enum class ServerExclusion : std::uint8_t {
    Evacuated, ///< Its failure domain is evacuated.
    Draining, ///< It is draining or leaving.
    NoWeight, ///< Its weight is 0.
    Avoided, ///< It looks unhealthy.
    NoSlot, ///< It runs as many requests as it has slots.
    Shed, ///< It has just shed a request.
    Cold, ///< It is cold, and the limit of starts there is reached.
    Returning, ///< Its failure domain was taken back, and this selection isn't among those that may use it yet.
    Excluded, ///< An earlier attempt of the request has tried it.
    Paused, ///< It has asked the host for a pause.
    NotSampled, ///< The selection considers only a part of the servers of a large service.
    Last = NotSampled,
};

/// Returns the name of an exclusion for reports. Thread-safe.
std::string toString(ServerExclusion exclusion);

/// What a scheduler knows about a server as a candidate for a placement.
struct ServerExplanation {
    ServerId m_server;
    FailureDomainId m_domain;
    CostComponents m_cost;
    double m_unhealthyProbability = 0.0; ///< 0 to 1.
    std::uint32_t m_running = 0; ///< Running requests that the scheduler knows of.
    std::uint32_t m_slots = 0;
    bool m_isConnected = false; ///< The requesting host is likely to have a usable connection to the server.
    std::vector<ServerExclusion> m_exclusions; ///< Empty for a server that can be selected.

    friend bool operator==(const ServerExplanation &, const ServerExplanation &) = default;
};

/// Step of the selection that found the server.
enum class SelectionStep : std::uint8_t {
    None, ///< No server was found.
    UnusedServer, ///< A server without recent requests has to be used.
    Trial, ///< An avoided server is due for a trial request.
    Cheapest, ///< It has the lowest cost; with a price between failure domains, among the servers that the price allows.
    LastResort, ///< Only servers that look unhealthy are left.
    Last = LastResort,
};

/// Returns the name of a selection step for reports. Thread-safe.
std::string toString(SelectionStep step);

/// Selection of a server with all servers of the service.
struct SelectionExplanation {
    std::optional<ServerId> m_server; ///< Selected server; empty if there is none.
    SelectionStep m_step = SelectionStep::None;
    std::vector<ServerExplanation> m_servers; ///< Those that can be selected first, each group by cost.

    friend bool operator==(const SelectionExplanation &, const SelectionExplanation &) = default;
};

/// Explains the selection of a server by the rules of selectServer(). Linear in the servers of the service, with a sort. Thread-safe on a registry that doesn't
/// change.
/// @param random generator of the caller's own, not that of a host's state
SelectionExplanation explainSelection(const ServerRegistry &registry,
                                      const ServerSelectionSettings &settings,
                                      const PlacementRequest &placement,
                                      const Requester &requester,
                                      RandomGenerator random,
                                      TimePoint now);

/// State of the limit of a workspace.
struct LimitExplanation {
    double m_rate = 0.0; ///< Requests per second of the whole limit.
    double m_burst = 0.0;
    double m_share = 0.0; ///< Part of the limit that the scheduler may grant, 0 to 1.
    double m_tokens = 0.0;
    std::size_t m_waiting = 0; ///< Placements of the workspace that wait for tokens.
    std::optional<Duration> m_wait; ///< Time until a token is available; empty if none ever is.

    friend bool operator==(const LimitExplanation &, const LimitExplanation &) = default;
};

/// State of the retry budget of a service.
struct RetryBudgetExplanation {
    double m_remaining = 0.0; ///< Retries that are allowed now.
    double m_ratio = 0.0; ///< Retries that each further request adds.
    bool m_allowsRetry = false;

    friend bool operator==(const RetryBudgetExplanation &, const RetryBudgetExplanation &) = default;
};

/// State of the queue of a service.
struct QueueExplanation {
    std::size_t m_size = 0;
    std::size_t m_maxSize = 0;
    Duration m_usualTime{}; ///< Usual latency of the service.
    std::optional<std::size_t> m_ahead; ///< Placements that would be served before this one; empty unless it would be queued.
    std::optional<Duration> m_expectedWait; ///< Empty unless it would be queued.

    friend bool operator==(const QueueExplanation &, const QueueExplanation &) = default;
};

/// Decision about a placement.
enum class PlacementOutcome : std::uint8_t {
    Granted,
    AwaitsToken, ///< It waits for a token of its workspace.
    Queued, ///< It waits for a slot.
    Refused,
    Last = Refused,
};

/// Returns the name of an outcome for reports. Thread-safe.
std::string toString(PlacementOutcome outcome);

/// Decision about a placement, with what it depends on.
struct PlacementExplanation {
    PlacementOutcome m_outcome{};
    std::optional<ServerId> m_server; ///< Granted server.
    std::optional<RefusalReason> m_reason; ///< Reason of a refusal.
    Duration m_retryAfter{}; ///< Time after which the caller of a refused request is told to retry.
    std::optional<LimitExplanation> m_limit; ///< Empty without a limit.
    RetryBudgetExplanation m_retryBudget;
    QueueExplanation m_queue;
    bool m_hasSpilloverPrice = false; ///< A price decides about requests to other failure domains.
    SelectionExplanation m_selection; ///< Selection of a server now, whether or not the placement gets as far.

    friend bool operator==(const PlacementExplanation &, const PlacementExplanation &) = default;
};

/// Explains what placement() would decide now. It runs the same code on a copy of the state of the service and the workspace. Requests that are quarantined for
/// crashing servers are not told, as they are identified by their content. Linear in the servers and the queue of the service. Thread-safe on a scheduler that
/// doesn't change.
/// @param random generator of the caller's own, not that of a host's state
PlacementExplanation
explainPlacement(const Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, RandomGenerator random, TimePoint now);

}
