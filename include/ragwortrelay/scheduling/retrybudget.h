#pragma once

namespace RagwortRelay::Scheduling {

/// Limit on retries (attempts beyond the first of each request) for one service over all hosts. Hedges count as retries.
struct RetryLimit {
    double m_ratio = 0.2; ///< Retries per request.
    double m_reserve = 50.0; ///< Additional retries, independent of the number of requests.
    double m_startupShare = 0.25; ///< Part of the reserve kept for a starting host, which doesn't know how many retries others allowed before.

    friend bool operator==(const RetryLimit &, const RetryLimit &) = default;
};

/// Retries that one host may allow for a service. In any time span, their number is at most the reserve plus the ratio times the
/// requests in that span. This also holds over two hosts of which the second starts when the first is lost.
struct RetryBudget {
    double m_spent = 0.0; ///< Retries charged against the reserve.

    friend bool operator==(const RetryBudget &, const RetryBudget &) = default;
};

/// Returns the budget of a starting host.
/// @param share part of the reserve assigned to this host, 0 to 1
RetryBudget initialBudget(const RetryLimit &limit, double share);

/// Returns the budget after the host's share of the reserve has changed. An increase counts as spent and allows no retries at once.
/// @param before previous share, 0 to 1
/// @param after new share, 0 to 1
RetryBudget withShare(const RetryBudget &budget, const RetryLimit &limit, double before, double after);

/// Returns the budget after the first attempt of a request. Thread-safe, like all functions in this file.
RetryBudget afterRequest(const RetryBudget &budget, const RetryLimit &limit);

/// Tells whether the budget allows a retry.
/// @param share part of the reserve assigned to this host, 0 to 1
bool allowsRetry(const RetryBudget &budget, const RetryLimit &limit, double share);

/// Returns the number of retries that the budget allows, with fractions.
/// @param share part of the reserve assigned to this host, 0 to 1
double remainingRetries(const RetryBudget &budget, const RetryLimit &limit, double share);

/// Returns the budget after a retry. Precondition: allowsRetry().
RetryBudget afterRetry(const RetryBudget &budget);

}
