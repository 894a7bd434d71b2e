#pragma once

#include <ragwortrelay/loop/callerlistener.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace StandIn {

namespace Host = RagwortRelay::Host;
namespace Http = RagwortRelay::Http;
namespace Loop = RagwortRelay::Loop;
namespace asio = RagwortRelay::Loop::asio;

/// View of a request to a stand-in. Valid only while its handler runs.
class Request
{
public:
    explicit Request(const Loop::CallerRequest &request);

    [[nodiscard]] const std::string &method() const;
    [[nodiscard]] const std::string &path() const;
    [[nodiscard]] const std::string &body() const;

    /// Returns the value of a header, or an empty string if it is missing.
    [[nodiscard]] std::string header(const std::string &name) const;

    /// Returns the percent-decoded value of a query argument, or an empty string if it is missing.
    [[nodiscard]] std::string argument(const std::string &name) const;

    /// Returns the value of a query argument as a number, or the fallback if it is missing.
    [[nodiscard]] std::uint64_t number(const std::string &name, std::uint64_t fallback) const;

private:
    const Loop::CallerRequest &m_request;
};

/// Response of a stand-in.
struct Response {
    std::uint16_t m_status = 200;
    std::string m_body;
    Http::Headers m_headers;
    bool m_isTruncated = false; ///< Whether the connection breaks after half of the body.
};

/// HTTP server of a stand-in. Not thread-safe.
class Server
{
public:
    using Handler = std::function<void(Host::ExchangeId, const Request &)>;

    /// Listens on a port of the loopback address. With port 0, the kernel chooses the port.
    Server(asio::io_context &context, std::uint16_t port, Handler handler);

    /// Sends the response to a request. Has no effect if the caller has disconnected.
    void respond(Host::ExchangeId exchange, const Response &response);

    [[nodiscard]] std::string address() const;

private:
    void truncateAfterDelay(const std::shared_ptr<Loop::ResponseStream> &stream);

    asio::io_context &m_context;
    Loop::CallerListener m_listener;
};

/// Returns a command-line argument as a number, or the fallback if it is missing.
std::uint64_t numericArgument(int argc, char **argv, int index, std::uint64_t fallback);

/// Prints the addresses on the first line of standard output and serves until SIGTERM or SIGINT.
void run(asio::io_context &context, const std::vector<std::string> &addresses);

}
