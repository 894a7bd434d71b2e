#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <map>
#include <optional>
#include <string>

namespace RagwortRelay::Rules {

/// What the alert rules of a service say, as cells of its row.
struct ServiceRules {
    std::optional<double> m_objective; ///< Share of requests that must be good.
    std::optional<Duration> m_latency; ///< Slower answers aren't good.
    std::optional<double> m_detectFailures; ///< Share of failures from which a backend server counts as sick.
    std::optional<Duration> m_detectAfter; ///< How long that must last.

    friend bool operator==(const ServiceRules &, const ServiceRules &) = default;
};

/// Result of reading a rule file.
struct ImportedRules {
    std::map<ServiceId, ServiceRules> m_services;
    Findings m_findings; ///< What could not be carried over, in the order of the file.

    friend bool operator==(const ImportedRules &, const ImportedRules &) = default;
};

/// Reads alert rules in the YAML form of Prometheus.
///
/// Takes over four shapes of expressions, each for one service, which a selector `service="..."` or `job="..."` or the rule's
/// label `service` names:
/// - a ratio of failed to all requests above a limit: objective of the service
/// - such a ratio by instance: detection threshold, with the wait of `for`
/// - a latency quantile above a limit: latency objective
/// - a multiple of the error budget, such as `> 14.4 * 0.001`: objective of the service
///
/// When several rules speak of the same value, the strictest one counts. All else becomes a finding.
/// @param fileName name that stands in the findings
/// Thread-safe.
ImportedRules importRules(const std::string &text, const std::string &fileName);

/// Writes the rules as rows for `table apply`.
std::string formatRows(const ImportedRules &rules);

}
