#include <ragwortrelay/reporting/burn.h>

#include <array>

namespace RagwortRelay::Reporting {

namespace {

/// Time window over which the burn rate is computed.
struct Window {
    const char *m_name;
    std::int64_t m_minutes;
};

constexpr std::array<Window, 5> Windows{{{"5 min", 5}, {"30 min", 30}, {"1 h", 60}, {"6 h", 360}, {"3 d", 4320}}};
// Indices of Windows.
constexpr std::size_t FiveMinuteWindow = 0;
constexpr std::size_t ThirtyMinuteWindow = 1;
constexpr std::size_t OneHourWindow = 2;
constexpr std::size_t SixHourWindow = 3;
constexpr double FastBurnRate = 14.4; // consumes 2 % of a 30-day error budget in one hour
constexpr double SteadyBurnRate = 6.0; // consumes 5 % of a 30-day error budget in six hours

MinuteCount countAt(const std::map<std::int64_t, HourRecord> &hours, std::int64_t minute)
{
    const auto hour = hours.find(minute / static_cast<std::int64_t>(MinutesPerHour));
    return hour == hours.end() ? MinuteCount{} : minuteCount(hour->second, static_cast<std::size_t>(minute) % MinutesPerHour);
}

WindowBurn computeWindowBurn(const std::map<std::int64_t, HourRecord> &hours, const Window &window, const Objective &objective, std::int64_t currentMinute)
{
    WindowBurn burn;
    burn.m_name = window.m_name;
    burn.m_minutes = window.m_minutes;
    for (std::int64_t minute = currentMinute - window.m_minutes + 1; minute <= currentMinute; ++minute) {
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

/// Returns the merged latency histogram of the current hour and the one before it.
LatencyHistogram recentLatency(const std::map<std::int64_t, HourRecord> &hours, std::int64_t currentHour)
{
    LatencyHistogram sum = makeLatencyHistogram();
    for (std::int64_t hour = currentHour - 1; hour <= currentHour; ++hour) {
        const auto record = hours.find(hour);
        if (record != hours.end()) {
            sum += record->second.m_latency;
        }
    }
    return sum;
}

ServiceBurn computeServiceBurn(const std::map<std::int64_t, HourRecord> &hours, const Objective &objective, UnixSeconds now)
{
    const std::int64_t currentMinute = now / SecondsPerMinute;
    ServiceBurn burn;
    burn.m_objective = objective;
    for (const Window &window : Windows) {
        burn.m_windows.push_back(computeWindowBurn(hours, window, objective, currentMinute));
    }
    const auto burnRate = [&burn](std::size_t window) { return burn.m_windows[window].m_burnRate; };
    burn.m_isFastBurn = burnRate(FiveMinuteWindow) >= FastBurnRate && burnRate(OneHourWindow) >= FastBurnRate;
    burn.m_isSteadyBurn = burnRate(ThirtyMinuteWindow) >= SteadyBurnRate && burnRate(SixHourWindow) >= SteadyBurnRate;
    const LatencyHistogram latency = recentLatency(hours, now / SecondsPerHour);
    burn.m_median = latencyQuantile(latency, 0.5);
    burn.m_p99 = latencyQuantile(latency, 0.99);
    for (std::int64_t minute = currentMinute - static_cast<std::int64_t>(MinutesPerHour) + 1; minute <= currentMinute; ++minute) {
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
        report.m_services.push_back(computeServiceBurn(hours == levels.m_hours.end() ? noHours : hours->second, objective, now));
    }
    return report;
}

}
