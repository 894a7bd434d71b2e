#include <ragwortrelay/detail/host/handlers.h>
#include <ragwortrelay/http/status.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Dispatch::AttemptFailure;
using Dispatch::Outcome;
using Dispatch::Problem;
using Reporting::LogLine;
using Scheduling::AttemptEnd;
using Scheduling::AttemptKind;
using Scheduling::PlacementReply;
using Scheduling::PlacementRequest;
using Scheduling::RefusalReason;

/// Returns the problem that a caller gets when a placement is refused.
Problem problemOf(const PlacementReply &refusal)
{
    switch (refusal.m_reason) {
    case RefusalReason::OverLimit:
        return {Http::Status::TooManyRequests, ErrorId::RequestOverLimit, Outcome::NotRun, "the workspace is over its rate", refusal.m_retryAfter};
    case RefusalReason::NoBudget:
        return {Http::Status::ServiceUnavailable, ErrorId::RequestOverload, Outcome::NotRun, "the service has no retries left", refusal.m_retryAfter};
    case RefusalReason::NoServer:
        return {Http::Status::ServiceUnavailable, ErrorId::RequestNoServer, Outcome::NotRun, "no backend server can take the request", refusal.m_retryAfter};
    case RefusalReason::Overload:
        return {Http::Status::ServiceUnavailable, ErrorId::RequestOverload, Outcome::NotRun, "no backend server has a free slot in time", refusal.m_retryAfter};
    case RefusalReason::Quarantined:
        return {
            Http::Status::ServiceUnavailable, ErrorId::RequestQuarantined, Outcome::NotRun, "the request has crashed backend servers", refusal.m_retryAfter};
    }
    return {};
}

/// Returns the end of an attempt by the response of its server.
AttemptEnd endOf(const AttemptResponded &response)
{
    if (response.m_metadata.m_notRun) {
        return response.m_status == Http::Status::Misdirected ? AttemptEnd::Misdirected : AttemptEnd::Shed;
    }
    return response.m_status >= Http::Status::InternalServerError ? AttemptEnd::Failed : AttemptEnd::Succeeded;
}

/// Returns the end of an attempt that failed without a response.
AttemptEnd endOf(const AttemptFailed &failure)
{
    switch (failure.m_failure) {
    case AttemptFailure::ConnectRefused:
        return AttemptEnd::NotListening;
    case AttemptFailure::ConnectFailed:
        return AttemptEnd::Unreachable;
    case AttemptFailure::TimedOut:
        return AttemptEnd::TimedOut;
    case AttemptFailure::Broken:
        return AttemptEnd::Broken;
    case AttemptFailure::Truncated:
    case AttemptFailure::Malformed:
        return AttemptEnd::MalformedResponse;
    case AttemptFailure::Cancelled:
        return AttemptEnd::Abandoned;
    }
    return AttemptEnd::Abandoned;
}

/// Tells whether the server may have ended while it executed the request of a failed attempt.
bool mayHaveCrashed(const AttemptFailed &failure)
{
    switch (failure.m_failure) {
    case AttemptFailure::Broken:
    case AttemptFailure::Truncated:
    case AttemptFailure::TimedOut:
        return failure.m_sent;
    case AttemptFailure::ConnectRefused:
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::Cancelled:
    case AttemptFailure::Malformed:
        return false;
    }
    return false;
}

/// Records a response in the service level and completes the claim of its request. A response that is still being received is recorded when it ends
/// (onAttemptEnded()).
void settleForwardedResponse(State &state, ExchangeId id, Exchange &exchange, const RetainedResponse &response, TimePoint now, Actions &actions)
{
    const auto running = state.m_attempts.find(response.m_attempt);
    if (running == state.m_attempts.end()) {
        recordResponse(state, exchange.m_service, response.m_status, now - exchange.m_arrivedAt);
        completeClaim(state, id, exchange, {Dispatch::ClaimState::Done, response.m_stored}, now, actions);
    } else {
        running->second.m_service = exchange.m_service;
        running->second.m_arrivedAt = exchange.m_arrivedAt;
        running->second.m_claim = exchange.m_claim == ClaimProgress::Held ? std::optional<Dispatch::ClaimantId>(id) : std::nullopt;
    }
    exchange.m_claim = ClaimProgress::None;
}

