// Parses arbitrary bytes as a server's response. A complete response must not depend on how the bytes are split into pieces.

#include "pieces.h"

#include <ragwortrelay/http/responsereader.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace RagwortRelay::Http;

namespace {

bool wantsMore(const ResponseReader &reader)
{
    return reader.state() == ResponseState::Head || reader.state() == ResponseState::Body;
}

ResponseReader readInPieces(std::string_view bytes, std::size_t pieceBytes)
{
    ResponseReader reader(ResponseBody::Expected);
    RagwortRelay::Fuzz::feedInPieces(reader, bytes, pieceBytes, wantsMore);
    if (wantsMore(reader)) {
        reader.putEof();
    }
    return reader;
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    constexpr std::size_t PieceBytes = 7;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    ResponseReader whole = readInPieces(bytes, std::max<std::size_t>(1, size));
    ResponseReader split = readInPieces(bytes, PieceBytes);
    if (whole.state() != ResponseState::Whole) {
        return 0;
    }
    const bool isSame = split.state() == ResponseState::Whole && split.head() == whole.head() && split.takeBody() == whole.takeBody();
    if (!isSame) {
        std::abort();
    }
    return 0;
}
