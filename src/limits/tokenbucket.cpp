#include <ragwortrelay/limits/tokenbucket.h>

#include <algorithm>

namespace RagwortRelay::Limits {

namespace {

/// A share of a small burst must still let one request pass.
constexpr double LeastBurst = 1.0;

double burstOf(const TokenBucket &bucket)
{
    return bucket.m_share > 0.0 ? std::max(LeastBurst, bucket.m_burst * bucket.m_share) : 0.0;
}

/// Returns how long it takes until so many tokens have accrued, or nothing if none do.
std::optional<Duration> timeFor(const TokenBucket &bucket, double tokens)
{
    const double perSecond = bucket.m_rate * bucket.m_share;
    if (perSecond <= 0.0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(tokens / perSecond));
}

}

void refill(TokenBucket &bucket, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(std::max(Duration(0), now - bucket.m_refilledAt)).count();
    bucket.m_tokens = std::min(burstOf(bucket), bucket.m_tokens + seconds * bucket.m_rate * bucket.m_share);
    bucket.m_refilledAt = std::max(bucket.m_refilledAt, now);
}

void setLimit(TokenBucket &bucket, double rate, double burst, TimePoint now)
{
    refill(bucket, now);
    bucket.m_rate = rate;
    bucket.m_burst = burst;
    refill(bucket, now);
}

void setShare(TokenBucket &bucket, double share, TimePoint now)
{
    refill(bucket, now);
    bucket.m_share = share;
    refill(bucket, now);
}

bool takeToken(TokenBucket &bucket, TimePoint now)
{
    refill(bucket, now);
    if (bucket.m_tokens < 1.0) {
        return false;
    }
    bucket.m_tokens -= 1.0;
    return true;
}

std::optional<Duration> waitForToken(const TokenBucket &bucket, std::size_t ahead)
{
    const double needed = 1.0 + static_cast<double>(ahead);
    if (bucket.m_tokens >= needed) {
        return Duration(0);
    }
    return timeFor(bucket, needed - bucket.m_tokens);
}

std::optional<Duration> promiseToken(TokenBucket &bucket, Duration longest, TimePoint now)
{
    refill(bucket, now);
    const auto wait = waitForToken(bucket);
    const auto interval = timeFor(bucket, 1.0);
    if (!wait || !interval) {
        return std::nullopt;
    }
    bucket.m_promisedAt = std::min(now + longest, std::max(now + *wait, bucket.m_promisedAt + *interval));
    return bucket.m_promisedAt - now;
}

}
