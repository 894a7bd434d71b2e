#include <ragwortrelay/limits/tokenbucket.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("token bucket")
{
    const TimePoint start{seconds(100)};
    TokenBucket bucket{{10, 3}, 3 * MicrotokensPerToken, start};

    SECTION("gives its burst at once")
    {
        CHECK(takeToken(bucket, start));
        CHECK(takeToken(bucket, start));
        CHECK(takeToken(bucket, start));
        CHECK_FALSE(takeToken(bucket, start));
        CHECK(waitForToken(bucket, start) == milliseconds(100));
    }

    SECTION("refills at its rate, up to its burst")
    {
        bucket.m_microtokens = 0;
        CHECK_FALSE(takeToken(bucket, start + milliseconds(99)));
        CHECK(takeToken(bucket, start + milliseconds(100)));
        refill(bucket, start + seconds(3600));
        CHECK(bucket.m_microtokens == 3 * MicrotokensPerToken);
    }

    SECTION("gains nothing when time runs backwards")
    {
        bucket.m_microtokens = 0;
        CHECK_FALSE(takeToken(bucket, start - seconds(10)));
        CHECK(bucket.m_refilledAt == start);
    }

    SECTION("never gives a token without a rate")
    {
        bucket = {{0, 3}, 0, start};
        CHECK_FALSE(takeToken(bucket, start + seconds(3600)));
        CHECK(waitForToken(bucket, start) == Duration::max());
    }
}
