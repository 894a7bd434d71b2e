#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/settings/settings.h>

#include <tclap/CmdLine.h>

#include <iostream>

namespace RagwortRelay::Cli::detail {

namespace {

ExitCode check(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Checks a settings file", ' ', Version);
    TCLAP::UnlabeledValueArg<std::string> file("file", "Settings file", true, "", "FILE", commandLine);
    commandLine.parse(arguments);
    const auto settings = Settings::loadSettings(file.getValue());
    if (!settings) {
        printFindings(settings.error());
        return ExitCode::WrongUsage;
    }
    std::cout << file.getValue() << ": ok\n";
    return ExitCode::Done;
}

}

void addCheckCommands(Commands &commands)
{
    commands["check"] = check;
}

}
