#pragma once

#include <string_view>

namespace RagwortRelay::Http::detail {

/// Returns the secret part of the value of the workspace key's header; empty if it is too short to be one. The result is valid as long as
/// the value. Thread-safe, like all functions here.
std::string_view extractSecret(std::string_view key);

/// Returns whether a text contains the secret, either literally or percent-encoded.
bool containsSecret(std::string_view text, std::string_view secret);

}
