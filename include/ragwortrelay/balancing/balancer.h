#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace RagwortRelay::Balancing {

/// How a server is picked among those that may be.
enum class Policy : std::uint8_t {
    Estimated, ///< Least estimated use: reports that decay towards the mean of the service, sheds, own requests.
    Random, ///< For comparison.
    LeastInFlight, ///< For comparison: fewest requests of this host.
    TwoChoices, ///< For comparison: the lower last report of two random servers.
};

/// How this host balances.
struct BalancerSettings {
    Policy m_policy = Policy::Estimated;
    Duration m_shedHold{std::chrono::milliseconds(15)}; ///< A server that shed isn't picked for this long.
    Duration m_slowStart{std::chrono::seconds(10)}; ///< A cold server gets its full part only after this time.
    Duration m_drainHold{std::chrono::seconds(60)}; ///< A server that reported to be draining isn't picked for this long.
    std::uint32_t m_connectionsAtMost = 300; ///< That one server should get from all hosts together.

    friend bool operator==(const BalancerSettings &, const BalancerSettings &) = default;
};

/// What other parts of the host have decided about a server.
enum class Standing : std::uint8_t {
    Usable,
    Avoided, ///< Picked only when no usable server has a free slot.
    Barred, ///< Not picked.
};

/// What this host knows of the use of one backend server.
struct ServerLoad {
    std::uint32_t m_inFlight = 0; ///< Requests of this host that run there.
    double m_reportedBusy = 0.0; ///< Slots in use by its last report, with this host's requests since then.
    std::optional<TimePoint> m_reportedAt;
    std::optional<TimePoint> m_fullUntil; ///< Set when it shed a request.
    std::optional<TimePoint> m_drainingUntil; ///< Set when it reported to be draining.
    std::optional<TimePoint> m_warmAt; ///< End of its slow start.

    friend bool operator==(const ServerLoad &, const ServerLoad &) = default;
};

/// What this host knows of the servers of a service together.
struct ServiceLoad {
    double m_meanUtilisation = 0.0; ///< Of the reports, as a moving average.
    Duration m_meanWork{std::chrono::milliseconds(20)}; ///< Time from start to answer, as a moving average.

    friend bool operator==(const ServiceLoad &, const ServiceLoad &) = default;
};

/// Servers of a service in the order in which this host prefers them.
struct ServerOrder {
    std::uint64_t m_catalogueVersion = 0;
    std::vector<ServerId> m_servers;
};

/// State of the balancer of one host.
struct Balancer {
    std::map<ServerId, ServerLoad> m_loads;
    std::map<ServiceId, ServiceLoad> m_services;
    std::map<ServiceId, ServerOrder> m_orders;
    std::set<ServerId> m_known; ///< Servers of the catalogue that was seen last.
    std::uint64_t m_catalogueVersion = 0;
};

/// What is wanted from pickServer().
struct PickQuery {
    HostId m_host; ///< That picks.
    std::size_t m_hosts = 1; ///< In the fleet.
    ServiceId m_service;
    const std::set<ServerId> *m_excluded = nullptr; ///< Servers that must not be picked, may be null.
    const std::map<ServerId, Standing> *m_standings = nullptr; ///< Servers that aren't listed are usable, may be null.
};

/// Why pickServer() returned none.
enum class PickFailure : std::uint8_t {
    NoServer, ///< None may be picked.
    AllBusy, ///< Each that may be picked is taken to be full.
};

/// Picks a backend server of the service.
/// Not thread-safe on one balancer or generator. Linear in the servers of the service.
tl::expected<ServerId, PickFailure> pickServer(Balancer &balancer,
                                               const BalancerSettings &settings,
                                               const Configuration::Catalogue &catalogue,
                                               const PickQuery &query,
                                               TimePoint now,
                                               RandomGenerator &random);

/// Takes note of servers that are new in the catalogue: they start cold, except in the first catalogue.
void noteCatalogue(Balancer &balancer, const BalancerSettings &settings, const Configuration::Catalogue &catalogue, TimePoint now);

/// Starts the slow start of a server that came back.
void noteCold(Balancer &balancer, const BalancerSettings &settings, const ServerId &server, TimePoint now);

/// Tells whether the server is in its slow start.
bool isCold(const Balancer &balancer, const ServerId &server, TimePoint now);

/// Tells whether the server reported of late that it is draining.
bool isDraining(const Balancer &balancer, const ServerId &server, TimePoint now);

/// Counts an attempt that starts on the server.
void startAttempt(Balancer &balancer, const ServerId &server);

/// Counts an attempt that has ended on the server. Precondition: it was started.
void endAttempt(Balancer &balancer, const ServerId &server);

/// Takes in how long the server took for an answer.
void noteWork(Balancer &balancer, const ServiceId &service, Duration work);

/// Takes in the load that a server reported.
void noteReport(
    Balancer &balancer, const BalancerSettings &settings, const Configuration::Server &server, std::uint32_t busySlots, bool draining, TimePoint now);

/// Takes in that a server shed a request unrun.
void noteShed(Balancer &balancer, const BalancerSettings &settings, const Configuration::Server &server, TimePoint now);

}
