#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/parsing.h>
#include <ragwortrelay/detail/cli/tableclient.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace RagwortRelay::Cli::detail {

namespace {

using Configuration::Cells;
using Configuration::RowEdit;

ExitCode writeFile(const std::string &name, const std::string &text)
{
    std::ofstream file(name);
    file << text;
    file.close();
    if (!file) {
        printError({ErrorId::TableUnreadable, name + ": the file can't be written"});
        return ExitCode::Failed;
    }
    return ExitCode::Done;
}

ExitCode showTable(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Prints the operators' table as JSON, or writes it as a table file", ' ', Version);
    HostArguments hosts(commandLine);
    TCLAP::ValueArg<std::string> csv("", "csv", "Writes a table file; - for standard output", false, "", "FILE", commandLine);
    parseArguments(commandLine, arguments);
    if (csv.getValue().empty()) {
        return printResponse(sendToFirstReachable(hosts.endpoints(), "/ragwortrelay/table", ""));
    }
    const auto table = readTable(hosts.endpoints());
    if (!table) {
        printError(table.error());
        return ExitCode::Failed;
    }
    const std::string text = Configuration::writeTableFile(*table);
    if (csv.getValue() == "-") {
        std::cout << text;
        return ExitCode::Done;
    }
    return writeFile(csv.getValue(), text);
}

/// Applies the assignments of a command line to the cells of a row. An empty value removes the cell.
Findings applyAssignments(Cells &cells, const std::vector<std::string> &assignments)
{
    Findings findings;
    for (const std::string &assignment : assignments) {
        const std::size_t equals = assignment.find('=');
        if (equals == std::string::npos || equals == 0) {
            findings.push_back({{"argument", 0, 0}, ErrorId::TableBadCell, "'" + assignment + "' is not COLUMN=VALUE"});
            continue;
        }
        const std::string column = assignment.substr(0, equals);
        const std::string value = assignment.substr(equals + 1);
        if (value.empty()) {
            cells.erase(column);
        } else {
            cells[column] = value;
        }
    }
    return findings;
}

/// Returns an edit with the stored version and cells of a row, or with version 0 and no cells if the row is not stored.
RowEdit editOfStoredRow(const Configuration::Table &table, const Configuration::RowKey &key)
{
    const Configuration::Row *stored = Configuration::findRow(table, {}, key);
    return stored == nullptr ? RowEdit{key, 0, {}, false} : RowEdit{key, stored->m_version, stored->m_cells, false};
}

ExitCode setCells(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Sets cells of a row of the operators' table; the other cells stay", ' ', Version);
    EditArguments editArguments(commandLine);
    TCLAP::ValueArg<std::uint64_t> base(
        "", "base", "Version of the row that the edit is based on; by default the stored version", false, 0, "VERSION", commandLine);
    TCLAP::UnlabeledValueArg<std::string> row("row", "Kind and name of the row", true, "", "KIND/NAME", commandLine);
    TCLAP::UnlabeledMultiArg<std::string> assignments("cells", "Cells to set; an empty value removes the cell", false, "COLUMN=VALUE", commandLine);
    parseArguments(commandLine, arguments);
    const auto key = parseRowKey(row.getValue());
    if (!key) {
        printError(key.error());
        return ExitCode::WrongUsage;
    }
    const auto table = readTable(editArguments.endpoints());
    if (!table) {
        printError(table.error());
        return ExitCode::Failed;
    }
    RowEdit rowEdit = editOfStoredRow(*table, *key);
    rowEdit.m_baseVersion = base.isSet() ? base.getValue() : rowEdit.m_baseVersion;
    const Findings findings = applyAssignments(rowEdit.m_cells, assignments.getValue());
    if (!findings.empty()) {
        printFindings(findings);
        return ExitCode::WrongUsage;
    }
    return submitEdit(editArguments, editArguments.makeEdit({rowEdit}));
}

ExitCode eraseRow(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Erases a row of the operators' table", ' ', Version);
    EditArguments editArguments(commandLine);
    TCLAP::UnlabeledValueArg<std::string> row("row", "Kind and name of the row", true, "", "KIND/NAME", commandLine);
    parseArguments(commandLine, arguments);
    const auto key = parseRowKey(row.getValue());
    if (!key) {
        printError(key.error());
        return ExitCode::WrongUsage;
    }
    const auto table = readTable(editArguments.endpoints());
    if (!table) {
        printError(table.error());
        return ExitCode::Failed;
    }
    RowEdit rowEdit = editOfStoredRow(*table, *key);
    rowEdit.m_cells.clear();
    rowEdit.m_erase = true;
    if (rowEdit.m_baseVersion == 0) {
        printError({ErrorId::TableUnknownRow, "there is no row " + row.getValue()});
        return ExitCode::Failed;
    }
    return submitEdit(editArguments, editArguments.makeEdit({rowEdit}));
}

tl::expected<Configuration::TableFile, Findings> loadTableFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return tl::unexpected(Findings{{{name, 0, 0}, ErrorId::TableUnreadable, "the file can't be read"}});
    }
    std::ostringstream text;
    text << file.rdbuf();
    return Configuration::readTableFile(text.str(), name);
}

void printEdits(const std::vector<RowEdit> &edits)
{
    for (const RowEdit &edit : edits) {
        std::cout << (edit.m_baseVersion == 0 ? "new     " : "changed ") << toString(edit.m_key.m_kind) << '/' << edit.m_key.m_name;
        for (const auto &[column, value] : edit.m_cells) {
            std::cout << ' ' << column << '=' << value;
        }
        std::cout << '\n';
    }
    std::cout << edits.size() << (edits.size() == 1 ? " row differs\n" : " rows differ\n");
}

ExitCode applyTableFile(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Writes the rows of a table file that were edited, in transactions of 50 rows", ' ', Version);
    EditArguments editArguments(commandLine);
    TCLAP::SwitchArg dryRun("", "dry-run", "Only prints what would be written", commandLine);
    TCLAP::UnlabeledValueArg<std::string> name("file", "Table file", true, "", "FILE", commandLine);
    parseArguments(commandLine, arguments);
    const auto file = loadTableFile(name.getValue());
    if (!file) {
        printFindings(file.error());
        return ExitCode::WrongUsage;
    }
    const auto table = readTable(editArguments.endpoints());
    if (!table) {
        printError(table.error());
        return ExitCode::Failed;
    }
    const std::vector<RowEdit> edits = Configuration::editsOf(*file, *table);
    if (dryRun.getValue() || edits.empty()) {
        printEdits(edits);
        return ExitCode::Done;
    }
    return submitEdit(editArguments, editArguments.makeEdit(edits), *file);
}

}

Findings checkTableFile(const std::string &name)
{
    const auto file = loadTableFile(name);
    return file ? Configuration::checkWholeTable(*file) : file.error();
}

void addTableCommands(Commands &commands)
{
    commands["table show"] = showTable;
    commands["table set"] = setCells;
    commands["table erase"] = eraseRow;
    commands["table apply"] = applyTableFile;
}

}
