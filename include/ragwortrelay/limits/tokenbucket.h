#pragma once

#include <ragwortrelay/core/time.h>

#include <cstddef>
#include <optional>

namespace RagwortRelay::Limits {

/// Tokens of one workspace's limit that one host hands out. Several pools of one workspace share its limit: their shares add up to
/// one at most.
struct TokenBucket {
    double m_rate = 0.0; ///< Tokens a second, of the whole limit.
    double m_burst = 0.0; ///< Tokens, of the whole limit.
    double m_share = 0.0; ///< Part of the limit that this pool has, 0 to 1.
    double m_tokens = 0.0; ///< In hand.
    TimePoint m_refilledAt;
    TimePoint m_promisedAt{}; ///< Latest time at which a caller without a token was told to come back.

    friend bool operator==(const TokenBucket &, const TokenBucket &) = default;
};

/// Adds what accrued. Not thread-safe on one pool, like all functions that change it.
void refill(TokenBucket &bucket, TimePoint now);

/// Sets the limit. Tokens above the new burst are lost; what is added to the burst comes empty.
void setLimit(TokenBucket &bucket, double rate, double burst, TimePoint now);

/// Sets the share. Tokens above the share of the burst are lost; what is added comes empty.
void setShare(TokenBucket &bucket, double share, TimePoint now);

/// Takes one token if there is one; returns whether it did.
bool takeToken(TokenBucket &bucket, TimePoint now);

/// Returns how long until a token is there for a caller behind `ahead` others that wait; zero if one is there, nothing if there will be none.
/// Precondition: refilled at the present time.
std::optional<Duration> waitForToken(const TokenBucket &bucket, std::size_t ahead = 0);

/// Returns when a caller that finds no token should come back: each one a token later than the one before, so that not all come at once
/// and find one token. No later than `longest` from now; nothing if there will be no token.
std::optional<Duration> promiseToken(TokenBucket &bucket, Duration longest, TimePoint now);

}
