#include <ragwortrelay/limits/limits.h>

#include <algorithm>
#include <cmath>

namespace RagwortRelay::Limits {

namespace {

/// Demand is smoothed over about this time.
constexpr Duration DemandTime = std::chrono::seconds(2);

/// A token in hand ahead of need covers the demand of this time.
constexpr double StockSeconds = 0.5;

/// Below this demand a host borrows tokens only when a request asks for one.
constexpr double DemandWorthStock = 1.0;

/// What a lender has told counts for this long.
constexpr Duration HintTime = std::chrono::seconds(1);

/// A loan is given back after this part of its lease, so that what is left of it isn't lost.
constexpr double UsedPartOfLease = 0.8;

/// A loan without rate is given back when it was of no use for so long.
constexpr Duration StockTime = std::chrono::seconds(1);

bool isWaitedFor(const WorkspaceLimit &limit, TimePoint now, Duration timeout)
{
    return std::any_of(limit.m_pending.begin(), limit.m_pending.end(), [&](const auto &pending) { return now - pending.second.m_askedAt < timeout; });
}

bool isAsked(const WorkspaceLimit &limit, const HostId &lender)
{
    return std::any_of(limit.m_pending.begin(), limit.m_pending.end(), [&](const auto &pending) { return pending.second.m_lender == lender; });
}

/// Returns the lender that most likely has tokens, or nothing when none is worth asking.
std::optional<HostId> pickLender(const WorkspaceLimit &limit, RandomGenerator &random, TimePoint now)
{
    std::optional<HostId> best;
    std::uint64_t bestTokens = 0;
    std::uint64_t ties = 0;
    for (const HostId &lender : limit.m_lenders) {
        const auto hint = limit.m_hints.find(lender);
        const bool isKnown = hint != limit.m_hints.end() && now - hint->second.m_toldAt < HintTime;
        const bool isEmpty = hint != limit.m_hints.end() && now < hint->second.m_emptyUntil;
        if (isEmpty || isAsked(limit, lender)) {
            continue;
        }
        const std::uint64_t unknown = limit.m_limit.m_burst / (2 * (limit.m_lenders.size() + 1)) + 1;
        const std::uint64_t tokens = isKnown ? hint->second.m_tokensLeft : unknown;
        if (best && tokens == bestTokens) {
            ++ties;
        } else if (!best || tokens > bestTokens) {
            ties = 1;
        } else {
            continue;
        }
        if (drawBelow(random, ties) == 0) {
            best = lender;
        }
        bestTokens = tokens;
    }
    return best;
}

void ask(LimitsState &state, const WorkspaceId &workspace, WorkspaceLimit &limit, const HostId &lender, const Share &wanted, TimePoint now)
{
    const LoanId loan = ++state.m_lastLoan;
    limit.m_pending.emplace(loan, PendingLoan{lender, now});
    state.m_outbox[lender].m_wanted.push_back({loan, workspace, wanted.m_rate, wanted.m_burst});
}

std::uint32_t stockOf(const WorkspaceLimit &limit)
{
    return static_cast<std::uint32_t>(std::min(std::ceil(limit.m_demand * StockSeconds), 1e6));
}

void stopWaiting(WorkspaceLimit &limit, AdmissionTry &attempt)
{
    if (attempt.m_waits) {
        attempt.m_waits = false;
        --limit.m_waiting;
    }
}

/// Decides about a request for which no token is in hand.
Admission waitOrRefuse(LimitsState &state, const WorkspaceId &workspace, WorkspaceLimit &limit, AdmissionTry &attempt, RandomGenerator &random, TimePoint now)
{
    const LimitsSettings &settings = state.m_settings;
    const Duration left = *attempt.m_since + settings.m_longestWait - now;
    if (left <= Duration::zero() || (!attempt.m_waits && limit.m_waiting >= settings.m_waitingAtMost)) {
        return Admission::Refused;
    }
    if (!isWaitedFor(limit, now, settings.m_answerTimeout)) {
        const auto lender = attempt.m_asked < settings.m_triesAtMost ? pickLender(limit, random, now) : std::nullopt;
        if (lender) {
            ++attempt.m_asked;
            ask(state, workspace, limit, *lender, {0, std::max(limit.m_waiting + 1, stockOf(limit))}, now);
        } else if (waitForToken(limit.m_holding.m_bucket, now) > left) {
            return Admission::Refused;
        }
    }
    if (!attempt.m_waits) {
        attempt.m_waits = true;
        ++limit.m_waiting;
    }
    return Admission::Wait;
}

void giveBackLoan(LimitsState &state, const WorkspaceId &workspace, WorkspaceLimit &limit, LoanId loan, TimePoint now)
{
    const HostId lender = limit.m_holding.m_borrowed.at(loan).m_lender;
    const std::int64_t microtokens = giveBack(limit.m_holding, loan, now);
    state.m_outbox[lender].m_returned.push_back({loan, workspace, microtokens});
}

void updateDemand(WorkspaceLimit &limit, TimePoint now)
{
    const Duration elapsed = now - limit.m_demandAt;
    if (elapsed <= Duration::zero()) {
        return;
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double weight = 1.0 - std::exp(-seconds / std::chrono::duration<double>(DemandTime).count());
    limit.m_demand += weight * (static_cast<double>(limit.m_arrived) / seconds - limit.m_demand);
    limit.m_arrived = 0;
    limit.m_demandAt = now;
}

/// Gives back loans that will lapse soon and loans that are of no use.
void returnLoans(LimitsState &state, const WorkspaceId &workspace, WorkspaceLimit &limit, TimePoint now)
{
    const auto longest = std::chrono::duration_cast<Duration>(state.m_settings.m_lease * UsedPartOfLease);
    const double needed = std::ceil(limit.m_demand);
    std::vector<LoanId> ended;
    double rate = limit.m_holding.m_bucket.m_share.m_rate;
    for (const auto &[loan, borrowed] : limit.m_holding.m_borrowed) {
        const Duration age = now - borrowed.m_takenAt;
        const bool isStock = borrowed.m_share.m_rate == 0;
        const bool isSurplus = !isStock && rate - borrowed.m_share.m_rate >= needed;
        if (age >= longest || (isStock && age >= StockTime) || isSurplus) {
            ended.push_back(loan);
            rate -= borrowed.m_share.m_rate;
        }
    }
    for (const LoanId loan : ended) {
        giveBackLoan(state, workspace, limit, loan, now);
    }
}

/// Borrows rate and tokens for the demand that is seen.
void borrowAhead(LimitsState &state, const WorkspaceId &workspace, WorkspaceLimit &limit, RandomGenerator &random, TimePoint now)
{
    if (limit.m_demand < DemandWorthStock || !limit.m_pending.empty()) {
        return;
    }
    const auto needed = static_cast<std::uint32_t>(std::min(std::ceil(limit.m_demand), 1e9));
    const std::uint32_t rate = limit.m_holding.m_bucket.m_share.m_rate;
    const auto tokens = static_cast<std::uint32_t>(limit.m_holding.m_bucket.m_microtokens / MicrotokensPerToken);
    const std::uint32_t stock = stockOf(limit);
    if (rate >= needed && 2 * tokens >= stock) {
        return;
    }
    const auto lender = pickLender(limit, random, now);
    if (lender) {
        ask(state, workspace, limit, *lender, {needed - std::min(needed, rate), stock - std::min(stock, tokens)}, now);
    }
}

}

Admission admit(LimitsState &state, const WorkspaceId &workspace, AdmissionTry &attempt, RandomGenerator &random, TimePoint now)
{
    const auto found = state.m_workspaces.find(workspace);
    if (found == state.m_workspaces.end()) {
        return Admission::Refused;
    }
    WorkspaceLimit &limit = found->second;
    if (!attempt.m_since) {
        attempt.m_since = now;
        ++limit.m_arrived;
    }
    settle(limit.m_holding, now);
    Admission admission = Admission::Admitted;
    if (!takeToken(limit.m_holding.m_bucket, now)) {
        admission = waitOrRefuse(state, workspace, limit, attempt, random, now);
    }
    if (admission != Admission::Wait) {
        stopWaiting(limit, attempt);
    }
    return admission;
}

void forget(LimitsState &state, const WorkspaceId &workspace, AdmissionTry &attempt)
{
    const auto limit = state.m_workspaces.find(workspace);
    if (limit != state.m_workspaces.end()) {
        stopWaiting(limit->second, attempt);
    }
}

Duration retryAfter(const LimitsState &state, const WorkspaceId &workspace, TimePoint now)
{
    constexpr Duration LongestWait = std::chrono::seconds(60);
    const auto limit = state.m_workspaces.find(workspace);
    if (limit == state.m_workspaces.end() || limit->second.m_limit.m_rate == 0) {
        return LongestWait;
    }
    const Duration fleetWide = std::chrono::microseconds(MicrotokensPerToken / limit->second.m_limit.m_rate + 1);
    return std::min(fleetWide, std::min(LongestWait, waitForToken(limit->second.m_holding.m_bucket, now)));
}

void control(LimitsState &state, RandomGenerator &random, TimePoint now)
{
    if (state.m_controlledAt && now - *state.m_controlledAt < state.m_settings.m_controlInterval) {
        return;
    }
    state.m_controlledAt = now;
    for (auto &[workspace, limit] : state.m_workspaces) {
        settle(limit.m_holding, now);
        std::erase_if(limit.m_pending, [&](const auto &pending) { return now - pending.second.m_askedAt >= state.m_settings.m_answerTimeout; });
        updateDemand(limit, now);
        returnLoans(state, workspace, limit, now);
        if (!state.m_stopping) {
            borrowAhead(state, workspace, limit, random, now);
        }
    }
}

std::vector<WorkspaceId> onLoanAnswer(LimitsState &state, const HostId &from, const LoanAnswer &answer, TimePoint now)
{
    std::vector<WorkspaceId> touched;
    if (answer.m_incarnation != state.m_self.m_incarnation) {
        return touched;
    }
    for (const LoanGranted &granted : answer.m_granted) {
        const auto found = state.m_workspaces.find(granted.m_workspace);
        if (found == state.m_workspaces.end()) {
            continue;
        }
        WorkspaceLimit &limit = found->second;
        const auto pending = limit.m_pending.find(granted.m_loan);
        if (pending == limit.m_pending.end() || pending->second.m_lender != from) {
            continue; // A copy, or an answer that came after the wish was given up.
        }
        const TimePoint askedAt = pending->second.m_askedAt;
        limit.m_pending.erase(pending);
        limit.m_hints[from] = {granted.m_tokensLeft, now, now + granted.m_nextToken};
        if (granted.m_burst > 0) {
            const Borrowed borrowed{{granted.m_rate, granted.m_burst}, from, now, askedAt + granted.m_lease};
            borrow(limit.m_holding, granted.m_loan, borrowed, granted.m_microtokens, now);
        }
        touched.push_back(granted.m_workspace);
    }
    return touched;
}

std::vector<LoanMessage> takeOutbox(LimitsState &state)
{
    std::vector<LoanMessage> messages;
    for (auto &[host, request] : state.m_outbox) {
        messages.push_back({host, std::move(request)});
    }
    state.m_outbox.clear();
    return messages;
}

void setLimit(
    LimitsState &state, const WorkspaceId &workspace, const Share &limit, const Share &own, std::vector<HostId> lenders, TimePoint ownEndsAt, TimePoint now)
{
    auto [entry, isNew] = state.m_workspaces.try_emplace(workspace);
    WorkspaceLimit &held = entry->second;
    if (isNew) {
        held.m_demandAt = now;
        held.m_holding.m_bucket.m_refilledAt = now;
    }
    held.m_limit = limit;
    held.m_lenders = std::move(lenders);
    settle(held.m_holding, now);
    held.m_holding.m_ownEndsAt = ownEndsAt;
    if (held.m_holding.m_own != own) {
        setOwn(held.m_holding, own, now);
    }
}

void giveBackAll(LimitsState &state, TimePoint now)
{
    for (auto &[workspace, limit] : state.m_workspaces) {
        settle(limit.m_holding, now);
        while (!limit.m_holding.m_borrowed.empty()) {
            giveBackLoan(state, workspace, limit, limit.m_holding.m_borrowed.begin()->first, now);
        }
    }
}

void dropVoid(LimitsState &state)
{
    std::erase_if(state.m_workspaces, [](const auto &entry) {
        const WorkspaceLimit &limit = entry.second;
        return limit.m_limit == Share{} && isVoid(limit.m_holding) && limit.m_waiting == 0 && limit.m_pending.empty();
    });
}

}
