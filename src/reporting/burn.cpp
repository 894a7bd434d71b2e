#include <ragwortrelay/reporting/burn.h>

#include <array>

namespace RagwortRelay::Reporting {

namespace {

/// Window over which the burn rate is shown.
struct Window {
    const char *m_name;
    std::int64_t m_minutes;
};

constexpr std::array<Window, 5> Windows{{{"5 min", 5}, {"30 min", 30}, {"1 h", 60}, {"6 h", 360}, {"3 d", 4320}}};
constexpr std::size_t FiveMinutes = 0;
constexpr std::size_t ThirtyMinutes = 1;
constexpr std::size_t OneHour = 2;
constexpr std::size_t SixHours = 3;
constexpr double FastBurnRate = 14.4; // uses 2 % of a 30-day budget in an hour
constexpr double SteadyBurnRate = 6.0; // uses 5 % of a 30-day budget in six hours

MinuteCount countAt(const std::map<std::int64_t, HourRecord> &hours, std::int64_t minute)
{
    const auto hour = hours.find(minute / static_cast<std::int64_t>(MinutesPerHour));
    return hour == hours.end() ? MinuteCount{} : minuteOf(hour->second, static_cast<std::size_t>(minute) % MinutesPerHour);
}

WindowBurn burnOver(const std::map<std::int64_t, HourRecord> &hours, const Window &window, const Objective &objective, std::int64_t lastMinute)
{
    WindowBurn burn;
    burn.m_name = window.m_name;
    burn.m_minutes = window.m_minutes;
    for (std::int64_t minute = lastMinute - window.m_minutes + 1; minute <= lastMinute; ++minute) {
        const MinuteCount count = countAt(hours, minute);
        burn.m_slow += count.m_slow;
        burn.m_failed += count.m_failed;
        burn.m_requests += count.m_good + count.m_slow + count.m_failed;
    }
    if (burn.m_requests > 0) {
        const double badShare = static_cast<double>(burn.m_slow + burn.m_failed) / static_cast<double>(burn.m_requests);
        burn.m_burnRate = badShare / (1.0 - objective.m_goodShare);
    }
    return burn;
}

/// Returns the latencies of the present and the last hour.
LatencyHistogram recentLatency(const std::map<std::int64_t, HourRecord> &hours, std::int64_t lastHour)
{
    LatencyHistogram sum = makeLatencyHistogram();
    for (std::int64_t hour = lastHour - 1; hour <= lastHour; ++hour) {
        const auto record = hours.find(hour);
        if (record != hours.end()) {
            sum += record->second.m_latency;
        }
    }
    return sum;
}

ServiceBurn burnOf(const std::map<std::int64_t, HourRecord> &hours, const Objective &objective, UnixSeconds now)
{
    const std::int64_t lastMinute = now / SecondsPerMinute;
    ServiceBurn burn;
    burn.m_objective = objective;
    for (const Window &window : Windows) {
        burn.m_windows.push_back(burnOver(hours, window, objective, lastMinute));
    }
    const auto rate = [&burn](std::size_t window) { return burn.m_windows[window].m_burnRate; };
    burn.m_fast = rate(FiveMinutes) >= FastBurnRate && rate(OneHour) >= FastBurnRate;
    burn.m_steady = rate(ThirtyMinutes) >= SteadyBurnRate && rate(SixHours) >= SteadyBurnRate;
    const LatencyHistogram latency = recentLatency(hours, now / SecondsPerHour);
    burn.m_median = latencyQuantile(latency, 0.5);
    burn.m_p99 = latencyQuantile(latency, 0.99);
    for (std::int64_t minute = lastMinute - static_cast<std::int64_t>(MinutesPerHour) + 1; minute <= lastMinute; ++minute) {
        burn.m_lastHour.push_back({minute * SecondsPerMinute, countAt(hours, minute)});
    }
    return burn;
}

}

BurnReport makeBurnReport(const ServiceLevels &levels, const std::vector<Objective> &objectives, UnixSeconds now)
{
    static const std::map<std::int64_t, HourRecord> noHours;
    BurnReport report;
    report.m_at = now;
    for (const Objective &objective : objectives) {
        const auto hours = levels.m_hours.find(objective.m_service);
        report.m_services.push_back(burnOf(hours == levels.m_hours.end() ? noHours : hours->second, objective, now));
    }
    return report;
}

}
