#include <ragwortrelay/limits/tokenbucket.h>

#include <algorithm>
#include <cmath>

namespace RagwortRelay::Limits {

namespace {

/// Smallest burst of a whole limit, in tokens. A smaller one would admit no request.
constexpr double MinBurst = 1.0;

/// Part of the longest retry delay by which the range of the last ones is shorter than half of it, so that the interval between tokens isn't a divisor of the
/// range.
constexpr int SpreadOffset = 64;

/// Returns the bucket's share of the burst, in tokens.
double burstOf(const TokenBucket &bucket)
{
    return std::max(MinBurst, bucket.m_burst) * bucket.m_share;
}

/// Returns the tokens that can be consumed. Only whole ones count.
double availableTokens(const TokenBucket &bucket)
{
    return bucket.m_tokens + (burstOf(bucket) < 1.0 ? bucket.m_phase : 0.0);
}

/// Removes the tokens that the bucket can't hold: those above a burst of at least one token, or whole ones that weren't used in time.
void discardExcess(TokenBucket &bucket)
{
    const double burst = burstOf(bucket);
    if (burst >= 1.0) {
        bucket.m_tokens = std::min(burst, bucket.m_tokens);
        return;
    }
    const double excess = availableTokens(bucket) - burst;
    if (excess >= 1.0) {
        bucket.m_tokens -= std::floor(excess);
    }
}

/// Returns the time in which the given number of tokens accrues; empty if none accrue.
std::optional<Duration> accrualTime(const TokenBucket &bucket, double tokens)
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
    bucket.m_tokens += seconds * bucket.m_rate * bucket.m_share;
    discardExcess(bucket);
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
    if (availableTokens(bucket) < 1.0) {
        return false;
    }
    bucket.m_tokens -= 1.0;
    return true;
}

bool hasToken(const TokenBucket &bucket, TimePoint now)
{
    TokenBucket copy = bucket;
    return takeToken(copy, now);
}

std::optional<Duration> timeUntilToken(const TokenBucket &bucket, std::size_t waitersAhead)
{
    const double needed = 1.0 + static_cast<double>(waitersAhead);
    const double available = availableTokens(bucket);
    return available >= needed ? Duration(0) : accrualTime(bucket, needed - available);
}

std::optional<Duration> assignRetryDelay(TokenBucket &bucket, Duration maxDelay, TimePoint now)
{
    refill(bucket, now);
    const auto wait = timeUntilToken(bucket);
    const auto interval = accrualTime(bucket, 1.0);
    if (!wait || !interval) {
        return std::nullopt;
    }
    TimePoint next = std::max(now + *wait, bucket.m_lastRetryAt + *interval);
    if (next > now + maxDelay) { // There are more callers than tokens in that time. The further ones are spread over its second half.
        const Duration range = maxDelay / 2 - maxDelay / SpreadOffset;
        next = now + maxDelay / 2 + (next - (now + maxDelay / 2)) % range;
    }
    bucket.m_lastRetryAt = next;
    return bucket.m_lastRetryAt - now;
}

}
