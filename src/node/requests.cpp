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
constexpr std::uint16_t HttpTooManyRequests = 429;
constexpr std::uint16_t HttpBadGateway = 502;
constexpr std::uint16_t HttpServiceUnavailable = 503;
constexpr std::uint16_t HttpGatewayTimeout = 504;

void refuse(Actions &actions, ExchangeId exchange, const Problem &problem)
{
    actions.push_back(AnswerProblem{exchange, problem});
}

/// Takes a token of the workspace; fills the problem when there is none.
bool admit(Node &node, const WorkspaceId &id, TimePoint now, Problem &problem)
{
    const auto workspace = node.m_catalogue.m_workspaces.find(id);
    if (workspace == node.m_catalogue.m_workspaces.end()) {
        problem = {HttpUnauthorized, ErrorId::RequestUnauthenticated, Outcome::NotRun, "the workspace of this key is gone", {}};
        return false;
    }
    const Limits::Share share{workspace->second.m_rate, workspace->second.m_burst};
    auto [bucket, isNew] = node.m_buckets.try_emplace(id);
    if (isNew || bucket->second.m_share != share) {
        bucket->second = {share, share.m_burst * Limits::MicrotokensPerToken, now};
    }
    if (Limits::takeToken(bucket->second, now)) {
        return true;
    }
    problem = {HttpTooManyRequests, ErrorId::RequestOverLimit, Outcome::NotRun, "the workspace is over its rate", Limits::waitForToken(bucket->second, now)};
    return false;
}

/// Starts an attempt at a server that wasn't tried yet; returns false when there is none.
bool startAttempt(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions)
{
    const auto server = Balancing::pickServer(node.m_balancer, node.m_catalogue, exchange.m_route.m_service, exchange.m_tried, node.m_random);
    if (!server || now >= exchange.m_deadline) {
        return false;
    }
    const AttemptId attempt = ++node.m_lastAttempt;
    exchange.m_attempt = attempt;
    exchange.m_tried.insert(*server);
    ++exchange.m_attempts;
    node.m_attempts.emplace(attempt, Attempt{id, *server, now});
    Balancing::startAttempt(node.m_balancer, *server);
    const std::string &address = node.m_catalogue.m_servers.at(*server).m_address;
    actions.push_back(StartAttempt{id, attempt, *server, address, exchange.m_route.m_idempotent, exchange.m_deadline - now});
    return true;
}

/// Forgets an attempt; returns it, or nothing when it is unknown.
std::optional<Attempt> finishAttempt(Node &node, AttemptId id)
{
    const auto found = node.m_attempts.find(id);
    if (found == node.m_attempts.end()) {
        return std::nullopt;
    }
    const Attempt attempt = found->second;
    node.m_attempts.erase(found);
    Balancing::endAttempt(node.m_balancer, attempt.m_server);
    return attempt;
}

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

void onRequestArrived(Node &node, const RequestArrived &request, TimePoint now, Actions &actions)
{
    const ExchangeId id = request.m_exchange;
    if (node.m_table.m_version == 0) {
        return refuse(actions, id, {HttpServiceUnavailable, ErrorId::RequestStopping, Outcome::NotRun, "the host has no configuration yet", {}});
    }
    const Configuration::Route *route = Configuration::findRoute(node.m_catalogue, request.m_method, request.m_path);
    if (route == nullptr) {
        return refuse(actions, id, {HttpNotFound, ErrorId::RequestNoRoute, Outcome::NotRun, "no route for this method and path", {}});
    }
    Exchange exchange;
    exchange.m_request = request;
    exchange.m_route = *route;
    exchange.m_deadline = now + route->m_deadline;
    if (!route->m_open) {
        const auto key = Workspaces::parseBearer(request.m_authorization);
        const auto workspace = key ? Workspaces::authenticate(node.m_catalogue, *key) : std::nullopt;
        if (!workspace) {
            return refuse(actions, id, {HttpUnauthorized, ErrorId::RequestUnauthenticated, Outcome::NotRun, "no valid workspace key", {}});
        }
        exchange.m_workspace = *workspace;
    }
    if (!route->m_idempotent && request.m_idempotencyKey.empty()) {
        return refuse(actions, id, {HttpBadRequest, ErrorId::RequestIdempotencyKeyMissing, Outcome::NotRun, "this route needs an Idempotency-Key header", {}});
    }
    Problem problem;
    if (!route->m_open && !admit(node, exchange.m_workspace, now, problem)) {
        return refuse(actions, id, problem);
    }
    Exchange &stored = node.m_exchanges.emplace(id, std::move(exchange)).first->second;
    if (!startAttempt(node, id, stored, now, actions)) {
        node.m_exchanges.erase(id);
        refuse(actions,
               id,
               {HttpServiceUnavailable, ErrorId::RequestNoServer, Outcome::NotRun, "no backend server can take the request", std::chrono::seconds(1)});
    }
}

void onCallerGone(Node &node, const CallerGone &gone, Actions &actions)
{
    const auto exchange = node.m_exchanges.find(gone.m_exchange);
    if (exchange == node.m_exchanges.end()) {
        return;
    }
    const AttemptId attempt = exchange->second.m_attempt;
    node.m_exchanges.erase(exchange);
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
    Exchange &exchange = node.m_exchanges.at(id);
    const bool mayRun = !answer.m_notRun;
    if (answer.m_notRun && mayRetry(node, exchange, mayRun, now)) {
        finishAttempt(node, answer.m_attempt);
        if (startAttempt(node, id, exchange, now, actions)) {
            actions.push_back(CancelAttempt{answer.m_attempt});
            return;
        }
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
    const ExchangeId id = attempt->m_exchange;
    Exchange &exchange = node.m_exchanges.at(id);
    if (mayRetry(node, exchange, failure.m_sent, now) && startAttempt(node, id, exchange, now, actions)) {
        return;
    }
    node.m_exchanges.erase(id);
    refuse(actions, id, problemOf(failure, failure.m_sent));
}

void onAttemptEnded(Node &node, const AttemptEnded &ended)
{
    const auto attempt = finishAttempt(node, ended.m_attempt);
    if (attempt) {
        node.m_exchanges.erase(attempt->m_exchange);
    }
}

}
