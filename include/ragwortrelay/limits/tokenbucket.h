#pragma once

#include <ragwortrelay/core/time.h>

#include <cstdint>

namespace RagwortRelay::Limits {

/// A part of a workspace's limit, in whole units.
struct Share {
    std::uint32_t m_rate = 0; ///< Tokens a second.
    std::uint32_t m_burst = 0; ///< Tokens that may be in hand at once.

    friend bool operator==(const Share &, const Share &) = default;
};

/// Token bucket in exact integer arithmetic.
struct TokenBucket {
    Share m_share;
    std::int64_t m_microtokens = 0; ///< Tokens in hand, times 1,000,000.
    TimePoint m_refilledAt;

    friend bool operator==(const TokenBucket &, const TokenBucket &) = default;
};

constexpr std::int64_t MicrotokensPerToken = 1'000'000;

/// Adds what accrued since the last refill, up to the burst. Times that run backwards add nothing.
void refill(TokenBucket &bucket, TimePoint now);

/// Takes one token if there is one. Returns whether it did.
bool takeToken(TokenBucket &bucket, TimePoint now);

/// Returns how long after `now` the next token is there; zero if there is one already, Duration::max() if there will be none.
Duration waitForToken(const TokenBucket &bucket, TimePoint now);

}
