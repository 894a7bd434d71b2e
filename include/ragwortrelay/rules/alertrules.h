#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <map>
#include <optional>
#include <string>

namespace RagwortRelay::Rules {

/// Values for a service's row of the table, taken from its alert rules.
struct ServiceRules {
    std::optional<double> m_objective; ///< Minimum share of good requests.
    std::optional<Duration> m_latency; ///< Latency above which a request doesn't count as good.
    std::optional<double> m_detectFailures; ///< Share of failed attempts from which a backend server counts as unhealthy.
    std::optional<Duration> m_detectAfter; ///< Time for which m_detectFailures must be exceeded.

    friend bool operator==(const ServiceRules &, const ServiceRules &) = default;
};

/// Result of importing a rule file.
struct ImportedRules {
    std::map<ServiceId, ServiceRules> m_services; ///< Imported values of each service that has at least one.
    Findings m_findings; ///< Rules and parts of rules that weren't imported, in the order of the file.

    friend bool operator==(const ImportedRules &, const ImportedRules &) = default;
};

/// Imports Prometheus alerting rules in YAML. Thread-safe.
///
/// Supports four forms of expressions. Each applies to one service, which is named by a selector `service="..."` or `job="..."` or by
/// the rule's label `service`:
/// - a ratio of failed to all requests above a threshold: objective of the service
/// - such a ratio by instance: detection threshold, with the duration of `for`
/// - a latency quantile above a threshold: latency objective
/// - such a ratio above a multiple of the error budget, such as `> 14.4 * 0.001`: objective of the service
///
/// If several rules set the same value, the strictest one applies. Everything else is reported as a finding.
///
/// @param fileName file name for the findings
ImportedRules importRules(const std::string &text, const std::string &fileName);

/// Formats the imported values as CSV rows for `table apply`, with a header line. Thread-safe.
std::string formatRows(const ImportedRules &rules);

}
