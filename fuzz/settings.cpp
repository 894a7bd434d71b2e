// Parses arbitrary text as settings. Rejected settings must have findings, each with a line and a message.

#include <ragwortrelay/settings/settings.h>

#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming): the name is libFuzzer's
{
    using namespace RagwortRelay;
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto settings = Settings::parseSettings(text, "host.yaml", std::chrono::system_clock::time_point(std::chrono::hours(500000)));
    if (settings) {
        return 0;
    }
    for (const Finding &finding : settings.error()) {
        if (finding.m_place.m_line == 0 || finding.m_message.empty()) {
            std::abort();
        }
    }
    return settings.error().empty() ? std::abort(), 0 : 0;
}
