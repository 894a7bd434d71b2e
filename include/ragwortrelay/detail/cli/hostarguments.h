#pragma once

#include <ragwortrelay/cli/operatorclient.h>

#include <tclap/CmdLine.h>

#include <string>

namespace RagwortRelay::Cli::detail {

/// Arguments that all commands to a running host share. Not thread-safe.
class HostArguments
{
public:
    /// Adds the arguments to a command line, which must outlive this object.
    explicit HostArguments(TCLAP::CmdLine &commandLine);

    /// Returns where the host is. Precondition: the command line was parsed.
    [[nodiscard]] OperatorEndpoint endpoint();

private:
    TCLAP::ValueArg<std::string> m_host;
    TCLAP::ValueArg<std::string> m_token;
};

}
