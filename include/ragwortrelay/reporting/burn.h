#pragma once

#include <ragwortrelay/reporting/servicelevel.h>

#include <string>
#include <vector>

namespace RagwortRelay::Reporting {

/// Service-level objective of one service.
struct Objective {
    ServiceId m_service;
    double m_goodShare = 0.999; ///< Minimum share of good requests; below 1.
    Duration m_latency{}; ///< Maximum latency of a good request.

    friend bool operator==(const Objective &, const Objective &) = default;
};

/// Consumption of the error budget within one time window that ends at the time of the report.
struct WindowBurn {
    std::string m_name; ///< Label of the window, such as "1 h".
    std::int64_t m_minutes = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_slow = 0;
    std::uint64_t m_failed = 0;
    double m_burnRate = 0.0; ///< Share of bad requests divided by the allowed share; 1 consumes the budget exactly.

    friend bool operator==(const WindowBurn &, const WindowBurn &) = default;
};

/// Request counts of one minute of the plot.
struct BurnPoint {
    UnixSeconds m_at = 0;
    MinuteCount m_count;

    friend bool operator==(const BurnPoint &, const BurnPoint &) = default;
};

/// Error budget consumption and latency of one service.
struct ServiceBurn {
    Objective m_objective;
    std::vector<WindowBurn> m_windows;
    Duration m_median{};
    Duration m_p99{};
    std::vector<BurnPoint> m_lastHour; ///< One point per minute, oldest first.
    bool m_isFastBurn = false; ///< True if the burn rate over both a short and a long window warrants paging an operator.
    bool m_isSteadyBurn = false; ///< True if the burn rate over two longer windows warrants an investigation.

    friend bool operator==(const ServiceBurn &, const ServiceBurn &) = default;
};

/// Error budget consumption of all services, summed over all hosts.
struct BurnReport {
    UnixSeconds m_at = 0;
    std::size_t m_records = 0; ///< Number of host records that the report is computed from.
    bool m_complete = true; ///< False if the platform's table couldn't be read; the report then covers one host only.
    std::vector<ServiceBurn> m_services;

    friend bool operator==(const BurnReport &, const BurnReport &) = default;
};

/// Computes the error budget consumption of each service from the merged records of all hosts.
/// Source: Google, "The Site Reliability Workbook" (2018), chapter 5, multiwindow multi-burn-rate alerts.
BurnReport makeBurnReport(const ServiceLevels &levels, const std::vector<Objective> &objectives, UnixSeconds now);

/// Encodes the hour records of one host as the body of an item of the platform's table.
std::string encodeLevels(const ServiceLevels &levels);

/// Decodes the output of encodeLevels(). Decoding stops at the first unreadable entry and returns the hours that precede it.
ServiceLevels decodeLevels(const std::string &body);

/// Encodes a report as JSON.
std::string encodeReport(const BurnReport &report);

/// Decodes the output of encodeReport(). Throws an exception derived from std::exception on any other input.
BurnReport decodeReport(const std::string &text);

/// Formats a report as a plain-text table for a terminal.
std::string formatReport(const BurnReport &report);

/// Formats a report as a self-contained HTML page with plots.
std::string formatReportPage(const BurnReport &report);

}
