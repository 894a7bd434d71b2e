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

/// Rows of a table that have changed, erased ones among them, in the order of their versions.
using ChangedRows = std::vector<const Store::Row *>;

/// Where the configuration and the backend servers come from.
struct ConfigurationSource {
    std::string m_configurationTable;
    std::string m_serverTable; ///< May be the same table.
    std::string m_hostTable = "ragwortrelay-hosts"; ///< Where hosts register.
    bool m_hasOwnTable = false; ///< Operators edit the configuration through the hosts.
    /// Brings a catalogue up to date. Returns whether it has changed; an error leaves it as it was.
    tl::expected<bool, Error> (*m_updateCatalogue)(Configuration::Catalogue &catalogue, const ChangedRows &changed) = nullptr;
    /// Tells which server a row is about; nothing when it is about something else.
    std::optional<ServerId> (*m_serverIdOf)(const std::string &rowName) = nullptr;
    /// Tells which workspace a row is about; nothing when it is about something else. Not set where one row may change all workspaces.
    std::optional<WorkspaceId> (*m_workspaceOf)(const std::string &rowName) = nullptr;
    /// Reads a server from its row.
    tl::expected<Configuration::Server, Error> (*m_parseServer)(const Store::Row &row) = nullptr;
    /// Reads a workspace key from the value of its header.
    std::optional<Workspaces::PresentedKey> (*m_readKey)(const std::string &value) = nullptr;
};

}
