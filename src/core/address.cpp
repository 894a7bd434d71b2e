#include <ragwortrelay/core/address.h>

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>

namespace RagwortRelay {

bool isPort(const std::string &text)
{
    unsigned port = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), port);
    return code == std::errc() && end == text.data() + text.size() && port <= 65535;
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !isPort(text.substr(colon + 1))) {
        return false;
    }
    const std::string ip = text.substr(0, colon);
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    if (ip.starts_with('[') && ip.ends_with(']')) {
        return inet_pton(AF_INET6, ip.substr(1, ip.size() - 2).c_str(), buffer.data()) == 1;
    }
    return inet_pton(AF_INET, ip.c_str(), buffer.data()) == 1;
}

bool isRemoteAddress(const std::string &text)
{
    return isAddress(text) && text.substr(text.rfind(':') + 1).find_first_not_of('0') != std::string::npos;
}

}
