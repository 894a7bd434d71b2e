#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/socket.h>

namespace RagwortRelay::Runtime::detail {

/// IP address and port in the form that the socket functions take.
struct SocketAddress {
    sockaddr_storage m_storage{};
    socklen_t m_size = 0;

    /// Returns the family of addresses, AF_INET or AF_INET6. No preconditions; thread-safe.
    [[nodiscard]] int family() const
    {
        return m_storage.ss_family;
    }
};

/// Reads `IP:PORT`, with brackets around an IPv6 address; returns nothing for another form. Thread-safe.
std::optional<SocketAddress> parseSocketAddress(const std::string &text);

/// Returns the text with its port replaced. Precondition: the text has the form `IP:PORT`. Thread-safe.
std::string withPort(const std::string &text, std::uint16_t port);

/// Returns the local port of a bound socket. Thread-safe.
std::uint16_t localPort(int descriptor);

/// Sets a connected TCP socket to non-blocking and turns off Nagle's algorithm. Thread-safe.
void prepareStreamSocket(int descriptor);

/// Opens a non-blocking listening TCP socket. Throws std::runtime_error when the address can't be had. Thread-safe.
int openListener(const std::string &address);

}
