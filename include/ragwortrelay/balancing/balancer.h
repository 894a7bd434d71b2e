#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/random.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace RagwortRelay::Balancing {

/// What this host knows of the use of one backend server.
struct ServerLoad {
    std::uint32_t m_inFlight = 0; ///< Requests of this host that run there.
    std::uint32_t m_reportedBusy = 0; ///< Slots in use by its last report.

    friend bool operator==(const ServerLoad &, const ServerLoad &) = default;
};

/// State of the balancer of one host.
struct Balancer {
    std::map<ServerId, ServerLoad> m_loads;
};

/// Picks a backend server of the service, or none.
/// @param excluded servers that must not be picked
/// Not thread-safe on one balancer or generator.
std::optional<ServerId> pickServer(
    const Balancer &balancer, const Configuration::Catalogue &catalogue, const ServiceId &service, const std::set<ServerId> &excluded, RandomGenerator &random);

/// Counts an attempt that starts on the server.
void startAttempt(Balancer &balancer, const ServerId &server);

/// Counts an attempt that has ended on the server. Precondition: it was started.
void endAttempt(Balancer &balancer, const ServerId &server);

}
