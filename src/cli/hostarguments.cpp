#include <ragwortrelay/detail/cli/hostarguments.h>

namespace RagwortRelay::Cli::detail {

HostArguments::HostArguments(TCLAP::CmdLine &commandLine)
    : m_hosts("", "host", "Address of a host for operators; repeatable, the next is tried when one can't be reached", true, "IP:PORT", commandLine)
    , m_token("", "token", "Operators' token of the fleet", true, "", "TOKEN", commandLine)
{
}

OperatorEndpoint HostArguments::endpoint()
{
    return endpoints().front();
}

std::vector<OperatorEndpoint> HostArguments::endpoints()
{
    std::vector<OperatorEndpoint> endpoints;
    for (const std::string &host : m_hosts.getValue()) {
        endpoints.push_back({host, m_token.getValue()});
    }
    return endpoints;
}

}
