#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/parsing.h>
#include <ragwortrelay/settings/settings.h>

#include <tclap/CmdLine.h>

#include <iostream>

namespace RagwortRelay::Cli::detail {

namespace {

ExitCode reportCheck(const std::string &name, const Findings &findings)
{
    printFindings(findings);
    if (!findings.empty()) {
        return ExitCode::WrongUsage;
    }
    std::cout << name << ": ok\n";
    return ExitCode::Done;
}

ExitCode check(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Checks a settings file, or a table file whose name ends in .csv", ' ', Version);
    TCLAP::UnlabeledValueArg<std::string> file("file", "File", true, "", "FILE", commandLine);
    parseArguments(commandLine, arguments);
    if (file.getValue().ends_with(".csv")) {
        return reportCheck(file.getValue(), checkTableFile(file.getValue()));
    }
    const auto settings = Settings::loadSettings(file.getValue());
    return reportCheck(file.getValue(), settings ? Findings() : settings.error());
}

}

void addCheckCommands(Commands &commands)
{
    commands["check"] = check;
}

}
