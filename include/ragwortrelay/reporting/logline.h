#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace RagwortRelay::Reporting {

/// Severity of a log line, in ascending order.
enum class Severity : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// One line of the structured log: an event and its fields. Immutable once built.
struct LogLine {
    Severity m_severity = Severity::Info;
    std::string m_event;
    std::vector<std::pair<std::string, std::string>> m_fields; ///< Names and values in output order; numbers are formatted as text.

    explicit LogLine(std::string event, Severity severity = Severity::Info) : m_severity(severity), m_event(std::move(event))
    {
    }

    /// Returns the line with one text field appended. Thread-safe for calls on different lines.
    [[nodiscard]] LogLine with(std::string name, std::string value) &&
    {
        m_fields.emplace_back(std::move(name), std::move(value));
        return std::move(*this);
    }

    /// Returns the line with one integer field appended. Thread-safe for calls on different lines.
    [[nodiscard]] LogLine with(std::string name, std::int64_t value) &&
    {
        return std::move(*this).with(std::move(name), std::to_string(value));
    }

    friend bool operator==(const LogLine &, const LogLine &) = default;
};

}
