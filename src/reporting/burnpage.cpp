#include <ragwortrelay/reporting/burn.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace RagwortRelay::Reporting {

namespace {

constexpr double PlotWidth = 720.0; // pixels
constexpr double PlotHeight = 140.0; // pixels
constexpr double AxisWidth = 56.0; // pixels; left of the plot
constexpr double AxisHeight = 22.0; // pixels; below the plot

constexpr const char *Style = R"(<style>
:root { color-scheme: light dark; --ink: #1c2733; --soft: #5d6b7a; --line: #d8dee5; --paper: #ffffff; --card: #f6f8fa;
  --good: #3f8f6b; --slow: #d39b2a; --failed: #c4453c; }
@media (prefers-color-scheme: dark) { :root { --ink: #e4e9ee; --soft: #9aa7b4; --line: #36424e; --paper: #14191f; --card: #1c232b; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--ink); background: var(--paper); margin: 2rem auto; max-width: 62rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: .2rem; } h2 { font-size: 1.1rem; margin: 0; }
p.note { color: var(--soft); margin-top: 0; }
section { background: var(--card); border: 1px solid var(--line); border-radius: 8px; padding: 1rem 1.2rem; margin: 1.2rem 0; }
table { border-collapse: collapse; width: 100%; margin: .6rem 0; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .25rem .6rem; border-bottom: 1px solid var(--line); } th:first-child, td:first-child { text-align: left; }
th { color: var(--soft); font-weight: 600; }
.state { border-radius: 99px; padding: .1rem .7rem; font-size: .85rem; color: #fff; margin-left: .6rem; }
.ok { background: var(--good); } .steady { background: var(--slow); } .fast { background: var(--failed); }
.legend span { margin-right: 1.2rem; color: var(--soft); } .legend i { display: inline-block; width: .8em; height: .8em; border-radius: 2px; margin-right: .4em; }
svg { width: 100%; height: auto; } svg text { fill: var(--soft); font-size: 11px; }
</style>
)";

std::string formatNumber(const char *format, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, format, value);
    return text;
}

/// Escapes a text for use in HTML content and in attribute values in double quotes.
std::string escapeHtml(const std::string &text)
{
    std::string escaped;
    for (const char character : text) {
        switch (character) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

std::string formatTime(UnixSeconds at, const char *format)
{
    const std::time_t time = at;
    std::tm parts{};
    gmtime_r(&time, &parts);
    char text[32];
    std::strftime(text, sizeof text, format, &parts);
    return text;
}

std::string formatBar(double x, double y, double width, double height, const char *colour)
{
    return "<rect x='" + formatNumber("%.1f", x) + "' y='" + formatNumber("%.1f", y) + "' width='" + formatNumber("%.1f", width) + "' height='"
        + formatNumber("%.1f", height) + "' fill='var(--" + colour + ")'/>";
}

std::uint64_t totalRequests(const MinuteCount &count)
{
    return count.m_good + count.m_slow + count.m_failed;
}

/// Formats the stacked bar of one minute as SVG: good requests at the bottom, then slow ones, then failed ones.
std::string formatStackedBar(const BurnPoint &point, double x, double width, double scale)
{
    const double good = static_cast<double>(point.m_count.m_good) * scale;
    const double slow = static_cast<double>(point.m_count.m_slow) * scale;
    const double failed = static_cast<double>(point.m_count.m_failed) * scale;
    std::string svg = "<g><title>" + formatTime(point.m_at, "%H:%M") + " UTC: " + std::to_string(point.m_count.m_good) + " good, "
        + std::to_string(point.m_count.m_slow) + " slow, " + std::to_string(point.m_count.m_failed) + " failed</title>";
    svg += formatBar(x, PlotHeight - good, width, good, "good");
    svg += formatBar(x, PlotHeight - good - slow, width, slow, "slow");
    svg += formatBar(x, PlotHeight - good - slow - failed, width, failed, "failed");
    return svg + "</g>";
}

/// Formats the requests per minute as an SVG plot.
std::string formatPlot(const std::vector<BurnPoint> &points)
{
    std::uint64_t maxRequests = 1;
    for (const BurnPoint &point : points) {
        maxRequests = std::max(maxRequests, totalRequests(point.m_count));
    }
    const double minuteWidth = PlotWidth / static_cast<double>(std::max<std::size_t>(1, points.size()));
    const double scale = PlotHeight / static_cast<double>(maxRequests);
    std::string svg = "<svg viewBox='0 0 " + formatNumber("%.0f", PlotWidth + AxisWidth) + ' ' + formatNumber("%.0f", PlotHeight + AxisHeight)
        + "' role='img' aria-label='Requests a minute over the last hour'>";
    svg += "<text x='" + formatNumber("%.0f", AxisWidth - 8) + "' y='12' text-anchor='end'>" + std::to_string(maxRequests) + "/min</text>";
    svg += "<text x='" + formatNumber("%.0f", AxisWidth - 8) + "' y='" + formatNumber("%.0f", PlotHeight) + "' text-anchor='end'>0</text>";
    for (std::size_t i = 0; i < points.size(); ++i) {
        const double x = AxisWidth + minuteWidth * static_cast<double>(i);
        svg += formatStackedBar(points[i], x, minuteWidth - 1.5, scale);
        constexpr std::size_t LabelInterval = 10; // minutes
        if (i % LabelInterval == 0) {
            svg += "<text x='" + formatNumber("%.1f", x) + "' y='" + formatNumber("%.0f", PlotHeight + 16) + "'>" + formatTime(points[i].m_at, "%H:%M")
                + "</text>";
        }
    }
    return svg + "</svg>";
}

std::string formatStateBadge(const ServiceBurn &burn)
{
    if (burn.m_isFastBurn) {
        return "<span class='state fast'>fast burn</span>";
    }
    return burn.m_isSteadyBurn ? "<span class='state steady'>steady burn</span>" : "<span class='state ok'>ok</span>";
}

std::string formatWindowTable(const ServiceBurn &burn)
{
    std::string html = "<table><tr><th>Window</th><th>Requests</th><th>Slow</th><th>Failed</th><th>Burn rate</th></tr>";
    for (const WindowBurn &window : burn.m_windows) {
        html += "<tr><td>" + escapeHtml(window.m_name) + "</td><td>" + std::to_string(window.m_requests) + "</td><td>" + std::to_string(window.m_slow)
            + "</td><td>" + std::to_string(window.m_failed) + "</td><td>" + formatNumber("%.2f", window.m_burnRate) + "</td></tr>";
    }
    return html + "</table>";
}

std::string formatServiceSection(const ServiceBurn &burn)
{
    const auto formatMilliseconds = [](Duration duration) { return formatNumber("%.1f ms", std::chrono::duration<double, std::milli>(duration).count()); };
    std::string html = "<section><h2>" + escapeHtml(burn.m_objective.m_service.text()) + formatStateBadge(burn) + "</h2>";
    html += "<p class='note'>Objective: " + formatNumber("%.4g", 100.0 * burn.m_objective.m_goodShare) + " % of requests answered within "
        + formatMilliseconds(burn.m_objective.m_latency) + ". Latency: median " + formatMilliseconds(burn.m_median) + ", 99 in 100 within "
        + formatMilliseconds(burn.m_p99) + ".</p>";
    return html + formatWindowTable(burn) + formatPlot(burn.m_lastHour) + "</section>";
}

}

std::string formatReportPage(const BurnReport &report)
{
    std::string html = "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
                       "<meta name='viewport' content='width=device-width, initial-scale=1'><title>Service-level burn</title>";
    html += Style;
    html += "</head><body><h1>Service-level burn</h1><p class='note'>" + formatTime(report.m_at, "%Y-%m-%d %H:%M:%S") + " UTC, from "
        + std::to_string(report.m_records) + " host records.";
    html += report.m_complete ? "" : " <strong>Incomplete: the platform's table can't be read; this is one host's view.</strong>";
    html += " A burn rate of 1 uses the error budget up exactly; 14.4 over 5 min and 1 h is a fast burn, 6 over 30 min and 6 h a steady one.</p>";
    html += "<p class='legend'><span><i style='background:var(--good)'></i>good</span><span><i style='background:var(--slow)'></i>slow</span>"
            "<span><i style='background:var(--failed)'></i>failed</span></p>";
    for (const ServiceBurn &burn : report.m_services) {
        html += formatServiceSection(burn);
    }
    return html + "</body></html>\n";
}

}
