#pragma once

#include <utility> // Boost.Asio 1.74 uses <utility> without including it.

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

/// Parses an address of the form `IP:PORT`, with brackets around an IPv6 address. Precondition: the address has that form. Thread-safe.
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

/// Timeouts after which the operating system closes an established connection to an unresponsive peer.
struct TcpTimeouts {
    int m_unacknowledgedTimeoutMs = 0; ///< Maximum time without acknowledgement of sent bytes, in milliseconds; 0 for the system's default.
    int m_keepAliveIdleS = 0; ///< Idle time before the first keep-alive probe, in seconds; 0 disables the probes.
    int m_keepAliveIntervalS = 1; ///< Interval between two probes, in seconds.
    int m_keepAliveProbes = 3; ///< Number of unacknowledged probes after which the connection is closed.
};

/// Sets the socket options of a new connection. Errors are ignored, since a connection works without these options.
void tune(tcp::socket &socket, const TcpTimeouts &tcpTimeouts);

}