/// Forwards a response to the caller and removes the exchange, which ends its other attempts.
void forward(State &state, ExchangeId id, const RetainedResponse &response, TimePoint now, Actions &actions)
{
    Exchange &exchange = state.m_exchanges.at(id);
    const AttemptId attempt = response.m_attempt;
    exchange.m_running.erase(attempt);
    if (exchange.m_failedResponse && exchange.m_failedResponse->m_attempt == attempt) {
        exchange.m_failedResponse.reset();
    }
    exchange.m_isAnswered = true;
    settleForwardedResponse(state, id, exchange, response, now, actions);
    Reporting::count(state.m_counters, "requests_answered");
    log(actions,
        withDenied(LogLine("request-answered")
                       .with("request", exchange.m_request.m_metadata.m_attemptId)
                       .with("route", exchange.m_route.m_name)
                       .with("service", exchange.m_service.text())
                       .with("status", response.m_status)
                       .with("attempts", exchange.m_sent)
                       .with("elapsed_us", (now - exchange.m_arrivedAt).count()),
                   exchange.m_denied));
    if (exchange.m_isCallerGone) {
        actions.emplace_back(CancelAttempt{attempt, true});
    } else {
        actions.emplace_back(ForwardResponse{id, attempt});
    }
    endExchange(state, id, now, actions);
}

/// Ends a request for which no further attempt is made, unless another attempt is still running. The caller gets the failed response that a server sent
/// before, if there is one, else the problem.
void giveUp(State &state, ExchangeId id, const Problem &problem, TimePoint now, Actions &actions)
{
    const Exchange &exchange = state.m_exchanges.at(id);
    if (!exchange.m_running.empty()) {
        return; // Another attempt may still get a response.
    }
    if (exchange.m_failedResponse) {
        const RetainedResponse retained = *exchange.m_failedResponse;
        return forward(state, id, retained, now, actions);
    }
    refuse(state, id, problem, now, actions);
}

/// Requests another placement if one more attempt may be made, else gives up.
void retryOrGiveUp(State &state, ExchangeId id, AttemptKind purpose, const Problem &problem, TimePoint now, Actions &actions)
{
    if (canRetry(state.m_exchanges.at(id), state.m_settings, now)) {
        return requestPlacement(state, id, purpose, now, actions);
    }
    giveUp(state, id, problem, now, actions);
}

/// Returns the id that the caller gave to the request of an attempt; empty if the request has ended.
std::string requestOf(const State &state, const Attempt &attempt)
{
    const auto exchange = state.m_exchanges.find(attempt.m_exchange);
    return exchange == state.m_exchanges.end() ? std::string() : exchange->second.m_request.m_metadata.m_attemptId;
}

/// Returns the problem of a request whose server is leaving or paused.
Problem unusableServerProblem()
{
    return {Http::Status::ServiceUnavailable, ErrorId::RequestNoServer, Outcome::NotRun, "the backend server is leaving or wants a pause", {}};
}

/// Checks whether an attempt may start. The configuration may have changed, or become too old, while the request was waiting.
/// @return the problem if it may not, else nothing
std::optional<Problem> checkBeforeStart(const State &state, const Exchange &exchange, TimePoint now)
{
    if (exchange.m_route.m_allowsAnonymous) {
        return std::nullopt;
    }
    if (!mayServeWorkspaces(state, now)) {
        return Problem{Http::Status::ServiceUnavailable, ErrorId::RequestHostIsolated, Outcome::NotRun, "the host's configuration is too old", {}};
    }
    if (!Workspaces::isValid(*state.m_catalogue, exchange.m_key, exchange.m_workspace)) {
        return Problem{Http::Status::Unauthorized, ErrorId::RequestUnauthenticated, Outcome::NotRun, "the workspace key was withdrawn", {}};
    }
    return std::nullopt;
}

/// Reports that a granted placement isn't used, which frees the slot of its server.
void returnUnusedPlacement(State &state, const HostId &leader, const PlacementReply &granted, TimePoint now)
{
    Scheduling::AttemptReport report = Scheduling::unusedPlacement(granted.m_number, *granted.m_server);
    report.m_leavingIncarnation = leavingIncarnation(state, *granted.m_server);
    reportAttemptEnd(state, leader, report, now);
}

