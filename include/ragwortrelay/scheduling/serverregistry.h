#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/health/suspicion.h>
#include <ragwortrelay/scheduling/placementrequest.h>
#include <ragwortrelay/scheduling/spillover.h>
#include <ragwortrelay/scheduling/warmuplimit.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace RagwortRelay::Scheduling {

/// Settings of server selection. Costs are relative to the value of one request.
struct ServerSelectionSettings {
    Health::SuspicionSettings m_suspicion;
    SpilloverSettings m_spillover;
    double m_failureCost = 1.0; ///< Cost of a request that fails permanently.
    double m_retryCost = 0.25; ///< Cost of a request that fails and can be retried.
    double m_utilizationCost = 0.04; ///< Cost of a server that runs as many requests as it has slots; proportional below that.
    double m_crossDomainCost = 0.02; ///< Cost of a server outside the requester's failure domain; without effect while a price is set in m_spillover.
    double m_connectionCost = 0.03; ///< Cost of opening a connection to the server.
    Duration m_maxConnectionIdleTime{std::chrono::seconds(4)}; ///< Idle time up to which a connection is likely to be open still.
    Duration m_maxConnectionIdleTimeNonIdempotent{std::chrono::milliseconds(900)}; ///< Idle time up to which a non-idempotent request relies on a connection.
    double m_warmupCost = 0.05; ///< Cost of a server that is still warming up.
    double m_slownessCost = 0.15; ///< Cost for each multiple by which a server's latency exceeds that of its service.
    Duration m_slownessDecayTime{std::chrono::seconds(4)}; ///< Time in which slowness that isn't observed again loses all but 1/e.
    double m_avoidAbove = 0.3; ///< Probability of being unhealthy above which a server gets only single trial requests.
    double m_floor = 0.7; ///< Share of the usable servers that is never avoided.
    Duration m_trialInterval{std::chrono::milliseconds(1500)}; ///< Interval between trial requests to an avoided server.
    double m_failingThreshold = 0.095; ///< Share of failed and refused requests above which a service counts as failing.
    double m_busyOutcomesPerServer = 1.0; ///< Decayed outcomes per server from which a service has enough requests to use all; see m_outcomeDecayTime.
    double m_maxUnusedShare = 0.25; ///< Share of untrusted servers that non-idempotent requests of a service that isn't failing may leave unused.
    double m_maxUnusedShareFailing = 0.15; ///< The same while the service is failing.
    double m_trustedThreshold = 0.05; ///< Probability of being unhealthy below which a server is trusted.
    Duration m_idempotentTrialInterval{std::chrono::milliseconds(1400)}; ///< Time without a request or failure after which idempotent ones try a server.
    Duration m_unusedAfter{std::chrono::milliseconds(1600)}; ///< Time without a request after which a server counts as unused.
    Duration m_unusedInOtherDomainAfter{
        std::chrono::milliseconds(200)}; ///< Further time after which a request of another failure domain uses the server, if a price is set.
    Duration m_recentFailurePeriod{std::chrono::milliseconds(1900)}; ///< Time after a failed request in which a server isn't expected to be used.
    Duration m_recentFailurePeriodUnhealthy{std::chrono::milliseconds(3500)}; ///< Longer period for unhealthy servers of a service that isn't failing.
    Duration m_outcomeDecayTime{std::chrono::milliseconds(2000)}; ///< Time in which outcomes of requests lose all but 1/e of their weight in the failure share.
    Duration m_shedBackoff{std::chrono::milliseconds(60)}; ///< Time for which a server that shed a request counts as full.
    Duration m_drainingPeriod{std::chrono::seconds(20)}; ///< Time for which a server that announced draining gets no requests, unless it restarts.
    std::optional<WarmupBounds> m_warmupBounds; ///< Bounds of the starts at cold servers whose service tells their rate; empty for no limit.
    Duration m_restoreRamp{std::chrono::seconds(3)}; ///< Time in which the servers of a restored failure domain come back, if their service tells none.
    double m_minRestoredShare = 0.05; ///< Share of the selections that may use servers of a failure domain that has just been restored.
    std::size_t m_maxCandidates = 48; ///< Bound on the servers of a large service that one selection samples.

    friend bool operator==(const ServerSelectionSettings &, const ServerSelectionSettings &) = default;
};

/// Tells whether a server with this probability of being unhealthy looks unhealthy. Thread-safe.
inline bool looksUnhealthy(const ServerSelectionSettings &settings, double unhealthyProbability)
{
    return unhealthyProbability > settings.m_avoidAbove;
}

/// Attempt that runs on a server, as known to the scheduler.
struct RunningAttempt {
    PlacementId m_id;
    TimePoint m_startedAt;
    bool m_isLastAttempt = true; ///< Whether the request fails permanently if this attempt fails.
    bool m_isCountedOverdue = false; ///< Whether the attempt was counted as evidence against the server for running too long.

    friend bool operator==(const RunningAttempt &, const RunningAttempt &) = default;
};

