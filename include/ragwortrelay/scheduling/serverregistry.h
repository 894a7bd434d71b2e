#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/health/suspicion.h>
#include <ragwortrelay/scheduling/placementrequest.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RagwortRelay::Scheduling {

/// How servers are weighed against one another. Costs are parts of the worth of one request.
struct ServerSelectionSettings {
    Health::SuspicionSettings m_suspicion;
    double m_failureCost = 1.0; ///< Of a request that fails for good.
    double m_retryCost = 0.25; ///< Of one that fails and can be sent again.
    double m_occupiedCost = 0.04; ///< Of sharing a server with as many requests as it has slots.
    double m_otherDomainCost = 0.02; ///< Of leaving the failure domain.
    double m_connectionCost = 0.03; ///< Of a new connection to the server.
    Duration m_connectionKept{std::chrono::seconds(4)}; ///< A connection that was used so lately is likely to be there still.
    Duration m_connectionFresh{std::chrono::milliseconds(900)}; ///< The same for a request that may run only once.
    double m_warmupCost = 0.05; ///< Of a server that is slow after its start.
    double m_slownessCost = 0.15; ///< For each time that a server is slower than its service.
    Duration m_slownessDecayTime{std::chrono::seconds(4)}; ///< Slowness that isn't seen again loses all but 1/e in this time.
    double m_avoidAbove = 0.3; ///< Probability of sickness from which a server gets no more than single trials.
    double m_floor = 0.7; ///< Share of the usable servers that is never avoided.
    Duration m_trialInterval{std::chrono::milliseconds(1500)}; ///< Between two trial requests at an avoided server.
    double m_failingAbove = 0.085; ///< Share of failures from which a service counts as failing.
    double m_busyPerServer = 2.0; ///< Late requests for each server from which a service has enough to do for all; see m_failureDecayTime.
    double m_untouchedAtMost = 0.2; ///< Share of the servers of a failing or busy service that may get nothing for m_untouchedAfter.
    double m_untouchedAtMostOnce = 0.25; ///< The same before a request that may run only once is used for it in a busy service.
    double m_untouchedTrusted = 0.02; ///< The same for those that hardly look sick: nothing is lost by using them.
    double m_trustedBelow = 0.05; ///< Probability of sickness up to which a server hardly looks sick.
    Duration m_untouchedAfter{std::chrono::milliseconds(1600)};
    Duration m_recentFailurePeriod{std::chrono::milliseconds(1900)}; ///< A server that failed a request isn't expected to be used again for so long.
    Duration m_recentSicknessPeriod{std::chrono::milliseconds(3500)}; ///< The same for one that looks sick, while its service does well.
    Duration m_failureDecayTime{std::chrono::milliseconds(2000)}; ///< Outcomes lose all but 1/e of their weight in the share of failures in this time.
    Duration m_shedHold{std::chrono::milliseconds(60)}; ///< A server that shed counts as full for so long.
    Duration m_drainHold{std::chrono::seconds(20)}; ///< A server that said it is leaving gets nothing for so long, unless it starts anew.
    std::size_t m_candidatesAtMost = 48; ///< Servers that are looked at for one pick.

    friend bool operator==(const ServerSelectionSettings &, const ServerSelectionSettings &) = default;
};

/// A request that runs at a server, as the scheduler knows it.
struct RunningAttempt {
    PlacementId m_id;
    TimePoint m_startedAt;
    bool m_isLastTry = true; ///< When it fails, its request isn't served.
    bool m_isOverdue = false; ///< Was counted as evidence against the server.

    friend bool operator==(const RunningAttempt &, const RunningAttempt &) = default;
};

/// One backend server in use.
struct ServerState {
    Configuration::Server m_server;
    std::vector<RunningAttempt> m_running;
    Health::ServerSuspicion m_suspicion;
    double m_slowness = 1.0; ///< Time of its answers against the usual time of the service, as a moving average at m_slownessAt.
    TimePoint m_slownessAt{};
    std::optional<TimePoint> m_fullUntil; ///< Set when it shed a request.
    std::optional<TimePoint> m_drainingUntil; ///< Set when it said that it is leaving.
    TimePoint m_warmAt; ///< End of its slow start.
    TimePoint m_triedAt{}; ///< Last start of a request while it was avoided.
    TimePoint m_usedAt{}; ///< Last start of a request.
    std::optional<TimePoint> m_failedAt; ///< Last request that failed.
    std::optional<TimePoint> m_suspectSince; ///< Since when it has looked sick.
};

