#pragma once

#include <ragwortrelay/cli/operatorclient.h>

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace RagwortRelay::Cli::detail {

/// Arguments shared by all commands that send requests to a running host. Not thread-safe.
class HostArguments
{
public:
    /// Adds the arguments to a command line, which must outlive this object.
    explicit HostArguments(TCLAP::CmdLine &commandLine);

    /// Returns the endpoint of the first host. Precondition: the command line was parsed.
    [[nodiscard]] OperatorEndpoint endpoint();

    /// Returns the endpoints of all hosts in the order of the arguments. Precondition: the command line was parsed.
    [[nodiscard]] std::vector<OperatorEndpoint> endpoints();

private:
    TCLAP::MultiArg<std::string> m_hosts;
    TCLAP::ValueArg<std::string> m_token;
};

}
