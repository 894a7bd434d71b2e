#include <ragwortrelay/cli/operatorclient.h>
#include <ragwortrelay/http/writer.h>
#include <ragwortrelay/loop/clientconnection.h>

namespace RagwortRelay::Cli {

namespace {

constexpr Duration ConnectLimit = std::chrono::seconds(5);
constexpr auto AnswerLimit = std::chrono::seconds(30);

Http::RequestHead headOf(const OperatorEndpoint &endpoint, const std::string &path, const std::string &body)
{
    Http::RequestHead head{body.empty() ? "GET" : "POST", path, 1, {}};
    head.m_headers = {{"Host", endpoint.m_address}, {"Authorization", "Bearer " + endpoint.m_token}, {"Connection", "close"}};
    if (!body.empty()) {
        head.m_headers.push_back({"Content-Type", "application/json"});
        head.m_headers.push_back({"Content-Length", std::to_string(body.size())});
    }
    return head;
}

Error unreachable(const OperatorEndpoint &endpoint, const std::string &reason)
{
    return {ErrorId::OperatorUnreachable, endpoint.m_address + ": " + reason};
}

}

tl::expected<OperatorResponse, Error> askHost(const OperatorEndpoint &endpoint, const std::string &path, const std::string &body)
{
    Loop::asio::io_context context(1);
    tl::expected<OperatorResponse, Error> result = tl::unexpected(unreachable(endpoint, "no answer in time"));
    const auto connection = std::make_shared<Loop::ClientConnection>(context, nullptr, Loop::TcpTimeouts{});
    std::string response;
    const auto onResponse = [&](Loop::ResponseEvent event) {
        if (event == Loop::ResponseEvent::Failed) {
            result = tl::unexpected(unreachable(endpoint, Dispatch::toString(connection->failure())));
            return context.stop();
        }
        response += connection->reader().takeBody();
        if (event == Loop::ResponseEvent::Whole) {
            result = OperatorResponse{connection->reader().head().m_status, response};
            context.stop();
        }
    };
    const auto content = body.empty() ? nullptr : std::make_shared<const std::string>(body);
    connection->send(Http::writeHead(headOf(endpoint, path, body)), content, Http::ResponseBody::Expected, onResponse);
    try {
        connection->connect(Loop::endpointOf<Loop::tcp>(endpoint.m_address), ConnectLimit);
    } catch (const std::exception &exception) {
        return tl::unexpected(unreachable(endpoint, exception.what()));
    }
    context.run_for(AnswerLimit);
    connection->close();
    return result;
}

}
