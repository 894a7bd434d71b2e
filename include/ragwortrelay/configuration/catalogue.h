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

/// A service: a set of equal backend servers.
struct Service {
    ServiceId m_id;
    std::optional<double> m_floor; ///< Share of the servers that is never avoided, 0 to 1; empty for the setting of the host.
    double m_objective = 0.999; ///< Share of requests that must succeed, 0 to 1.
    Duration m_latencyObjective{std::chrono::seconds(1)}; ///< Slower answers count against the objective.
    double m_detectFailures = 0.0; ///< Share of failures from which a backend server counts as sick; 0 for the setting of the host.
    Duration m_detectAfter{}; ///< How long that must last; 0 for the setting of the host.
    std::string m_healthPath; ///< Where its servers tell of their health; empty when they don't.
    std::uint32_t m_maxConnections = 0; ///< That one server takes from all hosts together; 0 for any number.

    friend bool operator==(const Service &, const Service &) = default;
};

/// How the operators' table tells to use a backend server.
enum class ServerUse : std::uint8_t {
    Active,
    Draining,
};

/// One backend server of a service.
struct Server {
    ServerId m_id;
    ServiceId m_service;
    std::string m_address; ///< `IP:PORT`
    FailureDomainId m_domain;
    double m_weight = 1.0;
    std::uint32_t m_slots = 1; ///< Requests that it runs at once.
    ServerUse m_use = ServerUse::Active;
    std::uint64_t m_incarnation = 0; ///< Of its process; another one holds and knows nothing of before.
    Duration m_warmupLeft{}; ///< How much longer it is slow after its start, as of when it was read.

    friend bool operator==(const Server &, const Server &) = default;
};

/// A service that gets a share of a route's requests.
struct ServiceShare {
    ServiceId m_service;
    double m_weight = 1.0; ///< Relative to the other shares of the route.

    friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/// Which requests go to which service.
struct Route {
    std::string m_name;
    std::string m_host; ///< Lower case; empty for any host.
    std::string m_method; ///< Empty for any method.
    std::string m_pathPrefix;
    ServiceId m_service;
    std::vector<ServiceShare> m_shares; ///< At least one.
    bool m_idempotent = true;
    bool m_allowsAnonymous = false; ///< Runs without a workspace key.
    Duration m_deadline{std::chrono::seconds(10)};
    Duration m_latencyObjective{std::chrono::seconds(1)};
    std::uint32_t m_maxAttempts = 3; ///< Servers that one request may be sent to.
    std::uint32_t m_priority = 0; ///< 0 is served first.

    friend bool operator==(const Route &, const Route &) = default;
};

/// A tenant with its limits, counted over all hosts.
struct Workspace {
    WorkspaceId m_id;
    std::uint32_t m_rate = 10; ///< Requests a second.
    std::uint32_t m_burst = 20; ///< Requests at once.
    double m_weight = 1.0; ///< Its turns under overload.
    bool m_isLimited = true;
    std::optional<std::uint32_t> m_priority; ///< Goes before the route's.

    friend bool operator==(const Workspace &, const Workspace &) = default;
};

/// The stored form of a workspace key: a salted digest, never the key.
struct Key {
    KeyId m_id;
    WorkspaceId m_workspace;
    std::string m_salt;
    std::string m_digest; ///< Lower-case hexadecimal SHA-256 of salt and secret.
    bool m_withdrawn = false;

    friend bool operator==(const Key &, const Key &) = default;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::uint64_t m_maxHeaderBytes = 16U << 10U;
    std::uint64_t m_maxBodyBytes = 1U << 20U;
    Duration m_headerTimeout{std::chrono::seconds(10)};
    Duration m_idleTimeout{std::chrono::seconds(75)}; ///< Between two requests.

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// The table in typed form, ready for look-ups.
struct Catalogue {
    std::uint64_t m_version = 0;
    std::map<ServiceId, Service> m_services;
    std::map<ServerId, Server> m_servers;
    std::map<ServiceId, std::vector<ServerId>> m_serversOf;
    std::vector<Route> m_routes; ///< Longest path prefix first.
    std::map<WorkspaceId, Workspace> m_workspaces;
    std::map<KeyId, Key> m_keys;
    std::optional<CallerLimits> m_callerLimits; ///< Empty for those of the settings.

    friend bool operator==(const Catalogue &, const Catalogue &) = default;
};

/// Reads the cells of all rows.
/// @param findings receives an entry for each bad cell; its row is left out
Catalogue buildCatalogue(const Table &table, Findings &findings);

/// Brings a catalogue up to date with a change; the result is that of buildCatalogue() on the table after the change.
/// Takes time in the order of the rows written, and of the routes if one of them is written.
void updateCatalogue(Catalogue &catalogue, const Change &change);

/// Brings routes into the order in which they are looked at: longest path prefix first.
void sortRoutes(std::vector<Route> &routes);

/// Returns the columns that rows of a kind may have.
std::set<std::string> columnsOf(RowKind kind);

/// Formats the message about an unknown column, with the nearest known one.
std::string unknownColumn(const std::string &column, const std::set<std::string> &columns);

/// Returns the route for a request, or nullptr. The path is without its query.
const Route *findRoute(const Catalogue &catalogue, const std::string &method, const std::string &path);

/// Returns the route with the longest prefix among those of the host, or nullptr.
/// @param host in lower case, without port
/// @param path without its query; escapes of characters that need none count as these characters
const Route *findRoute(const Catalogue &catalogue, const std::string &host, const std::string &method, const std::string &path);

}
