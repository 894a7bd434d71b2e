// Reads any bytes as the answer of a server; a whole one is the same however the bytes are cut into pieces.

#include <ragwortrelay/http/answerreader.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace RagwortRelay::Http;

namespace {

AnswerReader readIn(std::string_view bytes, std::size_t piece)
{
    AnswerReader reader(AnswerBody::Expected);
    std::size_t used = 0;
    std::size_t offered = 0;
    while (offered < bytes.size() && (reader.state() == AnswerState::Head || reader.state() == AnswerState::Body)) {
        offered = std::min(bytes.size(), offered + piece);
        used += reader.put(bytes.substr(used, offered - used));
    }
    if (reader.state() == AnswerState::Head || reader.state() == AnswerState::Body) {
        reader.putEnd();
    }
    return reader;
}

}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    constexpr std::size_t Piece = 7; // bytes
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    AnswerReader whole = readIn(bytes, std::max<std::size_t>(1, size));
    AnswerReader cut = readIn(bytes, Piece);
    if (whole.state() != AnswerState::Whole) {
        return 0;
    }
    const bool isSame = cut.state() == AnswerState::Whole && cut.head() == whole.head() && cut.takeBody() == whole.takeBody();
    if (!isSame) {
        std::abort();
    }
    return 0;
}
