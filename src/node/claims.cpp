#include <ragwortrelay/detail/node/duties.h>

#include <utility>

namespace RagwortRelay::Node::detail {

namespace {

void perform(Node &node, Dispatch::ClaimOutput &&output, Actions &actions)
{
    for (const Dispatch::ClaimCall &call : output.m_calls) {
        PendingCall pending;
        pending.m_purpose = PlatformPurpose::Claim;
        pending.m_claimCall = call.m_call;
        callPlatform(node, call.m_request, pending, actions);
    }
    for (Dispatch::ClaimVerdict &verdict : output.m_verdicts) {
        node.m_claimVerdicts.push_back(std::move(verdict));
    }
}

void performVerdict(Node &node, const Dispatch::ClaimVerdict &verdict, TimePoint now, Actions &actions)
{
    const ExchangeId id = verdict.m_claimant;
    const auto found = node.m_exchanges.find(id);
    if (std::holds_alternative<Dispatch::ClaimGranted>(verdict.m_answer)) {
        if (found == node.m_exchanges.end()) {
            Dispatch::ClaimOutput output;
            Dispatch::settleClaim(node.m_claims, id, {Dispatch::ClaimState::Released, {}}, now, output);
            return perform(node, std::move(output), actions);
        }
        found->second.m_claim = ClaimUse::Held;
        return advance(node, id, now, actions);
    }
    if (found == node.m_exchanges.end()) {
        return;
    }
    if (const auto *answer = std::get_if<Dispatch::StoredAnswer>(&verdict.m_answer)) {
        actions.push_back(ReplayAnswer{id, *answer});
    } else {
        refuse(node, id, std::get<Dispatch::Problem>(verdict.m_answer), actions);
    }
    node.m_exchanges.erase(id);
    node.m_waitingExchanges.erase(id);
}

}

Progress claimExchange(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions)
{
    if (exchange.m_route.m_idempotent || exchange.m_claim == ClaimUse::Held) {
        return Progress::Continue;
    }
    if (exchange.m_claim == ClaimUse::None) {
        const RequestArrived &request = exchange.m_request;
        Dispatch::ClaimRequest wish;
        wish.m_claimant = id;
        wish.m_key = Dispatch::claimKey(exchange.m_workspace, request.m_idempotencyKey);
        wish.m_fingerprint = Dispatch::fingerprintOf(exchange.m_workspace, request.m_method, request.m_target, request.m_bodyDigest);
        wish.m_deadline = exchange.m_deadline;
        exchange.m_claim = ClaimUse::Waiting;
        Dispatch::ClaimOutput output;
        Dispatch::beginClaim(node.m_claims, wish, now, output);
        perform(node, std::move(output), actions);
    }
    return Progress::Wait;
}

void settleExchange(Node &node, ExchangeId id, const Exchange &exchange, const Dispatch::ClaimResult &result, TimePoint now, Actions &actions)
{
    Dispatch::ClaimOutput output;
    if (exchange.m_claim == ClaimUse::Held) {
        Dispatch::settleClaim(node.m_claims, id, result, now, output);
    } else if (exchange.m_claim == ClaimUse::Waiting) {
        Dispatch::abandonClaim(node.m_claims, id, now, output);
    }
    perform(node, std::move(output), actions);
}

void onClaimAnswered(Node &node, const PendingCall &call, const Platform::Result &result, TimePoint now, Actions &actions)
{
    Dispatch::ClaimOutput output;
    Dispatch::onClaimCallAnswered(node.m_claims, call.m_claimCall, result, now, output);
    perform(node, std::move(output), actions);
}

void tickClaims(Node &node, TimePoint now, Actions &actions)
{
    Dispatch::ClaimOutput output;
    Dispatch::tickClaims(node.m_claims, node.m_random, now, output);
    perform(node, std::move(output), actions);
    for (const auto &[name, amount] : std::exchange(node.m_claims.m_counters, {})) {
        Reporting::count(node.m_counters, name, amount);
    }
}

void performClaimVerdicts(Node &node, TimePoint now, Actions &actions)
{
    while (!node.m_claimVerdicts.empty()) {
        for (const Dispatch::ClaimVerdict &verdict : std::exchange(node.m_claimVerdicts, {})) {
            performVerdict(node, verdict, now, actions);
        }
    }
}

}
