#include <ragwortrelay/detail/host/handlers.h>

#include <utility>

namespace RagwortRelay::Host::detail {

namespace {

using Dispatch::ClaimOutput;

/// Interval at which running claims are checked.
constexpr Duration ClaimInterval = std::chrono::milliseconds(20);

/// Starts the calls to the store that the claim ledger asks for, and keeps its decisions for performClaimDecisions().
void perform(State &state, ClaimOutput &&output, Actions &actions)
{
    for (Dispatch::ClaimCall &call : output.m_calls) {
        startCall(state, {CallPurpose::Claim, {}, call.m_call}, std::move(call.m_request), actions);
    }
    for (Dispatch::ClaimDecision &decision : output.m_decisions) {
        state.m_claimDecisions.push_back(std::move(decision));
    }
}

/// Places, replays or refuses a request after the decision on its claim.
void performClaimDecision(State &state, const Dispatch::ClaimDecision &decision, TimePoint now, Actions &actions)
{
    const ExchangeId id = decision.m_claimant;
    const auto found = state.m_exchanges.find(id);
    if (std::holds_alternative<Dispatch::ClaimGranted>(decision.m_outcome)) {
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
    if (const auto *response = std::get_if<Dispatch::StoredResponse>(&decision.m_outcome)) {
        actions.emplace_back(ReplayResponse{id, *response});
        return endExchange(state, id, now, actions);
    }
    refuse(state, id, std::get<Dispatch::Problem>(decision.m_outcome), now, actions);
}

}

bool claimKey(State &state, ExchangeId id, TimePoint now, Actions &actions)
{
    Exchange &exchange = state.m_exchanges.at(id);
    const RequestArrived &request = exchange.m_request;
    if (exchange.m_route.m_idempotent || request.m_metadata.m_idempotencyKey.empty()) {
        return false;
    }
    Dispatch::ClaimRequest claimRequest;
    claimRequest.m_claimant = id;
    claimRequest.m_key = Dispatch::claimKey(exchange.m_workspace, request.m_metadata.m_idempotencyKey);
    claimRequest.m_fingerprint = Dispatch::fingerprintOf(exchange.m_workspace, request.m_method, request.m_target, request.m_bodySha);
    claimRequest.m_deadline = exchange.m_deadline;
    exchange.m_claim = ClaimProgress::Waiting;
    ClaimOutput output;
    Dispatch::beginClaim(state.m_claims, claimRequest, now, output);
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

void recoverClaims(State &state, Store::Era era, TimePoint now, Actions &actions)
{
    if (!state.m_source.m_hasOperatorTable) {
        return; // Claims are made only there.
    }
    ClaimOutput output;
    Dispatch::onStoreEra(state.m_claims, era, now, output);
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
        for (const Dispatch::ClaimDecision &decision : std::exchange(state.m_claimDecisions, {})) {
            performClaimDecision(state, decision, now, actions);
        }
    }
}

TimePoint nextClaimsAt(const State &state)
{
    constexpr Duration IdleInterval = std::chrono::seconds(1); // No claim needs a check then.
    if (!state.m_source.m_hasOperatorTable) {
        return TimePoint::max();
    }
    const Dispatch::ClaimRecovery &recovery = state.m_claims.m_recovery;
    const bool isIdle = state.m_claims.m_claims.empty() && recovery.m_pending.empty() && !recovery.m_isInGrace;
    return state.m_lastTick + (isIdle ? IdleInterval : ClaimInterval);
}

}
