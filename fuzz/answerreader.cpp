// Reads any bytes as the answer of a server; a whole one is the same however the bytes are cut into pieces.

#include "pieces.h"

#include <ragwortrelay/http/responsereader.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace RagwortRelay::Http;

namespace {

bool isReading(const ResponseReader &reader)
{
    return reader.state() == ResponseState::Head || reader.state() == ResponseState::Body;
}

ResponseReader readIn(std::string_view bytes, std::size_t piece)
{
    ResponseReader reader(ResponseBody::Expected);
    RagwortRelay::Fuzz::putInPieces(reader, bytes, piece, isReading);
    if (isReading(reader)) {
        reader.putEof();
    }
    return reader;
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    constexpr std::size_t Piece = 7; // bytes
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    ResponseReader whole = readIn(bytes, std::max<std::size_t>(1, size));
    ResponseReader cut = readIn(bytes, Piece);
    if (whole.state() != ResponseState::Whole) {
        return 0;
    }
    const bool isSame = cut.state() == ResponseState::Whole && cut.head() == whole.head() && cut.takeBody() == whole.takeBody();
    if (!isSame) {
        std::abort();
    }
    return 0;
}
