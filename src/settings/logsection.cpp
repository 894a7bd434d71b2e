#include <ragwortrelay/detail/settings/sections.h>

#include <string_view>

namespace RagwortRelay::Settings::detail {

namespace {

/// Returns the first conversion of a log4cxx pattern that isn't known, empty when all are.
/// Source: documentation of log4cxx, class PatternLayout.
std::string unknownConversion(const std::string &pattern)
{
    constexpr std::string_view Known = "cCdfFlLmMnpPrtTxXy%";
    for (std::size_t i = pattern.find('%'); i != std::string::npos; i = pattern.find('%', i + 1)) {
        const std::size_t letter = pattern.find_first_not_of("-.0123456789", i + 1);
        if (letter == std::string::npos || Known.find(pattern[letter]) == std::string_view::npos) {
            return pattern.substr(i, letter == std::string::npos ? letter : letter - i + 1);
        }
        i = letter;
    }
    return {};
}

}

LogSettings readLog(YamlReader reader)
{
    LogSettings settings;
    settings.m_level = reader.choice("level", {"error", "warning", "info", "debug"}, settings.m_level);
    settings.m_layout = reader.text("layout", Presence::Optional, settings.m_layout);
    const std::string unknown = unknownConversion(settings.m_layout);
    if (!unknown.empty()) {
        reader.reportAt("layout", ErrorId::SettingsOutOfRange, "'" + unknown + "' is no conversion of log4cxx");
    } else if (settings.m_layout.find("%m") == std::string::npos) {
        reader.reportAt("layout", ErrorId::SettingsOutOfRange, "the layout has no message, '%m'");
    }
    reader.reportUnknownKeys();
    return settings;
}

}
