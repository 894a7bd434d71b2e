#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>
#include <utility>

namespace RagwortRelay::Host::detail {

namespace {

using Scheduling::AttemptKind;
using Scheduling::PlacementRequest;

const Limits::SubleaseSettings &settingsOf(const State &state)
{
    return state.m_settings.m_placements.m_subleases;
}

/// Removes ended sub-leases and forgets hosts without use once a second.
void forgetEndedSubleases(State &state, TimePoint now)
{
    constexpr Duration Interval = std::chrono::seconds(1);
    if (now - state.m_lenderCheckedAt >= Interval) {
        state.m_lenderCheckedAt = now;
        Limits::forgetEnded(state.m_lender, now);
        std::erase_if(state.m_borrowings, [&](const auto &entry) { return entry.second.m_until <= now; });
    }
}

/// Returns how long the present changes of shares stay true if no further sub-lease is granted.
TimePoint shareChangesUntil(const State &state, TimePoint now)
{
    TimePoint until = state.m_lender.m_limits.empty() ? TimePoint::max() : now - now.time_since_epoch() % Limits::SubleaseSlot + Limits::SubleaseSlot;
    for (const auto &[workspace, borrowed] : state.m_borrowings) {
        until = now < borrowed.m_until ? std::min(until, borrowed.m_until) : until;
    }
    return until;
}

/// Returns what this host has borrowed of the limits of workspaces, less what it has lent.
std::map<WorkspaceId, double> shareChanges(const State &state, TimePoint now)
{
    std::map<WorkspaceId, double> changes;
    for (const auto &[workspace, borrowed] : state.m_borrowings) {
        if (now < borrowed.m_until) {
            changes[workspace] += borrowed.m_fraction;
        }
    }
    for (const auto &[workspace, lent] : state.m_lender.m_limits) {
        changes[workspace] -= Limits::lentFraction(state.m_lender, workspace, now);
    }
    return changes;
}

}

bool takeOwnToken(State &state, const PlacementRequest &placement, TimePoint now)
{
    if (!Scheduling::takeToken(state.m_scheduler, placement, now)) {
        return false;
    }
    Reporting::count(state.m_counters, "tokens_own");
    return true;
}

void recordTokenUse(State &state, const HostId &host, const PlacementRequest &placement, const std::optional<Scheduling::PlacementReply> &reply, TimePoint now)
{
    const bool isRefused = reply && !reply->m_server && reply->m_reason == Scheduling::RefusalReason::OverLimit;
    const bool isLimited = placement.m_purpose == AttemptKind::First && state.m_scheduler.m_buckets.contains(placement.m_workspace);
    const bool isFollower = state.m_leadership.m_followers.contains(host);
    if (isLimited && isFollower && !isRefused) {
        Limits::recordUse(state.m_lender, host, placement.m_workspace, now);
    }
}

std::vector<Limits::Sublease> grantSubleases(State &state, const HostId &follower, TimePoint now)
{
    const Limits::Backing backing = Limits::backingOf(Fleet::leasedParts(state.m_leadership, now), now);
    auto granted = Limits::grantSubleases(state.m_lender, settingsOf(state), follower, state.m_scheduler.m_buckets, backing, now);
    const auto record = state.m_leadership.m_followers.find(follower);
    if (record != state.m_leadership.m_followers.end() && record->second.m_wantsPart) {
        constexpr double PartOfOwn = 0.5; // Of what the follower has leased.
        const double wanted = PartOfOwn / static_cast<double>(state.m_leadership.m_ranking.size());
        const auto part = Limits::grantPartOfAll(state.m_lender, settingsOf(state), follower, wanted, backing, now);
        granted.insert(granted.end(), part.begin(), part.end());
    }
    if (!granted.empty()) {
        state.m_shareChangesUntil = {};
        Fleet::recordLent(state.m_leadership, now + settingsOf(state).m_duration + Limits::SubleaseSlot);
    }
    return granted;
}

void onSubleases(State &state, const Fleet::Heartbeat &heartbeat, TimePoint now, Actions &actions)
{
    if (heartbeat.m_echo.count() == 0) {
        return;
    }
    const std::size_t before = state.m_borrowings.size();
    Limits::applySubleases(state.m_borrowings, settingsOf(state), heartbeat.m_subleases, TimePoint(heartbeat.m_echo), now);
    state.m_shareChangesUntil = {};
    if ((before == 0) != state.m_borrowings.empty()) {
        log(actions,
            Reporting::LogLine("limits-borrowed")
                .with("leader", state.m_leadership.m_leader.text())
                .with("workspaces", static_cast<std::int64_t>(state.m_borrowings.size())));
    }
}

void updateShares(State &state, TimePoint now)
{
    forgetEndedSubleases(state, now);
    if (now >= state.m_shareChangesUntil) {
        auto changes = shareChanges(state, now);
        state.m_changeOfAllShares = std::exchange(changes[WorkspaceId()], 0.0);
        Scheduling::setShareChanges(state.m_scheduler, changes, now);
        state.m_shareChangesUntil = shareChangesUntil(state, now);
    }
    const double share = Fleet::shareOf(state.m_leadership, now) + state.m_changeOfAllShares;
    Scheduling::setShare(state.m_scheduler, std::clamp(share, 0.0, 1.0), now);
}

TimePoint nextShareEndAt(const State &state)
{
    TimePoint next = Fleet::nextShareChangeAt(state.m_leadership, state.m_lastTick);
    for (const auto &[workspace, borrowed] : state.m_borrowings) {
        if (borrowed.m_until > state.m_lastTick) {
            next = std::min(next, borrowed.m_until);
        }
    }
    return next;
}

}
