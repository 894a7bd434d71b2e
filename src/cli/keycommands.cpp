#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/hostarguments.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/tableclient.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <iostream>

namespace RagwortRelay::Cli::detail {

namespace {

ExitCode keyGive(Arguments arguments)
{
    constexpr std::size_t IdBytes = 6;
    constexpr std::size_t SecretBytes = 24;
    TCLAP::CmdLine commandLine("Gives a key to a workspace", ' ', Version);
    HostArguments host(commandLine);
    TCLAP::UnlabeledValueArg<std::string> workspace("workspace", "Workspace", true, "", "WORKSPACE", commandLine);
    commandLine.parse(arguments);
    const std::string id = randomHex(IdBytes);
    const std::string secret = randomHex(SecretBytes);
    const std::string salt = randomHex(SecretBytes);
    const Configuration::Cells cells{{"workspace", workspace.getValue()}, {"salt", salt}, {"digest", Workspaces::digestOf(salt, secret)}};
    const ExitCode code = editRow(host.endpoint(), {Configuration::RowKind::Key, id}, cells);
    if (code == ExitCode::Done) {
        std::cout << id << '.' << secret << '\n';
    }
    return code;
}

}

void addKeyCommands(Commands &commands)
{
    commands["key give"] = keyGive;
}

}
