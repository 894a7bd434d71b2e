#include <ragwortrelay/rules/alertrules.h>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <regex>

namespace RagwortRelay::Rules {

namespace {

/// Expression of the form `left > threshold` or `left > burnRate * budget`.
struct Comparison {
    std::string m_left; ///< Expression that is compared with the threshold.
    double m_threshold = 0.0; ///< Number after the operator, or the burn rate of a product.
    std::optional<double> m_budget; ///< Error budget of `> burnRate * budget`; empty without a product.
};

/// Alert rule of a rule file.
struct Rule {
    std::string m_name;
    std::string m_expression;
    std::string m_serviceLabel; ///< Value of the label `service`; empty if there is none.
    std::optional<Duration> m_for; ///< Duration of `for`.
    YAML::Mark m_mark; ///< Position of the expression.
};

/// Parses the number at the start of a text; 0 if there is none.
double parseNumber(const std::string &text)
{
    double number = 0.0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Parses a Prometheus duration such as `5m` or `1h30m`; empty if it has another form.
std::optional<Duration> parseDuration(const std::string &text)
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
        milliseconds += static_cast<std::int64_t>(parseNumber((*match)[1].str())) * millisecondsOfUnit.at((*match)[2].str());
    }
    return std::chrono::milliseconds(milliseconds);
}

/// Parses a comparison by `>` or `>=`; empty if the expression has another form.
std::optional<Comparison> parseComparison(const std::string &expression)
{
    static const std::regex form(R"(^([\s\S]*\S)\s*>=?\s*\(?\s*([0-9.eE+-]+)\s*(?:\*\s*([0-9.eE+-]+)\s*)?\)?\s*$)");
    std::smatch match;
    if (!std::regex_match(expression, match, form)) {
        return std::nullopt;
    }
    Comparison comparison{match[1].str(), parseNumber(match[2].str()), std::nullopt};
    if (match[3].matched) {
        comparison.m_budget = parseNumber(match[3].str());
    }
    return comparison;
}

/// Returns the service of a selector `service` or `job`, or else of the label `service`; empty if there is none.
std::string serviceOf(const Rule &rule)
{
    static const std::regex selector(R"re((?:service|job)\s*=\s*"([^"]+)")re");
    std::smatch match;
    return std::regex_search(rule.m_expression, match, selector) ? match[1].str() : rule.m_serviceLabel;
}

/// Returns whether an expression is a ratio whose dividend counts failed requests, by a label or the metric name.
bool isFailureRatio(const std::string &expression)
{
    static const std::regex failures(
        R"re((code|status|status_code)\s*=~?\s*"5|(outcome|result)\s*=\s*"(error|failure|failed)"|_(errors|failures)(_total)?\b)re");
    const std::size_t slash = expression.find('/');
    return slash != std::string::npos && std::regex_search(expression.substr(0, slash), failures);
}

/// Returns whether an expression aggregates by a label that identifies a backend server.
bool isByInstance(const std::string &expression)
{
    static const std::regex grouping(R"(by\s*\(\s*[^)]*\b(instance|server|backend|pod)\b[^)]*\))");
    return std::regex_search(expression, grouping);
}

bool isQuantile(const std::string &expression)
{
    return expression.find("histogram_quantile") != std::string::npos;
}

/// Lowers the target to a value; sets it if it is empty.
template<typename Value> void lowerTo(std::optional<Value> &target, Value value)
{
    target = target ? std::min(*target, value) : value;
}

/// Raises the target to a value; sets it if it is empty.
template<typename Value> void raiseTo(std::optional<Value> &target, Value value)
{
    target = target ? std::max(*target, value) : value;
}

/// Imports a rule file and collects findings. Not thread-safe.
///
/// The file name and the result must outlive the reader.
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
    /// Returns the scalar at a key; empty if there is none.
    static std::string textOf(const YAML::Node &node, const char *key)
    {
        const YAML::Node value = node[key];
        return value.IsDefined() && value.IsScalar() ? value.Scalar() : std::string();
    }

    /// Reports a rule or a part of it that isn't imported.
    void reportNotImported(const YAML::Mark &mark, const std::string &message)
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
            reportNotImported(node.Mark(), "recording rule '" + textOf(node, "record") + "': there is no time series database");
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
            rule.m_serviceLabel = textOf(node["labels"], "service");
        }
        readFor(node, rule);
        readExpression(node, rule);
    }

