#include <ragwortrelay/detail/cli/output.h>
#include <ragwortrelay/http/status.h>

#include <iostream>

namespace RagwortRelay::Cli::detail {

void printFindings(const Findings &findings)
{
    for (const Finding &finding : findings) {
        std::cerr << toString(finding) << '\n';
    }
}

void printError(const Error &error)
{
    std::cerr << "error " << toString(error.m_id) << ": " << error.m_message << '\n';
}

ExitCode printResponse(const tl::expected<OperatorResponse, Error> &response)
{
    if (!response) {
        printError(response.error());
        return ExitCode::Failed;
    }
    const bool isSuccess = response->m_status == Http::Status::Ok;
    (isSuccess ? std::cout : std::cerr) << response->m_body << '\n';
    return isSuccess ? ExitCode::Done : ExitCode::Failed;
}

}
