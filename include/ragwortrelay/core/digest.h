#pragma once

#include <string>
#include <string_view>

namespace RagwortRelay {

/// Returns the SHA-256 digest of a text in lower-case hexadecimal. Thread-safe.
/// Source: FIPS 180-4.
std::string sha256(std::string_view text);

}
