#include <ragwortrelay/reporting/counters.h>

#include <array>
#include <charconv>

namespace RagwortRelay::Reporting {

namespace {

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    const auto [end, code] = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), end};
}

/// Appends one sample; the first sample of a metric family is preceded by a line with the type of the family.
void appendSample(std::string &text, std::string &previousFamily, const std::string &name, const char *suffix, const char *type, const std::string &value)
{
    const std::size_t labels = name.find('{');
    const std::string family = "ragwortrelay_" + name.substr(0, labels) + suffix;
    if (family != previousFamily) {
        text += "# TYPE " + family + ' ' + type + '\n';
        previousFamily = family;
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
    std::string previousFamily;
    for (const auto &[name, value] : counters) {
        appendSample(text, previousFamily, name, "_total", "counter", std::to_string(value));
    }
    return text;
}

std::string formatMetrics(const Gauges &gauges)
{
    std::string text;
    std::string previousFamily;
    for (const auto &[name, value] : gauges) {
        appendSample(text, previousFamily, name, "", "gauge", formatNumber(value));
    }
    return text;
}

}
