#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace RagwortRelay::Http {

/// One header of an HTTP message.
struct Header {
    std::string m_name;
    std::string m_value;

    friend bool operator==(const Header &, const Header &) = default;
};

using Headers = std::vector<Header>;

/// A request before its body.
struct RequestHead {
    std::string m_method;
    std::string m_target; ///< As sent: path and query.
    unsigned m_minorVersion = 1; ///< Of HTTP/1.
    Headers m_headers;

    friend bool operator==(const RequestHead &, const RequestHead &) = default;
};

/// An answer before its body.
struct ResponseHead {
    std::uint16_t m_status = 0;
    Headers m_headers;
    std::optional<std::uint64_t> m_contentLength; ///< Bytes; empty when the answer doesn't tell.
    bool m_keepAlive = true; ///< The connection stays open behind the answer.

    friend bool operator==(const ResponseHead &, const ResponseHead &) = default;
};

/// Compares header names without regard to case. Thread-safe, like all functions here.
bool sameName(std::string_view left, std::string_view right);

/// Returns the value of the first header with the name, or nothing.
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name);

/// Returns how many headers have the name.
std::size_t countHeaders(const Headers &headers, std::string_view name);

/// Tells whether a text has no control characters, so that it can stand as the value of a header.
bool isFieldValue(std::string_view text);

/// Tells whether a header is for one connection only and must not be passed on.
/// Source: RFC 9110, section 7.6.1.
bool isHopByHop(std::string_view name);

/// Returns the headers that may be passed on: no hop-by-hop ones, and none that `Connection` names.
Headers endToEndHeaders(const Headers &headers);

/// Returns the standard reason phrase of a status. Source: RFC 9110, section 15.
std::string_view reasonOf(std::uint16_t status);

}
