#pragma once

#include <ragwortrelay/cli/operatorclient.h>

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace RagwortRelay::Cli::detail {

/// Arguments that all commands to a running host share. Not thread-safe.
class HostArguments
{
public:
    /// Adds the arguments to a command line, which must outlive this object.
    explicit HostArguments(TCLAP::CmdLine &commandLine);

    /// Returns where the first host is. Precondition: the command line was parsed.
    [[nodiscard]] OperatorEndpoint endpoint();

    /// Returns all hosts that may be asked, in order. Precondition: the command line was parsed.
    [[nodiscard]] std::vector<OperatorEndpoint> endpoints();

private:
    TCLAP::MultiArg<std::string> m_hosts;
    TCLAP::ValueArg<std::string> m_token;
};

}
