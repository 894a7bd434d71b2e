#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace RagwortRelay::Reporting {

/// How much a line of the log matters.
enum class Severity : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// One line of the structured log: what happened, and the fields that tell more. Immutable once built.
struct LogLine {
    Severity m_severity = Severity::Info;
    std::string m_event;
    std::vector<std::pair<std::string, std::string>> m_fields; ///< In the order in which they are written; numbers as text.

    explicit LogLine(std::string event, Severity severity = Severity::Info) : m_severity(severity), m_event(std::move(event))
    {
    }

    /// Returns the line with one more field. Thread-safe on different lines.
    [[nodiscard]] LogLine with(std::string name, std::string value) &&
    {
        m_fields.emplace_back(std::move(name), std::move(value));
        return std::move(*this);
    }

    /// Returns the line with one more field, a whole number. Thread-safe on different lines.
    [[nodiscard]] LogLine with(std::string name, std::int64_t value) &&
    {
        return std::move(*this).with(std::move(name), std::to_string(value));
    }

    friend bool operator==(const LogLine &, const LogLine &) = default;
};

}
