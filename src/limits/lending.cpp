#include <ragwortrelay/limits/limits.h>

#include <algorithm>
#include <cmath>

namespace RagwortRelay::Limits {

namespace {

/// Allowance for clocks of two hosts that run at different speeds: one part in this many.
constexpr int ClockDriftDivisor = 50;

constexpr Duration ShortestRefusal = std::chrono::milliseconds(5);
constexpr Duration LongestRefusal = std::chrono::milliseconds(500);

std::uint32_t wholeTokens(const Holding &holding)
{
    return static_cast<std::uint32_t>(holding.m_bucket.m_microtokens / MicrotokensPerToken);
}

/// Returns the tokens that the host can lend: those in hand beyond what its own requests wait for, within its free burst.
std::uint32_t spareTokens(const WorkspaceLimit &limit)
{
    const std::uint32_t tokens = wholeTokens(limit.m_holding);
    const std::uint32_t free = freeShare(limit.m_holding).m_burst;
    return std::min(tokens - std::min(tokens, limit.m_waiting), free);
}

/// Returns the rate that the host can lend: the free part beyond its own demand, and never all of it.
std::uint32_t spareRate(const WorkspaceLimit &limit)
{
    const std::uint32_t free = freeShare(limit.m_holding).m_rate;
    const auto needed = static_cast<std::uint32_t>(std::min(std::ceil(limit.m_demand), 1e9));
    return free - std::min(free, needed);
}

LoanGranted decideLoan(const WorkspaceLimit &limit, const LoanWanted &wanted)
{
    LoanGranted granted;
    granted.m_loan = wanted.m_loan;
    granted.m_workspace = wanted.m_workspace;
    const Share free = freeShare(limit.m_holding);
    const std::uint32_t tokens = std::min(wanted.m_tokens, spareTokens(limit));
    granted.m_rate = std::min(wanted.m_rate, spareRate(limit));
    granted.m_burst = tokens;
    if (granted.m_rate > 0) {
        // A rate is of use only with room for its tokens.
        const std::uint64_t room = static_cast<std::uint64_t>(free.m_burst) * granted.m_rate / free.m_rate;
        granted.m_burst = std::max(tokens, static_cast<std::uint32_t>(std::min<std::uint64_t>(std::max<std::uint64_t>(room, 1), free.m_burst)));
    }
    granted.m_microtokens = tokens * MicrotokensPerToken;
    return granted;
}

void tellWhatIsLeft(LoanGranted &granted, const WorkspaceLimit &limit, TimePoint now)
{
    granted.m_tokensLeft = spareTokens(limit);
    if (granted.m_tokensLeft == 0) {
        granted.m_nextToken = std::clamp(waitForToken(limit.m_holding.m_bucket, now), ShortestRefusal, LongestRefusal);
    }
}

LoanGranted grantLoan(LimitsState &state, const Party &from, const LoanWanted &wanted, TimePoint now)
{
    const auto found = state.m_workspaces.find(wanted.m_workspace);
    if (found == state.m_workspaces.end() || state.m_stopping) {
        return {wanted.m_loan, wanted.m_workspace, 0, 0, 0, Duration::zero(), 0, LongestRefusal};
    }
    WorkspaceLimit &limit = found->second;
    settle(limit.m_holding, now);
    LoanGranted granted = decideLoan(limit, wanted);
    if (granted.m_burst > 0) {
        granted.m_lease = state.m_settings.m_lease;
        const TimePoint takenBackAt = now + granted.m_lease + granted.m_lease / ClockDriftDivisor;
        lend(limit.m_holding, {from, wanted.m_loan}, {granted.m_rate, granted.m_burst}, granted.m_microtokens, takenBackAt, now);
    }
    tellWhatIsLeft(granted, limit, now);
    return granted;
}

}

LoanAnswer onLoanRequest(LimitsState &state, const Party &from, const LoanRequest &request, TimePoint now)
{
    for (const LoanReturned &returned : request.m_returned) {
        const auto limit = state.m_workspaces.find(returned.m_workspace);
        if (limit != state.m_workspaces.end()) {
            takeBack(limit->second.m_holding, {from, returned.m_loan}, returned.m_microtokens, now);
        }
    }
    LoanAnswer answer;
    answer.m_incarnation = from.m_incarnation;
    LoanId &highest = state.m_highestLoan[from];
    for (const LoanWanted &wanted : request.m_wanted) {
        // A wish that came twice must not be granted twice, nor one that was returned already.
        if (wanted.m_loan > highest) {
            highest = wanted.m_loan;
            answer.m_granted.push_back(grantLoan(state, from, wanted, now));
        }
    }
    return answer;
}

bool canGiveUp(const LimitsState &state, const WorkspaceId &workspace, const Share &part, TimePoint now)
{
    const auto limit = state.m_workspaces.find(workspace);
    if (limit == state.m_workspaces.end()) {
        return true;
    }
    Holding settled = limit->second.m_holding;
    settle(settled, now);
    const Share free = freeShare(settled);
    return free.m_rate >= part.m_rate && free.m_burst >= part.m_burst;
}

bool hasLent(const LimitsState &state, TimePoint now)
{
    return std::any_of(state.m_workspaces.begin(), state.m_workspaces.end(), [now](const auto &entry) {
        const auto &lent = entry.second.m_holding.m_lent;
        return std::any_of(lent.begin(), lent.end(), [now](const auto &loan) { return loan.second.m_takenBackAt > now; });
    });
}

}
