#pragma once

#include <ragwortrelay/reporting/servicelevel.h>

#include <string>
#include <vector>

namespace RagwortRelay::Reporting {

/// What a service has promised.
struct Objective {
    ServiceId m_service;
    double m_goodShare = 0.999; ///< Share of requests that must be good; below 1.
    Duration m_latency{}; ///< Slower answers aren't good.

    friend bool operator==(const Objective &, const Objective &) = default;
};

/// Use of the error budget within one window that ends now.
struct WindowBurn {
    std::string m_name; ///< Such as "1 h".
    std::int64_t m_minutes = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_slow = 0;
    std::uint64_t m_failed = 0;
    double m_burnRate = 0.0; ///< Share of bad requests over the share allowed; 1 uses the budget up exactly.

    friend bool operator==(const WindowBurn &, const WindowBurn &) = default;
};

/// One minute of the plot.
struct BurnPoint {
    UnixSeconds m_at = 0;
    MinuteCount m_count;

    friend bool operator==(const BurnPoint &, const BurnPoint &) = default;
};

/// Burn of one service.
struct ServiceBurn {
    Objective m_objective;
    std::vector<WindowBurn> m_windows;
    Duration m_median{};
    Duration m_p99{};
    std::vector<BurnPoint> m_lastHour; ///< One point a minute, oldest first.
    bool m_fast = false; ///< Burns so fast over a short and a long window that someone should be called.
    bool m_steady = false; ///< Burns so much over longer windows that it should be looked at.

    friend bool operator==(const ServiceBurn &, const ServiceBurn &) = default;
};

/// Burn of all services over all hosts.
struct BurnReport {
    UnixSeconds m_at = 0;
    std::size_t m_records = 0; ///< Records of hosts that it is made from.
    bool m_complete = true; ///< False when the platform's table couldn't be read: then it shows one host only.
    std::vector<ServiceBurn> m_services;

    friend bool operator==(const BurnReport &, const BurnReport &) = default;
};

/// Works out the burn of each service from the merged records of all hosts.
/// Source: Google, "The Site Reliability Workbook" (2018), chapter 5, multiwindow multi-burn-rate alerts.
BurnReport makeBurnReport(const ServiceLevels &levels, const std::vector<Objective> &objectives, UnixSeconds now);

/// Encodes the hours of one host as the body of an item of the platform's table.
std::string encodeLevels(const ServiceLevels &levels);

/// Decodes what encodeLevels() wrote; what can't be read is left out.
ServiceLevels decodeLevels(const std::string &body);

/// Writes a report as JSON.
std::string encodeReport(const BurnReport &report);

/// Reads what encodeReport() wrote. Throws std::exception on anything else.
BurnReport decodeReport(const std::string &json);

/// Writes a report as a table for a terminal.
std::string formatReport(const BurnReport &report);

/// Writes a report as a self-contained HTML page with plots.
std::string formatReportPage(const BurnReport &report);

}
