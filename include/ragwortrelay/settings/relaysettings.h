#pragma once

#include <ragwortrelay/settings/settings.h>

namespace RagwortRelay::Settings {

/// Where something is asked for over HTTP.
struct EndpointSettings {
    std::string m_listen; ///< `IP:PORT`; empty for nowhere.
    std::string m_path;

    friend bool operator==(const EndpointSettings &, const EndpointSettings &) = default;
};

/// How the platform's store is reached.
struct StoreSettings {
    std::string m_address; ///< `IP:PORT`
    Duration m_connectTimeout{std::chrono::milliseconds(500)};
    Duration m_timeout{std::chrono::milliseconds(900)};

    friend bool operator==(const StoreSettings &, const StoreSettings &) = default;
};

/// Who writes the configuration.
enum class ConfigurationOrigin : std::uint8_t {
    Table, ///< The operators' own table.
    Platform, ///< The platform's operator.
};

/// Where the configuration comes from, and how old it may be.
struct OriginSettings {
    ConfigurationOrigin m_origin = ConfigurationOrigin::Table;
    Duration m_revocationLimit{std::chrono::seconds(8)}; ///< A withdrawn key works for no longer, also on a host that is cut off.

    friend bool operator==(const OriginSettings &, const OriginSettings &) = default;
};

/// Bounds on further attempts, over all hosts.
struct RetrySettings {
    double m_ratio = 0.2; ///< For each request.
    std::uint64_t m_reserve = 50; ///< Beside those, within ten seconds.

    friend bool operator==(const RetrySettings &, const RetrySettings &) = default;
};

/// How other hosts reach this one.
struct PeerEndpoint {
    std::string m_listen; ///< `IP:PORT` of the datagram socket; empty for a host that works alone.

    friend bool operator==(const PeerEndpoint &, const PeerEndpoint &) = default;
};

/// All settings of a host.
struct RelaySettings {
    HostSettings m_host;
    CallerSettings m_callers;
    BackendSettings m_backends;
    EndpointSettings m_readiness;
    EndpointSettings m_metrics;
    StoreSettings m_store;
    PeerEndpoint m_peers;
    double m_capacity = 1.0; ///< Of this host's processor, relative to other hosts.
    OriginSettings m_configuration;
    RetrySettings m_retries;
    double m_floor = 0.7; ///< Share of a service's usable servers that is never avoided.
    StopSettings m_stop;
    LogSettings m_log;

    friend bool operator==(const RelaySettings &, const RelaySettings &) = default;
};

/// Reads and checks settings in YAML. See parseSettings().
tl::expected<RelaySettings, Findings>
parseRelaySettings(const std::string &text, const std::string &fileName, std::chrono::system_clock::time_point now = std::chrono::system_clock::now());

/// Reads the file and calls parseRelaySettings(). Thread-safe.
tl::expected<RelaySettings, Findings> loadRelaySettings(const std::string &fileName);

}
