#include <ragwortrelay/detail/cli/commandgroups.h>
#include <ragwortrelay/detail/cli/hostarguments.h>
#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/detail/cli/parsing.h>
#include <ragwortrelay/http/status.h>
#include <ragwortrelay/operators/explanation.h>

#include <iostream>

namespace RagwortRelay::Cli::detail {

namespace {

/// Arguments that describe the request to explain. Not thread-safe.
class RequestArguments
{
public:
    /// Adds the arguments to a command line, which must outlive this object.
    explicit RequestArguments(TCLAP::CmdLine &commandLine)
        : m_path("path", "Path of the request, with or without a query", true, "", "PATH", commandLine)
        , m_method("", "method", "Method of the request; GET by default", false, "GET", "METHOD", commandLine)
        , m_hostName("", "host-name", "Host name of the request", false, "", "NAME", commandLine)
        , m_workspace("", "workspace", "Workspace of the caller", false, "", "WORKSPACE", commandLine)
        , m_key("", "key", "Workspace key of the caller, instead of the workspace", false, "", "KEY", commandLine)
        , m_bodyBytes("", "body-bytes", "Size of the body; 0 by default", false, 0, "BYTES", commandLine)
        , m_domain("", "domain", "Failure domain of the host that takes the request; that of the asked host by default", false, "", "DOMAIN", commandLine)
        , m_tried("", "tried", "Server that an earlier attempt has tried; repeatable, explains a retry", false, "SERVER", commandLine)
    {
    }

    /// Tells whether the arguments fit together. Precondition: the command line was parsed.
    [[nodiscard]] bool areValid()
    {
        return m_bodyBytes.getValue() >= 0 && (m_workspace.getValue().empty() || m_key.getValue().empty());
    }

    /// Returns the command. Precondition: areValid().
    [[nodiscard]] Operators::ExplainRequest request()
    {
        Operators::ExplainRequest request;
        request.m_method = m_method.getValue();
        request.m_host = m_hostName.getValue();
        request.m_target = m_path.getValue();
        request.m_workspace = WorkspaceId(m_workspace.getValue());
        request.m_key = m_key.getValue();
        request.m_bodyBytes = static_cast<std::uint64_t>(m_bodyBytes.getValue());
        request.m_domain = FailureDomainId(m_domain.getValue());
        for (const std::string &server : m_tried.getValue()) {
            request.m_tried.emplace_back(server);
        }
        return request;
    }

private:
    TCLAP::UnlabeledValueArg<std::string> m_path;
    TCLAP::ValueArg<std::string> m_method;
    TCLAP::ValueArg<std::string> m_hostName;
    TCLAP::ValueArg<std::string> m_workspace;
    TCLAP::ValueArg<std::string> m_key;
    TCLAP::ValueArg<std::int64_t> m_bodyBytes;
    TCLAP::ValueArg<std::string> m_domain;
    TCLAP::MultiArg<std::string> m_tried;
};

ExitCode printExplanation(const std::string &body)
{
    const auto text = Operators::formatExplanation(body);
    if (!text) {
        printError(text.error());
        return ExitCode::Failed;
    }
    std::cout << *text;
    return ExitCode::Done;
}

ExitCode explain(Arguments arguments)
{
    TCLAP::CmdLine commandLine("Prints where a request would go now and why, by the view of one host; sends no request", ' ', Version);
    HostArguments host(commandLine);
    RequestArguments request(commandLine);
    TCLAP::SwitchArg json("", "json", "Print JSON", commandLine);
    parseArguments(commandLine, arguments);
    if (!request.areValid()) {
        std::cerr << "explain: give either --workspace or --key, and a size of the body that is not negative\n";
        return ExitCode::WrongUsage;
    }
    const auto response = sendToHost(host.endpoint(), "/ragwortrelay/explain", Operators::encodeExplainRequest(request.request()));
    if (response && response->m_status != Http::Status::Ok) {
        printError(Operators::decodeRefusal(response->m_body));
        return ExitCode::Failed;
    }
    return !response || json.getValue() ? printResponse(response) : printExplanation(response->m_body);
}

}

void addExplainCommands(Commands &commands)
{
    commands["explain"] = explain;
}

}
