#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace RagwortRelay::Settings {

/// Identity and capacity of a host.
struct HostSettings {
    HostId m_name;
    FailureDomainId m_domain;
    double m_capacity = 1.0; ///< Processor capacity relative to other hosts.
    std::uint64_t m_memory = 0; ///< Memory of the machine, in bytes; 0 if it isn't known.

    friend bool operator==(const HostSettings &, const HostSettings &) = default;
};

/// Listener for callers, with its limits and timeouts.
struct CallerSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose.
    std::uint64_t m_bodyLimit = 1U << 20U; ///< Maximum size of a request body, in bytes.
    std::uint64_t m_headerLimit = 16U << 10U; ///< Maximum size of the request line and all headers, in bytes.
    std::uint64_t m_headerFieldLimit = 4096; ///< Maximum number of header fields of a request.
    std::uint64_t m_connectionLimit = 4096; ///< Maximum number of open connections.
    std::optional<std::uint64_t> m_memoryLimit; ///< Maximum memory held for all connections together, in bytes; empty for a default.
    Duration m_headerTimeout{std::chrono::seconds(10)}; ///< Time from the start of a connection to the end of its first header.
    Duration m_bodyTimeout{std::chrono::seconds(30)}; ///< Time from the end of the header to the end of the body.
    Duration m_idleTimeout{std::chrono::seconds(75)}; ///< Time from a response to the end of the header of the next request.
    Duration m_responseTimeout{std::chrono::minutes(2)}; ///< Time from the start of a response until the caller has read all of it.
    std::string m_certificate; ///< PEM file with the certificate chain; empty for plain HTTP.
    std::string m_key; ///< PEM file with the private key of m_certificate.

    friend bool operator==(const CallerSettings &, const CallerSettings &) = default;
};

/// Connections from this host to backend servers.
struct BackendSettings {
    bool m_usesTls = false;
    std::string m_authority; ///< PEM file of the certificate authorities that are trusted for backend servers.
    Duration m_connectTimeout{std::chrono::milliseconds(250)};
    std::uint64_t m_idleConnections = 512; ///< Maximum number of idle connections to all backend servers together.

    friend bool operator==(const BackendSettings &, const BackendSettings &) = default;
};

/// Listener for operators' commands.
struct OperatorSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose; empty if the listener is disabled.
    std::string m_token; ///< Token that each command must present.

    friend bool operator==(const OperatorSettings &, const OperatorSettings &) = default;
};

/// HTTP endpoint for readiness or metrics.
struct EndpointSettings {
    std::string m_listen; ///< `IP:PORT`; empty if the endpoint is served by the operators' listener only.
    std::string m_path; ///< Path of the endpoint; begins with a slash.

    friend bool operator==(const EndpointSettings &, const EndpointSettings &) = default;
};

/// Connection to the platform's store.
struct StoreSettings {
    std::string m_address; ///< `IP:PORT` of the store.
    Duration m_connectTimeout{std::chrono::milliseconds(500)};
    Duration m_timeout{std::chrono::milliseconds(900)}; ///< Timeout of a call that isn't a long poll.

    friend bool operator==(const StoreSettings &, const StoreSettings &) = default;
};

/// Communication with other hosts.
struct PeerSettings {
    std::string m_listen; ///< `IP:PORT` of the datagram socket; port 0 lets the kernel choose; empty for a host that runs alone.
    std::vector<std::string> m_seeds; ///< `IP:PORT` of hosts that are asked for the other hosts while the store is unavailable.
    std::string m_secret; ///< Shared secret of the fleet; empty for a secret that the hosts agree on in the store.

    friend bool operator==(const PeerSettings &, const PeerSettings &) = default;
};

/// Source of the configuration.
enum class ConfigurationOrigin : std::uint8_t {
    Table, ///< Table that operators edit.
    Platform, ///< Configuration that the platform's operator writes.
};

/// Source and time limits of the configuration.
struct ConfigurationSettings {
    ConfigurationOrigin m_origin = ConfigurationOrigin::Table;
    Duration m_revocationLimit{std::chrono::seconds(5)}; ///< Longest time that a withdrawn key is accepted, also on a partitioned host.
    Duration m_editLimit{std::chrono::seconds(20)}; ///< Longest time for which an edit is retried.

