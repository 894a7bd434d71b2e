#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace RagwortRelay::Http {

/// Header of an HTTP message.
struct Header {
    std::string m_name;
    std::string m_value;

    friend bool operator==(const Header &, const Header &) = default;
};

/// Headers of an HTTP message in the order of their occurrence.
using Headers = std::vector<Header>;

/// Request line and headers of a request.
struct RequestHead {
    std::string m_method;
    std::string m_target; ///< Path and query as sent.
    unsigned m_minorVersion = 1; ///< Minor version of HTTP/1.
    Headers m_headers;

    friend bool operator==(const RequestHead &, const RequestHead &) = default;
};

/// Status line and headers of a response.
struct ResponseHead {
    std::uint16_t m_status = 0;
    Headers m_headers;
    std::optional<std::uint64_t> m_contentLength; ///< Length of the body in bytes; empty if the response doesn't state it.
    bool m_keepAlive = true; ///< The connection stays open after the response.

    friend bool operator==(const ResponseHead &, const ResponseHead &) = default;
};

/// Returns the memory that the head of a request takes, in bytes. It can be many times the size of its text.
std::size_t memorySizeOf(const RequestHead &head);

/// Returns whether two header names are equal, ignoring case. Thread-safe, like all functions here.
bool sameName(std::string_view left, std::string_view right);

/// Returns the value of the first header with the given name, or nothing.
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name);

/// Returns the number of headers with the given name.
std::size_t countHeaders(const Headers &headers, std::string_view name);

/// Returns whether a text contains no control characters, so that it can be the value of a header. Tabs are allowed.
bool isFieldValue(std::string_view text);

/// Returns whether a header applies to a single connection and must not be forwarded.
/// Source: RFC 9110, section 7.6.1.
bool isHopByHop(std::string_view name);

/// Returns the headers that may be forwarded: neither hop-by-hop headers nor headers named by `Connection`.
Headers endToEndHeaders(const Headers &headers);

/// Returns the standard reason phrase of a status. Source: RFC 9110, section 15.
std::string_view reasonPhrase(std::uint16_t status);

}
