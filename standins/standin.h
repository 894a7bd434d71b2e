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

/// Request as a stand-in sees it. Lives as long as its handler runs.
class Request
{
public:
    explicit Request(const Loop::CallerRequest &request);

    [[nodiscard]] const std::string &method() const;
    [[nodiscard]] const std::string &path() const;
    [[nodiscard]] const std::string &body() const;

    /// Returns the value of a header, empty for none.
    [[nodiscard]] std::string header(const std::string &name) const;

    /// Returns the value of a query argument, empty for none.
    [[nodiscard]] std::string argument(const std::string &name) const;

    /// Returns the value of a query argument as a number, or the fallback.
    [[nodiscard]] std::uint64_t number(const std::string &name, std::uint64_t fallback) const;

private:
    const Loop::CallerRequest &m_request;
};

/// Answer of a stand-in.
struct Answer {
    std::uint16_t m_status = 200;
    std::string m_body;
    Http::Headers m_headers;
    bool m_isCut = false; ///< Half of the body is sent, then the connection breaks.
};

/// HTTP server of a stand-in. Used by one thread.
class Server
{
public:
    using Handler = std::function<void(Host::ExchangeId, const Request &)>;

    /// Listens on a port of the loopback address; 0 lets the kernel choose.
    Server(asio::io_context &context, std::uint16_t port, Handler handler);

    /// Answers a request. One whose caller has left changes nothing.
    void response(Host::ExchangeId exchange, const Answer &response);

    [[nodiscard]] std::string address() const;

private:
    void cutLater(const std::shared_ptr<Loop::ResponseStream> &stream);

    asio::io_context &m_context;
    Loop::CallerListener m_listener;
};

/// Returns the number in an argument of the program, or the fallback.
std::uint64_t numberAt(int argc, char **argv, int index, std::uint64_t fallback);

/// Prints the addresses on the first line of the output and serves until the process is told to stop.
void run(asio::io_context &context, const std::vector<std::string> &addresses);

}
