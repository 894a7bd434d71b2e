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

/// Settings of one host.
struct HostSettings {
    HostId m_name;
    FailureDomainId m_domain;
    std::string m_incarnation; ///< How the platform's list names this life of the host, empty for none.

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
    Duration m_answerTimeout{std::chrono::minutes(2)}; ///< From the start of an answer until the caller has read all of it.
    std::string m_certificate; ///< PEM file with the chain; empty for plain HTTP.
    std::string m_key; ///< PEM file, of m_certificate.

    friend bool operator==(const CallerSettings &, const CallerSettings &) = default;
};

/// How this host reaches backend servers.
struct BackendSettings {
    bool m_usesTls = false;
    std::string m_authority; ///< PEM file of the authorities that backend servers' certificates must be of.
    Duration m_connectTimeout{std::chrono::seconds(1)};
    std::uint64_t m_idleConnections = 512; ///< Kept open, to all backend servers together.

    friend bool operator==(const BackendSettings &, const BackendSettings &) = default;
};

/// How operators reach this host.
struct OperatorSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose.
    std::string m_token; ///< Must be presented with each command.

    friend bool operator==(const OperatorSettings &, const OperatorSettings &) = default;
};

/// How this host reaches the platform.
struct PlatformSettings {
    std::string m_tableUrl;
    std::string m_tableName = "ragwortrelay";
    std::string m_objectsUrl; ///< Of the bucket.
    std::string m_targetsUrl; ///< Of the list of hosts and backend servers.
    Duration m_timeout{std::chrono::seconds(2)};
    Duration m_pollInterval{std::chrono::seconds(1)};

    friend bool operator==(const PlatformSettings &, const PlatformSettings &) = default;
};

/// How connections between hosts are secured.
enum class PeerSecurity : std::uint8_t {
    Tls, ///< TLS 1.3, both sides show a certificate of the fleet's authority.
    None, ///< Plain TCP, only on loopback addresses.
};

/// How other hosts reach this one.
struct PeerSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose.
    std::string m_advertise; ///< `IP:PORT` that other hosts connect to; port 0 stands for the port of m_listen.
    PeerSecurity m_security = PeerSecurity::Tls;
    std::string m_certificate; ///< PEM file, of this host, maybe with intermediate certificates.
    std::string m_key; ///< PEM file, of m_certificate.
    std::string m_authority; ///< PEM file; whoever holds a certificate of this authority belongs to the fleet.
    std::vector<std::string> m_seeds; ///< `IP:PORT` of hosts to talk to while the platform's list can't be had.
    Duration m_batchInterval{std::chrono::milliseconds(1)}; ///< Longest wait of a message for others to travel with.
    std::uint64_t m_queueLimit = 512; ///< Messages that wait for one host.

    friend bool operator==(const PeerSettings &, const PeerSettings &) = default;
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
    std::string m_layout = "%d{ISO8601} %-5p %m%n"; ///< Conversion pattern of log4cxx.

    friend bool operator==(const LogSettings &, const LogSettings &) = default;
};

/// How sick backend servers are told from healthy ones. See `docs/health.md`.
struct HealthTuning {
    std::uint64_t m_ejectionThreshold = 9; ///< Log-likelihood ratio.
    std::uint64_t m_slowFactor = 4;
    Duration m_firstWait{std::chrono::seconds(5)};
    Duration m_longestWait{std::chrono::minutes(5)};
    std::uint64_t m_trialSuccesses = 6;

    friend bool operator==(const HealthTuning &, const HealthTuning &) = default;
};

/// How many requests wait for a slot of a backend server. See `docs/balancing.md`.
struct QueueTuning {
    std::uint64_t m_perWorkspace = 32;
    std::uint64_t m_perService = 256;
    Duration m_longestWait{std::chrono::seconds(1)};

    friend bool operator==(const QueueTuning &, const QueueTuning &) = default;
};

/// How this host keeps its configuration up to date.
struct ConfigurationSettings {
    Duration m_isolationAfter{std::chrono::seconds(8)}; ///< Without a confirmed version, until the host may be isolated.
    Duration m_editLimit{std::chrono::seconds(20)}; ///< Longest time that an edit is tried.

    friend bool operator==(const ConfigurationSettings &, const ConfigurationSettings &) = default;
};

/// All settings of a process.
struct Settings {
    HostSettings m_host;
    CallerSettings m_callers;
    BackendSettings m_backends;
    OperatorSettings m_operators;
    PlatformSettings m_platform;
    PeerSettings m_peers;
    ConfigurationSettings m_configuration;
    StopSettings m_stop;
    LogSettings m_log;
    HealthTuning m_health;
    QueueTuning m_queue;

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
