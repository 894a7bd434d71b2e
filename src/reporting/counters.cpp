#include <ragwortrelay/reporting/counters.h>

#include <array>
#include <charconv>

namespace RagwortRelay::Reporting {

namespace {

std::string numberText(double value)
{
    std::array<char, 32> text{};
    const auto [end, code] = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end};
}

/// Writes one value; the first one of a family has a line with its type before it.
void addLine(std::string &text, std::string &lastFamily, const std::string &name, const char *suffix, const char *type, const std::string &value)
{
    const std::size_t labels = name.find('{');
    const std::string family = "ragwortrelay_" + name.substr(0, labels) + suffix;
    if (family != lastFamily) {
        text += "# TYPE " + family + ' ' + type + '\n';
        lastFamily = family;
    }
    text += family + (labels == std::string::npos ? "" : name.substr(labels)) + ' ' + value + '\n';
}

}

void count(Counters &counters, const std::string &name, std::uint64_t amount)
{
    counters[name] += amount;
}

std::string formatMetrics(const Counters &counters)
{
    std::string text;
    std::string lastFamily;
    for (const auto &[name, value] : counters) {
        addLine(text, lastFamily, name, "_total", "counter", std::to_string(value));
    }
    return text;
}

std::string formatMetrics(const Gauges &gauges)
{
    std::string text;
    std::string lastFamily;
    for (const auto &[name, value] : gauges) {
        addLine(text, lastFamily, name, "", "gauge", numberText(value));
    }
    return text;
}

}
