// Checks arbitrary text as a request target. An accepted target must be in origin form and free of segments that a server would resolve.

#include <ragwortrelay/detail/http/target.h>

#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    const std::string target(reinterpret_cast<const char *>(data), size);
    if (!RagwortRelay::Http::detail::isClearTarget(target)) {
        return 0;
    }
    std::string path;
    const std::string raw = target.substr(0, target.find('?'));
    for (std::size_t i = 0; i < raw.size(); ++i) {
        const auto byte = RagwortRelay::Http::detail::unescape(raw, i);
        path += byte.value_or(raw[i]);
        i += byte ? 2 : 0;
    }
    const bool isClear = path.starts_with('/') && path.find("/../") == std::string::npos && path.find("//") == std::string::npos && !path.ends_with("/..");
    if (!isClear || path.find('\0') != std::string::npos) {
        std::abort();
    }
    return 0;
}
