#include <ragwortrelay/core/random.h>
#include <ragwortrelay/limits/throttle.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace RagwortRelay;
using namespace RagwortRelay::Limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};
const ThrottleSettings Settings;

/// One host of a workspace whose requests a leader admits at a constant rate.
struct ThrottledHost {
    /// Receives requests at a constant rate; returns the number of those that were asked of the leader.
    unsigned receive(Duration interval, Duration duration, double admittedPerSecond)
    {
        unsigned asked = 0;
        for (const TimePoint end = m_now + duration; m_now < end; m_now += interval) {
            m_tokens = std::min(Burst, m_tokens + std::chrono::duration<double>(interval).count() * admittedPerSecond);
            if (randomUnit(m_random) < throttleProbability(m_throttle, Settings, m_now)) {
                recordOutcome(m_throttle, Settings, ThrottleOutcome::Throttled, m_now);
                continue;
            }
            ++asked;
            const bool isAdmitted = m_tokens >= 1.0;
            m_tokens -= isAdmitted ? 1.0 : 0.0;
            recordOutcome(m_throttle, Settings, isAdmitted ? ThrottleOutcome::Admitted : ThrottleOutcome::Refused, m_now);
        }
        return asked;
    }

    Throttle m_throttle;
    TimePoint m_now = Start;
    static constexpr double Burst = 10.0; ///< Tokens that the leader keeps while nothing is asked.
    double m_tokens = 0.0;
    RandomGenerator m_random{7};
};

}

TEST_CASE("a throttled host")
{
    ThrottledHost host;

    SECTION("asks for little more than the leader admits during a surge")
    {
        host.receive(milliseconds(5), seconds(2), 20.0);
        const unsigned asked = host.receive(milliseconds(5), seconds(10), 20.0);
        CHECK(asked < 1.35 * 200); // 2,000 requests arrive and 200 are admitted.
        CHECK(asked > 200);
    }

    SECTION("begins with the first refusal, whatever was admitted before the limit was reached")
    {
        for (int i = 0; i < 20; ++i) {
            recordOutcome(host.m_throttle, Settings, ThrottleOutcome::Admitted, Start);
        }
        recordOutcome(host.m_throttle, Settings, ThrottleOutcome::Refused, Start);
        CHECK(throttleProbability(host.m_throttle, Settings, Start) == 0.5);
    }

    SECTION("refuses nothing a window after the leader's last refusal")
    {
        host.receive(milliseconds(5), seconds(5), 20.0);
        CHECK(throttleProbability(host.m_throttle, Settings, host.m_now) > 0.5);
        CHECK(throttleProbability(host.m_throttle, Settings, host.m_now + Settings.m_window) == 0.0);
        CHECK(isIdle(host.m_throttle, Settings, host.m_now + Settings.m_window));
    }

    SECTION("refuses nothing a second after a surge although requests within the limit go on")
    {
        host.receive(milliseconds(5), seconds(5), 20.0);
        host.receive(milliseconds(100), seconds(1), 20.0);
        CHECK(host.receive(milliseconds(100), seconds(5), 20.0) == 50);
    }
}

TEST_CASE("a workspace that the leader doesn't refuse is never throttled")
{
    rc::prop("whatever its requests and their times are", [](const std::vector<std::uint16_t> &pauses) {
        Throttle throttle;
        TimePoint now = Start;
        for (const std::uint16_t pause : pauses) {
            now += Duration(pause);
            recordOutcome(throttle, Settings, pause % 2 == 0 ? ThrottleOutcome::Admitted : ThrottleOutcome::Throttled, now);
            RC_ASSERT(throttleProbability(throttle, Settings, now) == 0.0);
        }
    });
}

TEST_CASE("callers of throttled requests return at different times")
{
    CHECK(throttledRetryDelay(seconds(1), 0.0) == milliseconds(500));
    CHECK(throttledRetryDelay(seconds(1), 0.5) == milliseconds(750));
}
