#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace RagwortRelay::Fuzz {

/// Gives a reader the bytes in pieces for as long as it wants more.
/// @param isReading tells whether the reader wants more
template<typename Reader, typename IsReading> void putInPieces(Reader &reader, std::string_view bytes, std::size_t piece, const IsReading &isReading)
{
    std::size_t used = 0;
    std::size_t offered = 0;
    while (offered < bytes.size() && isReading(reader)) {
        offered = std::min(bytes.size(), offered + piece);
        used += reader.put(bytes.substr(used, offered - used));
    }
}

}
