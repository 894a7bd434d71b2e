#include <ragwortrelay/rules/alertrules.h>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <regex>

namespace RagwortRelay::Rules {

namespace {

/// Parts of an expression that a limit is compared with.
struct Comparison {
    std::string m_left;
    double m_limit = 0.0;
    std::optional<double> m_budget; ///< The second factor of `> rate * budget`.
};

/// A rule that is being read.
struct Rule {
    std::string m_name;
    std::string m_expression;
    std::string m_labelledService;
    std::optional<Duration> m_for;
    YAML::Mark m_mark;
};

double numberFrom(const std::string &text)
{
    double number = 0.0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Reads a duration of Prometheus such as `5m` or `1h30m`.
std::optional<Duration> durationFrom(const std::string &text)
{
    static const std::regex part("([0-9]+)(ms|s|m|h|d|w|y)");
    static const std::regex whole("(?:[0-9]+(?:ms|s|m|h|d|w|y))+");
    static const std::map<std::string, std::int64_t> millisecondsOfUnit{
        {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}, {"d", 86'400'000}, {"w", 604'800'000}, {"y", 31'536'000'000}};
    if (!std::regex_match(text, whole)) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    for (std::sregex_iterator match(text.begin(), text.end(), part), end; match != end; ++match) {
        milliseconds += static_cast<std::int64_t>(numberFrom((*match)[1].str())) * millisecondsOfUnit.at((*match)[2].str());
    }
    return std::chrono::milliseconds(milliseconds);
}

std::optional<Comparison> comparisonFrom(const std::string &expression)
{
    static const std::regex form(R"(^([\s\S]*\S)\s*>=?\s*\(?\s*([0-9.eE+-]+)\s*(?:\*\s*([0-9.eE+-]+)\s*)?\)?\s*$)");
    std::smatch match;
    if (!std::regex_match(expression, match, form)) {
        return std::nullopt;
    }
    Comparison comparison{match[1].str(), numberFrom(match[2].str()), std::nullopt};
    if (match[3].matched) {
        comparison.m_budget = numberFrom(match[3].str());
    }
    return comparison;
}

std::string serviceOf(const Rule &rule)
{
    static const std::regex selector(R"re((?:service|job)\s*=\s*"([^"]+)")re");
    std::smatch match;
    return std::regex_search(rule.m_expression, match, selector) ? match[1].str() : rule.m_labelledService;
}

bool isFailureRatio(const std::string &expression)
{
    static const std::regex failures(
        R"re((code|status|status_code)\s*=~?\s*"5|(outcome|result)\s*=\s*"(error|failure|failed)"|_(errors|failures)(_total)?\b)re");
    const std::size_t slash = expression.find('/');
    return slash != std::string::npos && std::regex_search(expression.substr(0, slash), failures);
}

bool isByInstance(const std::string &expression)
{
    static const std::regex grouping(R"(by\s*\(\s*[^)]*\b(instance|server|backend|pod)\b[^)]*\))");
    return std::regex_search(expression, grouping);
}

bool isQuantile(const std::string &expression)
{
    return expression.find("histogram_quantile") != std::string::npos;
}

/// Keeps the smaller of a value and the one that is there.
template<typename Value> void keepLeast(std::optional<Value> &target, Value value)
{
    target = target ? std::min(*target, value) : value;
}

template<typename Value> void keepGreatest(std::optional<Value> &target, Value value)
{
    target = target ? std::max(*target, value) : value;
}

/// Reads a rule file and collects what can't be carried over.
class RuleReader
{
public:
    RuleReader(const std::string &fileName, ImportedRules &result) : m_fileName(fileName), m_result(result)
    {
    }

    void readFile(const YAML::Node &root)
    {
        const YAML::Node groups = root.IsMap() ? root["groups"] : YAML::Node(YAML::NodeType::Undefined);
        if (!groups.IsDefined() || !groups.IsSequence()) {
            report(root.Mark(), ErrorId::RulesUnreadable, "a rule file has a list 'groups'");
            return;
        }
        for (const YAML::Node &group : groups) {
            const YAML::Node rules = group.IsMap() ? group["rules"] : YAML::Node(YAML::NodeType::Undefined);
            if (!rules.IsDefined() || !rules.IsSequence()) {
                report(group.Mark(), ErrorId::RulesUnreadable, "a group has a list 'rules'");
                continue;
            }
            for (const YAML::Node &rule : rules) {
                readRule(rule);
            }
        }
    }

    void report(const YAML::Mark &mark, ErrorId id, const std::string &message)
    {
        const auto line = static_cast<std::uint32_t>(std::max(mark.line, 0)) + 1;
        const auto column = static_cast<std::uint32_t>(std::max(mark.column, 0)) + 1;
        m_result.m_findings.push_back({{m_fileName, line, column}, id, message});
    }

private:
    static std::string textOf(const YAML::Node &node, const char *key)
    {
        const YAML::Node value = node[key];
        return value.IsDefined() && value.IsScalar() ? value.Scalar() : std::string();
    }

    void notCarriedOver(const YAML::Mark &mark, const std::string &message)
    {
        report(mark, ErrorId::RulesNotCarriedOver, message);
    }

    void readRule(const YAML::Node &node)
    {
        if (!node.IsMap()) {
            report(node.Mark(), ErrorId::RulesUnreadable, "a rule is a mapping");
            return;
        }
        if (node["record"].IsDefined()) {
            notCarriedOver(node.Mark(), "recording rule '" + textOf(node, "record") + "': there is no time series database");
            return;
        }
        Rule rule;
        rule.m_name = textOf(node, "alert");
        rule.m_expression = textOf(node, "expr");
        rule.m_mark = node["expr"].IsDefined() ? node["expr"].Mark() : node.Mark();
        if (rule.m_name.empty() || rule.m_expression.empty()) {
            report(node.Mark(), ErrorId::RulesUnreadable, "an alert rule has 'alert' and 'expr'");
            return;
        }
        if (node["labels"].IsDefined() && node["labels"].IsMap()) {
            rule.m_labelledService = textOf(node["labels"], "service");
        }
        readWait(node, rule);
        readExpression(node, rule);
    }

    void readWait(const YAML::Node &node, Rule &rule)
    {
        const std::string wait = textOf(node, "for");
        rule.m_for = wait.empty() ? std::nullopt : durationFrom(wait);
        if (!wait.empty() && !rule.m_for) {
            report(node["for"].Mark(), ErrorId::RulesUnreadable, "'" + wait + "' is not a duration");
        }
    }

    void readExpression(const YAML::Node &node, const Rule &rule)
    {
        const std::string service = serviceOf(rule);
        const auto comparison = comparisonFrom(rule.m_expression);
        const bool isRatio = comparison && isFailureRatio(comparison->m_left);
        if (!comparison || !(isRatio || isQuantile(comparison->m_left))) {
            notCarriedOver(rule.m_mark, "alert '" + rule.m_name + "': neither a ratio of failures nor a latency quantile above a limit");
            return;
        }
        if (service.empty()) {
            notCarriedOver(rule.m_mark, "alert '" + rule.m_name + "': names no service");
            return;
        }
        ServiceRules &rules = m_result.m_services[ServiceId(service)];
        if (isRatio && isByInstance(comparison->m_left)) {
            return readDetection(rule, *comparison, rules);
        }
        const bool wasRead = isRatio ? readObjective(rule, *comparison, rules) : readLatency(rule, *comparison, rules);
        if (wasRead && rule.m_for) {
            notCarriedOver(node["for"].Mark(), "alert '" + rule.m_name + "': its wait; the windows of the burn report are fixed");
        }
    }

    bool isShare(const Rule &rule, double value)
    {
        const bool isInside = value > 0.0 && value < 1.0;
        if (!isInside) {
            notCarriedOver(rule.m_mark, "alert '" + rule.m_name + "': its limit is not between 0 and 1");
        }
        return isInside;
    }

    bool readObjective(const Rule &rule, const Comparison &comparison, ServiceRules &rules)
    {
        const double allowed = comparison.m_budget.value_or(comparison.m_limit);
        if (isShare(rule, allowed)) {
            keepGreatest(rules.m_objective, 1.0 - allowed);
            return true;
        }
        return false;
    }

    void readDetection(const Rule &rule, const Comparison &comparison, ServiceRules &rules)
    {
        if (comparison.m_budget) {
            notCarriedOver(rule.m_mark, "alert '" + rule.m_name + "': a product as the limit of one instance");
        } else if (isShare(rule, comparison.m_limit)) {
            keepLeast(rules.m_detectFailures, comparison.m_limit);
            if (rule.m_for) {
                keepLeast(rules.m_detectAfter, *rule.m_for);
            }
        }
    }

    bool readLatency(const Rule &rule, const Comparison &comparison, ServiceRules &rules)
    {
        if (comparison.m_budget || !(comparison.m_limit > 0.0)) {
            notCarriedOver(rule.m_mark, "alert '" + rule.m_name + "': its limit is not a number of seconds");
            return false;
        }
        const auto latency = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(comparison.m_limit));
        keepLeast(rules.m_latency, latency);
        return true;
    }

    const std::string &m_fileName;
    ImportedRules &m_result;
};

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.10g", value);
    return text;
}

std::string formatMilliseconds(Duration duration)
{
    return formatNumber(std::chrono::duration<double, std::milli>(duration).count());
}

}

ImportedRules importRules(const std::string &text, const std::string &fileName)
{
    ImportedRules result;
    RuleReader reader(fileName, result);
    try {
        reader.readFile(YAML::Load(text));
    } catch (const YAML::Exception &exception) {
        reader.report(exception.mark, ErrorId::RulesUnreadable, exception.msg);
    }
    std::erase_if(result.m_services, [](const auto &entry) { return entry.second == ServiceRules{}; });
    return result;
}

std::string formatRows(const ImportedRules &rules)
{
    std::string text = "kind,name,version,objective,latency_ms,detect_failures,detect_after_ms\n";
    for (const auto &[service, values] : rules.m_services) {
        text += "service," + service.text() + ",,";
        text += (values.m_objective ? formatNumber(*values.m_objective) : "") + ',';
        text += (values.m_latency ? formatMilliseconds(*values.m_latency) : "") + ',';
        text += (values.m_detectFailures ? formatNumber(*values.m_detectFailures) : "") + ',';
        text += (values.m_detectAfter ? formatMilliseconds(*values.m_detectAfter) : "") + '\n';
    }
    return text;
}

}
