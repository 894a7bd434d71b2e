#pragma once

#include <utility> // Boost.Asio 1.74 needs it and doesn't include it.

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <string_view>

namespace RagwortRelay::Loop {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

/// Reads an address of the form `IP:PORT`. Precondition: it has that form. Thread-safe.
template<typename Protocol> typename Protocol::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const bool isBracketed = address.starts_with('[');
    const std::string ip = isBracketed ? address.substr(1, colon - 2) : address.substr(0, colon);
    return {asio::ip::make_address(ip), static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

/// Returns an address in the form `IP:PORT`, with brackets around an IPv6 address. Thread-safe.
template<typename Endpoint> std::string textOf(const Endpoint &endpoint)
{
    const std::string ip = endpoint.address().to_string();
    return (endpoint.address().is_v6() ? '[' + ip + ']' : ip) + ':' + std::to_string(endpoint.port());
}

/// How soon an established connection whose other end is silent counts as dead.
struct TcpTimeouts {
    int m_unacknowledgedMs = 0; ///< Sent bytes that are not acknowledged, in milliseconds.
    int m_keepAliveIdleS = 0; ///< Idle time before the first keep-alive probe, in seconds; 0 for no probes.
    int m_keepAliveIntervalS = 1; ///< Between two probes, in seconds.
    int m_keepAliveProbes = 3;
};

/// Sets the options of a new connection. Errors are left alone: a connection works without them.
void tune(tcp::socket &socket, const TcpTimeouts &tcpTimeouts);

}
