#include <ragwortrelay/limits/tokenbucket.h>

#include <algorithm>

namespace RagwortRelay::Limits {

void refill(TokenBucket &bucket, TimePoint now)
{
    if (now <= bucket.m_refilledAt) {
        return;
    }
    const std::int64_t capacity = bucket.m_share.m_burst * MicrotokensPerToken;
    const std::int64_t rate = bucket.m_share.m_rate;
    const std::int64_t elapsed = (now - bucket.m_refilledAt).count();
    const bool overflows = rate > 0 && elapsed > capacity / rate;
    const std::int64_t accrued = overflows ? capacity : elapsed * rate;
    bucket.m_microtokens = std::min(capacity, bucket.m_microtokens + accrued);
    bucket.m_refilledAt = now;
}

bool takeToken(TokenBucket &bucket, TimePoint now)
{
    refill(bucket, now);
    if (bucket.m_microtokens < MicrotokensPerToken) {
        return false;
    }
    bucket.m_microtokens -= MicrotokensPerToken;
    return true;
}

Duration waitForToken(const TokenBucket &bucket, TimePoint now)
{
    TokenBucket refilled = bucket;
    refill(refilled, now);
    if (refilled.m_microtokens >= MicrotokensPerToken) {
        return Duration::zero();
    }
    if (refilled.m_share.m_rate == 0 || refilled.m_share.m_burst == 0) {
        return Duration::max();
    }
    const std::int64_t missing = MicrotokensPerToken - refilled.m_microtokens;
    const std::int64_t rate = refilled.m_share.m_rate;
    return Duration((missing + rate - 1) / rate);
}

}
