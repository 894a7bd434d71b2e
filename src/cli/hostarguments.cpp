#include <ragwortrelay/detail/cli/hostarguments.h>

namespace RagwortRelay::Cli::detail {

HostArguments::HostArguments(TCLAP::CmdLine &commandLine)
    : m_host("", "host", "Address of a host for operators", true, "", "IP:PORT", commandLine)
    , m_token("", "token", "Operators' token of the fleet", true, "", "TOKEN", commandLine)
{
}

OperatorEndpoint HostArguments::endpoint()
{
    return {m_host.getValue(), m_token.getValue()};
}

}
