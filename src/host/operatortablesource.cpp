#include <ragwortrelay/configuration/storedtable.h>
#include <ragwortrelay/host/operatortablesource.h>

namespace RagwortRelay::Host {

namespace {

using Configuration::RowKind;

tl::expected<bool, Error> updateCatalogue(Configuration::Catalogue &catalogue, const ChangedRows &changed)
{
    Configuration::Change change;
    change.m_version = catalogue.m_version;
    for (const Store::Row *stored : changed) {
        change.m_version = std::max(change.m_version, stored->m_version);
        auto row = Configuration::readStoredRow(*stored);
        if (row) {
            change.m_rows.push_back(std::move(*row));
        }
    }
    Configuration::updateCatalogue(catalogue, change);
    return true;
}

std::optional<ServerId> serverIdOf(const std::string &rowName)
{
    const auto key = Configuration::readStoredName(rowName);
    return key && key->m_kind == RowKind::Server ? std::optional(ServerId(key->m_name)) : std::nullopt;
}

std::optional<WorkspaceId> workspaceOf(const std::string &rowName)
{
    const auto key = Configuration::readStoredName(rowName);
    return key && key->m_kind == RowKind::Workspace ? std::optional(WorkspaceId(key->m_name)) : std::nullopt;
}

tl::expected<Configuration::Server, Error> parseServer(const Store::Row &row)
{
    Configuration::Table table;
    Configuration::updateTable(table, {&row});
    Findings findings;
    const Configuration::Catalogue catalogue = Configuration::buildCatalogue(table, findings);
    if (catalogue.m_servers.empty()) {
        return tl::unexpected(Error{ErrorId::TableBadCell, findings.empty() ? "the row can't be read" : toString(findings.front())});
    }
    return catalogue.m_servers.begin()->second;
}

}

ConfigurationSource operatorTableSource()
{
    ConfigurationSource source;
    source.m_configurationTable = Configuration::ConfigurationTableName;
    source.m_evacuationPrefix = Configuration::storedRowName({RowKind::Evacuation, {}});
    source.m_serverTable = Configuration::ConfigurationTableName;
    source.m_updateCatalogue = updateCatalogue;
    source.m_serverIdOf = serverIdOf;
    source.m_workspaceOf = workspaceOf;
    source.m_parseServer = parseServer;
    source.m_readKey = Workspaces::parseBearer;
    source.m_hasOperatorTable = true;
    return source;
}

}
