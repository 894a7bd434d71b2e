// Reads any bytes as a request; what is taken has a clear target and no header that breaks a line, and is the same however the bytes
// are cut into pieces.

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

bool isReading(const RequestReader &reader)
{
    return reader.state() == ReadState::Head || reader.state() == ReadState::Body;
}

RequestReader readIn(std::string_view bytes, std::size_t piece)
{
    RequestReader reader(RequestLimits{1024, 1024});
    RagwortRelay::Fuzz::putInPieces(reader, bytes, piece, isReading);
    return reader;
}

void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    constexpr std::size_t Piece = 7; // bytes
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    RequestReader whole = readIn(bytes, std::max<std::size_t>(1, size));
    RequestReader cut = readIn(bytes, Piece);
    if (whole.state() != ReadState::Complete) {
        return 0;
    }
    require(cut.state() == ReadState::Complete && cut.head() == whole.head());
    require(RagwortRelay::Http::detail::isClearTarget(whole.head().m_target));
    for (const Header &header : whole.head().m_headers) {
        require(isFieldValue(header.m_value));
    }
    require(cut.takeBody() == whole.takeBody());
    return 0;
}
