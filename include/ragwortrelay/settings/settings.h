#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace RagwortRelay::Settings {

/// Who a host is.
struct HostSettings {
    HostId m_name;
    FailureDomainId m_domain;
    double m_capacity = 1.0; ///< Of its processor, relative to other hosts.

    friend bool operator==(const HostSettings &, const HostSettings &) = default;
};

/// How callers reach this host.
struct CallerSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose.
    std::uint64_t m_bodyLimit = 1U << 20U; ///< Bytes.
    std::uint64_t m_headerLimit = 16U << 10U; ///< Bytes, of the request line and all headers.
    std::uint64_t m_connectionLimit = 4096;
    Duration m_headerTimeout{std::chrono::seconds(10)}; ///< From the start of a connection to the end of its first header.
    Duration m_bodyTimeout{std::chrono::seconds(30)}; ///< From the end of the header to the end of the body.
    Duration m_idleTimeout{std::chrono::seconds(75)}; ///< From an answer to the end of the header of the next request.
    Duration m_responseTimeout{std::chrono::minutes(2)}; ///< From the start of an answer until the caller has read all of it.
    std::string m_certificate; ///< PEM file with the chain; empty for plain HTTP.
    std::string m_key; ///< PEM file, of m_certificate.

    friend bool operator==(const CallerSettings &, const CallerSettings &) = default;
};

/// How this host reaches backend servers.
struct BackendSettings {
    bool m_usesTls = false;
    std::string m_authority; ///< PEM file of the authorities that backend servers' certificates must be of.
    Duration m_connectTimeout{std::chrono::milliseconds(250)};
    std::uint64_t m_idleConnections = 512; ///< Kept open, to all backend servers together.

    friend bool operator==(const BackendSettings &, const BackendSettings &) = default;
};

/// How operators reach this host.
struct OperatorSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose; empty for nowhere.
    std::string m_token; ///< Must be presented with each command.

    friend bool operator==(const OperatorSettings &, const OperatorSettings &) = default;
};

/// Where something is asked for over HTTP.
struct EndpointSettings {
    std::string m_listen; ///< `IP:PORT`; empty for nowhere but at the operators' address.
    std::string m_path;

    friend bool operator==(const EndpointSettings &, const EndpointSettings &) = default;
};

/// How the platform's store is reached.
struct StoreSettings {
    std::string m_address; ///< `IP:PORT`
    Duration m_connectTimeout{std::chrono::milliseconds(500)};
    Duration m_timeout{std::chrono::milliseconds(900)}; ///< Of an answer that isn't waited for.

    friend bool operator==(const StoreSettings &, const StoreSettings &) = default;
};

/// How other hosts reach this one.
struct PeerSettings {
    std::string m_listen; ///< `IP:PORT` of the datagram socket; port 0 lets the kernel choose; empty for a host that works alone.
    std::vector<std::string> m_seeds; ///< `IP:PORT` of hosts that are asked for the others while the store can't tell.
    std::string m_secret; ///< Of the fleet; empty for one that the hosts agree on in the store.

    friend bool operator==(const PeerSettings &, const PeerSettings &) = default;
};

/// Who writes the configuration.
enum class ConfigurationOrigin : std::uint8_t {
    Table, ///< The operators' own table.
    Platform, ///< The platform's operator.
};

/// Where the configuration comes from, and how old it may be.
struct ConfigurationSettings {
    ConfigurationOrigin m_origin = ConfigurationOrigin::Table;
    Duration m_revocationLimit{std::chrono::seconds(5)}; ///< A withdrawn key works for no longer, also on a host that is cut off.
    Duration m_editLimit{std::chrono::seconds(20)}; ///< Longest time that an edit is tried.

    friend bool operator==(const ConfigurationSettings &, const ConfigurationSettings &) = default;
};

/// What is written down for reports over all hosts.
struct ReportSettings {
    bool m_storesRecords = true; ///< Hosts write records of service levels to the store.

    friend bool operator==(const ReportSettings &, const ReportSettings &) = default;
};

/// Bounds on further attempts, over all hosts.
struct RetrySettings {
    double m_ratio = 0.2; ///< For each request.
    std::uint64_t m_reserve = 50; ///< Beside those, within ten seconds.

    friend bool operator==(const RetrySettings &, const RetrySettings &) = default;
};

/// How backend servers that look sick are avoided.
struct HealthSettings {
    double m_floor = 0.7; ///< Share of a service's usable servers that is never avoided.
    double m_avoidAbove = 0.3; ///< Probability of sickness from which a server gets no more than single trials.
    Duration m_trialInterval{std::chrono::milliseconds(1500)}; ///< Between two trials of a server that is avoided.

    friend bool operator==(const HealthSettings &, const HealthSettings &) = default;
};

/// How requests wait for a free slot.
struct QueueSettings {
    std::uint64_t m_perService = 512; ///< Requests that wait for one service, over all hosts.

    friend bool operator==(const QueueSettings &, const QueueSettings &) = default;
};

/// How this host stops.
struct StopSettings {
    Duration m_balancerLag{std::chrono::seconds(2)};
    Duration m_limit{std::chrono::seconds(30)};

    friend bool operator==(const StopSettings &, const StopSettings &) = default;
};

/// What is logged.
struct LogSettings {
    std::string m_level = "info";

    friend bool operator==(const LogSettings &, const LogSettings &) = default;
};

/// All settings of a process.
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
    QueueSettings m_queue;
    StopSettings m_stop;
    LogSettings m_log;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/// Reads and checks settings in YAML.
/// @param fileName name that stands in the findings; relative names of files in the settings start from its folder
/// @param now tells which certificates are valid
/// @return the settings, or all findings in the order of their places
/// Thread-safe.
tl::expected<Settings, Findings>
parseSettings(const std::string &text, const std::string &fileName, std::chrono::system_clock::time_point now = std::chrono::system_clock::now());

/// Reads the file and calls parseSettings(). Thread-safe.
tl::expected<Settings, Findings> loadSettings(const std::string &fileName);

}