    /// Reads the duration of `for`; reports a value that isn't a duration.
    void readFor(const YAML::Node &node, Rule &rule)
    {
        const std::string duration = textOf(node, "for");
        rule.m_for = duration.empty() ? std::nullopt : parseDuration(duration);
        if (!duration.empty() && !rule.m_for) {
            report(node["for"].Mark(), ErrorId::RulesUnreadable, "'" + duration + "' is not a duration");
        }
    }

    void readExpression(const YAML::Node &node, const Rule &rule)
    {
        const std::string service = serviceOf(rule);
        const auto comparison = parseComparison(rule.m_expression);
        const bool isRatio = comparison && isFailureRatio(comparison->m_left);
        if (!comparison || !(isRatio || isQuantile(comparison->m_left))) {
            reportNotImported(rule.m_mark, "alert '" + rule.m_name + "': neither a ratio of failures nor a latency quantile above a limit");
            return;
        }
        if (service.empty()) {
            reportNotImported(rule.m_mark, "alert '" + rule.m_name + "': names no service");
            return;
        }
        ServiceRules &rules = m_result.m_services[ServiceId(service)];
        if (isRatio && isByInstance(comparison->m_left)) {
            return readDetection(rule, *comparison, rules);
        }
        const bool wasImported = isRatio ? readObjective(rule, *comparison, rules) : readLatency(rule, *comparison, rules);
        if (wasImported && rule.m_for) {
            reportNotImported(node["for"].Mark(), "alert '" + rule.m_name + "': its wait; the windows of the burn report are fixed");
        }
    }

    /// Returns whether a threshold is between 0 and 1; reports the rule otherwise.
    bool isShare(const Rule &rule, double value)
    {
        const bool isInRange = value > 0.0 && value < 1.0;
        if (!isInRange) {
            reportNotImported(rule.m_mark, "alert '" + rule.m_name + "': its limit is not between 0 and 1");
        }
        return isInRange;
    }

    /// Raises the objective of a service; returns whether the rule was imported.
    bool readObjective(const Rule &rule, const Comparison &comparison, ServiceRules &rules)
    {
        const double errorBudget = comparison.m_budget.value_or(comparison.m_threshold);
        if (isShare(rule, errorBudget)) {
            raiseTo(rules.m_objective, 1.0 - errorBudget);
            return true;
        }
        return false;
    }

    /// Lowers the detection threshold and its duration.
    void readDetection(const Rule &rule, const Comparison &comparison, ServiceRules &rules)
    {
        if (comparison.m_budget) {
            reportNotImported(rule.m_mark, "alert '" + rule.m_name + "': the limit of a ratio by instance is not a single number");
        } else if (isShare(rule, comparison.m_threshold)) {
            lowerTo(rules.m_detectFailures, comparison.m_threshold);
            if (rule.m_for) {
                lowerTo(rules.m_detectAfter, *rule.m_for);
            }
        }
    }

    /// Lowers the latency objective of a service; returns whether the rule was imported.
    bool readLatency(const Rule &rule, const Comparison &comparison, ServiceRules &rules)
    {
        if (comparison.m_budget || !(comparison.m_threshold > 0.0)) {
            reportNotImported(rule.m_mark, "alert '" + rule.m_name + "': its limit is not a number of seconds");
            return false;
        }
        const auto latency = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(comparison.m_threshold));
        lowerTo(rules.m_latency, latency);
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
