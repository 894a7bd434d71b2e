#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/detail/host/handlers.h>
#include <ragwortrelay/http/status.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <algorithm>
#include <utility>

namespace RagwortRelay::Host::detail {

namespace {

using Dispatch::Outcome;
using Dispatch::Problem;
using Reporting::LogLine;

/// Time after which a caller may retry when the configuration of this host is missing or too old.
constexpr Duration StaleRetryAfter = std::chrono::milliseconds(200);

/// Time after which a caller may retry when this host is stopping. Another host can take the request at once.
constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(50);

/// Returns the problem of a host whose configuration is missing or too old.
Problem staleConfigurationProblem(const std::string &detail)
{
    return {Http::Status::ServiceUnavailable, ErrorId::RequestHostIsolated, Outcome::NotRun, detail, StaleRetryAfter};
}

/// Tells whether a request may still run when this host has to exit. Exchanges that were admitted before end at their deadlines.
bool mayOutliveHost(const State &state, TimePoint deadline)
{
    if (!state.m_stopRequestedAt) {
        return false;
    }
    const TimePoint exitAt = *state.m_stopRequestedAt + state.m_settings.m_stopLimit;
    return state.m_hasExited || deadline + state.m_settings.m_responseGrace >= exitAt;
}

/// Chooses a service of a route at random, by weight.
ServiceId chooseService(const Configuration::Route &route, RandomGenerator &random)
{
    double total = 0.0;
    for (const Configuration::ServiceShare &share : route.m_shares) {
        total += share.m_weight;
    }
    double remaining = randomUnit(random) * total;
    for (const Configuration::ServiceShare &share : route.m_shares) {
        remaining -= share.m_weight;
        if (remaining < 0.0) {
            return share.m_service;
        }
    }
    return route.m_shares.back().m_service;
}

/// Returns the fingerprint of a request: a hash of method, host, target, workspace and body. A repeated request has the
/// same one, whoever sends it and through whichever host.
std::uint64_t fingerprintOf(const RequestArrived &request, const WorkspaceId &workspace)
{
    constexpr char Separator = '\n';
    const std::string identity = request.m_method + Separator + request.m_metadata.m_host + Separator + request.m_target + Separator + workspace.text();
    return hashOf(identity, request.m_bodyDigest);
}

}

std::optional<Problem> authenticate(const State &state, Exchange &exchange, const std::optional<Workspaces::PresentedKey> &key, TimePoint now)
{
    if (exchange.m_route.m_allowsAnonymous) {
        return std::nullopt;
    }
    if (!mayServeWorkspaces(state, now)) {
        return staleConfigurationProblem("the host's configuration is too old to tell which keys are valid");
    }
    const auto workspace = key ? Workspaces::authenticate(*exchange.m_catalogue, *key) : std::nullopt;
    if (workspace) {
        exchange.m_workspace = *workspace;
        exchange.m_key = key->m_id;
        return std::nullopt;
    }
    if (key && !canRejectUnknown(state, now)) {
        return staleConfigurationProblem("the host's configuration is too old to tell that the key isn't valid");
    }
    return Problem{Http::Status::Unauthorized, ErrorId::RequestUnauthenticated, Outcome::NotRun, "no valid workspace key", {}};
}

tl::expected<Exchange, Problem> findRouteOf(const State &state, const RequestArrived &request, TimePoint now)
{
    if (!state.m_catalogue) {
        return tl::unexpected(staleConfigurationProblem("the host has no configuration yet"));
    }
    const Configuration::Route *route = Configuration::findRoute(*state.m_catalogue, request.m_metadata.m_host, request.m_method, request.m_metadata.m_path);
    if (route == nullptr) {
        return tl::unexpected(canRejectUnknown(state, now)
                                  ? Problem{Http::Status::NotFound, ErrorId::RequestNoRoute, Outcome::NotRun, "no route for this request", {}}
                                  : staleConfigurationProblem("the host's configuration is too old to tell that there is no route"));
    }
    Exchange exchange;
    exchange.m_request = request;
    exchange.m_catalogue = state.m_catalogue;
    exchange.m_route = *route;
    exchange.m_arrivedAt = now - request.m_waitedFor;
    exchange.m_deadline = exchange.m_arrivedAt + std::min(route->m_deadline, request.m_metadata.m_timeLeft.value_or(route->m_deadline));
    if (exchange.m_deadline <= now) {
        return tl::unexpected(Problem{
            Http::Status::ServiceUnavailable, ErrorId::RequestDeadlineExceeded, Outcome::NotRun, "the deadline was over before the request's turn", {}});
    }
    if (mayOutliveHost(state, exchange.m_deadline)) {
        return tl::unexpected(
            Problem{Http::Status::ServiceUnavailable, ErrorId::RequestHostStopping, Outcome::NotRun, "the host is stopping", StoppingRetryAfter});
    }
    return exchange;
}

namespace {

/// Creates the exchange of a request.
/// @return the exchange, or the problem if the request is refused
tl::expected<Exchange, Problem> admit(State &state, const RequestArrived &request, TimePoint now)
{
    auto exchange = findRouteOf(state, request, now);
    if (!exchange) {
        return exchange;
    }
    const auto key = request.m_metadata.m_key.empty() ? std::nullopt : state.m_source.m_readKey(request.m_metadata.m_key);
    if (const auto problem = authenticate(state, *exchange, key, now)) {
        return tl::unexpected(*problem);
    }
    exchange->m_service = chooseService(exchange->m_route, state.m_random);
    exchange->m_fingerprint = fingerprintOf(request, exchange->m_workspace);
    return exchange;
}

/// Returns the log line about a request that was refused before it was admitted.
LogLine refusalLine(const State &state, const std::string &request, const Problem &problem, TimePoint now)
{
    const auto age = configurationAge(state, now);
    return LogLine("request-refused")
        .with("request", request)
        .with("status", problem.m_status)
        .with("error", toString(problem.m_id))
        .with("outcome", Dispatch::toString(problem.m_outcome))
        .with("detail", problem.m_detail)
        .with("configuration_version", configurationVersion(state))
        .with("configuration_age_us", age ? age->count() : -1);
}

/// Returns the log line about a request that was refused after it was admitted.
LogLine refusalLine(const State &state, const Exchange &exchange, const Problem &problem, TimePoint now)
{
    return withDenied(refusalLine(state, exchange.m_request.m_metadata.m_attemptId, problem, now)
                          .with("workspace", exchange.m_workspace.text())
                          .with("service", exchange.m_service.text())
                          .with("attempts", exchange.m_sent)
                          .with("fingerprint", std::to_string(exchange.m_fingerprint))
                          .with("elapsed_us", (now - exchange.m_arrivedAt).count()),
                      exchange.m_denied);
}

/// Counts a refused request by error and outcome.
void countRefusal(State &state, const Problem &problem)
{
    Reporting::count(state.m_counters, "requests_refused{id=\"" + toString(problem.m_id) + "\",outcome=\"" + Dispatch::toString(problem.m_outcome) + "\"}");
}

}

LogLine withDenied(LogLine line, const std::optional<DeniedPlacement> &denied)
{
    if (!denied) {
        return line;
    }
    return std::move(line)
        .with("denied_by", denied->m_leader.text())
        .with("placement", static_cast<std::int64_t>(denied->m_number))
        .with("reason", Scheduling::toString(denied->m_reason));
}

void onRequestArrived(State &state, const RequestArrived &request, TimePoint now, Actions &actions)
{
    Reporting::count(state.m_counters, "requests");
    auto admitted = admit(state, request, now);
    if (!admitted) {
        countRefusal(state, admitted.error());
        log(actions, refusalLine(state, request.m_metadata.m_attemptId, admitted.error(), now));
        actions.emplace_back(SendProblem{request.m_exchange, admitted.error()});
        return;
    }
    const ExchangeId id = request.m_exchange;
    state.m_timers.emplace(admitted->m_deadline + state.m_settings.m_responseGrace, Timer{TimerKind::Deadline, id});
    state.m_exchanges.emplace(id, std::move(*admitted));
    if (!claimKey(state, id, now, actions)) {
        requestPlacement(state, id, Scheduling::AttemptKind::First, now, actions);
    }
}

void onRequestReadFailed(State &state, const RequestReadFailed &failure, TimePoint now, Actions &actions)
{
    Reporting::count(state.m_counters, "requests_refused_unread{id=\"" + toString(failure.m_problem.m_id) + "\"}");
    log(actions, refusalLine(state, std::string(), failure.m_problem, now));
}

void refuse(State &state, ExchangeId id, const Problem &problem, TimePoint now, Actions &actions)
{
    const Exchange &exchange = state.m_exchanges.at(id);
    Problem corrected = problem;
    const bool contradictsExecution =
        exchange.m_mayHaveRun && (corrected.m_outcome == Outcome::NotRun || corrected.m_status == Http::Status::ServiceUnavailable);
    if (contradictsExecution) {
        corrected.m_outcome = Outcome::Unknown;
        corrected.m_status = Http::Status::BadGateway;
        corrected.m_retryAfter.reset();
    }
    countRefusal(state, corrected);
    log(actions, refusalLine(state, exchange, corrected, now));
    if (!exchange.m_isCallerGone) {
        if (corrected.m_status >= Http::Status::InternalServerError) { // Refusals that the caller caused don't count against the service level.
            recordResponse(state, exchange.m_service, corrected.m_status, now - exchange.m_arrivedAt);
        }
        actions.emplace_back(SendProblem{id, corrected});
    }
    endExchange(state, id, now, actions);
}

void endExchange(State &state, ExchangeId id, TimePoint now, Actions &actions)
{
    const auto found = state.m_exchanges.find(id);
    const Exchange exchange = std::move(found->second);
    state.m_exchanges.erase(found);
    const bool mayHaveRun = exchange.m_mayHaveRun || !exchange.m_running.empty();
    completeClaim(state, id, exchange, {mayHaveRun ? Dispatch::ClaimState::Unknown : Dispatch::ClaimState::Released, {}}, now, actions);
    if (exchange.m_placement) {
        cancelPlacement(state, *exchange.m_placement);
    }
    for (const AttemptId attempt : exchange.m_running) {
        if (exchange.m_route.m_idempotent) {
            const bool mayHaveCrashed = !exchange.m_isAnswered && isSilent(state, state.m_attempts.at(attempt), now);
            finishAttempt(state, attempt, {Scheduling::AttemptEnd::Abandoned, mayHaveCrashed, {}}, now);
            actions.emplace_back(CancelAttempt{attempt, false});
        } else {
            leaveRunning(state, attempt, exchange.m_deadline, now, actions);
        }
    }
    if (exchange.m_failedResponse) {
        actions.emplace_back(CancelAttempt{exchange.m_failedResponse->m_attempt, true});
    }
}

void onCallerDisconnected(State &state, const CallerDisconnected &disconnected, TimePoint now, Actions &actions)
{
    const auto found = state.m_exchanges.find(disconnected.m_exchange);
    if (found == state.m_exchanges.end()) {
        return;
    }
    Reporting::count(state.m_counters, "callers_gone");
    log(actions,
        LogLine("caller-gone")
            .with("request", found->second.m_request.m_metadata.m_attemptId)
            .with("after_us", (now - found->second.m_arrivedAt).count())
            .with("attempts_running", static_cast<std::int64_t>(found->second.m_running.size())));
    if (found->second.m_claim == ClaimProgress::Held && !found->second.m_running.empty()) {
        found->second.m_isCallerGone = true; // The response is stored for the caller's next request with the same key.
        return;
    }
    endExchange(state, disconnected.m_exchange, now, actions);
}

void onDeadline(State &state, ExchangeId id, TimePoint now, Actions &actions)
{
    const auto found = state.m_exchanges.find(id);
    if (found == state.m_exchanges.end()) {
        return;
    }
    Exchange &exchange = found->second;
    const bool mayHaveRun = exchange.m_mayHaveRun || !exchange.m_running.empty();
    exchange.m_mayHaveRun = mayHaveRun;
    if (mayHaveRun) {
        return refuse(state, id, {Http::Status::GatewayTimeout, ErrorId::RequestDeadlineExceeded, Outcome::Unknown, "the deadline is over", {}}, now, actions);
    }
    refuse(state, id, {Http::Status::ServiceUnavailable, ErrorId::RequestDeadlineExceeded, Outcome::NotRun, "the deadline is over", Duration(0)}, now, actions);
}

}