/// Starts an attempt at the granted server, unless the configuration no longer allows the request or this host knows that the server takes none.
void startAttempt(State &state, ExchangeId id, const HostId &leader, AttemptKind purpose, const PlacementReply &granted, TimePoint now, Actions &actions)
{
    Exchange &exchange = state.m_exchanges.at(id);
    const ServerId &server = *granted.m_server;
    if (const auto problem = checkBeforeStart(state, exchange, now)) {
        returnUnusedPlacement(state, leader, granted, now);
        return giveUp(state, id, *problem, now, actions);
    }
    exchange.m_tried.push_back(server);
    const auto registered = state.m_scheduler.m_registry.m_servers.find(server);
    const bool isRegistered = registered != state.m_scheduler.m_registry.m_servers.end();
    if (!mayUseServer(state, server, now)) {
        returnUnusedPlacement(state, leader, granted, now);
        ++exchange.m_unsent;
        return retryOrGiveUp(state, id, AttemptKind::Replacement, unusableServerProblem(), now, actions);
    }
    Scheduling::recordStart(state.m_pauses, server, now);
    if (!leader.isEmpty() && isRegistered) {
        PlacementRequest placement;
        placement.m_number = granted.m_number;
        placement.m_purpose = purpose;
        placement.m_idempotent = exchange.m_route.m_idempotent;
        Scheduling::startAttempt(state.m_scheduler.m_registry, state.m_settings.m_scheduling.m_selection, placement, server, ownRequester(state), now);
    }
    const AttemptId attempt = ++state.m_lastAttempt;
    const auto incarnation = isRegistered ? std::optional(registered->second.m_server.m_incarnation) : std::nullopt;
    state.m_attempts.emplace(attempt, Attempt{id, granted.m_number, leader, server, now, exchange.m_fingerprint, incarnation});
    exchange.m_running.insert(attempt);
    state.m_timers.emplace(now + silenceTimeout(state, server), Timer{TimerKind::Silence, attempt});
    scheduleHedge(state, id, exchange, now);
    ++exchange.m_sent;
    log(actions,
        LogLine("attempt-started")
            .with("request", exchange.m_request.m_metadata.m_attemptId)
            .with("server", server.text())
            .with("leader", leader.text())
            .with("placement", static_cast<std::int64_t>(granted.m_number))
            .with("service", exchange.m_service.text())
            .with("workspace", exchange.m_workspace.text())
            .with("attempt", exchange.m_sent)
            .with("time_left_us", (exchange.m_deadline - now).count())
            .with("configuration_version", configurationVersion(state)));
    const ConnectionUse use = exchange.m_route.m_idempotent ? ConnectionUse::Any : ConnectionUse::RecentlyUsed;
    const std::string address = leader.isEmpty() ? registered->second.m_server.m_address : granted.m_address;
    actions.emplace_back(StartAttempt{id, attempt, server, address, exchange.m_workspace, use, exchange.m_deadline - now});
}

/// Returns the problem that a caller gets when an attempt failed.
Problem problemOf(const AttemptFailed &failure, bool mayHaveRun)
{
    Problem problem;
    problem.m_outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    problem.m_id = mayHaveRun ? ErrorId::RequestOutcomeUnknown : ErrorId::RequestUpstreamFailed;
    const bool timedOut = failure.m_failure == AttemptFailure::TimedOut;
    problem.m_status = mayHaveRun ? (timedOut ? Http::Status::GatewayTimeout : Http::Status::BadGateway) : Http::Status::ServiceUnavailable;
    problem.m_detail = "the backend server failed: " + Dispatch::toString(failure.m_failure);
    return problem;
}

}

bool canRetry(const Exchange &exchange, const HostSettings &settings, TimePoint now)
{
    return exchange.m_sent < exchange.m_route.m_maxAttempts && exchange.m_unsent < settings.m_maxUnsentAttempts && now < exchange.m_deadline;
}

