#include <ragwortrelay/http/message.h>

#include <ostream> // Boost.Beast 1.74 needs it and doesn't include it.

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace RagwortRelay::Http {

namespace {

boost::beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

bool isNamedByConnection(const Headers &headers, std::string_view name)
{
    return std::ranges::any_of(headers, [&](const Header &header) {
        return sameName(header.m_name, "Connection") && boost::beast::http::token_list(toBeast(header.m_value)).exists(toBeast(name));
    });
}

}

std::size_t memorySizeOf(const RequestHead &head)
{
    constexpr std::size_t InPlaceCapacity = 15; // libstdc++ keeps so many characters within the string.
    const auto sizeOf = [](const std::string &text) { return text.capacity() > InPlaceCapacity ? text.capacity() : 0; };
    std::size_t size = sizeof(RequestHead) + sizeOf(head.m_method) + sizeOf(head.m_target) + (head.m_headers.capacity() * sizeof(Header));
    for (const Header &header : head.m_headers) {
        size += sizeOf(header.m_name) + sizeOf(header.m_value);
    }
    return size;
}

bool sameName(std::string_view left, std::string_view right)
{
    return boost::beast::iequals(toBeast(left), toBeast(right));
}

std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name)
{
    const auto found = std::ranges::find_if(headers, [&](const Header &header) { return sameName(header.m_name, name); });
    return found == headers.end() ? std::nullopt : std::optional<std::string_view>(found->m_value);
}

std::size_t countHeaders(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count_if(headers, [&](const Header &header) { return sameName(header.m_name, name); }));
}

bool isFieldValue(std::string_view text)
{
    return std::ranges::none_of(text, [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return (byte < ' ' && byte != '\t') || byte == 0x7F;
    });
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> Names{
        "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};
    return std::ranges::any_of(Names, [&](std::string_view candidate) { return sameName(name, candidate); });
}

Headers endToEndHeaders(const Headers &headers)
{
    Headers forwarded;
    for (const Header &header : headers) {
        if (!isHopByHop(header.m_name) && !isNamedByConnection(headers, header.m_name)) {
            forwarded.push_back(header);
        }
    }
    return forwarded;
}

std::string_view reasonPhrase(std::uint16_t status)
{
    const boost::beast::string_view reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return {reason.data(), reason.size()};
}

}
