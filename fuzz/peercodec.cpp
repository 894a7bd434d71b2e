// Decodes any bytes as a batch of peer messages; what decodes must survive another round.

#include <ragwortrelay/wire/peercodec.h>

#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    using namespace RagwortRelay;
    const auto batch = Wire::decodeBatch({reinterpret_cast<const char *>(data), size});
    if (!batch) {
        return 0;
    }
    const std::string bytes = Wire::encodeBatch(*batch);
    const auto again = Wire::decodeBatch(bytes);
    // Compares bytes, because a number that isn't a number doesn't equal itself.
    if (!again || Wire::encodeBatch(*again) != bytes) {
        std::abort();
    }
    return 0;
}