void logAttemptEnd(const State &state, const Attempt &attempt, AttemptEnd end, TimePoint now, Actions &actions)
{
    log(actions,
        LogLine("attempt-ended")
            .with("request", requestOf(state, attempt))
            .with("server", attempt.m_server.text())
            .with("end", Scheduling::toString(end))
            .with("fingerprint", std::to_string(attempt.m_fingerprint))
            .with("elapsed_us", (now - attempt.m_startedAt).count()));
}

std::optional<Attempt> finishAttempt(State &state, AttemptId id, const AttemptOutcome &outcome, TimePoint now)
{
    const auto found = state.m_attempts.find(id);
    if (found == state.m_attempts.end()) {
        return std::nullopt;
    }
    const Attempt attempt = found->second;
    state.m_attempts.erase(found);
    Scheduling::AttemptReport report;
    report.m_number = attempt.m_placement;
    report.m_server = attempt.m_server;
    report.m_end = outcome.m_end;
    report.m_elapsed = now - attempt.m_startedAt;
    if (outcome.m_mayHaveCrashed || outcome.m_end == AttemptEnd::Succeeded) {
        report.m_fingerprint = attempt.m_fingerprint;
    }
    if (outcome.m_load) {
        report.m_running = outcome.m_load->m_running;
        report.m_waiting = outcome.m_load->m_waiting;
        report.m_hasLoad = true;
    }
    report.m_leavingIncarnation = leavingIncarnation(state, attempt.m_server);
    reportAttemptEnd(state, attempt.m_leader, report, now);
    Reporting::count(state.m_counters, "attempts{end=\"" + Scheduling::toString(outcome.m_end) + "\"}");
    return attempt;
}

void onPlacementReply(State &state, const HostId &leader, const PlacementReply &reply, TimePoint now, Actions &actions)
{
    const auto pending = state.m_placements.find(reply.m_number);
    if (pending == state.m_placements.end() || pending->second.m_leader != leader) {
        recordLateReply(state, leader, reply, now);
        const bool isUsed = std::ranges::any_of(state.m_attempts, [&](const auto &entry) { return entry.second.m_placement == reply.m_number; });
        if (reply.m_server && !isUsed) {
            returnUnusedPlacement(state, leader, reply, now); // This host has decided the placement without the leader in the meantime.
            Reporting::count(state.m_counters, "draws_unused");
        }
        return;
    }
    if (!leader.isEmpty()) {
        recordLeaderReply(state, pending->second, now);
    }
    const ExchangeId id = pending->second.m_exchange;
    const AttemptKind purpose = pending->second.m_placement.m_purpose;
    state.m_placements.erase(pending);
    state.m_exchanges.at(id).m_placement.reset();
    recordLimitOutcome(state, state.m_exchanges.at(id).m_workspace, purpose, leader, reply, now);
    if (reply.m_server) {
        return startAttempt(state, id, leader, purpose, reply, now, actions);
    }
    Exchange &exchange = state.m_exchanges.at(id);
    exchange.m_denied = {leader.isEmpty() ? state.m_settings.m_host : leader, reply.m_number, reply.m_reason};
    giveUp(state, id, problemOf(reply), now, actions);
}

void refuseThrottled(State &state, ExchangeId id, const ThrottledRequest &throttled, TimePoint now, Actions &actions)
{
    state.m_exchanges.at(id).m_denied = throttled.m_denied;
    giveUp(state, id, problemOf(PlacementReply{0, {}, {}, RefusalReason::OverLimit, throttled.m_retryAfter}), now, actions);
}

