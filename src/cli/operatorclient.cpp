#include <ragwortrelay/cli/operatorclient.h>
#include <ragwortrelay/http/writer.h>
#include <ragwortrelay/loop/clientconnection.h>

namespace RagwortRelay::Cli {

namespace {

constexpr Duration ConnectTimeout = std::chrono::seconds(5);
constexpr auto ResponseTimeout = std::chrono::seconds(30);

Http::RequestHead requestHead(const OperatorEndpoint &endpoint, const std::string &path, const std::string &body)
{
    Http::RequestHead head{body.empty() ? "GET" : "POST", path, 1, {}};
    head.m_headers = {{"Host", endpoint.m_address}, {"Authorization", "Bearer " + endpoint.m_token}, {"Connection", "close"}};
    if (!body.empty()) {
        head.m_headers.push_back({"Content-Type", "application/json"});
        head.m_headers.push_back({"Content-Length", std::to_string(body.size())});
    }
    return head;
}

Error unreachableError(const OperatorEndpoint &endpoint, const std::string &reason)
{
    return {ErrorId::OperatorUnreachable, endpoint.m_address + ": " + reason};
}

}

tl::expected<OperatorResponse, Error> sendToHost(const OperatorEndpoint &endpoint, const std::string &path, const std::string &body)
{
    Loop::asio::io_context context(1);
    tl::expected<OperatorResponse, Error> result = tl::unexpected(unreachableError(endpoint, "no response in time"));
    const auto connection = std::make_shared<Loop::ClientConnection>(context, nullptr, Loop::TcpTimeouts{});
    std::string responseBody;
    const auto onResponse = [&](Loop::ResponseEvent event) {
        if (event == Loop::ResponseEvent::Failed) {
            result = tl::unexpected(unreachableError(endpoint, Dispatch::toString(connection->failure())));
            return context.stop();
        }
        responseBody += connection->reader().takeBody();
        if (event == Loop::ResponseEvent::Whole) {
            result = OperatorResponse{connection->reader().head().m_status, responseBody};
            context.stop();
        }
    };
    const auto requestBody = body.empty() ? nullptr : std::make_shared<const std::string>(body);
    connection->send(Http::writeHead(requestHead(endpoint, path, body)), requestBody, Http::ResponseBody::Expected, onResponse);
    try {
        connection->connect(Loop::endpointOf<Loop::tcp>(endpoint.m_address), ConnectTimeout);
    } catch (const std::exception &exception) {
        return tl::unexpected(unreachableError(endpoint, exception.what()));
    }
    context.run_for(ResponseTimeout);
    connection->close();
    return result;
}

}
