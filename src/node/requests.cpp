#include <ragwortrelay/detail/node/duties.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <algorithm>

namespace RagwortRelay::Node::detail {

namespace {

using Dispatch::AttemptFailure;
using Dispatch::ClaimState;
using Dispatch::Outcome;
using Dispatch::Problem;

constexpr std::uint16_t HttpBadRequest = 400;
constexpr std::uint16_t HttpUnauthorized = 401;
constexpr std::uint16_t HttpNotFound = 404;
constexpr std::uint16_t HttpInternalError = 500;
constexpr std::uint16_t HttpBadGateway = 502;
constexpr std::uint16_t HttpServiceUnavailable = 503;
constexpr std::uint16_t HttpGatewayTimeout = 504;

Dispatch::RetryBudget &budgetOf(Node &node, const Exchange &exchange)
{
    return node.m_retryBudgets[exchange.m_route.m_service];
}

/// Tells whether a request may be run once more, and takes the retry from the budget of its service.
/// @param mayHaveRun the attempt that has ended may have run it
bool takeRetry(Node &node, const Exchange &exchange, bool mayHaveRun, TimePoint now)
{
    const bool isSafe = exchange.m_route.m_idempotent || !mayHaveRun;
    const bool isWanted = !exchange.m_callerGone && exchange.m_attempts < node.m_settings.m_attemptsAtMost && now < exchange.m_deadline;
    if (!isSafe || !isWanted) {
        return false;
    }
    Dispatch::RetryBudget &budget = budgetOf(node, exchange);
    if (!Dispatch::allowsRetry(budget, node.m_settings.m_retries)) {
        Reporting::count(node.m_counters, "retries_refused{service=\"" + exchange.m_route.m_service.text() + "\"}");
        return false;
    }
    budget = Dispatch::afterRetry(budget);
    Reporting::count(node.m_counters, "retries{service=\"" + exchange.m_route.m_service.text() + "\"}");
    return true;
}

void noteAttempt(Node &node, const Exchange &exchange, bool shed)
{
    Dispatch::RetryBudget &budget = budgetOf(node, exchange);
    if (exchange.m_attempts == 1 && !shed) {
        budget = Dispatch::afterFirstAttempt(budget, node.m_settings.m_retries);
    }
    budget = Dispatch::afterAttempt(budget, node.m_settings.m_retries, shed);
}

/// Starts the next attempt of a request.
void placeAgain(Node &node, ExchangeId id, TimePoint now, Actions &actions)
{
    node.m_exchanges.at(id).m_stage = Stage::Place;
    advance(node, id, now, actions);
}

/// Forgets a request and settles its claim.
void endExchange(Node &node, ExchangeId id, const Dispatch::ClaimResult &result, TimePoint now, Actions &actions)
{
    const auto found = node.m_exchanges.find(id);
    leaveQueue(node, id, found->second);
    settleExchange(node, id, found->second, result, now, actions);
    Limits::forget(node.m_limits, found->second.m_workspace, found->second.m_admission);
    node.m_exchanges.erase(found);
    node.m_waitingExchanges.erase(id);
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

/// Tells whether another backend server may do better after an answer with this status.
bool isServerFailure(std::uint16_t status)
{
    return status == HttpInternalError || status == HttpBadGateway || status == HttpServiceUnavailable || status == HttpGatewayTimeout;
}

/// Takes in an answer by which the backend server shed the request unrun.
void onShed(Node &node, ExchangeId id, AttemptId attempt, TimePoint now, Actions &actions)
{
    const ServerId server = node.m_attempts.at(attempt).m_server;
    finishAttempt(node, attempt);
    actions.push_back(CancelAttempt{attempt});
    const Exchange &exchange = node.m_exchanges.at(id);
    if (!exchange.m_callerGone && now < exchange.m_deadline) {
        return placeAgainAfterShed(node, id, server, now, actions);
    }
    refuse(node, id, {HttpServiceUnavailable, ErrorId::RequestOverload, Outcome::NotRun, "the backend servers are overloaded", {}}, actions);
    endRefused(node, id, now, actions);
}

/// Takes in the answer to a request whose caller is gone, for its claim.
void onAnsweredToNobody(Node &node, ExchangeId id, const AttemptAnswered &answer, TimePoint now, Actions &actions)
{
    finishAttempt(node, answer.m_attempt);
    actions.push_back(CancelAttempt{answer.m_attempt});
    endExchange(node, id, {answer.m_whole ? ClaimState::Done : ClaimState::Unknown, answer.m_stored}, now, actions);
}

TimePoint deadlineOf(const RequestArrived &request, const Configuration::Route &route, TimePoint now)
{
    return now + std::min(route.m_deadline, request.m_callerDeadline.value_or(route.m_deadline));
}

}

void refuse(Node &node, ExchangeId id, const Problem &problem, Actions &actions)
{
    Problem exact = problem;
    const auto exchange = node.m_exchanges.find(id);
    if (exchange != node.m_exchanges.end() && exchange->second.m_mayHaveRun) {
        exact.m_outcome = Outcome::Unknown;
    }
    Reporting::count(node.m_counters, "requests_refused{id=\"" + toString(exact.m_id) + "\",outcome=\"" + Dispatch::toString(exact.m_outcome) + "\"}");
    actions.push_back(AnswerProblem{id, exact});
}

void endRefused(Node &node, ExchangeId id, TimePoint now, Actions &actions)
{
    const bool mayHaveRun = node.m_exchanges.at(id).m_mayHaveRun;
    endExchange(node, id, {mayHaveRun ? ClaimState::Unknown : ClaimState::Released, {}}, now, actions);
}

void advance(Node &node, ExchangeId id, TimePoint now, Actions &actions)
{
    Exchange &exchange = node.m_exchanges.at(id);
    node.m_waitingExchanges.erase(id);
    // A request whose claim is being decided gets its verdict at the deadline.
    const bool isLate = now >= exchange.m_deadline && exchange.m_claim != ClaimUse::Waiting && exchange.m_stage != Stage::Run;
    Progress progress = Progress::Continue;
    if (isLate) {
        refuse(node, id, {HttpGatewayTimeout, ErrorId::RequestDeadlineExceeded, Outcome::NotRun, "the deadline is over", {}}, actions);
        progress = Progress::Ended;
    }
    while (progress == Progress::Continue && exchange.m_stage != Stage::Run) {
        progress = checkWorkspace(node, id, exchange, now, actions);
        if (progress != Progress::Continue) {
            break;
        }
        switch (exchange.m_stage) {
        case Stage::Admit:
            progress = admitExchange(node, id, exchange, now, actions);
            break;
        case Stage::Claim:
            progress = claimExchange(node, id, exchange, now, actions);
            break;
        case Stage::Place:
            progress = guardSuspect(node, id, exchange, now, actions);
            if (progress == Progress::Continue) {
                progress = placeExchange(node, id, exchange, now, actions);
            }
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
        endRefused(node, id, now, actions);
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
    if (node.m_stopAskedAt && now - *node.m_stopAskedAt >= node.m_settings.m_balancerLag) {
        return refuse(node, id, {HttpServiceUnavailable, ErrorId::RequestStopping, Outcome::NotRun, "the host is stopping", {}}, actions);
    }
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
    exchange.m_deadline = deadlineOf(request, *route, now);
    if (!route->m_open) {
        const auto key = Workspaces::parseBearer(request.m_authorization);
        const auto workspace = key ? Workspaces::authenticate(node.m_catalogue, *key) : std::nullopt;
        if (!workspace) {
            return refuse(node, id, {HttpUnauthorized, ErrorId::RequestUnauthenticated, Outcome::NotRun, "no valid workspace key", {}}, actions);
        }
        exchange.m_workspace = *workspace;
        exchange.m_key = key->m_id;
    }
    if (!route->m_idempotent && request.m_idempotencyKey.empty()) {
        return refuse(
            node, id, {HttpBadRequest, ErrorId::RequestIdempotencyKeyMissing, Outcome::NotRun, "this route needs an Idempotency-Key header", {}}, actions);
    }
    node.m_exchanges.emplace(id, std::move(exchange));
    advance(node, id, now, actions);
}

void onCallerGone(Node &node, const CallerGone &gone, TimePoint now, Actions &actions)
{
    const auto found = node.m_exchanges.find(gone.m_exchange);
    if (found == node.m_exchanges.end()) {
        return;
    }
    Exchange &exchange = found->second;
    const bool runsOn = exchange.m_stage == Stage::Run && exchange.m_claim == ClaimUse::Held && !exchange.m_forwarded;
    if (runsOn) {
        exchange.m_callerGone = true; // Its answer is kept for the caller's next request with the key.
        return;
    }
    if (finishAttempt(node, exchange.m_attempt)) {
        exchange.m_mayHaveRun = true;
        actions.push_back(CancelAttempt{exchange.m_attempt});
    }
    endRefused(node, gone.m_exchange, now, actions);
}

void onAttemptAnswered(Node &node, const AttemptAnswered &answer, TimePoint now, Actions &actions)
{
    const auto running = node.m_attempts.find(answer.m_attempt);
    if (running == node.m_attempts.end()) {
        return;
    }
    const ExchangeId id = running->second.m_exchange;
    observeAnswer(node, answer, now);
    Exchange &exchange = node.m_exchanges.at(id);
    noteAttempt(node, exchange, answer.m_notRun);
    if (answer.m_notRun) {
        return onShed(node, id, answer.m_attempt, now, actions);
    }
    exchange.m_mayHaveRun = true;
    noteSuspectAnswered(node, answer.m_attempt, exchange, now, actions);
    if (exchange.m_callerGone) {
        return onAnsweredToNobody(node, id, answer, now, actions);
    }
    if (isServerFailure(answer.m_status) && takeRetry(node, exchange, true, now)) {
        finishAttempt(node, answer.m_attempt);
        actions.push_back(CancelAttempt{answer.m_attempt});
        return placeAgain(node, id, now, actions);
    }
    exchange.m_forwarded = true;
    actions.push_back(ForwardAnswer{id, answer.m_attempt});
    if (answer.m_whole) {
        finishAttempt(node, answer.m_attempt);
        endExchange(node, id, {ClaimState::Done, answer.m_stored}, now, actions);
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
    noteAttempt(node, exchange, false);
    noteAttemptFailure(node, failure, *attempt, exchange, now, actions);
    exchange.m_mayHaveRun = exchange.m_mayHaveRun || failure.m_sent;
    if (takeRetry(node, exchange, failure.m_sent, now)) {
        return placeAgain(node, id, now, actions);
    }
    refuse(node, id, problemOf(failure, exchange.m_mayHaveRun), actions);
    endRefused(node, id, now, actions);
}

void onAttemptEnded(Node &node, const AttemptEnded &ended, TimePoint now, Actions &actions)
{
    const auto attempt = finishAttempt(node, ended.m_attempt);
    if (attempt) {
        if (!ended.m_whole) {
            noteFailed(node, *attempt, AttemptFailure::CutShort, now);
        }
        endExchange(node, attempt->m_exchange, {ended.m_whole ? ClaimState::Done : ClaimState::Unknown, {}}, now, actions);
    }
}

}
