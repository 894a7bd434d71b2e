#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace RagwortRelay::Fuzz {

/// Feeds bytes to a parser in pieces until it needs no more input.
/// @param pieceBytes number of new bytes per call
/// @param wantsMore predicate that tells whether the parser needs more input
template<typename Reader, typename WantsMore> void feedInPieces(Reader &reader, std::string_view bytes, std::size_t pieceBytes, const WantsMore &wantsMore)
{
    std::size_t consumed = 0;
    std::size_t offered = 0;
    while (offered < bytes.size() && wantsMore(reader)) {
        offered = std::min(bytes.size(), offered + pieceBytes);
        consumed += reader.put(bytes.substr(consumed, offered - consumed));
    }
}

}
