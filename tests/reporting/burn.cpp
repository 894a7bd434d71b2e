#include <ragwortrelay/reporting/burn.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace RagwortRelay;
using namespace RagwortRelay::Reporting;
using std::chrono::milliseconds;

namespace {

const ServiceId Booking("booking");
constexpr UnixSeconds ReportTime = 1'800'000'000;

Objective objective()
{
    return {Booking, 0.99, milliseconds(500)};
}

/// Request in the list of the reference implementation.
struct ReferenceRequest {
    Quality m_quality = Quality::Good;
    UnixSeconds m_at = 0;
};

double referenceBurnRate(const std::vector<ReferenceRequest> &requests, std::int64_t minutes, UnixSeconds now)
{
    double all = 0.0;
    double bad = 0.0;
    for (const ReferenceRequest &request : requests) {
        const std::int64_t age = now / SecondsPerMinute - request.m_at / SecondsPerMinute;
        if (age >= 0 && age < minutes) {
            all += 1.0;
            bad += request.m_quality == Quality::Good ? 0.0 : 1.0;
        }
    }
    return all == 0.0 ? 0.0 : bad / all / 0.01;
}

}

TEST_CASE("burn report")
{
    ServiceLevels levels;

    SECTION("the burn rate is the share of bad requests divided by the allowed share")
    {
        for (int i = 0; i < 97; ++i) {
            recordRequest(levels, Booking, Quality::Good, milliseconds(10), ReportTime);
        }
        recordRequest(levels, Booking, Quality::Slow, milliseconds(600), ReportTime);
        recordRequest(levels, Booking, Quality::Slow, milliseconds(600), ReportTime);
        recordRequest(levels, Booking, Quality::Failed, milliseconds(5), ReportTime);
        const BurnReport report = makeBurnReport(levels, {objective()}, ReportTime);
        REQUIRE(report.m_services.size() == 1);
        CHECK(report.m_services[0].m_windows[0].m_burnRate == Approx(3.0));
        CHECK(report.m_services[0].m_p99 >= milliseconds(500));
        CHECK_FALSE(report.m_services[0].m_isFastBurn);
    }

    SECTION("a fast burn requires a high burn rate over both a short and a long window")
    {
        for (int minute = 0; minute < 60; ++minute) {
            recordRequest(levels, Booking, minute < 50 ? Quality::Failed : Quality::Good, milliseconds(5), ReportTime - minute * SecondsPerMinute);
        }
        CHECK(makeBurnReport(levels, {objective()}, ReportTime).m_services[0].m_isFastBurn);
        CHECK_FALSE(makeBurnReport(levels, {objective()}, ReportTime + 4 * SecondsPerHour).m_services[0].m_isFastBurn);
    }

    SECTION("a service without requests has a burn rate of 0")
    {
        const BurnReport report = makeBurnReport(levels, {objective()}, ReportTime);
        CHECK(report.m_services[0].m_windows[0].m_burnRate == 0.0);
        CHECK(formatReport(report).find("booking") != std::string::npos);
    }

    SECTION("the HTML page escapes service names")
    {
        const BurnReport report = makeBurnReport(levels, {{ServiceId("<script>"), 0.99, milliseconds(1)}}, ReportTime);
        CHECK(formatReportPage(report).find("<script>") == std::string::npos);
    }
}

TEST_CASE("burn report agrees with a reference implementation on a list of all requests")
{
    const bool hasPassed = rc::check("encoded, decoded and merged records of several hosts yield the burn rates of a single request list", [] {
        const UnixSeconds now = ReportTime + *rc::gen::inRange<UnixSeconds>(0, 7200);
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 4);
        std::vector<ServiceLevels> records(hosts);
        std::vector<ReferenceRequest> all;
        const auto count = *rc::gen::inRange(0, 200);
        for (int i = 0; i < count; ++i) {
            const ReferenceRequest request{static_cast<Quality>(*rc::gen::inRange(0, 3)), now - *rc::gen::inRange<UnixSeconds>(0, 8 * SecondsPerHour)};
            recordRequest(records[static_cast<std::size_t>(i) % hosts], Booking, request.m_quality, milliseconds(3), request.m_at);
            all.push_back(request);
        }
        ServiceLevels merged;
        for (const ServiceLevels &record : records) {
            mergeLevels(merged, decodeLevels(encodeLevels(record)));
        }
        const BurnReport report = makeBurnReport(merged, {objective()}, now);
        for (const WindowBurn &window : report.m_services[0].m_windows) {
            RC_ASSERT(std::abs(window.m_burnRate - referenceBurnRate(all, window.m_minutes, now)) < 1e-9);
        }
        RC_ASSERT(decodeReport(encodeReport(report)) == report);
    });
    CHECK(hasPassed);
}