/// What is configured about the servers of a service; empty fields stand for the settings of the host.
struct ServicePolicy {
    std::optional<double> m_floor; ///< See ServerSelectionSettings::m_floor.
    std::optional<double> m_sickAbove; ///< Share of failures from which a server counts as sick, 0 to 1.
    Duration m_sickAfter{}; ///< How long it must look sick before it is avoided.

    friend bool operator==(const ServicePolicy &, const ServicePolicy &) = default;
};

/// A connection that a host holds to a server without using it, as far as the ends of its attempts tell.
struct IdleConnection {
    ServerId m_server;
    TimePoint m_since;

    friend bool operator==(const IdleConnection &, const IdleConnection &) = default;
};

/// The servers of one service.
struct ServiceState {
    std::vector<ServerId> m_servers; ///< In the order of their names.
    ServicePolicy m_policy;
    Duration m_usualTime{std::chrono::milliseconds(150)}; ///< Of an answer, as a moving average.
    double m_outcomes = 0.0; ///< Requests that were served or not, fading.
    double m_failures = 0.0; ///< Those that were not.
    TimePoint m_outcomesAt{}; ///< When both were updated.
    std::map<HostId, std::vector<IdleConnection>> m_idle; ///< The last ones of each host, oldest first.
};

/// All backend servers, with what is known of their use and health.
struct ServerRegistry {
    std::map<ServerId, ServerState> m_servers;
    std::map<ServiceId, ServiceState> m_services;
};

/// Takes over what is listed of a server. One with another service, address or incarnation than before is another server.
/// @return whether it replaces one of which earlier connections must not be used any more
/// Not thread-safe on one book, like all functions that change it.
bool setServer(ServerRegistry &registry, const Configuration::Server &server, TimePoint now);

/// Forgets a server. Returns whether there was one.
bool eraseServer(ServerRegistry &registry, const ServerId &id);

/// Tells whether a server is leaving, by its listing or by its own word. Thread-safe on a state that doesn't change.
bool isDraining(const ServerState &state, TimePoint now);

/// Why selectServer() returned none.
enum class SelectionFailure : std::uint8_t {
    NoServer, ///< None may be picked.
    AllBusy, ///< Each that may be picked has no free slot.
};

/// Who asks for a server.
struct Requester {
    HostId m_host;
    FailureDomainId m_domain;

    friend bool operator==(const Requester &, const Requester &) = default;
};

/// Picks the server with the least cost among those with a free slot. Linear in the candidates.
tl::expected<ServerId, SelectionFailure> selectServer(const ServerRegistry &registry,
                                                      const ServerSelectionSettings &settings,
                                                      const PlacementRequest &placement,
                                                      const Requester &requester,
                                                      RandomGenerator &random,
                                                      TimePoint now);

/// Counts the attempt of a placement that starts on the server. Precondition: the server is in the book.
void startAttempt(ServerRegistry &registry,
                  const ServerSelectionSettings &settings,
                  const PlacementRequest &placement,
                  const ServerId &server,
                  const Requester &requester,
                  TimePoint now);

/// Takes in how a request ended. A server that isn't in the book changes nothing.
void endAttempt(ServerRegistry &registry, const ServerSelectionSettings &settings, const AttemptReport &done, const Requester &requester, TimePoint now);

/// Takes in that a request of a service was refused for want of a server.
void recordRefusal(ServerRegistry &registry, const ServerSelectionSettings &settings, const ServiceId &service, TimePoint now);

/// Forgets the requests of a host that run, but for those that it names.
void reconcile(ServerRegistry &registry, const HostId &host, const std::vector<std::uint64_t> &running, TimePoint startedBefore);

/// Counts requests that run for much longer than is usual as evidence against their servers. Linear in the requests that run.
void recordOverdueAttempts(ServerRegistry &registry, const ServerSelectionSettings &settings, const std::map<HostId, FailureDomainId> &domains, TimePoint now);

/// Forgets connections that hosts have not used for so long that they are no longer counted on. Linear in the hosts that have asked for each service.
void forgetIdleConnections(ServerRegistry &registry, const ServerSelectionSettings &settings, TimePoint now);

/// Tells whether any usable server of a service has a free slot. Linear in its servers.
bool hasFreeSlot(const ServerRegistry &registry, const ServiceId &service, TimePoint now);

/// Returns how many slots the usable servers of a service have. Linear in its servers.
std::uint32_t slotsOf(const ServerRegistry &registry, const ServiceId &service, TimePoint now);

}
