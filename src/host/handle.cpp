#include <ragwortrelay/detail/host/duties.h>

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

void onStopAsked(State &state, TimePoint now, Actions &actions)
{
    if (!state.m_stopAskedAt) {
        state.m_stopAskedAt = now;
        log(actions, LogLine("stop-asked").with("requests", static_cast<std::int64_t>(state.m_exchanges.size())));
    }
}

/// Sends callers away at once; goes on serving what still comes; exits when all is answered, or when the time is over.
void stopWhenIdle(State &state, TimePoint now, Actions &actions)
{
    if (!state.m_stopAskedAt || state.m_exited) {
        return;
    }
    if (!state.m_callersSentAway) {
        state.m_callersSentAway = true;
        actions.emplace_back(SendCallersAway{});
    }
    const Duration stoppingFor = now - *state.m_stopAskedAt;
    const bool isIdle = stoppingFor >= state.m_settings.m_balancerLag && state.m_exchanges.empty();
    if (isIdle || stoppingFor >= state.m_settings.m_stopLimit) {
        state.m_exited = true;
        log(actions, LogLine("stopped").with("requests_cut", static_cast<std::int64_t>(state.m_exchanges.size())));
        actions.emplace_back(Exit{});
    }
}

void doWhatIsDue(State &state, TimePoint now, Actions &actions)
{
    while (!state.m_due.empty() && state.m_due.begin()->first <= now) {
        const Due due = state.m_due.begin()->second;
        state.m_due.erase(state.m_due.begin());
        if (due.m_kind == DueKind::Deadline) {
            onDeadline(state, due.m_exchange, now, actions);
        } else {
            onHedgeDue(state, due.m_exchange, now, actions);
        }
    }
}

void serveQueues(State &state, TimePoint now, Actions &actions)
{
    for (const Scheduling::Answered &answered : Scheduling::serve(state.m_scheduler, state.m_random, now)) {
        onDrawAnswered(state, answered.m_answer, now, actions);
    }
}

}

}

State makeState(const HostSettings &settings, const Source &source, std::uint64_t seed)
{
    State state;
    state.m_settings = settings;
    state.m_source = source;
    state.m_random.seed(seed);
    state.m_scheduler.m_settings = settings.m_scheduling;
    state.m_configurationFollower.m_table = source.m_configurationTable;
    state.m_configurationFollower.m_settings = settings.m_following;
    state.m_serverFollower.m_table = source.m_serverTable;
    state.m_serverFollower.m_settings = settings.m_following;
    return state;
}

Actions handle(State &state, const Event &event, TimePoint now)
{
    Actions actions;
    std::visit(
        [&](const auto &typed) {
            using Type = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Type, RequestArrived>) {
                detail::onRequestArrived(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, CallerGone>) {
                detail::onCallerGone(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, AttemptAnswered>) {
                detail::onAttemptAnswered(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, AttemptFailed>) {
                detail::onAttemptFailed(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, AttemptEnded>) {
                detail::onAttemptEnded(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, ServerCloses>) {
                detail::onServerCloses(state, typed, now);
            } else if constexpr (std::is_same_v<Type, StoreAnswered>) {
                detail::onStoreAnswered(state, typed, now, actions);
            } else if constexpr (std::is_same_v<Type, StopAsked>) {
                detail::onStopAsked(state, now, actions);
            }
        },
        event);
    detail::doWhatIsDue(state, now, actions);
    detail::serveQueues(state, now, actions);
    detail::callStore(state, now, actions);
    detail::setReadiness(state, detail::mayServeWorkspaces(state, now) && !state.m_stopAskedAt, now, actions);
    detail::stopWhenIdle(state, now, actions);
    return actions;
}

TimePoint nextDueAt(const State &state)
{
    TimePoint next = Scheduling::nextServeAt(state.m_scheduler);
    if (!state.m_due.empty()) {
        next = std::min(next, state.m_due.begin()->first);
    }
    next = std::min({next, Store::nextCallAt(state.m_configurationFollower), Store::nextCallAt(state.m_serverFollower)});
    if (state.m_ready && state.m_configurationFollower.m_confirmedAt) {
        next = std::min(next, *state.m_configurationFollower.m_confirmedAt + state.m_settings.m_keyFreshness);
    }
    if (state.m_stopAskedAt && !state.m_exited) {
        constexpr Duration StopInterval = std::chrono::milliseconds(50);
        const TimePoint idleAt = *state.m_stopAskedAt + state.m_settings.m_balancerLag;
        next = std::min(next, state.m_callersSentAway ? std::max(idleAt, TimePoint(StopInterval)) : TimePoint{});
    }
    return next;
}

}
