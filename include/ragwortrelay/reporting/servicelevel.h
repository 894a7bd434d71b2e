#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace RagwortRelay::Reporting {

/// Seconds since 1970-01-01 00:00 UTC on the wall clock of the host. Used for reports only; no decision depends on it.
using UnixSeconds = std::int64_t;

inline constexpr UnixSeconds SecondsPerMinute = 60;
inline constexpr UnixSeconds SecondsPerHour = 3600;
inline constexpr std::size_t MinutesPerHour = 60;

/// Classification of a finished request against the objective of its service.
enum class Quality : std::uint8_t {
    Good,
    Slow, ///< Response later than the latency objective.
    Failed, ///< No response, a server error, or a truncated response.
};

/// Request counts of one minute by quality.
struct MinuteCount {
    std::uint64_t m_good = 0;
    std::uint64_t m_slow = 0;
    std::uint64_t m_failed = 0;

    friend bool operator==(const MinuteCount &, const MinuteCount &) = default;
};

/// Axis of a latency histogram, with logarithmic bins from 0.1 ms to 100 s. Unit: seconds.
using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
/// Histogram of request latencies.
using LatencyHistogram = boost::histogram::histogram<std::tuple<LatencyAxis>>;

/// Request counts by minute of the hour and by quality. Axes: minute, quality.
using QualityHistogram = boost::histogram::histogram<std::tuple<boost::histogram::axis::integer<int>, boost::histogram::axis::integer<int>>>;

/// Returns an empty latency histogram.
LatencyHistogram makeLatencyHistogram();

/// Request counts and latencies of one service within one hour.
struct HourRecord {
    QualityHistogram m_quality;
    LatencyHistogram m_latency;

    HourRecord();

    friend bool operator==(const HourRecord &, const HourRecord &) = default;
};

/// Hour records by service and by the number of the hour since 1970-01-01 00:00 UTC, of one host or merged from several.
struct ServiceLevels {
    std::map<ServiceId, std::map<std::int64_t, HourRecord>> m_hours;

    friend bool operator==(const ServiceLevels &, const ServiceLevels &) = default;
};

/// Records one finished request. Not thread-safe for calls with the same `levels`.
void recordRequest(ServiceLevels &levels, const ServiceId &service, Quality quality, Duration latency, UnixSeconds now);

/// Removes the hours that ended more than `hoursToKeep` hours ago. Not thread-safe for calls with the same `levels`.
void forgetOldHours(ServiceLevels &levels, UnixSeconds now, std::int64_t hoursToKeep);

/// Returns the records of all services for one hour.
ServiceLevels levelsOfHour(const ServiceLevels &levels, std::int64_t hour);

/// Adds the request counts and latencies of `other` to `levels`. Not thread-safe for calls with the same `levels`.
void mergeLevels(ServiceLevels &levels, const ServiceLevels &other);

/// Formats the latency histograms and the request counts by quality of all services in the Prometheus text format.
std::string formatMetrics(const ServiceLevels &levels);

/// Returns the request counts of one minute of an hour. Precondition: `minute` is below 60.
MinuteCount minuteCount(const HourRecord &hour, std::size_t minute);

/// Returns the latency that the given share of requests doesn't exceed, as the upper edge of its bin; zero if the histogram is empty.
/// Precondition: 0 < share <= 1.
Duration latencyQuantile(const LatencyHistogram &histogram, double share);

}
