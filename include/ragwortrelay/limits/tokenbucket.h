#pragma once

#include <ragwortrelay/core/time.h>

#include <cstddef>
#include <optional>

namespace RagwortRelay::Limits {

/// Token bucket for one host's share of the rate limit of a workspace. Several buckets share the limit of one workspace; their shares add up
/// to at most one.
///
/// A bucket whose share of the burst is below one token still admits requests: it may owe a fraction of a token, its phase, and loses a whole
/// token that it doesn't use within the time in which its share of the burst accrues. With evenly distributed phases the buckets of a limit hold as
/// many tokens at any time as the burst allows, and each of them admits requests at its share of the rate.
struct TokenBucket {
    double m_rate = 0.0; ///< Rate of the whole limit, in tokens per second.
    double m_burst = 0.0; ///< Burst of the whole limit, in tokens.
    double m_share = 0.0; ///< Share of the limit that belongs to this bucket, 0 to 1.
    double m_phase = 0.0; ///< Fraction of a token that the bucket may owe while its share of the burst is below one token, 0 to 1; differs between hosts.
    double m_tokens = 0.0; ///< Tokens that have accrued and are unused; negative while the bucket owes a fraction of one.
    TimePoint m_refilledAt;
    TimePoint m_lastRetryAt{}; ///< Latest time at which a rejected caller was told to retry.

    friend bool operator==(const TokenBucket &, const TokenBucket &) = default;
};

/// Adds the tokens accrued since the last refill. Not thread-safe on one bucket, like all functions that change it.
void refill(TokenBucket &bucket, TimePoint now);

/// Sets the rate limit. Tokens above the new burst are discarded; a larger burst adds no tokens.
void setLimit(TokenBucket &bucket, double rate, double burst, TimePoint now);

/// Sets the share of the limit. Tokens above the new share of the burst are discarded; a larger share adds no tokens.
void setShare(TokenBucket &bucket, double share, TimePoint now);

/// Consumes a token if one is available. Returns whether it did.
bool takeToken(TokenBucket &bucket, TimePoint now);

/// Tells whether a token is available. Thread-safe on a bucket that does not change.
bool hasToken(const TokenBucket &bucket, TimePoint now);

/// Returns the time until a token is available for a caller behind `waitersAhead` other waiting callers. It is zero if a token is available
/// and empty if none will ever be. Precondition: the bucket was refilled at the present time. Thread-safe on a bucket that does not change.
std::optional<Duration> timeUntilToken(const TokenBucket &bucket, std::size_t waitersAhead = 0);

/// Returns the delay after which a rejected caller should retry, at most `maxDelay`; empty if no token will ever be available. Consecutive callers get
/// delays that are one token apart, so that they don't compete for one; those without a token in that time are spread over its second half.
std::optional<Duration> assignRetryDelay(TokenBucket &bucket, Duration maxDelay, TimePoint now);

}
