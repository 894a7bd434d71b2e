#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/hostarguments.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/parsing.h>

namespace RagwortRelay::Cli::detail {

namespace {

ExitCode status(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Prints the state of a host", ' ', Version);
    HostArguments host(commandLine);
    parseArguments(commandLine, arguments);
    return printResponse(sendToHost(host.endpoint(), "/ragwortrelay/status", ""));
}

}

void addStatusCommands(Commands &commands)
{
    commands["status"] = status;
}

}
