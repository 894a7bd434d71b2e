#include <ragwortrelay/scheduling/retrybudget.h>

#include <algorithm>

namespace RagwortRelay::Scheduling {

RetryBudget afterRequest(const RetryBudget &budget, const RetryLimit &limit)
{
    return {std::max(0.0, budget.m_spent - limit.m_ratio)};
}

bool allowsRetry(const RetryBudget &budget, const RetryLimit &limit, double share)
{
    return budget.m_spent + 1.0 <= limit.m_reserve * share;
}

RetryBudget afterRetry(const RetryBudget &budget)
{
    return {budget.m_spent + 1.0};
}

}
