#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/scheduling/serverregistry.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Pauses that backend servers ask a host for with `503` and `Retry-After`. They answer a load that a server can't take from this host;
/// other hosts may still send it requests.
namespace RagwortRelay::Scheduling {

/// Pause of one server process.
struct ServerPause {
    TimePoint m_until;
    std::uint64_t m_incarnation = 0; ///< Incarnation of the process; see Configuration::Server::m_incarnation.
    bool m_hasSentTrial = false; ///< A request was sent in the pause.

    friend bool operator==(const ServerPause &, const ServerPause &) = default;
};

/// Pauses that servers have asked one host for.
struct ServerPauses {
    std::map<ServerId, ServerPause> m_pauses;

    friend bool operator==(const ServerPauses &, const ServerPauses &) = default;
};

/// Records that a server asks for a pause. A pause that ends later stays as it is.
/// Not thread-safe on the same pauses, like all functions that change them.
/// @return whether the server was not paused before
bool startPause(ServerPauses &pauses, const ServerRegistry &registry, const ServerId &server, Duration length, TimePoint now);

/// Tells whether an attempt may start on a server: it isn't paused, or no request was sent in the pause yet. Thread-safe on pauses that
/// don't change.
bool mayStart(const ServerPauses &pauses, const ServerRegistry &registry, const ServerId &server, TimePoint now);

/// Records that an attempt starts on a server. Precondition: mayStart().
void recordStart(ServerPauses &pauses, const ServerId &server, TimePoint now);

/// Returns the servers of a service that a placement must not select because of their pauses. While all usable servers are paused, those
/// to which no request was sent in the pause are left out, so that the service isn't refused altogether. Linear in the pauses, and in the
/// servers of the service when there are any pauses.
std::vector<ServerId> excludedByPauses(const ServerPauses &pauses, const ServerRegistry &registry, const ServiceId &service, TimePoint now);

/// Removes the pauses that have ended.
void expirePauses(ServerPauses &pauses, TimePoint now);

}
