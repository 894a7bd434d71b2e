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

constexpr Fingerprint Guilty = 1000;

Fingerprint innocentAt(int number)
{
    return static_cast<Fingerprint>(number);
}

}

TEST_CASE("requests that were on a server when another one crashed it")
{
    SECTION("are not refused, in whatever order the reports come")
    {
        CHECK(rc::check("innocent requests", [] {
            struct Report {
                Fingerprint m_request = 0;
                CrashId m_id;
                Crash m_crash;
            };
            const CrashSuspectSettings settings;
            RandomGenerator random(*rc::gen::arbitrary<std::uint64_t>());
            const int crashes = *rc::gen::inRange(1, 4);
            const int innocents = *rc::gen::inRange(0, 6);
            std::vector<Report> reports;
            std::uint64_t attempt = 0;
            TimePoint now{seconds(1000)};
            for (int crash = 0; crash < crashes; ++crash) {
                now += seconds(20);
                const ServerId server("s" + std::to_string(randomBelow(random, 4)));
                reports.push_back({Guilty, {HostId("h0"), ++attempt}, {server, now}});
                for (int innocent = 0; innocent < innocents; ++innocent) {
                    if (randomBelow(random, 2) == 0) {
                        reports.push_back({innocentAt(innocent), {HostId("h1"), ++attempt}, {server, now}});
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
            for (int innocent = 0; innocent < innocents; ++innocent) {
                RC_ASSERT(!quarantineRemaining(suspects, settings, innocentAt(innocent), now));
                clearSuspect(suspects, innocentAt(innocent));
            }
            std::set<ServerId> servers;
            for (const Report &report : sent) {
                servers.insert(report.m_crash.m_server);
            }
            // With all innocent requests answered, the guilty one is refused if and only if it crashed two distinct servers.
            RC_ASSERT(quarantineRemaining(suspects, settings, Guilty, now).has_value() == (servers.size() >= 2));
        }));
    }

    SECTION("a failing network makes nobody guilty")
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

    SECTION("crashes are forgotten after their time")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        recordCrash(suspects, settings, Guilty, {HostId("h"), 1}, {ServerId("s"), now});
        expireSuspects(suspects, settings, now + settings.m_window - seconds(1));
        CHECK(isSuspect(suspects, Guilty));
        expireSuspects(suspects, settings, now + settings.m_window);
        CHECK_FALSE(isSuspect(suspects, Guilty));
    }
}
