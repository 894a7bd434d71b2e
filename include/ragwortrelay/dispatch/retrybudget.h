#pragma once

namespace RagwortRelay::Dispatch {

/// How many retries a host allows itself for one service.
struct RetrySettings {
    double m_share = 0.2; ///< Retries for each first attempt, on the long run.
    double m_reserve = 5.0; ///< Retries at once, at most.
    double m_overloadShare = 0.5; ///< No retries while more of the late attempts than this were shed.
    double m_smoothing = 0.05; ///< Weight of one attempt in the share of those that were shed.

    friend bool operator==(const RetrySettings &, const RetrySettings &) = default;
};

/// Retries that one host may make for one service.
struct RetryBudget {
    double m_spent = 0.0; ///< Of the reserve.
    double m_shedShare = 0.0; ///< Of the late attempts, between 0 and 1.

    friend bool operator==(const RetryBudget &, const RetryBudget &) = default;
};

/// Returns the budget after the first attempt of a request. Thread-safe.
RetryBudget afterFirstAttempt(const RetryBudget &budget, const RetrySettings &settings);

/// Returns the budget after an attempt has ended. Thread-safe.
/// @param shed the backend server said that it shed the request unrun
RetryBudget afterAttempt(const RetryBudget &budget, const RetrySettings &settings, bool shed);

/// Tells whether a retry may be made now. Thread-safe.
bool allowsRetry(const RetryBudget &budget, const RetrySettings &settings);

/// Returns the budget after a retry. Thread-safe. Precondition: allowsRetry().
RetryBudget afterRetry(const RetryBudget &budget);

}
