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

/// Seconds since 1970-01-01 00:00 UTC by the wall clock of the host. For reports only; no decision depends on it.
using UnixSeconds = std::int64_t;

inline constexpr UnixSeconds SecondsPerMinute = 60;
inline constexpr UnixSeconds SecondsPerHour = 3600;
inline constexpr std::size_t MinutesPerHour = 60;

/// How an answered request counts against the objective of its service.
enum class Quality : std::uint8_t {
    Good,
    Slow, ///< Answered, but later than the latency objective.
    Failed, ///< Not answered, answered with a server error, or cut short.
};

/// Requests of one minute.
struct MinuteCount {
    std::uint64_t m_good = 0;
    std::uint64_t m_slow = 0;
    std::uint64_t m_failed = 0;

    friend bool operator==(const MinuteCount &, const MinuteCount &) = default;
};

/// Latency histogram: logarithmic bins from 0.1 ms to 100 s. Unit: seconds.
using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = boost::histogram::histogram<std::tuple<LatencyAxis>>;

/// Quality by minute of the hour. Axes: minute, quality.
using QualityHistogram = boost::histogram::histogram<std::tuple<boost::histogram::axis::integer<int>, boost::histogram::axis::integer<int>>>;

/// Returns an empty latency histogram.
LatencyHistogram makeLatencyHistogram();

/// Requests of one service within one hour.
struct HourRecord {
    QualityHistogram m_quality;
    LatencyHistogram m_latency;

    HourRecord();

    friend bool operator==(const HourRecord &, const HourRecord &) = default;
};

/// What one host saw, by service and by hour since 1970.
struct ServiceLevels {
    std::map<ServiceId, std::map<std::int64_t, HourRecord>> m_hours;

    friend bool operator==(const ServiceLevels &, const ServiceLevels &) = default;
};

/// Adds one request. Not thread-safe on one record.
void recordRequest(ServiceLevels &levels, const ServiceId &service, Quality quality, Duration latency, UnixSeconds now);

/// Forgets the hours that ended more than `keep` hours ago. Not thread-safe on one record.
void forgetOldHours(ServiceLevels &levels, UnixSeconds now, std::int64_t keep);

/// Returns the records of one hour.
ServiceLevels levelsOfHour(const ServiceLevels &levels, std::int64_t hour);

/// Adds the requests of `other` to `levels`. Not thread-safe on one record.
void mergeLevels(ServiceLevels &levels, const ServiceLevels &other);

/// Writes the latencies of all services as histograms, and their requests by quality, in the Prometheus text format.
std::string formatMetrics(const ServiceLevels &levels);

/// Returns the count of one minute of an hour. Precondition: minute is below 60.
MinuteCount minuteOf(const HourRecord &hour, std::size_t minute);

/// Returns the latency that the given share of requests doesn't exceed, as the upper edge of its bin; zero when there are none.
/// Precondition: 0 < share <= 1.
Duration latencyQuantile(const LatencyHistogram &histogram, double share);

}
