#include <ragwortrelay/rules/alertrules.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Rules;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *RuleFile = R"(groups:
  - name: booking
    rules:
      - alert: BookingErrors
        expr: sum(rate(http_requests_total{service="booking",code=~"5.."}[5m])) / sum(rate(http_requests_total{service="booking"}[5m])) > 0.01
        for: 10m
      - alert: BookingBudget
        expr: |
          sum(rate(http_requests_total{service="booking",code=~"5.."}[1h]))
            / sum(rate(http_requests_total{service="booking"}[1h])) > (14.4 * 0.001)
      - alert: BookingSlow
        expr: histogram_quantile(0.99, sum(rate(http_request_duration_seconds_bucket{service="booking"}[5m])) by (le)) > 0.75
      - alert: ServerSick
        expr: sum by (instance) (rate(http_errors_total{job="parts"}[1m])) / sum by (instance) (rate(http_requests_total{job="parts"}[1m])) > 0.5
        for: 30s
      - record: job:requests:rate5m
        expr: sum(rate(http_requests_total[5m])) by (job)
      - alert: DiskFull
        expr: node_filesystem_avail_bytes < 1e9
      - alert: Nameless
        expr: sum(rate(http_errors_total[5m])) / sum(rate(http_requests_total[5m])) > 0.02
      - alert: Percent
        expr: sum(rate(http_errors_total{job="parts"}[5m])) / sum(rate(http_requests_total{job="parts"}[5m])) * 100 > 2
)";

std::vector<std::string> messagesOf(const Findings &findings)
{
    std::vector<std::string> messages;
    for (const Finding &finding : findings) {
        messages.push_back(toString(finding));
    }
    return messages;
}

}

TEST_CASE("alert rules")
{
    const ImportedRules rules = importRules(RuleFile, "rules.yml");

    SECTION("ratios, budgets and quantiles become objectives, of which the strictest applies")
    {
        const ServiceRules &booking = rules.m_services.at(ServiceId("booking"));
        CHECK(booking.m_objective == Approx(0.999));
        CHECK(booking.m_latency == milliseconds(750));
    }

    SECTION("ratios by instance become detection thresholds")
    {
        const ServiceRules &parts = rules.m_services.at(ServiceId("parts"));
        CHECK(parts.m_detectFailures == 0.5);
        CHECK(parts.m_detectAfter == seconds(30));
        CHECK_FALSE(parts.m_objective);
    }

    SECTION("rules and parts that are not imported are reported with their line and column")
    {
        CHECK(messagesOf(rules.m_findings)
              == std::vector<std::string>{
                  "rules.yml:6:14: error RW0602: alert 'BookingErrors': its wait; the windows of the burn report are fixed",
                  "rules.yml:16:9: error RW0602: recording rule 'job:requests:rate5m': there is no time series database",
                  "rules.yml:19:15: error RW0602: alert 'DiskFull': neither a ratio of failures nor a latency quantile above a limit",
                  "rules.yml:21:15: error RW0602: alert 'Nameless': names no service",
                  "rules.yml:23:15: error RW0602: alert 'Percent': its limit is not between 0 and 1",
              });
    }

    SECTION("imported values are formatted as rows for table apply")
    {
        CHECK(formatRows(rules)
              == "kind,name,version,objective,latency_ms,detect_failures,detect_after_ms\n"
                 "service,booking,,0.999,750,,\n"
                 "service,parts,,,,0.5,30000\n");
    }

    SECTION("a malformed rule file is reported with its line and column")
    {
        CHECK(messagesOf(importRules("groups:\n  - name: }\n", "rules.yml").m_findings)
              == std::vector<std::string>{"rules.yml:2:11: error RW0601: illegal flow end"});
        CHECK(messagesOf(importRules("alerts: 1", "rules.yml").m_findings)
              == std::vector<std::string>{"rules.yml:1:1: error RW0601: a rule file has a list 'groups'"});
    }
}
