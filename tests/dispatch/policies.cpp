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
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Fingerprint CrashingRequest = 1000;

/// Returns the crash of a server under an attempt that was started 100 ms earlier.
Crash crashAt(const ServerId &server, TimePoint now)
{
    return {server, now, now - milliseconds(100)};
}

/// Records crashes of one request on several servers, one a second.
void recordCrashes(CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, int count, TimePoint now)
{
    for (int crash = 0; crash < count; ++crash) {
        const ServerId server("s" + std::to_string(crash));
        recordCrash(
            suspects, settings, fingerprint, {HostId("h"), fingerprint * 100 + static_cast<std::uint64_t>(crash)}, crashAt(server, now + seconds(crash)));
    }
}

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
                reports.push_back({CrashingRequest, {HostId("h0"), ++attempt}, crashAt(server, now)});
                for (int bystander = 0; bystander < bystanders; ++bystander) {
                    if (randomBelow(random, 2) == 0) {
                        reports.push_back({bystanderAt(bystander), {HostId("h1"), ++attempt}, crashAt(server, now)});
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
                recordCrash(suspects, settings, static_cast<Fingerprint>(request), {HostId("h"), static_cast<std::uint64_t>(crash)}, crashAt(server, now));
            }
        }
        CHECK_FALSE(quarantineRemaining(suspects, settings, 3, now + seconds(1)));
    }

    SECTION("regression: a request that crashed four servers was let through while many other requests had met resets")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        for (int request = 0; request < 20; ++request) {
            recordCrashes(suspects, settings, static_cast<Fingerprint>(request), 3, now);
        }
        recordCrashes(suspects, settings, CrashingRequest, 3, now);
        CHECK(quarantineVerdict(suspects, settings, CrashingRequest, now + seconds(4)) == QuarantineVerdict::TooManyCandidates);
        recordCrash(suspects, settings, CrashingRequest, {HostId("h"), 1}, crashAt(ServerId("s9"), now + seconds(4)));
        CHECK(quarantineRemaining(suspects, settings, CrashingRequest, now + seconds(4)));
        CHECK_FALSE(quarantineRemaining(suspects, settings, 3, now + seconds(4)));
    }

    SECTION("regression: ends of one server soon after one another counted as one crash")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        for (int crash = 0; crash < 4; ++crash) {
            CHECK_FALSE(quarantineRemaining(suspects, settings, CrashingRequest, now + seconds(2 * crash)));
            const Crash noticed = crashAt(ServerId("s"), now + seconds(2 * crash));
            CHECK(recordCrash(suspects, settings, CrashingRequest, {HostId("h"), static_cast<std::uint64_t>(crash)}, noticed));
        }
        CHECK(quarantineRemaining(suspects, settings, CrashingRequest, now + seconds(6)));
    }

    SECTION("attempts that run on a server at the same time count as one crash")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        for (std::uint64_t copy = 0; copy < 20; ++copy) {
            CHECK(recordCrash(suspects, settings, CrashingRequest, {HostId("h"), copy}, crashAt(ServerId("s"), now + milliseconds(copy))) == (copy == 0));
        }
    }

    SECTION("a response to a request that was running at the time of a crash disproves the crash")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        recordCrashes(suspects, settings, CrashingRequest, 4, now);
        recordLifeSign(
            suspects, settings, ServerId("s0"), LifeSign::Response, now - seconds(1), now + milliseconds(50)); // It may have been sent before the crash.
        CHECK(suspects.m_crashes.at(CrashingRequest).size() == 4);
        recordLifeSign(suspects, settings, ServerId("s0"), LifeSign::Response, now - seconds(1), now + milliseconds(200));
        CHECK(suspects.m_crashes.at(CrashingRequest).size() == 3);
    }

    SECTION("regression: a request that had met two servers which reset connections was quarantined")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        recordCrashes(suspects, settings, CrashingRequest, 2, now);
        CHECK(quarantineRemaining(suspects, settings, CrashingRequest, now + seconds(1)));
        recordLifeSign(suspects, settings, ServerId("s0"), LifeSign::Response, now + milliseconds(300), now + milliseconds(500));
        CHECK(quarantineVerdict(suspects, settings, CrashingRequest, now + seconds(1)) == QuarantineVerdict::TooFewCrashes);
        CHECK(suspects.m_crashes.at(CrashingRequest).size() == 2);
    }

    SECTION("a connection soon after a crash makes it and the next crashes of the server doubtful")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        const ServerId server("s0");
        recordCrashes(suspects, settings, CrashingRequest, 2, now);
        recordLifeSign(suspects, settings, server, LifeSign::Connection, now + milliseconds(50), now + milliseconds(150)); // It may be an old connection.
        CHECK(quarantineRemaining(suspects, settings, CrashingRequest, now + seconds(1)));
        recordLifeSign(suspects, settings, server, LifeSign::Connection, now + milliseconds(300), now + milliseconds(302));
        CHECK_FALSE(quarantineRemaining(suspects, settings, CrashingRequest, now + seconds(1)));
        const TimePoint next = now + seconds(5);
        recordCrash(suspects, settings, bystanderAt(1), {HostId("h"), 1}, crashAt(server, next));
        recordCrash(suspects, settings, bystanderAt(1), {HostId("h"), 2}, crashAt(ServerId("s9"), next));
        CHECK_FALSE(quarantineRemaining(suspects, settings, bystanderAt(1), next + seconds(1)));
    }

    SECTION("a response to a request that was sent after a server may have restarted changes nothing")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        recordCrashes(suspects, settings, CrashingRequest, 2, now);
        recordLifeSign(suspects, settings, ServerId("s0"), LifeSign::Response, now + settings.m_minRestartTime, now + seconds(2));
        CHECK(quarantineRemaining(suspects, settings, CrashingRequest, now + seconds(2)));
    }

    SECTION("a quarantined request is tried again, and refused for longer after five crashes")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        recordCrashes(suspects, settings, CrashingRequest, 4, now);
        const TimePoint trialAt = now + seconds(3) + settings.m_trialDelay;
        CHECK(quarantineRemaining(suspects, settings, CrashingRequest, trialAt - milliseconds(1)));
        CHECK_FALSE(mustRunAlone(suspects, settings, CrashingRequest, trialAt - milliseconds(1)));
        CHECK_FALSE(quarantineRemaining(suspects, settings, CrashingRequest, trialAt));
        CHECK(mustRunAlone(suspects, settings, CrashingRequest, trialAt));
        recordCrash(suspects, settings, CrashingRequest, {HostId("h"), 1}, crashAt(ServerId("s9"), trialAt));
        CHECK(quarantineRemaining(suspects, settings, CrashingRequest, trialAt) == settings.m_quarantineDuration);
    }

    SECTION("the suspect with the fewest crashes makes room for a new one")
    {
        CrashSuspectSettings settings;
        settings.m_maxSuspects = 3;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        recordCrashes(suspects, settings, CrashingRequest, 2, now);
        for (int request = 0; request < 10; ++request) {
            recordCrashes(suspects, settings, static_cast<Fingerprint>(request), 1, now + seconds(request));
        }
        CHECK(suspects.m_crashes.at(CrashingRequest).size() == 2);
    }

    SECTION("crashes expire after the crash window")
    {
        const CrashSuspectSettings settings;
        CrashSuspects suspects;
        const TimePoint now{seconds(1000)};
        recordCrash(suspects, settings, CrashingRequest, {HostId("h"), 1}, crashAt(ServerId("s"), now));
        expireSuspects(suspects, settings, now + settings.m_crashWindow - seconds(1));
        CHECK(isSuspect(suspects, CrashingRequest));
        expireSuspects(suspects, settings, now + settings.m_crashWindow);
        CHECK_FALSE(isSuspect(suspects, CrashingRequest));
    }
}
