#include <ragwortrelay/reporting/counters.h>

namespace RagwortRelay::Reporting {

void count(Counters &counters, const std::string &name, std::uint64_t amount)
{
    counters[name] += amount;
}

std::string exposition(const Counters &counters)
{
    std::string text;
    std::string lastFamily;
    for (const auto &[name, value] : counters) {
        const std::string family = "ragwortrelay_" + name.substr(0, name.find('{')) + "_total";
        if (family != lastFamily) {
            text += "# TYPE " + family + " counter\n";
            lastFamily = family;
        }
        const std::size_t labels = name.find('{');
        text += family + (labels == std::string::npos ? "" : name.substr(labels)) + ' ' + std::to_string(value) + '\n';
    }
    return text;
}

}
