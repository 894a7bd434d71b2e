#pragma once

#include "fleetsimulation.h"

#include <nlohmann/json.hpp>

#include <string>

/// Configuration source for tests of hosts, with rows in a minimal JSON format. The tests of the real sources cover their formats.
namespace RagwortRelay::Fakes {

/// Replaces a catalogue by the changed row `catalogue` if that has a higher version; returns whether it did.
inline tl::expected<bool, Error> updateFakeCatalogue(Configuration::Catalogue &known, const Host::ChangedRows &changed)
{
    const auto row = std::ranges::find_if(changed, [](const Store::Row *candidate) { return candidate->m_key.m_name == "catalogue"; });
    if (row == changed.end()) {
        return false;
    }
    const auto json = nlohmann::json::parse((*row)->m_value);
    Configuration::Catalogue catalogue;
    catalogue.m_version = json.at("version").get<std::uint64_t>();
    if (catalogue.m_version <= known.m_version) {
        return false;
    }
    for (const auto &entry : json.at("routes")) {
        Configuration::Route route;
        route.m_name = entry.at("path").get<std::string>();
        route.m_pathPrefix = route.m_name;
        route.m_shares = {{ServiceId(entry.at("service").get<std::string>()), 1.0}};
        route.m_idempotent = entry.value("idempotent", true);
        route.m_allowsAnonymous = entry.value("open", true);
        route.m_maxAttempts = entry.value("attempts", 2U);
        route.m_priority = entry.value("priority", 0U);
        route.m_deadline = std::chrono::milliseconds(entry.value("deadline_ms", 1000));
        route.m_latencyObjective = std::chrono::milliseconds(entry.value("objective_ms", 500));
        catalogue.m_routes.push_back(route);
    }
    Configuration::sortRoutes(catalogue.m_routes);
    for (const auto &entry : json.value("services", nlohmann::json::array())) {
        Configuration::Service service;
        service.m_id = ServiceId(entry.at("name").get<std::string>());
        service.m_coldRate = entry.value("cold_rate", 0.0);
        catalogue.m_services[service.m_id] = service;
    }
    for (const auto &entry : json.value("workspaces", nlohmann::json::array())) {
        Configuration::Workspace workspace;
        workspace.m_id = WorkspaceId(entry.at("name").get<std::string>());
        workspace.m_rate = entry.value("rate", 100U);
        workspace.m_burst = entry.value("burst", 100U);
        catalogue.m_workspaces[workspace.m_id] = workspace;
        for (const auto &key : entry.value("keys", nlohmann::json::array())) {
            const auto text = key.get<std::string>();
            catalogue.m_keys[KeyId(text)] = {KeyId(text), workspace.m_id, {}, Workspaces::digestOf({}, text), false};
        }
    }
    known = catalogue;
    return true;
}

/// Returns the server that a row describes: row names are server names.
inline std::optional<ServerId> fakeServerIdOf(const std::string &rowName)
{
    return ServerId(rowName);
}

/// Parses the row of a server. A row that isn't JSON is an error.
inline tl::expected<Configuration::Server, Error> parseFakeServer(const Store::Row &row)
{
    const auto json = nlohmann::json::parse(row.m_value, nullptr, false);
    if (json.is_discarded()) {
        return tl::unexpected(Error{ErrorId::PlatformBadAnswer, "unreadable"});
    }
    Configuration::Server server;
    server.m_id = ServerId(row.m_key.m_name);
    server.m_service = ServiceId(json.at("service").get<std::string>());
    server.m_address = json.value("address", row.m_key.m_name);
    server.m_domain = FailureDomainId(json.value("domain", "d1"));
    server.m_slots = json.value("slots", 2U);
    server.m_incarnation = json.value("incarnation", 1U);
    server.m_warmupLeft = std::chrono::milliseconds(json.value("warmup_ms", 0));
    server.m_use = json.value("leaving", false) ? Configuration::ServerUse::Draining : Configuration::ServerUse::Active;
    return server;
}

/// Reads the key that a caller presents: its text is its id, too.
inline std::optional<Workspaces::PresentedKey> readFakeKey(const std::string &value)
{
    return Workspaces::PresentedKey{KeyId(value), value};
}

/// Returns the source with the functions above.
inline Host::ConfigurationSource fakeSource()
{
    Host::ConfigurationSource source;
    source.m_configurationTable = "configuration";
    source.m_evacuationPrefix = "evacuate/";
    source.m_serverTable = "servers";
    source.m_updateCatalogue = updateFakeCatalogue;
    source.m_serverIdOf = fakeServerIdOf;
    source.m_parseServer = parseFakeServer;
    source.m_readKey = readFakeKey;
    return source;
}

/// Writes a configuration with the idempotent route /look, the non-idempotent route /book and the route /keyed, which needs a workspace key. The key of each
/// workspace is its name.
inline void
writeConfiguration(FleetSimulation &simulation, std::uint64_t version, const nlohmann::json &workspaces = nlohmann::json::array(), double coldRate = 0.0)
{
    const nlohmann::json services{{{"name", "desk"}, {"cold_rate", coldRate}}};
    const nlohmann::json routes{{{"path", "/look"}, {"service", "desk"}},
                                {{"path", "/book"}, {"service", "desk"}, {"idempotent", false}},
                                {{"path", "/keyed"}, {"service", "desk"}, {"open", false}}};
    simulation.m_store.write("configuration",
                             "catalogue",
                             nlohmann::json{{"version", version}, {"services", services}, {"routes", routes}, {"workspaces", workspaces}}.dump(),
                             simulation.m_now);
}

/// Returns the JSON of a workspace for writeConfiguration().
inline nlohmann::json workspace(const std::string &name, unsigned rate, unsigned burst)
{
    return {{"name", name}, {"rate", rate}, {"burst", burst}, {"keys", {name}}};
}

/// Writes the servers s1, s2 and so on of the service desk, spread over three failure domains.
inline void writeServers(FleetSimulation &simulation, int count, unsigned slots = 2)
{
    for (int i = 1; i <= count; ++i) {
        const nlohmann::json server{{"service", "desk"}, {"slots", slots}, {"domain", "d" + std::to_string(i % 3)}};
        simulation.m_store.write("servers", "s" + std::to_string(i), server.dump(), simulation.m_now);
    }
}

/// Writes a configuration and servers, starts the hosts, and runs until they have elected their leader.
inline void startStableFleet(FleetSimulation &simulation, int hosts, int servers)
{
    simulation.m_source = fakeSource();
    writeConfiguration(simulation, 1);
    writeServers(simulation, servers);
    simulation.startHosts(hosts);
    simulation.run(std::chrono::seconds(4));
}

}