/// Backend server with its current load and health.
struct ServerState {
    Configuration::Server m_server;
    std::vector<RunningAttempt> m_running;
    Health::ServerSuspicion m_suspicion;
    double m_slowness = 1.0; ///< Ratio of the server's latency to the usual one of its service, a moving average at m_slownessUpdatedAt.
    TimePoint m_slownessUpdatedAt{};
    std::optional<TimePoint> m_fullUntil; ///< End of the time in which the server counts as full after it shed a request.
    std::optional<TimePoint> m_drainingUntil; ///< End of the time in which the server gets nothing after it announced draining.
    bool m_isLeaving = false; ///< The server has announced that it is leaving, which holds until it restarts.
    bool m_isEvacuated = false; ///< The failure domain of the server is evacuated.
    std::optional<TimePoint> m_restoredAt; ///< Time at which the failure domain of the server was last taken back.
    RecentStarts m_recentStarts; ///< Starts that count if the server is cold; recorded only where its service limits them.
    TimePoint m_warmupEndsAt; ///< End of the warm-up period.
    TimePoint m_lastTrialAt{}; ///< Last start of a request while the server was avoided.
    TimePoint m_lastUsedAt{}; ///< Last start of a request.
    std::optional<TimePoint> m_lastFailureAt; ///< End of the last failed request.
    std::optional<TimePoint> m_suspectSince; ///< Time since which the server has looked unhealthy.
};

/// Configured policy for the servers of a service. Empty fields stand for the settings of the host.
struct ServicePolicy {
    std::optional<double> m_floor; ///< Share of the usable servers that is never avoided; see ServerSelectionSettings::m_floor.
    std::optional<double> m_unhealthyFailureShare; ///< Share of failures from which a server counts as unhealthy, 0 to 1.
    Duration m_avoidanceDelay{}; ///< Time for which a server must look unhealthy before it is avoided.
    double m_coldRate = 0.0; ///< Requests per second that a cold server tolerates; 0 for no limit.
    Duration m_warmup{}; ///< Time that a server takes to warm up; 0 if unknown.

    friend bool operator==(const ServicePolicy &, const ServicePolicy &) = default;
};

/// Idle connection of a host to a server, as inferred from the host's attempt reports.
struct IdleConnection {
    ServerId m_server;
    TimePoint m_since;

    friend bool operator==(const IdleConnection &, const IdleConnection &) = default;
};

/// Requests that were sent to another failure domain for one reason.
struct SpilloverCount {
    std::uint64_t m_requests = 0;
    double m_kib = 0.0;

    friend bool operator==(const SpilloverCount &, const SpilloverCount &) = default;
};

/// State of one service and its servers.
struct ServiceState {
    std::vector<ServerId> m_servers; ///< Servers of the service, sorted by id.
    ServicePolicy m_policy;
    Duration m_usualTime{std::chrono::milliseconds(150)}; ///< Usual latency of a response, a moving average.
    double m_outcomes = 0.0; ///< Decayed number of requests that were served or failed.
    double m_failures = 0.0; ///< Decayed number of requests that failed.
    TimePoint m_outcomesUpdatedAt{}; ///< Last update of m_outcomes and m_failures.
    std::map<FailureDomainId, DomainDemand> m_demands; ///< Demand of each failure domain; empty while no price is set.
    TimePoint m_capacityCheckedAt{}; ///< Last update of the capacities in m_demands.
    std::map<SpilloverReason, SpilloverCount> m_spillovers; ///< Requests sent to other failure domains while a price was set.
    std::map<HostId, std::vector<IdleConnection>> m_idleConnections; ///< Latest idle connections of each host, oldest first.
};

/// Announcement of a server that it is leaving, kept while its listing is missing, too.
struct LeavingNotice {
    std::optional<std::uint64_t> m_incarnation; ///< Incarnation of the leaving process; empty if the server wasn't registered.
    TimePoint m_notedAt;

    friend bool operator==(const LeavingNotice &, const LeavingNotice &) = default;
};

/// Registry of all backend servers with their load and health.
struct ServerRegistry {
    std::map<ServerId, ServerState> m_servers;
    std::map<ServiceId, ServiceState> m_services;
    std::map<ServerId, LeavingNotice> m_leaving; ///< Servers that have announced that they are leaving.
    WarmupShare m_warmupShare; ///< Share of the starts at cold servers that this registry's scheduler may make.
    std::set<FailureDomainId> m_evacuatedDomains; ///< Failure domains whose servers get no attempts.
};

/// Adds or updates a listed server. A change of its service, address or incarnation makes it another server, with no history.
/// Not thread-safe on one registry, like all functions that change it.
/// @return whether it replaces another server, whose connections must not be reused
bool setServer(ServerRegistry &registry, const Configuration::Server &server, TimePoint now);

/// Sets the evacuated failure domains. No attempt starts on their servers, which don't count as usable for the floor of their service either; running
/// attempts go on. Servers of a domain that is taken back get a share of the selections that grows over their warm-up time. Linear in the servers.
void setEvacuatedDomains(ServerRegistry &registry, const std::set<FailureDomainId> &domains, TimePoint now);

/// Tells whether a server is warming up, according to its listing. Thread-safe on a state that doesn't change.
bool isCold(const ServerState &state, TimePoint now);

