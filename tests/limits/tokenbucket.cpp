#include <ragwortrelay/limits/tokenbucket.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>

using namespace RagwortRelay;
using namespace RagwortRelay::Limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};

TokenBucket makeBucket(double rate, double burst, double share)
{
    TokenBucket bucket;
    bucket.m_refilledAt = Start;
    setLimit(bucket, rate, burst, Start);
    setShare(bucket, share, Start);
    return bucket;
}

}

TEST_CASE("token bucket")
{
    TokenBucket bucket = makeBucket(10.0, 20.0, 1.0);

    SECTION("a new bucket is empty and fills up to its burst")
    {
        CHECK_FALSE(takeToken(bucket, Start));
        CHECK(timeUntilToken(bucket) == milliseconds(100));
        CHECK(takeToken(bucket, Start + milliseconds(100)));
        refill(bucket, Start + seconds(60));
        CHECK(bucket.m_tokens == Approx(20.0));
    }

    SECTION("a larger share adds no tokens, and a smaller share discards those above its burst")
    {
        refill(bucket, Start + seconds(60));
        setShare(bucket, 0.25, Start + seconds(60));
        CHECK(bucket.m_tokens == Approx(5.0));
        setShare(bucket, 1.0, Start + seconds(60));
        CHECK(bucket.m_tokens == Approx(5.0));
    }

    SECTION("a lower limit takes effect immediately")
    {
        refill(bucket, Start + seconds(60));
        setLimit(bucket, 1.0, 2.0, Start + seconds(60));
        CHECK(takeToken(bucket, Start + seconds(60)));
        CHECK(takeToken(bucket, Start + seconds(60)));
        CHECK_FALSE(takeToken(bucket, Start + seconds(60)));
    }

    SECTION("a bucket with a rate of zero never has a token")
    {
        setLimit(bucket, 0.0, 20.0, Start);
        CHECK_FALSE(timeUntilToken(bucket));
        CHECK_FALSE(assignRetryDelay(bucket, seconds(1), Start));
    }
}

TEST_CASE("regression: all rejected callers were told to retry at the same time")
{
    TokenBucket bucket = makeBucket(10.0, 20.0, 1.0);
    CHECK(assignRetryDelay(bucket, seconds(1), Start) == milliseconds(100));
    CHECK(assignRetryDelay(bucket, seconds(1), Start) == milliseconds(200));
    CHECK(assignRetryDelay(bucket, seconds(1), Start + milliseconds(150)) == milliseconds(150));
    for (int i = 0; i < 20; ++i) {
        CHECK(assignRetryDelay(bucket, seconds(1), Start + milliseconds(150)) <= seconds(1));
    }
    CHECK(assignRetryDelay(bucket, seconds(1), Start + seconds(60)) == milliseconds(0));
}

TEST_CASE("regression: callers for whom no token was left were told to retry at the same time")
{
    // All callers after the tokens of the longest delay got that delay, and those refused together came back together.
    const double rate = GENERATE(10.0, 0.5);
    TokenBucket bucket = makeBucket(rate, 20.0, 1.0);
    std::map<Duration, int> callers;
    for (int i = 0; i < 200; ++i) {
        ++callers[assignRetryDelay(bucket, seconds(1), Start).value_or(seconds(1))];
    }
    for (const auto &[delay, count] : callers) {
        CHECK(count <= 200 / 10);
        CHECK(delay <= seconds(1));
    }
}

namespace {

/// Buckets of one limit on many hosts, each with an equal share, and times at which a request was admitted.
struct SharedLimit {
    SharedLimit(std::size_t hosts, double rate, double burst)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            m_buckets.push_back(makeBucket(rate, burst, 1.0 / static_cast<double>(hosts)));
            m_buckets.back().m_phase = (static_cast<double>(i) + 0.5) / static_cast<double>(hosts);
        }
    }

    /// Offers a request to each host once in each interval.
    void offerToAll(TimePoint from, Duration duration)
    {
        constexpr Duration Interval = milliseconds(50);
        for (TimePoint now = from; now < from + duration; now += Interval) {
            for (TokenBucket &bucket : m_buckets) {
                if (takeToken(bucket, now)) {
                    m_admittedAt.push_back(now);
                }
            }
        }
    }

    /// Returns the greatest number of requests that were admitted within a window.
    [[nodiscard]] std::size_t mostAdmitted(Duration window) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_admittedAt.size(); ++last) {
            while (m_admittedAt[last] - m_admittedAt[first] > window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::vector<TokenBucket> m_buckets;
    std::vector<TimePoint> m_admittedAt;
};

}

// Guards against one whole token on each host, however small its share of the burst is.
TEST_CASE("regression: more hosts than tokens of a burst admitted a request each at the same time")
{
    constexpr double Rate = 14.0;
    constexpr double Burst = 14.0;
    constexpr double Window = 5.0; // seconds
    const auto hosts = GENERATE(15U, 48U, 442U);
    SharedLimit limit(hosts, Rate, Burst);
    CAPTURE(hosts);

    SECTION("after a time without requests")
    {
        limit.offerToAll(Start + seconds(60), seconds(1));
        CHECK(limit.m_admittedAt.size() <= Rate * 1.0 + Burst + 1.0);
        CHECK(limit.m_admittedAt.size() >= Rate * 1.0);
    }
    SECTION("under constant load")
    {
        limit.offerToAll(Start, seconds(60));
        CHECK(limit.mostAdmitted(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Window))) <= Rate * Window + Burst + 1.0);
        CHECK(limit.m_admittedAt.size() >= 0.95 * Rate * 60.0); // The whole rate is of use, however small the shares are.
    }
}

TEST_CASE("a bucket with a burst below one token admits requests at its rate")
{
    TokenBucket bucket = makeBucket(1.0, 0.0, 1.0);
    CHECK_FALSE(takeToken(bucket, Start));
    CHECK(takeToken(bucket, Start + seconds(1)));
    CHECK_FALSE(takeToken(bucket, Start + seconds(1)));
    CHECK(takeToken(bucket, Start + seconds(60)));
}

TEST_CASE("consumed tokens")
{
    rc::prop("never exceed rate and burst in any period, regardless of changes of the share", [](const std::vector<std::uint8_t> &steps) {
        TokenBucket bucket = makeBucket(7.0, 9.0, 1.0);
        TimePoint now = Start;
        std::vector<TimePoint> takenAt;
        for (const std::uint8_t step : steps) {
            now += milliseconds(step % 16 * 20);
            if (step % 7 == 0) {
                setShare(bucket, (step % 5) / 4.0, now);
            }
            if (takeToken(bucket, now)) {
                takenAt.push_back(now);
            }
        }
        for (std::size_t first = 0; first < takenAt.size(); ++first) {
            for (std::size_t last = first; last < takenAt.size(); ++last) {
                const double span = std::chrono::duration<double>(takenAt[last] - takenAt[first]).count();
                RC_ASSERT(static_cast<double>(last - first + 1) <= 9.0 + 7.0 * span + 1e-6);
            }
        }
    });
}
