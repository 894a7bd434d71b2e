#include <ragwortrelay/detail/node/duties.h>
#include <ragwortrelay/workspaces/authentication.h>

namespace RagwortRelay::Node::detail {

namespace {

using Dispatch::AttemptFailure;
using Dispatch::Outcome;
using Dispatch::Problem;

constexpr std::uint16_t HttpBadRequest = 400;
constexpr std::uint16_t HttpUnauthorized = 401;
constexpr std::uint16_t HttpNotFound = 404;
constexpr std::uint16_t HttpBadGateway = 502;
constexpr std::uint16_t HttpServiceUnavailable = 503;
constexpr std::uint16_t HttpGatewayTimeout = 504;

bool mayRetry(const Node &node, const Exchange &exchange, bool wasRun, TimePoint now)
{
    const bool isSafe = exchange.m_route.m_idempotent || !wasRun;
    return isSafe && exchange.m_attempts < node.m_settings.m_attemptsAtMost && now < exchange.m_deadline;
}

Problem problemOf(const AttemptFailed &failure, bool mayHaveRun)
{
    Problem problem;
    problem.m_outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    problem.m_id = mayHaveRun ? ErrorId::RequestOutcomeUnknown : ErrorId::RequestUpstreamFailed;
    problem.m_status = failure.m_failure == AttemptFailure::TimedOut ? HttpGatewayTimeout : HttpBadGateway;
    problem.m_detail = "the backend server failed: " + Dispatch::toString(failure.m_failure);
    return problem;
}

}

void refuse(Node &node, ExchangeId id, const Problem &problem, Actions &actions)
{
    Reporting::count(node.m_counters, "requests_refused{id=\"" + toString(problem.m_id) + "\"}");
    actions.push_back(AnswerProblem{id, problem});
}

void advance(Node &node, ExchangeId id, TimePoint now, Actions &actions)
{
    Exchange &exchange = node.m_exchanges.at(id);
    node.m_waitingExchanges.erase(id);
    Progress progress = Progress::Continue;
    while (progress == Progress::Continue && exchange.m_stage != Stage::Run) {
        switch (exchange.m_stage) {
        case Stage::Admit:
            progress = admitExchange(node, id, exchange, now, actions);
            break;
        case Stage::Claim:
            progress = claimExchange(node, id, exchange, now, actions);
            break;
        case Stage::Place:
            progress = placeExchange(node, id, exchange, now, actions);
            break;
        case Stage::Run:
            break;
        }
        if (progress == Progress::Continue) {
            exchange.m_stage = static_cast<Stage>(static_cast<std::uint8_t>(exchange.m_stage) + 1);
        }
    }
    if (progress == Progress::Wait) {
        node.m_waitingExchanges.insert(id);
    } else if (progress == Progress::Ended) {
        node.m_exchanges.erase(id);
    }
}

void advanceWaiting(Node &node, TimePoint now, Actions &actions)
{
    const std::set<ExchangeId> waiting = std::move(node.m_waitingExchanges);
    node.m_waitingExchanges.clear();
    for (const ExchangeId id : waiting) {
        advance(node, id, now, actions);
    }
}

void onRequestArrived(Node &node, const RequestArrived &request, TimePoint now, Actions &actions)
{
    const ExchangeId id = request.m_exchange;
    if (node.m_table.m_version == 0) {
        return refuse(node, id, {HttpServiceUnavailable, ErrorId::RequestStopping, Outcome::NotRun, "the host has no configuration yet", {}}, actions);
    }
    const Configuration::Route *route = Configuration::findRoute(node.m_catalogue, request.m_method, request.m_path);
    if (route == nullptr) {
        return refuse(node, id, {HttpNotFound, ErrorId::RequestNoRoute, Outcome::NotRun, "no route for this method and path", {}}, actions);
    }
    Exchange exchange;
    exchange.m_request = request;
    exchange.m_route = *route;
    exchange.m_deadline = now + route->m_deadline;
    if (!route->m_open) {
        const auto key = Workspaces::parseBearer(request.m_authorization);
        const auto workspace = key ? Workspaces::authenticate(node.m_catalogue, *key) : std::nullopt;
        if (!workspace) {
            return refuse(node, id, {HttpUnauthorized, ErrorId::RequestUnauthenticated, Outcome::NotRun, "no valid workspace key", {}}, actions);
        }
        exchange.m_workspace = *workspace;
    }
    if (!route->m_idempotent && request.m_idempotencyKey.empty()) {
        return refuse(
            node, id, {HttpBadRequest, ErrorId::RequestIdempotencyKeyMissing, Outcome::NotRun, "this route needs an Idempotency-Key header", {}}, actions);
    }
    node.m_exchanges.emplace(id, std::move(exchange));
    advance(node, id, now, actions);
}

void onCallerGone(Node &node, const CallerGone &gone, Actions &actions)
{
    const auto exchange = node.m_exchanges.find(gone.m_exchange);
    if (exchange == node.m_exchanges.end()) {
        return;
    }
    const AttemptId attempt = exchange->second.m_attempt;
    leaveQueue(node, gone.m_exchange, exchange->second);
    node.m_exchanges.erase(exchange);
    node.m_waitingExchanges.erase(gone.m_exchange);
    if (finishAttempt(node, attempt)) {
        actions.push_back(CancelAttempt{attempt});
    }
}

void onAttemptAnswered(Node &node, const AttemptAnswered &answer, TimePoint now, Actions &actions)
{
    const auto running = node.m_attempts.find(answer.m_attempt);
    if (running == node.m_attempts.end()) {
        return;
    }
    const ExchangeId id = running->second.m_exchange;
    observeAnswer(node, answer, now);
    if (answer.m_notRun && now < node.m_exchanges.at(id).m_deadline) {
        const ServerId server = running->second.m_server;
        finishAttempt(node, answer.m_attempt);
        actions.push_back(CancelAttempt{answer.m_attempt});
        return placeAgainAfterShed(node, id, server, now, actions);
    }
    actions.push_back(ForwardAnswer{id, answer.m_attempt});
    if (answer.m_whole) {
        finishAttempt(node, answer.m_attempt);
        node.m_exchanges.erase(id);
    }
}

void onAttemptFailed(Node &node, const AttemptFailed &failure, TimePoint now, Actions &actions)
{
    const auto attempt = finishAttempt(node, failure.m_attempt);
    if (!attempt) {
        return;
    }
    noteFailed(node, *attempt, failure.m_failure, now);
    const ExchangeId id = attempt->m_exchange;
    Exchange &exchange = node.m_exchanges.at(id);
    if (mayRetry(node, exchange, failure.m_sent, now)) {
        exchange.m_stage = Stage::Place;
        return advance(node, id, now, actions);
    }
    node.m_exchanges.erase(id);
    refuse(node, id, problemOf(failure, failure.m_sent), actions);
}

void onAttemptEnded(Node &node, const AttemptEnded &ended, TimePoint now)
{
    const auto attempt = finishAttempt(node, ended.m_attempt);
    if (attempt) {
        if (!ended.m_whole) {
            noteFailed(node, *attempt, AttemptFailure::CutShort, now);
        }
        node.m_exchanges.erase(attempt->m_exchange);
    }
}

}
