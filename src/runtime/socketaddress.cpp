#include <ragwortrelay/detail/runtime/socketaddress.h>

#include <arpa/inet.h>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <unistd.h>

namespace RagwortRelay::Runtime::detail {

std::optional<SocketAddress> parseSocketAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *portEnd = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data() + colon + 1, portEnd, port);
    if (code != std::errc() || end != portEnd) {
        return std::nullopt;
    }
    SocketAddress address;
    const bool hasBrackets = colon >= 2 && text[0] == '[' && text[colon - 1] == ']';
    if (hasBrackets) {
        auto *ipv6 = reinterpret_cast<sockaddr_in6 *>(&address.m_storage);
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(port);
        address.m_size = sizeof(sockaddr_in6);
        const bool isValid = inet_pton(AF_INET6, text.substr(1, colon - 2).c_str(), &ipv6->sin6_addr) == 1;
        return isValid ? std::optional(address) : std::nullopt;
    }
    auto *ipv4 = reinterpret_cast<sockaddr_in *>(&address.m_storage);
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(port);
    address.m_size = sizeof(sockaddr_in);
    const bool isValid = inet_pton(AF_INET, text.substr(0, colon).c_str(), &ipv4->sin_addr) == 1;
    return isValid ? std::optional(address) : std::nullopt;
}

std::string withPort(const std::string &text, std::uint16_t port)
{
    return text.substr(0, text.rfind(':') + 1) + std::to_string(port);
}

std::uint16_t localPort(int descriptor)
{
    SocketAddress address;
    address.m_size = sizeof address.m_storage;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address.m_storage), &address.m_size);
    if (address.family() == AF_INET6) {
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&address.m_storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<const sockaddr_in *>(&address.m_storage)->sin_port);
}

void prepareStreamSocket(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

int openListener(const std::string &address)
{
    constexpr int Backlog = 1024;
    const auto parsed = parseSocketAddress(address);
    const int descriptor = parsed ? socket(parsed->family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    if (descriptor < 0) {
        throw std::runtime_error("can't open a socket for " + address);
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (parsed->family() == AF_INET6) {
        setsockopt(descriptor, IPPROTO_IPV6, IPV6_V6ONLY, &on, sizeof on);
    }
    const bool isBound = bind(descriptor, reinterpret_cast<const sockaddr *>(&parsed->m_storage), parsed->m_size) == 0;
    if (!isBound || listen(descriptor, Backlog) != 0) {
        const std::string reason = std::strerror(errno);
        close(descriptor);
        throw std::runtime_error("can't listen on " + address + ": " + reason);
    }
    return descriptor;
}

}
