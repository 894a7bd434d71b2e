#include <ragwortrelay/detail/host/handlers.h>

#include <utility>

namespace RagwortRelay::Host::detail {

namespace {

using Dispatch::ClaimOutput;

/// Looks at claims that run are as often as this; nobody looks while there are none.
constexpr Duration ClaimInterval = std::chrono::milliseconds(20);

void perform(State &state, ClaimOutput &&output, Actions &actions)
{
    for (Dispatch::ClaimCall &call : output.m_calls) {
        startCall(state, {CallPurpose::Claim, {}, call.m_call}, std::move(call.m_request), actions);
    }
    for (Dispatch::ClaimDecision &verdict : output.m_decisions) {
        state.m_claimDecisions.push_back(std::move(verdict));
    }
}

void performVerdict(State &state, const Dispatch::ClaimDecision &verdict, TimePoint now, Actions &actions)
{
    const ExchangeId id = verdict.m_claimant;
    const auto found = state.m_exchanges.find(id);
    if (std::holds_alternative<Dispatch::ClaimGranted>(verdict.m_response)) {
        if (found == state.m_exchanges.end()) {
            return settleHeldClaim(state, id, {Dispatch::ClaimState::Released, {}}, now, actions);
        }
        found->second.m_claim = ClaimProgress::Held;
        return requestPlacement(state, id, Scheduling::AttemptKind::First, now, actions);
    }
    if (found == state.m_exchanges.end()) {
        return;
    }
    found->second.m_claim = ClaimProgress::None;
    if (const auto *response = std::get_if<Dispatch::StoredResponse>(&verdict.m_response)) {
        actions.emplace_back(ReplayResponse{id, *response});
        return endExchange(state, id, now, actions);
    }
    refuse(state, id, std::get<Dispatch::Problem>(verdict.m_response), now, actions);
}

}

bool claimKey(State &state, ExchangeId id, TimePoint now, Actions &actions)
{
    Exchange &exchange = state.m_exchanges.at(id);
    const RequestArrived &request = exchange.m_request;
    if (exchange.m_route.m_idempotent || request.m_metadata.m_idempotencyKey.empty()) {
        return false;
    }
    Dispatch::ClaimRequest wish;
    wish.m_claimant = id;
    wish.m_key = Dispatch::claimKey(exchange.m_workspace, request.m_metadata.m_idempotencyKey);
    wish.m_fingerprint = Dispatch::fingerprintOf(exchange.m_workspace, request.m_method, request.m_target, request.m_bodySha);
    wish.m_deadline = exchange.m_deadline;
    exchange.m_claim = ClaimProgress::Waiting;
    ClaimOutput output;
    Dispatch::beginClaim(state.m_claims, wish, now, output);
    perform(state, std::move(output), actions);
    return true;
}

void completeClaim(State &state, ExchangeId id, const Exchange &exchange, const Dispatch::ClaimResult &result, TimePoint now, Actions &actions)
{
    if (exchange.m_claim == ClaimProgress::Held) {
        return settleHeldClaim(state, id, result, now, actions);
    }
    if (exchange.m_claim == ClaimProgress::Waiting) {
        ClaimOutput output;
        Dispatch::abandonClaim(state.m_claims, id, now, output);
        perform(state, std::move(output), actions);
    }
}

void settleHeldClaim(State &state, Dispatch::ClaimantId claimant, const Dispatch::ClaimResult &result, TimePoint now, Actions &actions)
{
    ClaimOutput output;
    Dispatch::completeClaim(state.m_claims, claimant, result, now, output);
    perform(state, std::move(output), actions);
}

void onClaimCallCompleted(State &state, Dispatch::ClaimCallId call, const Store::Result &result, TimePoint now, Actions &actions)
{
    ClaimOutput output;
    Dispatch::onClaimCallCompleted(state.m_claims, call, result, now, output);
    perform(state, std::move(output), actions);
}

void tickClaims(State &state, TimePoint now, Actions &actions)
{
    if (!state.m_source.m_hasOperatorTable) {
        return;
    }
    ClaimOutput output;
    Dispatch::tickClaims(state.m_claims, state.m_random, now, output);
    perform(state, std::move(output), actions);
    for (const auto &[name, amount] : std::exchange(state.m_claims.m_counters, {})) {
        Reporting::count(state.m_counters, name, amount);
    }
}

void performClaimDecisions(State &state, TimePoint now, Actions &actions)
{
    while (!state.m_claimDecisions.empty()) {
        for (const Dispatch::ClaimDecision &verdict : std::exchange(state.m_claimDecisions, {})) {
            performVerdict(state, verdict, now, actions);
        }
    }
}

TimePoint nextClaimsAt(const State &state)
{
    constexpr Duration IdleInterval = std::chrono::seconds(1);
    if (!state.m_source.m_hasOperatorTable) {
        return TimePoint::max();
    }
    return state.m_lastTick + (state.m_claims.m_claims.empty() ? IdleInterval : ClaimInterval);
}

}
