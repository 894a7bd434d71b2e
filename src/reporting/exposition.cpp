#include <ragwortrelay/reporting/servicelevel.h>

#include <cstdio>

namespace RagwortRelay::Reporting {

namespace {

std::string formatBound(double seconds)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", seconds);
    return text;
}

LatencyHistogram latencyOf(const std::map<std::int64_t, HourRecord> &hours)
{
    LatencyHistogram sum = makeLatencyHistogram();
    for (const auto &[hour, record] : hours) {
        sum += record.m_latency;
    }
    return sum;
}

std::string latencyLines(const std::string &service, const LatencyHistogram &histogram)
{
    constexpr int BinsPerBucket = 6; // keeps the page at 20 buckets a service
    const std::string labels = "{service=\"" + service + "\"";
    std::string text;
    double below = histogram.at(-1);
    const int bins = histogram.axis(0).size();
    for (int bin = 0; bin < bins; ++bin) {
        below += histogram.at(bin);
        if ((bin + 1) % BinsPerBucket == 0) {
            const std::string bound = formatBound(histogram.axis(0).value(bin + 1));
            text += "ragwortrelay_request_seconds_bucket" + labels + ",le=\"" + bound + "\"} " + formatBound(below) + '\n';
        }
    }
    const double all = below + histogram.at(bins);
    text += "ragwortrelay_request_seconds_bucket" + labels + ",le=\"+Inf\"} " + formatBound(all) + '\n';
    return text + "ragwortrelay_request_seconds_count" + labels + "} " + formatBound(all) + '\n';
}

MinuteCount countOf(const std::map<std::int64_t, HourRecord> &hours)
{
    MinuteCount sum;
    for (const auto &[hour, record] : hours) {
        for (std::size_t minute = 0; minute < MinutesPerHour; ++minute) {
            const MinuteCount count = minuteOf(record, minute);
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
        const MinuteCount count = countOf(hours);
        const std::string start = "ragwortrelay_service_requests{service=\"" + service.text() + "\",quality=\"";
        requests += start + "good\"} " + std::to_string(count.m_good) + '\n';
        requests += start + "slow\"} " + std::to_string(count.m_slow) + '\n';
        requests += start + "failed\"} " + std::to_string(count.m_failed) + '\n';
        latencies += latencyLines(service.text(), latencyOf(hours));
    }
    return requests + latencies;
}

}
