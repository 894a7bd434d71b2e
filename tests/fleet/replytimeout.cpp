#include <ragwortrelay/fleet/replytimeout.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("timeout of a leader's reply")
{
    const ReplyTimeoutSettings settings;
    const TimePoint now{seconds(100)};
    RandomGenerator random(1);

    SECTION("is the shortest one before the first reply and for prompt leaders")
    {
        CHECK(waitFor({}, settings) == settings.m_minTimeout);
        CHECK(waitFor(afterReply({}, milliseconds(2)), settings) == settings.m_minTimeout);
    }
    SECTION("exceeds the reply time of a slow leader, but not the bound")
    {
        ReplyTimeout timeout;
        for (int i = 0; i < 50; ++i) {
            timeout = afterReply(timeout, milliseconds(i % 2 == 0 ? 90 : 110));
        }
        CHECK(waitFor(timeout, settings) > milliseconds(110));
        CHECK(waitFor(timeout, settings) < milliseconds(200));
        CHECK(waitFor(afterReply({}, seconds(5)), settings) == settings.m_maxTimeout);
    }
    SECTION("doubles with each consecutive timeout, until a reply comes in time")
    {
        ReplyTimeout timeout = afterTimeout({}, settings, random, now);
        CHECK(waitFor(timeout, settings) == 2 * settings.m_minTimeout);
        timeout = afterTimeout(timeout, settings, random, now);
        CHECK(waitFor(timeout, settings) == 4 * settings.m_minTimeout);
        timeout = afterReply(timeout, milliseconds(2));
        CHECK(waitFor(timeout, settings) == settings.m_minTimeout);
    }
}

TEST_CASE("pause of the requests to a leader")
{
    const ReplyTimeoutSettings settings;
    const TimePoint now{seconds(100)};
    RandomGenerator random(1);
    ReplyTimeout timeout;

    SECTION("begins with the third timeout in a row")
    {
        timeout = afterTimeout(timeout, settings, random, now);
        timeout = afterTimeout(timeout, settings, random, now);
        CHECK_FALSE(isPaused(timeout, now));
        timeout = afterTimeout(timeout, settings, random, now);
        CHECK(isPaused(timeout, now));
        CHECK_FALSE(isPaused(timeout, now + 2 * settings.m_minPause));
    }
    SECTION("is bounded, differs between hosts, and ends with a reply")
    {
        for (int i = 0; i < 100; ++i) {
            timeout = afterTimeout(timeout, settings, random, now);
        }
        CHECK_FALSE(isPaused(timeout, now + 2 * settings.m_maxPause));
        const ReplyTimeout other = afterTimeout(timeout, settings, random, now);
        CHECK(other.m_pausedUntil != timeout.m_pausedUntil);
        CHECK_FALSE(isPaused(afterReply(timeout, milliseconds(2)), now));
    }
}
