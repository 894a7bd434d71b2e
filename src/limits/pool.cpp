#include <ragwortrelay/limits/pool.h>

#include <algorithm>

namespace RagwortRelay::Limits {

namespace {

/// A share of a small burst must still let one request pass.
constexpr double LeastBurst = 1.0;

double burstOf(const Pool &pool)
{
    return pool.m_share > 0.0 ? std::max(LeastBurst, pool.m_burst * pool.m_share) : 0.0;
}

/// Returns how long it takes until so many tokens have accrued, or nothing if none do.
std::optional<Duration> timeFor(const Pool &pool, double tokens)
{
    const double perSecond = pool.m_rate * pool.m_share;
    if (perSecond <= 0.0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(tokens / perSecond));
}

}

void refill(Pool &pool, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(std::max(Duration(0), now - pool.m_refilledAt)).count();
    pool.m_tokens = std::min(burstOf(pool), pool.m_tokens + seconds * pool.m_rate * pool.m_share);
    pool.m_refilledAt = std::max(pool.m_refilledAt, now);
}

void setLimit(Pool &pool, double rate, double burst, TimePoint now)
{
    refill(pool, now);
    pool.m_rate = rate;
    pool.m_burst = burst;
    refill(pool, now);
}

void setShare(Pool &pool, double share, TimePoint now)
{
    refill(pool, now);
    pool.m_share = share;
    refill(pool, now);
}

bool takeToken(Pool &pool, TimePoint now)
{
    refill(pool, now);
    if (pool.m_tokens < 1.0) {
        return false;
    }
    pool.m_tokens -= 1.0;
    return true;
}

std::optional<Duration> waitForToken(const Pool &pool, std::size_t ahead)
{
    const double needed = 1.0 + static_cast<double>(ahead);
    if (pool.m_tokens >= needed) {
        return Duration(0);
    }
    return timeFor(pool, needed - pool.m_tokens);
}

std::optional<Duration> promiseToken(Pool &pool, Duration longest, TimePoint now)
{
    refill(pool, now);
    const auto wait = waitForToken(pool);
    const auto interval = timeFor(pool, 1.0);
    if (!wait || !interval) {
        return std::nullopt;
    }
    pool.m_promisedAt = std::min(now + longest, std::max(now + *wait, pool.m_promisedAt + *interval));
    return pool.m_promisedAt - now;
}

}
