#include <ragwortrelay/reporting/servicelevel.h>

#include <cstdio>

namespace RagwortRelay::Reporting {

namespace {

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value);
    return text;
}

LatencyHistogram mergeLatencies(const std::map<std::int64_t, HourRecord> &hours)
{
    LatencyHistogram sum = makeLatencyHistogram();
    for (const auto &[hour, record] : hours) {
        sum += record.m_latency;
    }
    return sum;
}

/// Formats a latency histogram with cumulative buckets, the last of which also counts the overflow bin.
std::string formatLatency(const std::string &service, const LatencyHistogram &histogram)
{
    constexpr int BinsPerBucket = 6; // limits the exposition to 20 buckets per service
    const std::string labels = "{service=\"" + service + "\"";
    std::string text;
    double cumulativeCount = histogram.at(-1);
    const int bins = histogram.axis(0).size();
    for (int bin = 0; bin < bins; ++bin) {
        cumulativeCount += histogram.at(bin);
        if ((bin + 1) % BinsPerBucket == 0) {
            const std::string bound = formatNumber(histogram.axis(0).value(bin + 1));
            text += "ragwortrelay_request_seconds_bucket" + labels + ",le=\"" + bound + "\"} " + formatNumber(cumulativeCount) + '\n';
        }
    }
    const double totalCount = cumulativeCount + histogram.at(bins);
    text += "ragwortrelay_request_seconds_bucket" + labels + ",le=\"+Inf\"} " + formatNumber(totalCount) + '\n';
    return text + "ragwortrelay_request_seconds_count" + labels + "} " + formatNumber(totalCount) + '\n';
}

MinuteCount sumMinuteCounts(const std::map<std::int64_t, HourRecord> &hours)
{
    MinuteCount sum;
    for (const auto &[hour, record] : hours) {
        for (std::size_t minute = 0; minute < MinutesPerHour; ++minute) {
            const MinuteCount count = minuteCount(record, minute);
            sum = {sum.m_good + count.m_good, sum.m_slow + count.m_slow, sum.m_failed + count.m_failed};
        }
    }
    return sum;
}

}

std::string formatMetrics(const ServiceLevels &levels)
{
    std::string requests = "# TYPE ragwortrelay_service_requests gauge\n";
    std::string latencies = "# TYPE ragwortrelay_request_seconds histogram\n";
    for (const auto &[service, hours] : levels.m_hours) {
        const MinuteCount count = sumMinuteCounts(hours);
        const std::string samplePrefix = "ragwortrelay_service_requests{service=\"" + service.text() + "\",quality=\"";
        requests += samplePrefix + "good\"} " + std::to_string(count.m_good) + '\n';
        requests += samplePrefix + "slow\"} " + std::to_string(count.m_slow) + '\n';
        requests += samplePrefix + "failed\"} " + std::to_string(count.m_failed) + '\n';
        latencies += formatLatency(service.text(), mergeLatencies(hours));
    }
    return requests + latencies;
}

}
