#include <ragwortrelay/core/random.h>
#include <ragwortrelay/dispatch/crashsuspects.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

using namespace RagwortRelay;
using namespace RagwortRelay::Dispatch;
using std::chrono::seconds;

namespace {

constexpr Fingerprint CrashingRequest = 1000;

Fingerprint bystanderAt(int number)
{
    return static_cast<Fingerprint>(number);
}

}

TEST_CASE("quarantine of requests that crash backend servers")
{
    SECTION("requests that were present at the crashes of another one are not refused, regardless of the order of the reports")
    {
        CHECK(rc::check("bystander requests", [] {
            struct Report {
                Fingerprint m_request = 0;
                CrashId m_id;
                Crash m_crash;
            };
            const CrashSuspectSettings settings;
            RandomGenerator random(*rc::gen::arbitrary<std::uint64_t>());
            const int crashes = *rc::gen::inRange(1, 4);
            const int bystanders = *rc::gen::inRange(0, 6);
            std::vector<Report> reports;
            std::uint64_t attempt = 0;
            TimePoint now{seconds(1000)};
            for (int crash = 0; crash < crashes; ++crash) {
                now += seconds(20);
                const ServerId server("s" + std::to_string(randomBelow(random, 4)));
                reports.push_back({CrashingRequest, {HostId("h0"), ++attempt}, {server, now}});
                for (int bystander = 0; bystander < bystanders; ++bystander) {
                    if (randomBelow(random, 2) == 0) {
                        reports.push_back({bystanderAt(bystander), {HostId("h1"), ++attempt}, {server, now}});
                    }
                }
            }
            const std::vector<Report> sent = reports;
            reports.insert(reports.end(), sent.begin(), sent.begin() + static_cast<std::ptrdiff_t>(randomBelow(random, sent.size())));
            std::shuffle(reports.begin(), reports.end(), random);
            CrashSuspects suspects;
            for (const Report &report : reports) {
                recordCrash(suspects, settings, report.m_request, report.m_id, report.m_crash);
            }
            now += seconds(1);
            for (int bystander = 0; bystander < bystanders; ++bystander) {
                RC_ASSERT(!quarantineRemaining(suspects, settings, bystanderAt(bystander), now));
                clearSuspect(suspects, bystanderAt(bystander));
            }
            std::set<ServerId> servers;
            for (const Report &report : sent) {
                servers.insert(report.m_crash.m_server);
            }
            // Once all bystanders have succeeded, the crashing request is refused if and only if it crashed two distinct servers.
            RC_ASSERT(quarantineRemaining(suspects, settings, CrashingRequest, now).has_value() == (servers.size() >= 2));
        }));
    }

    SECTION("a failing network does not put any request into quarantine")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        for (int request = 0; request < 20; ++request) {
            for (int crash = 0; crash < 2; ++crash) {
                const ServerId server("s" + std::to_string(request) + std::to_string(crash));
                recordCrash(suspects, settings, static_cast<Fingerprint>(request), {HostId("h"), static_cast<std::uint64_t>(crash)}, {server, now});
            }
        }
        CHECK_FALSE(quarantineRemaining(suspects, settings, 3, now + seconds(1)));
    }

    SECTION("crashes expire after the crash window")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        recordCrash(suspects, settings, CrashingRequest, {HostId("h"), 1}, {ServerId("s"), now});
        expireSuspects(suspects, settings, now + settings.m_crashWindow - seconds(1));
        CHECK(isSuspect(suspects, CrashingRequest));
        expireSuspects(suspects, settings, now + settings.m_crashWindow);
        CHECK_FALSE(isSuspect(suspects, CrashingRequest));
    }
}
