#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/parsing.h>
#include <ragwortrelay/detail/cli/tableclient.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <nlohmann/json.hpp>

#include <iostream>

namespace RagwortRelay::Cli::detail {

namespace {

using Configuration::RowEdit;
using Configuration::RowKind;
using Json = nlohmann::json;

ExitCode giveKey(Arguments arguments)
{
    constexpr std::size_t IdBytes = 6;
    constexpr std::size_t SecretBytes = 24;
    TCLAP::CmdLine commandLine("Gives a key to a workspace and prints it, once", ' ', Version);
    EditArguments editArguments(commandLine);
    TCLAP::UnlabeledValueArg<std::string> workspace("workspace", "Workspace", true, "", "WORKSPACE", commandLine);
    parseArguments(commandLine, arguments);
    const std::string id = randomHex(IdBytes);
    const std::string secret = randomHex(SecretBytes);
    const std::string salt = randomHex(SecretBytes);
    const Configuration::Cells cells{{"workspace", workspace.getValue()}, {"salt", salt}, {"digest", Workspaces::digestOf(salt, secret)}};
    return submitEdit(editArguments, editArguments.makeEdit({RowEdit{{RowKind::Key, id}, 0, cells, false}}), {}, id + '.' + secret);
}

ExitCode withdrawKey(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Withdraws a key of a workspace", ' ', Version);
    EditArguments editArguments(commandLine);
    TCLAP::UnlabeledValueArg<std::string> workspace("workspace", "Workspace", true, "", "WORKSPACE", commandLine);
    TCLAP::UnlabeledValueArg<std::string> id("id", "Id of the key: its part before the dot", true, "", "ID", commandLine);
    parseArguments(commandLine, arguments);
    const auto table = readTable(editArguments.endpoints());
    if (!table) {
        printError(table.error());
        return ExitCode::Failed;
    }
    const Configuration::Row *stored = Configuration::findRow(*table, {}, {RowKind::Key, id.getValue()});
    if (stored == nullptr || stored->m_cells.at("workspace") != workspace.getValue()) {
        printError({ErrorId::TableUnknownRow, "workspace '" + workspace.getValue() + "' has no key with this id"});
        return ExitCode::Failed;
    }
    RowEdit rowEdit{stored->m_key, stored->m_version, stored->m_cells, false};
    rowEdit.m_cells["withdrawn"] = "yes";
    return submitEdit(editArguments, editArguments.makeEdit({rowEdit}));
}

ExitCode listKeys(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Lists the keys of all workspaces or of one, without their secrets", ' ', Version);
    HostArguments hosts(commandLine);
    TCLAP::SwitchArg json("", "json", "Prints the result as JSON", commandLine);
    TCLAP::UnlabeledValueArg<std::string> workspace("workspace", "Workspace", false, "", "WORKSPACE", commandLine);
    parseArguments(commandLine, arguments);
    const auto table = readTable(hosts.endpoints());
    if (!table) {
        printError(table.error());
        return ExitCode::Failed;
    }
    Json keys = Json::array();
    for (const auto &[key, row] : table->m_rows) {
        if (key.m_kind != RowKind::Key || row.m_erased) {
            continue;
        }
        const std::string owner = row.m_cells.at("workspace");
        const bool isWithdrawn = row.m_cells.contains("withdrawn") && row.m_cells.at("withdrawn") == "yes";
        if (workspace.getValue().empty() || owner == workspace.getValue()) {
            keys.push_back(Json{{"workspace", owner}, {"id", key.m_name}, {"withdrawn", isWithdrawn}, {"version", row.m_version}});
        }
    }
    if (json.getValue()) {
        std::cout << keys.dump() << '\n';
        return ExitCode::Done;
    }
    for (const Json &entry : keys) {
        std::cout << entry["workspace"].get<std::string>() << ' ' << entry["id"].get<std::string>()
                  << (entry["withdrawn"].get<bool>() ? " withdrawn" : " given") << " version " << entry["version"] << '\n';
    }
    return ExitCode::Done;
}

}

void addKeyCommands(Commands &commands)
{
    commands["key give"] = giveKey;
    commands["key withdraw"] = withdrawKey;
    commands["key list"] = listKeys;
}

}
