#include "standin.h"

#include <cstdlib>
#include <iostream>

namespace StandIn {

namespace {

Loop::CallerListenerSettings settingsFor(std::uint16_t port)
{
    constexpr std::uint64_t MaxBodyBytes = 16U << 20U;
    Loop::CallerListenerSettings settings;
    settings.m_listen = "127.0.0.1:" + std::to_string(port);
    settings.m_limits.m_maxBodyBytes = MaxBodyBytes;
    return settings;
}

/// Returns the text with its percent-encoded octets decoded. Source: RFC 3986, section 2.1.
std::string percentDecoded(const std::string &text)
{
    constexpr int HexadecimalBase = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, HexadecimalBase));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

}

Request::Request(const Loop::CallerRequest &request) : m_request(request)
{
}

const std::string &Request::method() const
{
    return m_request.m_head.m_method;
}

const std::string &Request::path() const
{
    return m_request.m_metadata.m_path;
}

const std::string &Request::body() const
{
    return *m_request.m_body;
}

std::string Request::header(const std::string &name) const
{
    return std::string(Http::findHeader(m_request.m_head.m_headers, name).value_or(""));
}

std::string Request::argument(const std::string &name) const
{
    const std::string &target = m_request.m_head.m_target;
    std::size_t start = target.find('?');
    while (start != std::string::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string pair = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos && pair.substr(0, equals) == name) {
            return percentDecoded(pair.substr(equals + 1));
        }
        start = end;
    }
    return {};
}

std::uint64_t Request::number(const std::string &name, std::uint64_t fallback) const
{
    const std::string text = argument(name);
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

Server::Server(asio::io_context &context, std::uint16_t port, Handler handler)
    : m_context(context), m_listener(context, settingsFor(port), Http::HeaderScheme{}, [this, handler = std::move(handler)](const Host::Event &event) {
        const auto *arrived = std::get_if<Host::RequestArrived>(&event);
        if (arrived != nullptr) {
            handler(arrived->m_exchange, Request(*m_listener.requestOf(arrived->m_exchange)));
        }
    })
{
    m_listener.start();
}

void Server::respond(Host::ExchangeId exchange, const Response &response)
{
    auto stream = std::make_shared<Loop::ResponseStream>();
    stream->m_head.m_status = response.m_status;
    stream->m_head.m_headers = response.m_headers;
    stream->m_pending = response.m_isTruncated ? response.m_body.substr(0, response.m_body.size() / 2) : response.m_body;
    stream->m_state = response.m_isTruncated ? Loop::BodyState::Open : Loop::BodyState::Whole;
    stream->m_head.m_contentLength = response.m_body.size();
    m_listener.response(exchange, stream);
    if (response.m_isTruncated) {
        truncateAfterDelay(stream);
    }
}

void Server::truncateAfterDelay(const std::shared_ptr<Loop::ResponseStream> &stream)
{
    constexpr std::chrono::milliseconds TruncationDelay{20}; // Lets the first half of the body be sent.
    auto timer = std::make_shared<asio::steady_timer>(m_context, TruncationDelay);
    timer->async_wait([timer, stream](const Loop::ErrorCode & /*error*/) {
        stream->m_state = Loop::BodyState::Truncated;
        if (stream->m_onDataAvailable) {
            stream->m_onDataAvailable();
        }
    });
}

std::string Server::address() const
{
    return m_listener.address();
}

std::uint64_t numericArgument(int argc, char **argv, int index, std::uint64_t fallback)
{
    return index < argc ? std::strtoull(argv[index], nullptr, 10) : fallback;
}

void run(asio::io_context &context, const std::vector<std::string> &addresses)
{
    std::cout << "listening";
    for (const std::string &address : addresses) {
        std::cout << ' ' << address;
    }
    std::cout << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const Loop::ErrorCode & /*error*/, int /*signal*/) { context.stop(); });
    context.run();
}

}
