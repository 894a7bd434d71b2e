#pragma once

#include "fleetsimulation.h"

#include <ragwortrelay/host/operatortablesource.h>
#include <ragwortrelay/workspaces/authentication.h>

/// Fleet simulations whose configuration comes from the operators' table.
namespace RagwortRelay::Fakes {

/// Authorization header with the key k1 of workspace w1.
inline constexpr const char *OwnKey = "Bearer k1.0123456789abcdef";

/// Returns the edit that writes a row.
/// @param base version that the edit starts from; 0 for a new row
inline Configuration::RowEdit rowEdit(Configuration::RowKind kind, const std::string &name, const Configuration::Cells &cells, std::uint64_t base = 0)
{
    return {{kind, name}, base, cells, false};
}

/// Returns the cells of the key k1.
inline Configuration::Cells keyCells()
{
    return {{"workspace", "w1"}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "0123456789abcdef")}};
}

/// Returns the edit that writes the first table: a service whose servers have 100 slots each, an idempotent and a non-idempotent route, and a workspace with
/// a key.
inline Operators::EditTable firstTable(int servers)
{
    using Configuration::RowKind;
    Operators::EditTable table{"first", "operator", {}};
    table.m_rows.push_back(rowEdit(RowKind::Service, "booking", {}));
    for (int i = 1; i <= servers; ++i) {
        const Configuration::Cells cells{{"service", "booking"}, {"address", "127.0.0.1:1"}, {"domain", "d1"}, {"slots", "100"}};
        table.m_rows.push_back(rowEdit(RowKind::Server, "b" + std::to_string(i), cells));
    }
    table.m_rows.push_back(rowEdit(RowKind::Route, "lookup", {{"method", "GET"}, {"path", "/"}, {"service", "booking"}}));
    table.m_rows.push_back(rowEdit(RowKind::Route, "book", {{"method", "POST"}, {"path", "/"}, {"service", "booking"}, {"idempotent", "no"}}));
    table.m_rows.push_back(rowEdit(RowKind::Workspace, "w1", {{"rate", "100000"}, {"burst", "100000"}}));
    table.m_rows.push_back(rowEdit(RowKind::Key, "k1", keyCells()));
    return table;
}

/// Returns the version of a row on the first host. Precondition: that host has the row.
inline std::uint64_t versionOf(const FleetSimulation &simulation, Configuration::RowKind kind, const std::string &name)
{
    const auto &rows = simulation.m_hosts.begin()->second.m_tables[0].m_replica.m_rows;
    return rows.at(Configuration::toString(kind) + '/' + name).m_version;
}

/// Returns the edit that sets the limit of workspace w1.
inline Operators::EditTable limitEdit(const FleetSimulation &simulation, const std::string &changeId, const std::string &rate, const std::string &burst)
{
    const auto kind = Configuration::RowKind::Workspace;
    return {changeId, "operator", {rowEdit(kind, "w1", {{"rate", rate}, {"burst", burst}}, versionOf(simulation, kind, "w1"))}};
}

/// Starts the hosts h1, h2 and so on, and writes the first table through h1.
inline void startOperatorTableFleet(FleetSimulation &simulation, int hosts, int servers)
{
    simulation.m_source = Host::operatorTableSource();
    simulation.startHosts(hosts);
    simulation.run(std::chrono::seconds(4));
    simulation.command(HostId("h1"), firstTable(servers));
    simulation.run(std::chrono::seconds(4));
}

}
