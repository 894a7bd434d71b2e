#include <ragwortrelay/dispatch/retrybudget.h>

#include <algorithm>

namespace RagwortRelay::Dispatch {

RetryBudget afterFirstAttempt(const RetryBudget &budget, const RetrySettings &settings)
{
    return {std::max(0.0, budget.m_spent - settings.m_share), budget.m_shedShare};
}

RetryBudget afterAttempt(const RetryBudget &budget, const RetrySettings &settings, bool shed)
{
    const double target = shed ? 1.0 : 0.0;
    return {budget.m_spent, budget.m_shedShare + settings.m_smoothing * (target - budget.m_shedShare)};
}

bool allowsRetry(const RetryBudget &budget, const RetrySettings &settings)
{
    const bool isOverloaded = budget.m_shedShare > settings.m_overloadShare;
    return !isOverloaded && budget.m_spent + 1.0 <= settings.m_reserve;
}

RetryBudget afterRetry(const RetryBudget &budget)
{
    return {budget.m_spent + 1.0, budget.m_shedShare};
}

}
