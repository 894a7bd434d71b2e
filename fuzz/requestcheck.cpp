// Normalizes any text as the target of a request; what is taken must be stable, in origin form and free of dot segments.

#include <ragwortrelay/detail/runtime/requestcheck.h>

#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    using namespace RagwortRelay::Runtime::detail;
    const std::string target(reinterpret_cast<const char *>(data), size);
    const auto normal = normalizeTarget(target);
    if (!normal) {
        return 0;
    }
    const std::string path = normal->substr(0, normal->find('?'));
    const bool isClear = path.starts_with('/') && path.find("/../") == std::string::npos && path.find("//") == std::string::npos;
    if (!isClear || normalizeTarget(*normal) != normal) {
        std::abort();
    }
    return 0;
}
