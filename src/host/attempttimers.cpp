#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

using Scheduling::AttemptEnd;
using Scheduling::AttemptKind;

Duration silenceTimeout(const State &state, const ServerId &id)
{
    constexpr int SilenceFactor = 3; // Multiple of the usual time of the service.
    constexpr Duration MinTimeout = std::chrono::milliseconds(500);
    const Scheduling::ServerRegistry &registry = state.m_scheduler.m_registry;
    const auto server = registry.m_servers.find(id);
    if (server == registry.m_servers.end()) {
        return MinTimeout;
    }
    const auto service = registry.m_services.find(server->second.m_server.m_service);
    return service == registry.m_services.end() ? MinTimeout : std::max(MinTimeout, SilenceFactor * service->second.m_usualTime);
}

void scheduleHedge(State &state, ExchangeId id, Exchange &exchange, TimePoint now)
{
    constexpr int SlowFactor = 2; // Multiple of the usual time of the service after which an attempt counts as slow.
    const auto service = state.m_scheduler.m_registry.m_services.find(exchange.m_service);
    const bool shouldHedge = exchange.m_route.m_idempotent && !exchange.m_hasHedged && exchange.m_sent + 1 < exchange.m_route.m_maxAttempts;
    if (shouldHedge && service != state.m_scheduler.m_registry.m_services.end()) {
        state.m_timers.emplace(now + SlowFactor * service->second.m_usualTime, Timer{TimerKind::Hedge, id});
    }
}

bool isSilent(const State &state, const Attempt &attempt, TimePoint now)
{
    return !attempt.m_isForwarded && now - attempt.m_startedAt >= silenceTimeout(state, attempt.m_server);
}

void onSilenceDue(State &state, AttemptId id, TimePoint now)
{
    const auto found = state.m_attempts.find(id);
    if (found == state.m_attempts.end() || found->second.m_isForwarded) {
        return;
    }
    const Attempt &attempt = found->second;
    const Dispatch::Crash crash{attempt.m_server, now, attempt.m_startedAt, Dispatch::CrashSign::NoResponse, false};
    Scheduling::recordCrash(state.m_scheduler, {attempt.m_fingerprint, {state.m_settings.m_host, attempt.m_placement}, crash});
}

void leaveRunning(State &state, AttemptId id, TimePoint deadline, TimePoint now, Actions &actions)
{
    state.m_attempts.at(id).m_exchange = 0;
    state.m_timers.emplace(std::max(now, deadline) + state.m_settings.m_leftRunningTimeout, Timer{TimerKind::LeftRunning, id});
    actions.emplace_back(CancelAttempt{id, true});
}

void onLeftRunning(State &state, AttemptId id, TimePoint now, Actions &actions)
{
    const auto running = state.m_attempts.find(id);
    if (running == state.m_attempts.end()) {
        return;
    }
    const auto attempt = finishAttempt(state, id, {AttemptEnd::TimedOut, isSilent(state, running->second, now), {}}, now);
    if (attempt) {
        logAttemptEnd(state, *attempt, AttemptEnd::TimedOut, now, actions);
        actions.emplace_back(CancelAttempt{id, false});
    }
}

void onHedgeDue(State &state, ExchangeId id, TimePoint now, Actions &actions)
{
    const auto found = state.m_exchanges.find(id);
    if (found == state.m_exchanges.end()) {
        return;
    }
    Exchange &exchange = found->second;
    const bool shouldHedge = !exchange.m_hasHedged && exchange.m_running.size() == 1 && !exchange.m_placement && canRetry(exchange, state.m_settings, now);
    if (shouldHedge) {
        exchange.m_hasHedged = true;
        requestPlacement(state, id, AttemptKind::Hedge, now, actions);
    }
}

}