    friend bool operator==(const ConfigurationSettings &, const ConfigurationSettings &) = default;
};

/// Records for reports over all hosts.
struct ReportSettings {
    bool m_storesRecords = true; ///< Whether this host writes service level records to the store.

    friend bool operator==(const ReportSettings &, const ReportSettings &) = default;
};

/// Retry budget over all hosts.
struct RetrySettings {
    double m_ratio = 0.2; ///< Retries that each request adds to the budget.
    std::uint64_t m_reserve = 50; ///< Retries allowed in addition within ten seconds.

    friend bool operator==(const RetrySettings &, const RetrySettings &) = default;
};

/// Avoidance of backend servers that look unhealthy.
struct HealthSettings {
    double m_floor = 0.7; ///< Share of a service's usable backend servers that is never avoided.
    double m_avoidAbove = 0.3; ///< Probability of being unhealthy above which a backend server gets only single trial requests.
    Duration m_trialInterval{std::chrono::milliseconds(1500)}; ///< Interval between two trial requests to an avoided backend server.

    friend bool operator==(const HealthSettings &, const HealthSettings &) = default;
};

/// Bounds of the requests that all hosts together start at a cold backend server within any one second.
struct WarmupSettings {
    double m_overage = 1.5; ///< Factor of the rate that the service's configuration allows for a cold server.
    double m_slack = 8.0; ///< Requests beside those.

    friend bool operator==(const WarmupSettings &, const WarmupSettings &) = default;
};

/// Choice between backend servers of the host's own failure domain and of others.
struct BalancingSettings {
    double m_crossDomainPricePerKib = 0.0; ///< Price of a KiB between failure domains, relative to the value of one request; 0 for none.
    double m_crossDomainPricePerMs = 0.0; ///< Price of a millisecond of latency between failure domains; 0 for none.

    friend bool operator==(const BalancingSettings &, const BalancingSettings &) = default;
};

/// Queue of requests that wait for a free slot.
struct QueueSettings {
    std::uint64_t m_perService = 512; ///< Maximum number of queued requests for one service, over all hosts.

    friend bool operator==(const QueueSettings &, const QueueSettings &) = default;
};

/// Graceful shutdown of this host.
struct StopSettings {
    Duration m_balancerLag{std::chrono::seconds(2)}; ///< Shortest time to keep serving until the load balancer sees the host as not ready.
    Duration m_limit{std::chrono::seconds(30)}; ///< Longest time from the stop request to the exit; exceeds m_balancerLag.
    std::optional<Duration> m_killAfter; ///< Time from the stop request after which the platform kills the process; empty if it doesn't.

    friend bool operator==(const StopSettings &, const StopSettings &) = default;
};

/// Logging.
struct LogSettings {
    std::string m_level = "info"; ///< Least severe level that is logged: `error`, `warning`, `info` or `debug`.

    friend bool operator==(const LogSettings &, const LogSettings &) = default;
};

/// All settings of a host process.
struct Settings {
    HostSettings m_host;
    CallerSettings m_callers;
    BackendSettings m_backends;
    OperatorSettings m_operators;
    EndpointSettings m_readiness;
    EndpointSettings m_metrics;
    StoreSettings m_store;
    PeerSettings m_peers;
    ConfigurationSettings m_configuration;
    ReportSettings m_reports;
    RetrySettings m_retries;
    HealthSettings m_health;
    std::optional<WarmupSettings> m_warmup; ///< Empty if cold servers have no limit.
    BalancingSettings m_balancing;
    QueueSettings m_queue;
    StopSettings m_stop;
    LogSettings m_log;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// Parses and validates settings in YAML. Thread-safe.
///
/// @param fileName file name for the findings; relative paths in the settings are resolved against its folder
/// @param now time at which certificates must be valid
/// @return the settings, or all findings in the order of their places
tl::expected<Settings, Findings>
parseSettings(const std::string &text, const std::string &fileName, std::chrono::system_clock::time_point now = std::chrono::system_clock::now());

/// Reads a file and parses it with parseSettings(). Thread-safe.
///
/// A file that can't be opened is reported as ErrorId::SettingsUnreadable.
tl::expected<Settings, Findings> loadSettings(const std::string &fileName);

}
