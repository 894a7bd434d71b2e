// Parses arbitrary bytes as a request. An accepted request must have an unambiguous target and no header value with a line break, and must
// not depend on how the bytes are split into pieces.

#include "pieces.h"

#include <ragwortrelay/detail/http/target.h>
#include <ragwortrelay/http/requestreader.h>
#include <ragwortrelay/http/writer.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace RagwortRelay::Http;

namespace {

bool wantsMore(const RequestReader &reader)
{
    return reader.state() == ReadState::Head || reader.state() == ReadState::Body;
}

RequestReader readInPieces(std::string_view bytes, std::size_t pieceBytes)
{
    RequestReader reader(RequestLimits{1024, 1024});
    RagwortRelay::Fuzz::feedInPieces(reader, bytes, pieceBytes, wantsMore);
    return reader;
}

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    constexpr std::size_t PieceBytes = 7;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    RequestReader whole = readInPieces(bytes, std::max<std::size_t>(1, size));
    RequestReader split = readInPieces(bytes, PieceBytes);
    if (whole.state() != ReadState::Complete) {
        return 0;
    }
    require(split.state() == ReadState::Complete && split.head() == whole.head());
    require(RagwortRelay::Http::detail::isClearTarget(whole.head().m_target));
    for (const Header &header : whole.head().m_headers) {
        require(isFieldValue(header.m_value));
    }
    require(split.takeBody() == whole.takeBody());
    return 0;
}
