#include <ragwortrelay/reporting/burn.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace RagwortRelay;
using namespace RagwortRelay::Reporting;
using std::chrono::milliseconds;

namespace {

const ServiceId Booking("booking");
constexpr UnixSeconds Noon = 1'800'000'000;

Objective objective()
{
    return {Booking, 0.99, milliseconds(500)};
}

/// One request as the naive version keeps it.
struct NaiveRequest {
    Quality m_quality = Quality::Good;
    UnixSeconds m_at = 0;
};

double naiveBurnRate(const std::vector<NaiveRequest> &requests, std::int64_t minutes, UnixSeconds now)
{
    double all = 0.0;
    double bad = 0.0;
    for (const NaiveRequest &request : requests) {
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

    SECTION("burns at the rate of bad requests over those allowed")
    {
        for (int i = 0; i < 97; ++i) {
            recordRequest(levels, Booking, Quality::Good, milliseconds(10), Noon);
        }
        recordRequest(levels, Booking, Quality::Slow, milliseconds(600), Noon);
        recordRequest(levels, Booking, Quality::Slow, milliseconds(600), Noon);
        recordRequest(levels, Booking, Quality::Failed, milliseconds(5), Noon);
        const BurnReport report = makeBurnReport(levels, {objective()}, Noon);
        REQUIRE(report.m_services.size() == 1);
        CHECK(report.m_services[0].m_windows[0].m_burnRate == Approx(3.0));
        CHECK(report.m_services[0].m_p99 >= milliseconds(500));
        CHECK_FALSE(report.m_services[0].m_fast);
    }

    SECTION("a fast burn needs a short and a long window")
    {
        for (int minute = 0; minute < 60; ++minute) {
            recordRequest(levels, Booking, minute < 50 ? Quality::Failed : Quality::Good, milliseconds(5), Noon - minute * SecondsPerMinute);
        }
        CHECK(makeBurnReport(levels, {objective()}, Noon).m_services[0].m_fast);
        CHECK_FALSE(makeBurnReport(levels, {objective()}, Noon + 4 * SecondsPerHour).m_services[0].m_fast);
    }

    SECTION("a service without requests has no burn")
    {
        const BurnReport report = makeBurnReport(levels, {objective()}, Noon);
        CHECK(report.m_services[0].m_windows[0].m_burnRate == 0.0);
        CHECK(formatReport(report).find("booking") != std::string::npos);
    }

    SECTION("a name can't break out of the page")
    {
        const BurnReport report = makeBurnReport(levels, {{ServiceId("<script>"), 0.99, milliseconds(1)}}, Noon);
        CHECK(formatReportPage(report).find("<script>") == std::string::npos);
    }
}

TEST_CASE("burn report against a list of all requests")
{
    const bool holds = rc::check("records of several hosts, stored and merged, burn as one list does", [] {
        const UnixSeconds now = Noon + *rc::gen::inRange<UnixSeconds>(0, 7200);
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 4);
        std::vector<ServiceLevels> records(hosts);
        std::vector<NaiveRequest> all;
        const auto count = *rc::gen::inRange(0, 200);
        for (int i = 0; i < count; ++i) {
            const NaiveRequest request{static_cast<Quality>(*rc::gen::inRange(0, 3)), now - *rc::gen::inRange<UnixSeconds>(0, 8 * SecondsPerHour)};
            recordRequest(records[static_cast<std::size_t>(i) % hosts], Booking, request.m_quality, milliseconds(3), request.m_at);
            all.push_back(request);
        }
        ServiceLevels merged;
        for (const ServiceLevels &record : records) {
            mergeLevels(merged, decodeLevels(encodeLevels(record)));
        }
        const BurnReport report = makeBurnReport(merged, {objective()}, now);
        for (const WindowBurn &window : report.m_services[0].m_windows) {
            RC_ASSERT(std::abs(window.m_burnRate - naiveBurnRate(all, window.m_minutes, now)) < 1e-9);
        }
        RC_ASSERT(decodeReport(encodeReport(report)) == report);
    });
    CHECK(holds);
}
