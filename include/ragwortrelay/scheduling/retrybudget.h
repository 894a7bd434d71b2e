#pragma once

namespace RagwortRelay::Scheduling {

/// Bound on the attempts beyond the first of each request, for one service over all hosts.
struct RetryLimit {
    double m_ratio = 0.2; ///< Further attempts for each request.
    double m_reserve = 50.0; ///< Further attempts beside those, within one window.
    double m_forStarts = 0.25; ///< Part of the reserve that is left for a host that starts and doesn't know what others handed out before.

    friend bool operator==(const RetryLimit &, const RetryLimit &) = default;
};

/// Further attempts that one host may hand out for a service. In any span of time no more are made than the reserve and the ratio
/// times the requests in it, also by two hosts of which the later one started when the earlier one was lost.
struct RetryBudget {
    double m_spent = 0.0; ///< Of the reserve.

    friend bool operator==(const RetryBudget &, const RetryBudget &) = default;
};

/// Returns the budget of a host that starts.
/// @param share part of the reserve that the host has, 0 to 1
RetryBudget firstBudget(const RetryLimit &limit, double share);

/// Returns the budget when the host has another part of the reserve. A greater one is empty as far as it is new.
RetryBudget withShare(const RetryBudget &budget, const RetryLimit &limit, double before, double after);

/// Returns the budget after the first attempt of a request. Thread-safe, like all functions here.
RetryBudget afterRequest(const RetryBudget &budget, const RetryLimit &limit);

/// Tells whether a further attempt may be made.
/// @param share part of the reserve that this host has, 0 to 1
bool allowsRetry(const RetryBudget &budget, const RetryLimit &limit, double share);

/// Returns the budget after a further attempt. Precondition: allowsRetry().
RetryBudget afterRetry(const RetryBudget &budget);

}
