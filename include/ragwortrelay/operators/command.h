#pragma once

#include <ragwortrelay/configuration/edit.h>
#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/reporting/burn.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What operators ask of a host, and what it answers.
namespace RagwortRelay::Operators {

/// Number of an operator's command on one host.
using CommandId = std::uint64_t;

/// Asks for the whole table.
struct ShowTable {
    friend bool operator==(const ShowTable &, const ShowTable &) = default;
};

using Configuration::EditTable;

/// Asks whether a version is in force everywhere.
struct ShowRollout {
    std::uint64_t m_version = 0;

    friend bool operator==(const ShowRollout &, const ShowRollout &) = default;
};

/// Asks what this host knows of itself and of the fleet.
struct ShowStatus {
    friend bool operator==(const ShowStatus &, const ShowStatus &) = default;
};

/// Asks for the service-level burn over all hosts.
struct ShowBurn {
    friend bool operator==(const ShowBurn &, const ShowBurn &) = default;
};

using Command = std::variant<ShowTable, EditTable, ShowRollout, ShowStatus, ShowBurn>;

/// The table as this host has it.
struct TableShown {
    Configuration::Table m_table;

    friend bool operator==(const TableShown &, const TableShown &) = default;
};

/// The edit is durable.
struct EditCommitted {
    std::uint64_t m_version = 0;

    friend bool operator==(const EditCommitted &, const EditCommitted &) = default;
};

/// Rows that changed since the version that the edit was based on; nothing was written.
struct EditConflict {
    std::vector<Configuration::Row> m_storedRows;

    friend bool operator==(const EditConflict &, const EditConflict &) = default;
};

/// The edit was refused; nothing was written.
struct EditRejected {
    Findings m_findings;

    friend bool operator==(const EditRejected &, const EditRejected &) = default;
};

/// The edit was given up. It may be sent again with the same change id, to any host, and is applied at most once.
struct EditOutcomeUnknown {
    std::string m_reason;
    bool m_mayBeCommitted = true; ///< Otherwise nothing was written.

    friend bool operator==(const EditOutcomeUnknown &, const EditOutcomeUnknown &) = default;
};

/// How far a version has spread.
struct RolloutShown {
    std::uint64_t m_version = 0; ///< That was asked for.
    bool m_isInForce = false; ///< On the host that answers.
    std::uint64_t m_minConfigurationVersion = 0; ///< Lowest version among the hosts that the leader hears.
    std::uint32_t m_reachableHosts = 0; ///< Hosts that the leader hears, itself among them.
    std::uint32_t m_hosts = 0; ///< That are registered.

    /// Tells whether the version is in force on every registered host. No preconditions; thread-safe.
    [[nodiscard]] bool isFullyRolledOut() const
    {
        return m_isInForce && m_minConfigurationVersion >= m_version && m_reachableHosts >= m_hosts;
    }

    friend bool operator==(const RolloutShown &, const RolloutShown &) = default;
};

/// What a host knows of one backend server.
struct ServerShown {
    ServerId m_server;
    ServiceId m_service;
    bool m_isDraining = false;
    double m_unhealthyProbability = 0.0; ///< Probability, for requests of this host.
    std::uint32_t m_running = 0; ///< Requests that this host knows of.

    friend bool operator==(const ServerShown &, const ServerShown &) = default;
};

/// What a host knows of itself.
struct StatusShown {
    std::string m_host;
    std::string m_leader;
    std::uint64_t m_version = 0; ///< Of the configuration.
    std::optional<Duration> m_age; ///< Since the store confirmed it; empty before the first one.
    bool m_ready = false;
    std::uint64_t m_requestsInFlight = 0;
    RolloutShown m_rollout; ///< Of the version in force.
    std::vector<ServerShown> m_servers;

    friend bool operator==(const StatusShown &, const StatusShown &) = default;
};

/// Service-level burn over all hosts.
struct BurnShown {
    Reporting::BurnReport m_report;

    friend bool operator==(const BurnShown &, const BurnShown &) = default;
};

using Reply = std::variant<TableShown, EditCommitted, EditConflict, EditRejected, EditOutcomeUnknown, RolloutShown, StatusShown, BurnShown>;

}