void onAttemptResponded(State &state, const AttemptResponded &response, TimePoint now, Actions &actions)
{
    const auto running = state.m_attempts.find(response.m_attempt);
    if (running == state.m_attempts.end()) {
        return;
    }
    const AttemptEnd end = endOf(response);
    logAttemptEnd(state, running->second, end, now, actions);
    const ExchangeId id = running->second.m_exchange;
    applyNotices(state, running->second, response.m_metadata, now, actions);
    if (response.m_isComplete || end != AttemptEnd::Succeeded) {
        finishAttempt(state, response.m_attempt, {end, false, response.m_metadata.m_loadReport}, now);
    } else {
        running->second.m_isForwarded = true;
        running->second.m_exchange = 0;
    }
    const auto found = state.m_exchanges.find(id);
    if (found == state.m_exchanges.end()) {
        actions.emplace_back(CancelAttempt{response.m_attempt, true});
        return;
    }
    Exchange &exchange = found->second;
    exchange.m_running.erase(response.m_attempt);
    if (response.m_metadata.m_notRun) {
        actions.emplace_back(CancelAttempt{response.m_attempt, true});
        const Problem problem{Http::Status::ServiceUnavailable, ErrorId::RequestOverload, Outcome::NotRun, "the backend servers are overloaded", {}};
        return retryOrGiveUp(state, id, AttemptKind::Retry, problem, now, actions);
    }
    exchange.m_mayHaveRun = true;
    const bool shouldRetry = end == AttemptEnd::Failed && exchange.m_route.m_idempotent && !exchange.m_failedResponse && response.m_isComplete;
    if (shouldRetry && (canRetry(exchange, state.m_settings, now) || !exchange.m_running.empty())) {
        exchange.m_failedResponse = RetainedResponse{response.m_attempt, response.m_status, response.m_stored};
        return exchange.m_running.empty() ? requestPlacement(state, id, AttemptKind::Retry, now, actions) : void();
    }
    forward(state, id, {response.m_attempt, response.m_status, response.m_stored}, now, actions);
}

void onAttemptFailed(State &state, const AttemptFailed &failure, TimePoint now, Actions &actions)
{
    const AttemptEnd end = endOf(failure);
    const auto running = state.m_attempts.find(failure.m_attempt);
    if (running == state.m_attempts.end()) {
        return;
    }
    logAttemptEnd(state, running->second, end, now, actions);
    const auto attempt = finishAttempt(state, failure.m_attempt, {end, mayHaveCrashed(failure), {}}, now);
    const auto found = state.m_exchanges.find(attempt->m_exchange);
    if (found == state.m_exchanges.end()) {
        return;
    }
    Exchange &exchange = found->second;
    exchange.m_running.erase(failure.m_attempt);
    if (!failure.m_sent) {
        --exchange.m_sent;
        ++exchange.m_unsent;
        return retryOrGiveUp(state, attempt->m_exchange, AttemptKind::Replacement, problemOf(failure, exchange.m_mayHaveRun), now, actions);
    }
    exchange.m_mayHaveRun = true;
    const Problem problem = problemOf(failure, true);
    if (!exchange.m_route.m_idempotent) {
        return giveUp(state, attempt->m_exchange, problem, now, actions);
    }
    retryOrGiveUp(state, attempt->m_exchange, AttemptKind::Retry, problem, now, actions);
}

void onAttemptEnded(State &state, const AttemptEnded &ended, TimePoint now, Actions &actions)
{
    const AttemptEnd failure = ended.m_callerAborted ? AttemptEnd::Abandoned : AttemptEnd::MalformedResponse;
    const AttemptEnd end = ended.m_isComplete ? AttemptEnd::Succeeded : failure;
    const auto attempt = finishAttempt(state, ended.m_attempt, {end, end == AttemptEnd::MalformedResponse, {}}, now);
    if (!attempt) {
        return;
    }
    logAttemptEnd(state, *attempt, end, now, actions);
    if (attempt->m_isForwarded && !ended.m_callerAborted) {
        recordResponse(state, attempt->m_service, ended.m_isComplete ? Http::Status::Ok : Http::Status::BadGateway, now - attempt->m_arrivedAt);
    }
    if (attempt->m_claim) {
        settleHeldClaim(state, *attempt->m_claim, {ended.m_isComplete ? Dispatch::ClaimState::Done : Dispatch::ClaimState::Unknown, {}}, now, actions);
    }
}

void onResponseSkipped(State &state, const ResponseSkipped &skipped, Actions &actions)
{
    const auto running = state.m_attempts.find(skipped.m_attempt);
    if (running == state.m_attempts.end()) {
        return;
    }
    Reporting::count(state.m_counters, "responses_skipped");
    log(actions,
        LogLine("response-skipped", Reporting::Severity::Warning)
            .with("request", requestOf(state, running->second))
            .with("server", running->second.m_server.text())
            .with("status", skipped.m_status)
            .with("other_request", skipped.m_attemptId)
            .with("other_attempt", skipped.m_hostAttempt));
}

}
