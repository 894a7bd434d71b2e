#include <ragwortrelay/detail/host/handlers.h>

namespace RagwortRelay::Host::detail {

namespace {

using Limits::ThrottleOutcome;
using Scheduling::AttemptKind;
using Scheduling::PlacementReply;
using Scheduling::RefusalReason;

/// Longest delay after which the caller of a throttled request is told to retry.
constexpr Duration MaxRetryAfter = std::chrono::seconds(1);

const Limits::ThrottleSettings &settingsOf(const State &state)
{
    return state.m_settings.m_placements.m_throttle;
}

/// Removes the workspaces without recent requests, once in the length of the window.
void removeIdle(State &state, TimePoint now)
{
    if (now - state.m_throttledCheckedAt < settingsOf(state).m_window) {
        return;
    }
    state.m_throttledCheckedAt = now;
    std::erase_if(state.m_throttled, [&](const auto &entry) { return Limits::isIdle(entry.second.m_throttle, settingsOf(state), now); });
    std::erase_if(state.m_overduePlacements, [&](const auto &entry) { return now - entry.second.m_since > settingsOf(state).m_window; });
}

/// Logs that the requests of a workspace begin to be refused by this host, with the counts of the window.
void logBegin(const WorkspaceId &workspace, const ThrottledWorkspace &throttled, const Limits::ThrottleCounts &counts, Actions &actions)
{
    log(actions,
        Reporting::LogLine("workspace-throttled")
            .with("workspace", workspace.text())
            .with("leader", throttled.m_denied.m_leader.text())
            .with("admitted", static_cast<std::int64_t>(counts.m_admitted))
            .with("refused", static_cast<std::int64_t>(counts.m_refused)));
}

}

void recordOverdue(State &state, const Scheduling::PlacementRequest &placement, TimePoint now)
{
    state.m_overduePlacements[placement.m_number] = {placement.m_workspace, placement.m_purpose, now};
}

void recordLateReply(State &state, const HostId &leader, const PlacementReply &reply, TimePoint now)
{
    const auto overdue = state.m_overduePlacements.find(reply.m_number);
    if (overdue == state.m_overduePlacements.end()) {
        return;
    }
    const OverduePlacement placement = overdue->second;
    state.m_overduePlacements.erase(overdue);
    recordLimitOutcome(state, placement.m_workspace, placement.m_purpose, leader, reply, now);
}

std::optional<ThrottledRequest> throttle(State &state, const WorkspaceId &workspace, AttemptKind purpose, TimePoint now, Actions &actions)
{
    removeIdle(state, now);
    const auto found = state.m_throttled.find(workspace);
    if (purpose != AttemptKind::First || found == state.m_throttled.end()) {
        return std::nullopt;
    }
    ThrottledWorkspace &throttled = found->second;
    const double probability = Limits::throttleProbability(throttled.m_throttle, settingsOf(state), now);
    if (probability == 0.0) {
        throttled.m_isLogged = false;
        return std::nullopt;
    }
    if (randomUnit(state.m_random) >= probability) {
        return std::nullopt;
    }
    if (!throttled.m_isLogged) {
        throttled.m_isLogged = true;
        logBegin(workspace, throttled, Limits::countsOf(throttled.m_throttle, settingsOf(state), now), actions);
    }
    Limits::recordOutcome(throttled.m_throttle, settingsOf(state), ThrottleOutcome::Throttled, now);
    Reporting::count(state.m_counters, "requests_throttled");
    return ThrottledRequest{throttled.m_denied, Limits::throttledRetryDelay(MaxRetryAfter, randomUnit(state.m_random))};
}

void recordLimitOutcome(State &state, const WorkspaceId &workspace, AttemptKind purpose, const HostId &leader, const PlacementReply &reply, TimePoint now)
{
    const bool isCharged = purpose == AttemptKind::First && !workspace.isEmpty() && !leader.isEmpty();
    const bool isUndecided = !reply.m_server && reply.m_reason == RefusalReason::Quarantined; // Refused before the limit was considered.
    if (!isCharged || isUndecided) {
        return;
    }
    const bool isRefused = !reply.m_server && reply.m_reason == RefusalReason::OverLimit;
    ThrottledWorkspace &throttled = state.m_throttled[workspace];
    Limits::recordOutcome(throttled.m_throttle, settingsOf(state), isRefused ? ThrottleOutcome::Refused : ThrottleOutcome::Admitted, now);
    if (isRefused) {
        throttled.m_denied = {leader, reply.m_number, reply.m_reason};
    }
}

}
