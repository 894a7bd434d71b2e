#include <ragwortrelay/scheduling/retrybudget.h>

#include <algorithm>

namespace RagwortRelay::Scheduling {

namespace {

/// Returns how many retries a host with the whole reserve may allow at once.
double maxRetryBurst(const RetryLimit &limit)
{
    return limit.m_reserve * (1.0 - limit.m_startupShare);
}

}

RetryBudget initialBudget(const RetryLimit &limit, double share)
{
    return {std::max(0.0, maxRetryBurst(limit) - limit.m_reserve * limit.m_startupShare) * share};
}

RetryBudget withShare(const RetryBudget &budget, const RetryLimit &limit, double before, double after)
{
    return {std::max(0.0, budget.m_spent + maxRetryBurst(limit) * (after - before))};
}

RetryBudget afterRequest(const RetryBudget &budget, const RetryLimit &limit)
{
    return {std::max(0.0, budget.m_spent - limit.m_ratio)};
}

bool allowsRetry(const RetryBudget &budget, const RetryLimit &limit, double share)
{
    return budget.m_spent + 1.0 <= maxRetryBurst(limit) * share;
}

double remainingRetries(const RetryBudget &budget, const RetryLimit &limit, double share)
{
    return std::max(0.0, maxRetryBurst(limit) * share - budget.m_spent);
}

RetryBudget afterRetry(const RetryBudget &budget)
{
    return {budget.m_spent + 1.0};
}

}
