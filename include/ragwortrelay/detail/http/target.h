#pragma once

#include <optional>
#include <string_view>

namespace RagwortRelay::Http::detail {

/// Returns the byte encoded by an escape such as `%2F` at a position, or nothing. Thread-safe, like all functions here.
std::optional<char> unescape(std::string_view text, std::size_t position);

/// Returns whether a target is a path with an optional query that all servers interpret alike. Such a path has no segments that are
/// resolved or merged, and no escaped slashes or control characters.
/// Source: RFC 9112, section 3.2.1, and RFC 3986, section 6.
bool isClearTarget(std::string_view target);

}
