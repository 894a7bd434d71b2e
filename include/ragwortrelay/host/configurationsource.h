#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/error.h>
#include <ragwortrelay/store/store.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <vector>

namespace RagwortRelay::Host {

/// Changed rows of a table, including erased ones, ordered by version.
using ChangedRows = std::vector<const Store::Row *>;

/// Source of the configuration and of the list of backend servers.
struct ConfigurationSource {
    std::string m_configurationTable;
    std::string m_serverTable; ///< Table of the backend servers; may be the table of the configuration.
    std::string m_hostTable = "ragwortrelay-hosts"; ///< Table in which hosts register.
    std::string m_evacuationPrefix; ///< Prefix of the configuration rows that evacuate a failure domain; the rest of the name is the domain. Empty for none.
    bool m_hasOperatorTable = false; ///< The configuration is the operators' table, which operators edit through the hosts.
    /// Applies changed rows to a catalogue. Returns whether the catalogue has changed; an error leaves it unchanged.
    tl::expected<bool, Error> (*m_updateCatalogue)(Configuration::Catalogue &catalogue, const ChangedRows &changed) = nullptr;
    /// Returns the server that a row describes; nothing when the row describes something else.
    std::optional<ServerId> (*m_serverIdOf)(const std::string &rowName) = nullptr;
    /// Returns the workspace that a row describes; nothing when the row describes something else. Null where one row may change all workspaces.
    std::optional<WorkspaceId> (*m_workspaceOf)(const std::string &rowName) = nullptr;
    /// Parses the row of a server.
    tl::expected<Configuration::Server, Error> (*m_parseServer)(const Store::Row &row) = nullptr;
    /// Parses a workspace key from the value of its header.
    std::optional<Workspaces::PresentedKey> (*m_readKey)(const std::string &value) = nullptr;
};

}
