#pragma once

#include <ragwortrelay/configuration/edit.h>
#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/operators/explanation.h>
#include <ragwortrelay/reporting/burn.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Commands of operators to a host, and the replies.
namespace RagwortRelay::Operators {

/// Identifier of an operator's command, unique on one host.
using CommandId = std::uint64_t;

/// Requests the whole table.
struct ShowTable {
    friend bool operator==(const ShowTable &, const ShowTable &) = default;
};

using Configuration::EditTable;

/// Requests the rollout of a version.
struct ShowRollout {
    std::uint64_t m_version = 0;

    friend bool operator==(const ShowRollout &, const ShowRollout &) = default;
};

/// Requests the host's view of itself and of the fleet.
struct ShowStatus {
    friend bool operator==(const ShowStatus &, const ShowStatus &) = default;
};

/// Requests the burn report of the service-level objectives over all hosts.
struct ShowBurn {
    friend bool operator==(const ShowBurn &, const ShowBurn &) = default;
};

using Command = std::variant<ShowTable, EditTable, ShowRollout, ShowStatus, ShowBurn, ExplainRequest>;

/// Replies with the host's copy of the table.
struct TableShown {
    Configuration::Table m_table;

    friend bool operator==(const TableShown &, const TableShown &) = default;
};

/// Reports that the edit is durable.
struct EditCommitted {
    std::uint64_t m_version = 0;

    friend bool operator==(const EditCommitted &, const EditCommitted &) = default;
};

/// Reports rows that changed since the base version of the edit; nothing was written.
struct EditConflict {
    std::vector<Configuration::Row> m_storedRows;

    friend bool operator==(const EditConflict &, const EditConflict &) = default;
};

/// Reports that the edit is invalid; nothing was written.
struct EditRejected {
    Findings m_findings;

    friend bool operator==(const EditRejected &, const EditRejected &) = default;
};

/// Reports that the host abandoned the edit. A retry with the same change id, on any host, applies it at most once.
struct EditOutcomeUnknown {
    std::string m_reason;
    bool m_mayBeCommitted = true; ///< The edit may have been written; if false, nothing was written.

    friend bool operator==(const EditOutcomeUnknown &, const EditOutcomeUnknown &) = default;
};

/// Rollout of a version over the fleet.
struct RolloutShown {
    std::uint64_t m_version = 0; ///< Requested version.
    bool m_isInForce = false; ///< The version is in force on the replying host.
    std::uint64_t m_minConfigurationVersion = 0; ///< Lowest version among the hosts whose heartbeats reach the leader.
    std::uint32_t m_reachableHosts = 0; ///< Hosts whose heartbeats reach the leader, including the leader.
    std::uint32_t m_hosts = 0; ///< Registered hosts.

    /// Tells whether the version is in force on every registered host. No preconditions; thread-safe.
    [[nodiscard]] bool isFullyRolledOut() const
    {
        return m_isInForce && m_minConfigurationVersion >= m_version && m_reachableHosts >= m_hosts;
    }

    friend bool operator==(const RolloutShown &, const RolloutShown &) = default;
};

/// A host's view of one backend server.
struct ServerShown {
    ServerId m_server;
    ServiceId m_service;
    bool m_isDraining = false;
    bool m_isEvacuated = false;
    double m_unhealthyProbability = 0.0; ///< Probability that the server is unhealthy for requests of this host, 0 to 1.
    std::uint32_t m_running = 0; ///< Running requests that this host knows of.

    friend bool operator==(const ServerShown &, const ServerShown &) = default;
};

/// An evacuated failure domain.
struct EvacuationShown {
    FailureDomainId m_domain;
    std::uint32_t m_servers = 0; ///< Servers of the domain; 0 for a domain without any, such as a misspelled one.
    std::uint32_t m_running = 0; ///< Requests that still run there, as far as this host knows.

    friend bool operator==(const EvacuationShown &, const EvacuationShown &) = default;
};

/// A host's view of itself and of the fleet.
struct StatusShown {
    std::string m_host;
    std::string m_leader;
    std::uint64_t m_version = 0; ///< Version of the configuration.
    std::optional<Duration> m_age; ///< Time since the store last confirmed the configuration; empty before the first one.
    bool m_ready = false;
    std::uint64_t m_requestsInFlight = 0;
    RolloutShown m_rollout; ///< Rollout of the version in force.
    std::vector<EvacuationShown> m_evacuations;
    std::vector<ServerShown> m_servers;

    friend bool operator==(const StatusShown &, const StatusShown &) = default;
};

/// Burn report of the service-level objectives over all hosts.
struct BurnShown {
    Reporting::BurnReport m_report;

    friend bool operator==(const BurnShown &, const BurnShown &) = default;
};

using Reply = std::
    variant<TableShown, EditCommitted, EditConflict, EditRejected, EditOutcomeUnknown, RolloutShown, StatusShown, BurnShown, RequestExplained, CommandRefused>;

}
