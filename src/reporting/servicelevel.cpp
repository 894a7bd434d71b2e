#include <ragwortrelay/reporting/servicelevel.h>

#include <cmath>

namespace RagwortRelay::Reporting {

namespace {

namespace axis = boost::histogram::axis;

constexpr unsigned LatencyBinCount = 120;
constexpr double MinLatency = 1e-4; // seconds
constexpr double MaxLatency = 100.0; // seconds
constexpr int QualityCount = 3;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

LatencyHistogram makeLatencyHistogram()
{
    return boost::histogram::make_histogram(LatencyAxis(LatencyBinCount, MinLatency, MaxLatency, "latency"));
}

HourRecord::HourRecord()
    : m_quality(boost::histogram::make_histogram(axis::integer<int>(0, MinutesPerHour, "minute"), axis::integer<int>(0, QualityCount, "quality")))
    , m_latency(makeLatencyHistogram())
{
}

void recordRequest(ServiceLevels &levels, const ServiceId &service, Quality quality, Duration latency, UnixSeconds now)
{
    HourRecord &hour = levels.m_hours[service][now / SecondsPerHour];
    const auto minute = static_cast<int>(now % SecondsPerHour / SecondsPerMinute);
    hour.m_quality(minute, static_cast<int>(quality));
    hour.m_latency(toSeconds(latency));
}

void forgetOldHours(ServiceLevels &levels, UnixSeconds now, std::int64_t hoursToKeep)
{
    const std::int64_t oldestHour = now / SecondsPerHour - hoursToKeep;
    for (auto &[service, hours] : levels.m_hours) {
        std::erase_if(hours, [oldestHour](const auto &entry) { return entry.first < oldestHour; });
    }
}

ServiceLevels levelsOfHour(const ServiceLevels &levels, std::int64_t hour)
{
    ServiceLevels result;
    for (const auto &[service, hours] : levels.m_hours) {
        const auto record = hours.find(hour);
        if (record != hours.end()) {
            result.m_hours[service].emplace(hour, record->second);
        }
    }
    return result;
}

void mergeLevels(ServiceLevels &levels, const ServiceLevels &other)
{
    for (const auto &[service, hours] : other.m_hours) {
        for (const auto &[hour, record] : hours) {
            HourRecord &target = levels.m_hours[service][hour];
            target.m_quality += record.m_quality;
            target.m_latency += record.m_latency;
        }
    }
}

MinuteCount minuteCount(const HourRecord &hour, std::size_t minute)
{
    const auto count = [&](Quality quality) { return static_cast<std::uint64_t>(hour.m_quality.at(static_cast<int>(minute), static_cast<int>(quality))); };
    return {count(Quality::Good), count(Quality::Slow), count(Quality::Failed)};
}

Duration latencyQuantile(const LatencyHistogram &histogram, double share)
{
    double total = 0.0;
    for (auto &&bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
        total += *bin;
    }
    if (total == 0.0) {
        return Duration::zero();
    }
    double cumulativeCount = 0.0;
    for (auto &&bin : boost::histogram::indexed(histogram, boost::histogram::coverage::all)) {
        cumulativeCount += *bin;
        if (cumulativeCount >= share * total) {
            const double upper = std::min(bin.bin(0).upper(), MaxLatency);
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(upper));
        }
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(MaxLatency));
}

}
