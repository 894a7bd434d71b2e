#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/hostarguments.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/tableclient.h>

#include <iostream>

namespace RagwortRelay::Cli::detail {

namespace {

ExitCode tableShow(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Prints the operators' table", ' ', Version);
    HostArguments host(commandLine);
    commandLine.parse(arguments);
    return printAnswer(askHost(host.endpoint(), "/ragwortrelay/table", ""));
}

ExitCode tableSet(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Sets a row of the operators' table", ' ', Version);
    HostArguments host(commandLine);
    TCLAP::UnlabeledValueArg<std::string> row("row", "Kind and name of the row", true, "", "KIND/NAME", commandLine);
    TCLAP::UnlabeledMultiArg<std::string> assignments("cells", "Cells of the row", false, "COLUMN=VALUE", commandLine);
    commandLine.parse(arguments);
    const std::size_t slash = row.getValue().find('/');
    const auto [kind, known] = Configuration::rowKindFrom(row.getValue().substr(0, slash));
    if (!known || slash == std::string::npos) {
        std::cerr << "error " << toString(ErrorId::TableUnknownRow) << ": '" << row.getValue() << "' is not KIND/NAME\n";
        return ExitCode::WrongUsage;
    }
    Configuration::Cells cells;
    for (const std::string &assignment : assignments.getValue()) {
        const std::size_t equals = assignment.find('=');
        if (equals == std::string::npos) {
            std::cerr << "error " << toString(ErrorId::TableBadCell) << ": '" << assignment << "' is not COLUMN=VALUE\n";
            return ExitCode::WrongUsage;
        }
        cells[assignment.substr(0, equals)] = assignment.substr(equals + 1);
    }
    return editRow(host.endpoint(), {kind, row.getValue().substr(slash + 1)}, cells);
}

}

void addTableCommands(Commands &commands)
{
    commands["table show"] = tableShow;
    commands["table set"] = tableSet;
}

}