/// Tells whether a service has no usable server because failure domains are evacuated. Constant time while none is evacuated, otherwise linear in the
/// servers of the service. Thread-safe on a registry that doesn't change.
bool isServiceEvacuated(const ServerRegistry &registry, const ServiceId &service, TimePoint now);

/// Removes a server. Returns whether it was registered.
bool eraseServer(ServerRegistry &registry, const ServerId &id);

/// Tells whether a server is draining, according to its listing or to its own responses. Thread-safe on a state that doesn't change.
bool isDraining(const ServerState &state, TimePoint now);

/// Records the announcement of a server process that it is leaving. No attempt starts there any more, until the server is listed with
/// another incarnation; where the listing has no incarnations, for ServerSelectionSettings::m_drainingPeriod. An announcement of another
/// incarnation than the listed one has no effect.
/// @param incarnation empty if the sender doesn't know it
/// @return whether the announcement is new
bool noteLeaving(
    ServerRegistry &registry, const ServerSelectionSettings &settings, const ServerId &server, std::optional<std::uint64_t> incarnation, TimePoint now);

/// Tells whether a server has announced that it is leaving, also while it isn't registered. Thread-safe on a registry that doesn't change.
bool isLeaving(const ServerRegistry &registry, const ServerId &server);

/// Returns the registered servers that are leaving by their own announcement alone, as their listing doesn't say so. Linear in the
/// announcements.
std::vector<LeavingServer> leavingServers(const ServerRegistry &registry);

/// Removes old announcements of servers that are not registered.
void forgetLeavingServers(ServerRegistry &registry, TimePoint now);

/// Reason why selectServer() returned no server.
enum class SelectionFailure : std::uint8_t {
    NoServer, ///< No server is eligible.
    AllBusy, ///< No eligible server has a free slot.
};

/// Host that requests a placement.
struct Requester {
    HostId m_host;
    FailureDomainId m_domain;

    friend bool operator==(const Requester &, const Requester &) = default;
};

/// Selects the server with the lowest cost among those with a free slot. Servers that are due for a trial request or have been
/// unused for too long go first. Linear in the candidates.
/// @param freed servers of the service that have just got a free slot, which a sample of a large service could miss
tl::expected<ServerId, SelectionFailure> selectServer(const ServerRegistry &registry,
                                                      const ServerSelectionSettings &settings,
                                                      const PlacementRequest &placement,
                                                      const Requester &requester,
                                                      RandomGenerator &random,
                                                      TimePoint now,
                                                      const std::vector<ServerId> &freed = {});

/// Records the arrival of a request in the demand of its host's failure domain, if a price is set. Linear in the servers of the service, at most
/// once per SpilloverSettings::m_capacityCheckInterval.
void recordArrival(
    ServerRegistry &registry, const ServerSelectionSettings &settings, const PlacementRequest &placement, const Requester &requester, TimePoint now);

/// Counts a granted placement whose server is in another failure domain than the requester, if a price is set. To be called before startAttempt(),
/// and only by the scheduler that selected the server, so that no request is counted on two hosts. Linear in the servers of the service.
/// Precondition: the server is registered.
void recordSpillover(ServerRegistry &registry,
                     const ServerSelectionSettings &settings,
                     const PlacementRequest &placement,
                     const ServerId &server,
                     const Requester &requester,
                     TimePoint now);

/// Records that the attempt of a placement starts on a server. Precondition: the server is registered.
void startAttempt(ServerRegistry &registry,
                  const ServerSelectionSettings &settings,
                  const PlacementRequest &placement,
                  const ServerId &server,
                  const Requester &requester,
                  TimePoint now);

/// Records how an attempt ended. Reports about unregistered servers are ignored.
void endAttempt(ServerRegistry &registry, const ServerSelectionSettings &settings, const AttemptReport &report, const Requester &requester, TimePoint now);

/// Records that a request of a service was refused.
void recordRefusal(ServerRegistry &registry, const ServerSelectionSettings &settings, const ServiceId &service, TimePoint now);

/// Removes a running attempt of which no report will come. An unknown one is ignored.
void forgetAttempt(ServerRegistry &registry, const ServerId &server, const PlacementId &id);

/// Counts attempts that run for much longer than usual as evidence against their servers. Linear in the running attempts.
/// @param domains failure domains of the requesting hosts
void recordOverdueAttempts(ServerRegistry &registry, const ServerSelectionSettings &settings, const std::map<HostId, FailureDomainId> &domains, TimePoint now);

/// Removes the idle connections of each host whose latest one has been idle for too long to be relied on. Linear in the requesting
/// hosts of each service.
void forgetIdleConnections(ServerRegistry &registry, const ServerSelectionSettings &settings, TimePoint now);

/// Tells whether any usable server of a service has a free slot. Linear in its servers.
bool hasFreeSlot(const ServerRegistry &registry, const ServiceId &service, TimePoint now);

/// Returns the total slots of the usable servers of a service. Linear in its servers.
std::uint32_t slotsOf(const ServerRegistry &registry, const ServiceId &service, TimePoint now);

}
