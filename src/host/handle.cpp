#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>
#include <type_traits>

namespace RagwortRelay::Host {

namespace detail {

void log(Actions &actions, Reporting::LogLine line)
{
    actions.emplace_back(Log{std::move(line)});
}

namespace {

using Reporting::LogLine;

/// Reports and logs the readiness of the host when it has changed.
void setReadiness(State &state, bool ready, TimePoint now, Actions &actions)
{
    if (state.m_ready == ready) {
        return;
    }
    state.m_ready = ready;
    actions.emplace_back(SetReadiness{ready});
    const auto age = configurationAge(state, now);
    log(actions, LogLine("readiness-changed").with("ready", ready ? "yes" : "no").with("configuration_age_us", age ? age->count() : -1));
}

/// Applies new settings, except for the name, the failure domain and the peer address of the host, which are fixed for the life of the process.
void onSettingsChanged(State &state, const SettingsChanged &changed, Actions &actions)
{
    HostSettings settings = changed.m_settings;
    settings.m_host = state.m_settings.m_host;
    settings.m_domain = state.m_settings.m_domain;
    settings.m_peerAddress = state.m_settings.m_peerAddress;
    log(actions, LogLine("settings-read").with("changed", settings == state.m_settings ? "no" : "yes"));
    state.m_settings = settings;
    state.m_leadership.m_settings = settings.m_leadership;
    state.m_scheduler.m_settings = settings.m_scheduling;
}

void onStopRequested(State &state, TimePoint now, Actions &actions)
{
    if (!state.m_stopRequestedAt) {
        state.m_stopRequestedAt = now;
        log(actions, LogLine("stop-asked").with("requests", static_cast<std::int64_t>(state.m_exchanges.size())));
    }
}

/// Tells whether this host still has to finish work for callers: requests, responses that are being received, or claims to settle.
bool hasWork(const State &state)
{
    const bool forwardsResponse = std::ranges::any_of(state.m_attempts, [](const auto &entry) { return entry.second.m_isForwarded; });
    return !state.m_exchanges.empty() || forwardsResponse || !state.m_claims.m_claims.empty();
}

/// Drains callers at once, serves the requests that still arrive, and exits when no work is left or when the time limit for stopping has passed.
void stopWhenIdle(State &state, TimePoint now, Actions &actions)
{
    if (!state.m_stopRequestedAt || state.m_hasExited) {
        return;
    }
    if (!state.m_isDrainingCallers) {
        state.m_isDrainingCallers = true;
        actions.emplace_back(DrainCallers{});
    }
    const Duration stoppingFor = now - *state.m_stopRequestedAt;
    const bool hasBalancerNoticed = stoppingFor >= state.m_settings.m_balancerLag;
    if (hasBalancerNoticed && !state.m_hasClosedIdleCallers) {
        state.m_hasClosedIdleCallers = true;
        actions.emplace_back(CloseIdleCallers{});
    }
    const Duration timeLeft = state.m_settings.m_stopLimit - stoppingFor;
    if ((hasBalancerNoticed && !hasWork(state)) || timeLeft <= Duration(0)) {
        state.m_hasExited = true;
        log(actions, LogLine("stopped").with("requests_cut", static_cast<std::int64_t>(state.m_exchanges.size())));
        actions.emplace_back(Exit{timeLeft});
    }
}

/// Tells whether a timer is so late that the process must have been suspended. Responses that came in the meantime are still unread then.
bool hasBeenSuspended(TimePoint dueAt, TimePoint now)
{
    constexpr Duration MinSuspension = std::chrono::milliseconds(500);
    return now - dueAt >= MinSuspension;
}

/// Returns how long a deadline that is due waits for responses that have arrived but are still unread. The event loop reads what is there before it handles a
/// timer that is armed now; after a wait of some length there may be more than it reads at once.
Duration readingTime(const State &state, TimePoint dueAt, TimePoint now)
{
    constexpr Duration MinDelay = std::chrono::milliseconds(10); // The event loop of a host in ordinary operation is late by less.
    constexpr Duration OneRound = std::chrono::milliseconds(1);
    return now - dueAt >= MinDelay ? state.m_settings.m_responseGrace : OneRound;
}

/// Handles all timers that are due. A deadline waits once until the responses that are there have been read, and again after each suspension.
void processDueTimers(State &state, TimePoint now, Actions &actions)
{
    while (!state.m_timers.empty() && state.m_timers.begin()->first <= now) {
        const auto [dueAt, due] = *state.m_timers.begin();
        state.m_timers.erase(state.m_timers.begin());
        const bool isSuspendedAgain = due.m_kind == TimerKind::UnansweredDeadline && hasBeenSuspended(dueAt, now);
        if (due.m_kind == TimerKind::Deadline || isSuspendedAgain) {
            state.m_timers.emplace(now + readingTime(state, dueAt, now), Timer{TimerKind::UnansweredDeadline, due.m_subject});
            continue;
        }
        switch (due.m_kind) {
        case TimerKind::Deadline:
        case TimerKind::UnansweredDeadline:
            onDeadline(state, due.m_subject, now, actions);
            break;
        case TimerKind::Hedge:
            onHedgeDue(state, due.m_subject, now, actions);
            break;
        case TimerKind::PlacementRequest:
            onPlacementDue(state, due.m_subject, now, actions);
            break;
        case TimerKind::Silence:
            onSilenceDue(state, due.m_subject, now);
            break;
        case TimerKind::LeftRunning:
            onLeftRunning(state, due.m_subject, now, actions);
            break;
        }
    }
}

/// Sends the collected messages, one datagram for each host.
void flushOutbox(State &state, Actions &actions)
{
    for (auto &[address, messages] : std::exchange(state.m_outbox, {})) {
        actions.emplace_back(SendDatagram{address, {state.m_settings.m_host, state.m_incarnation, std::move(messages)}});
    }
}

/// Applies an event to the state. What is due at this time is done by handle().
void applyEvent(State &state, const Event &event, TimePoint now, Actions &actions)
{
    std::visit(
        [&](const auto &typed) {
            using Type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Type, RequestArrived>) {
                detail::onRequestArrived(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, RequestReadFailed>) {
                detail::onRequestReadFailed(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, CallerDisconnected>) {
                detail::onCallerDisconnected(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, AttemptResponded>) {
                detail::onAttemptResponded(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, AttemptFailed>) {
                detail::onAttemptFailed(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, AttemptEnded>) {
                detail::onAttemptEnded(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, ResponseSkipped>) {
                detail::onResponseSkipped(state, typed, actions);
            } else if constexpr (std::is_same_v<Type, ServerClosing>) {
                detail::onServerClosing(state, typed, now);
            } else if constexpr (std::is_same_v<Type, StoreResponded>) {
                detail::onStoreResponded(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, PeerDatagramReceived>) {
                detail::onPeerDatagram(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, OperatorCommandReceived>) {
                detail::onOperatorCommand(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, TimerExpired>) {
                state.m_levels.m_wallClock = typed.m_wallSeconds;
            } else if constexpr (std::is_same_v<Type, SettingsChanged>) {
                detail::onSettingsChanged(state, typed, actions);
            } else if constexpr (std::is_same_v<Type, StopRequested>) {
                detail::onStopRequested(state, now, actions);
            }
        },
        event);
}

}

}

State makeState(const HostSettings &settings, const ConfigurationSource &source, Fleet::Incarnation incarnation, std::uint64_t seed)
{
    State state;
    state.m_settings = settings;
    state.m_source = source;
    state.m_random.seed(seed);
    state.m_scheduler.m_settings = settings.m_scheduling;
    state.m_scheduler.m_phaseSeed = hashOf(settings.m_host.text());
    state.m_incarnation = incarnation;
    state.m_claims.m_settings = settings.m_claims;
    state.m_claims.m_settings.m_owner = settings.m_host.text() + '/' + std::to_string(incarnation);
    state.m_leadership = Fleet::makeLeadership(settings.m_leadership, settings.m_host);
    state.m_leadership.m_isRegistered = settings.m_peerAddress.empty(); // A host that works alone has the whole of each limit.
    state.m_secret = settings.m_secret;
    state.m_lastPlacement = randomBelow(state.m_random, std::uint64_t{1} << 48U); // So that the numbers differ from those of an earlier process.
    state.m_staleDelay = Duration(static_cast<std::int64_t>(randomBelow(state.m_random, settings.m_freshness.m_staleJitter.count() + 1)));
    const std::array<std::string, Fleet::TableKinds> names{source.m_configurationTable, source.m_serverTable, source.m_hostTable};
    for (std::size_t i = 0; i < names.size(); ++i) {
        state.m_tables[i].m_watcher.m_table = names[i];
        state.m_tables[i].m_watcher.m_settings.m_wait = settings.m_wait;
    }
    Store::TableWatcherSettings &hosts = detail::tableOf(state, Fleet::TableKind::Hosts).m_watcher.m_settings;
    hosts.m_wait = settings.m_hostsWait;
    hosts.m_interval = settings.m_hostsInterval;
    detail::tableOf(state, Fleet::TableKind::Servers).m_watcher.m_settings.m_interval = settings.m_serversInterval;
    return state;
}

Actions handle(State &state, const Event &event, TimePoint now)
{
    Actions actions;
    state.m_startedAt = state.m_startedAt.value_or(now);
    detail::applyEvent(state, event, now, actions);
    detail::processDueTimers(state, now, actions);
    detail::tickFleet(state, now, actions);
    detail::serveQueues(state, now, actions);
    detail::callStore(state, now, actions);
    detail::tickRegistration(state, now, actions);
    detail::tickEdits(state, now, actions);
    detail::tickClaims(state, now, actions);
    detail::performClaimDecisions(state, now, actions);
    detail::storeLevels(state, now, actions);
    detail::setReadiness(state, detail::mayServeWorkspaces(state, now) && !state.m_stopRequestedAt, now, actions);
    detail::propagateNewCrashes(state, now, actions);
    detail::logStateChanges(state, now, actions);
    detail::stopWhenIdle(state, now, actions);
    detail::flushOutbox(state, actions);
    return actions;
}

TimePoint nextTimerAt(const State &state)
{
    TimePoint next = Scheduling::nextServeAt(state.m_scheduler);
    if (!state.m_timers.empty()) {
        next = std::min(next, state.m_timers.begin()->first);
    }
    next = std::min({next, detail::nextStoreCallAt(state), detail::nextEditsAt(state), detail::nextClaimsAt(state)});
    if (!state.m_settings.m_peerAddress.empty()) {
        next = std::min({next, Fleet::nextTickAt(state.m_leadership), detail::nextStoreReadersAt(state), detail::nextSeedsAt(state)});
    }
    const auto &confirmedAt = detail::tableOf(state, Fleet::TableKind::Configuration).m_replica.m_confirmedAt;
    if (state.m_ready && confirmedAt) {
        constexpr Duration Interval = std::chrono::milliseconds(200); // Checks readiness at this interval while the host runs without the store.
        next = std::min(next, std::max(*confirmedAt + state.m_settings.m_freshness.m_maxAgeForWorkspaces + Duration(1000), state.m_lastTick + Interval));
    }
    if (state.m_stopRequestedAt && !state.m_hasExited) {
        constexpr Duration StopInterval = std::chrono::milliseconds(50);
        const TimePoint idleAt = *state.m_stopRequestedAt + state.m_settings.m_balancerLag;
        next = std::min(next, state.m_isDrainingCallers ? std::max(idleAt, TimePoint(StopInterval)) : TimePoint{});
    }
    return next;
}

}
