#pragma once

#include "fleetsimulation.h"

#include <ragwortrelay/host/operatortablesource.h>
#include <ragwortrelay/workspaces/authentication.h>

/// Fleets with the operators' own table, in simulated time.
namespace RagwortRelay::Fakes {

inline constexpr const char *OwnKey = "Bearer k1.0123456789abcdef";

inline Configuration::RowEdit rowEdit(Configuration::RowKind kind, const std::string &name, const Configuration::Cells &cells, std::uint64_t base = 0)
{
    return {{kind, name}, base, cells, false};
}

inline Configuration::Cells keyCells()
{
    return {{"workspace", "w1"}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "0123456789abcdef")}};
}

/// The first table: a service with servers of many slots, an idempotent route and one that isn't, a workspace with a key.
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

/// Returns the version of a row, as one of the hosts knows it.
inline std::uint64_t versionOf(const FleetSimulation &simulation, Configuration::RowKind kind, const std::string &name)
{
    const auto &rows = simulation.m_hosts.begin()->second.m_tables[0].m_replica.m_rows;
    return rows.at(Configuration::toString(kind) + '/' + name).m_version;
}

/// Edit that sets the limit of workspace w1.
inline Operators::EditTable limitEdit(const FleetSimulation &simulation, const std::string &changeId, const std::string &rate, const std::string &burst)
{
    const auto kind = Configuration::RowKind::Workspace;
    return {changeId, "operator", {rowEdit(kind, "w1", {{"rate", rate}, {"burst", burst}}, versionOf(simulation, kind, "w1"))}};
}

/// Starts hosts h1, h2 and so on, and gives them the first table.
inline void startOperatorTableFleet(FleetSimulation &simulation, int hosts, int servers)
{
    simulation.m_source = Host::operatorTableSource();
    simulation.startHosts(hosts);
    simulation.run(std::chrono::seconds(4));
    simulation.command(HostId("h1"), firstTable(servers));
    simulation.run(std::chrono::seconds(4));
}

}
