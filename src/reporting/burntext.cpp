#include <ragwortrelay/reporting/burn.h>

#include <cstdio>
#include <ctime>

namespace RagwortRelay::Reporting {

namespace {

constexpr std::size_t NameColumnWidth = 24; // characters
constexpr std::size_t ColumnWidth = 10; // characters

/// Pads a text with spaces to a column width. A text that fills or exceeds the column gets one space as separator.
std::string padRight(const std::string &text, std::size_t width)
{
    return text.size() < width ? text + std::string(width - text.size(), ' ') : text + ' ';
}

std::string formatNumber(const char *format, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, format, value);
    return text;
}

std::string formatTime(UnixSeconds at)
{
    const std::time_t time = at;
    std::tm parts{};
    gmtime_r(&time, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &parts);
    return text;
}

std::string formatMilliseconds(Duration duration)
{
    return formatNumber("%.1f ms", std::chrono::duration<double, std::milli>(duration).count());
}

std::string formatState(const ServiceBurn &burn)
{
    if (burn.m_isFastBurn) {
        return "FAST BURN";
    }
    return burn.m_isSteadyBurn ? "steady burn" : "ok";
}

}

std::string formatReport(const BurnReport &report)
{
    std::string text = "Service-level burn at " + formatTime(report.m_at) + ", from " + std::to_string(report.m_records) + " host records";
    text += report.m_complete ? "\n" : " (incomplete: the platform's table can't be read)\n";
    text += "Burn rate 1 uses the error budget up exactly.\n\n";
    text += padRight("SERVICE", NameColumnWidth) + padRight("OBJECTIVE", ColumnWidth);
    if (!report.m_services.empty()) {
        for (const WindowBurn &window : report.m_services.front().m_windows) {
            text += padRight(window.m_name, ColumnWidth);
        }
    }
    text += padRight("P50", ColumnWidth) + padRight("P99", ColumnWidth + 2) + "STATE\n";
    for (const ServiceBurn &burn : report.m_services) {
        text += padRight(burn.m_objective.m_service.text(), NameColumnWidth);
        text += padRight(formatNumber("%.4g%%", 100.0 * burn.m_objective.m_goodShare), ColumnWidth);
        for (const WindowBurn &window : burn.m_windows) {
            text += padRight(window.m_requests == 0 ? "-" : formatNumber("%.2f", window.m_burnRate), ColumnWidth);
        }
        text += padRight(formatMilliseconds(burn.m_median), ColumnWidth) + padRight(formatMilliseconds(burn.m_p99), ColumnWidth + 2) + formatState(burn) + '\n';
    }
    return text;
}

}
