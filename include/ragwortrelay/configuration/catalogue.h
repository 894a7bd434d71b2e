#pragma once

#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace RagwortRelay::Configuration {

/// A service, which is a set of interchangeable backend servers.
struct Service {
    ServiceId m_id;
    std::optional<double> m_floor; ///< Share of the usable servers that is never avoided, 0 to 1; empty for the host's setting.
    double m_objective = 0.999; ///< Share of requests that must succeed, 0 to 1.
    Duration m_latencyObjective{std::chrono::seconds(1)}; ///< Latency above which a response counts against the objective.
    double m_detectFailures = 0.0; ///< Failure share at which a backend server counts as unhealthy; 0 for the host's setting.
    Duration m_detectAfter{}; ///< Time for which the failures must last; 0 for the host's setting.
    std::string m_healthPath; ///< Path of the servers' health check; empty when they have none.
    Duration m_warmup{}; ///< Time that a server takes to warm up after its start; 0 if unknown.
    double m_coldRate = 0.0; ///< Requests per second that a server tolerates while it warms up; 0 for no limit.
    std::uint32_t m_maxConnections = 0; ///< Maximum connections to one server from all hosts together; 0 for no limit.

    friend bool operator==(const Service &, const Service &) = default;
};

/// Use of a backend server that the operators' table prescribes.
enum class ServerUse : std::uint8_t {
    Active,
    Draining,
};

/// Incarnation of a server in a listing without incarnations.
inline constexpr std::uint64_t UnknownIncarnation = 0;

/// One backend server of a service.
struct Server {
    ServerId m_id;
    ServiceId m_service;
    std::string m_address; ///< `IP:PORT`
    FailureDomainId m_domain;
    double m_weight = 1.0;
    std::uint32_t m_slots = 1; ///< Maximum number of requests that the server runs at once.
    ServerUse m_use = ServerUse::Active;
    std::uint64_t m_incarnation = UnknownIncarnation; ///< Incarnation of the server process; a new one has none of the state of the previous one.
    Duration m_warmupLeft{}; ///< Remaining time of slow responses after a start, as of the time when this was read.

    friend bool operator==(const Server &, const Server &) = default;
};

/// A service that receives a share of a route's requests.
struct ServiceShare {
    ServiceId m_service;
    double m_weight = 1.0; ///< Weight relative to the other shares of the route.

    friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// A rule that selects the service for a request.
struct Route {
    std::string m_name;
    std::string m_host; ///< Host name in lower case; empty for any host.
    std::string m_method; ///< HTTP method; empty for any method.
    std::string m_pathPrefix;
    ServiceId m_service;
    std::vector<ServiceShare> m_shares; ///< Services that share the requests; at least one.
    bool m_idempotent = true;
    bool m_allowsAnonymous = false; ///< Requests without a workspace key are accepted.
    Duration m_deadline{std::chrono::seconds(10)};
    Duration m_latencyObjective{std::chrono::seconds(1)};
    std::uint32_t m_maxAttempts = 3; ///< Maximum number of backend servers that one request is sent to.
    std::uint32_t m_priority = 0; ///< Priority of the requests; 0 is served first.

    friend bool operator==(const Route &, const Route &) = default;
};

/// A workspace with its limits, which apply to all hosts together.
struct Workspace {
    WorkspaceId m_id;
    std::uint32_t m_rate = 10; ///< Requests per second.
    std::uint32_t m_burst = 20; ///< Maximum burst, in requests.
    double m_weight = 1.0; ///< Relative share of turns under overload.
    bool m_isLimited = true;
    std::optional<std::uint32_t> m_priority; ///< Priority that overrides the route's.

    friend bool operator==(const Workspace &, const Workspace &) = default;
};

/// Stored form of a workspace key, which is a salted digest and never the key itself.
struct Key {
    KeyId m_id;
    WorkspaceId m_workspace;
    std::string m_salt;
    std::string m_digest; ///< Lower-case hexadecimal SHA-256 of salt and secret.
    bool m_withdrawn = false;

    friend bool operator==(const Key &, const Key &) = default;
};

/// Limits on the size and duration of requests from callers.
struct CallerLimits {
    std::uint64_t m_maxHeaderBytes = 16U << 10U;
    std::uint64_t m_maxBodyBytes = 1U << 20U;
    Duration m_headerTimeout{std::chrono::seconds(10)};
    Duration m_idleTimeout{std::chrono::seconds(75)}; ///< Maximum time between two requests of a connection.

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// Typed form of the table, prepared for lookups.
struct Catalogue {
    std::uint64_t m_version = 0;
    std::map<ServiceId, Service> m_services;
    std::map<ServerId, Server> m_servers;
    std::map<ServiceId, std::vector<ServerId>> m_serversOf;
    std::vector<Route> m_routes; ///< Longest path prefix first.
    std::map<WorkspaceId, Workspace> m_workspaces;
    std::map<KeyId, Key> m_keys;
    std::optional<CallerLimits> m_callerLimits; ///< Limits of callers; empty for those of the settings.

    friend bool operator==(const Catalogue &, const Catalogue &) = default;
};

/// Builds a catalogue from the cells of all rows.
/// @param findings receives an entry for each invalid cell, whose row is left out, and for each unknown column, whose row is kept
Catalogue buildCatalogue(const Table &table, Findings &findings);

/// Applies a change to a catalogue. The result equals that of buildCatalogue() on the table after the change.
/// The time it takes grows with the rows written, and with all routes if one of the rows is a route.
void updateCatalogue(Catalogue &catalogue, const Change &change);

/// Sorts routes into matching order: longest path prefix first.
void sortRoutes(std::vector<Route> &routes);

/// Returns the known columns of a kind of row.
std::set<std::string> columnsOf(RowKind kind);

/// Formats the message about an unknown column and suggests the most similar known one.
std::string unknownColumn(const std::string &column, const std::set<std::string> &columns);

/// Returns the route with the longest matching path prefix, whatever its host, or nullptr.
/// @param path without its query; compared as it is, escapes included
const Route *findRoute(const Catalogue &catalogue, const std::string &method, const std::string &path);

/// Returns the route with the longest matching path prefix among those of the host, or nullptr.
/// @param host in lower case, without port
/// @param path without its query; escaped unreserved characters are decoded before the comparison
const Route *findRoute(const Catalogue &catalogue, const std::string &host, const std::string &method, const std::string &path);

}
