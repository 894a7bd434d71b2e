#pragma once

namespace RagwortRelay::Scheduling {

/// Bound on the attempts beyond the first of each request, for one service over all hosts.
struct RetryLimit {
    double m_ratio = 0.2; ///< Further attempts for each request.
    double m_reserve = 50.0; ///< Further attempts beside those, within one window.

    friend bool operator==(const RetryLimit &, const RetryLimit &) = default;
};

/// Further attempts that one host may hand out for a service. In any span of time no more are made than the reserve and the ratio
/// times the requests in it.
struct RetryBudget {
    double m_spent = 0.0; ///< Of the reserve.

    friend bool operator==(const RetryBudget &, const RetryBudget &) = default;
};

/// Returns the budget after the first attempt of a request. Thread-safe, like all functions here.
RetryBudget afterRequest(const RetryBudget &budget, const RetryLimit &limit);

/// Tells whether a further attempt may be made.
/// @param share part of the reserve that this host has, 0 to 1
bool allowsRetry(const RetryBudget &budget, const RetryLimit &limit, double share);

/// Returns the budget after a further attempt. Precondition: allowsRetry().
RetryBudget afterRetry(const RetryBudget &budget);

}
