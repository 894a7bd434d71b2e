#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>
#include <array>

namespace RagwortRelay::Host::detail {

namespace {

using Fleet::Heartbeat;
using Fleet::Message;
using Fleet::TableKind;
using Reporting::LogLine;

/// Minimum suspicion of a server that a leader reports to its followers.
constexpr double MinReportedSuspicion = 1.0;

constexpr std::size_t MaxSuspicionReports = 24;

std::vector<Fleet::ReplicaPosition> replicaPositions(const State &state, TimePoint now)
{
    std::vector<Fleet::ReplicaPosition> positions;
    for (const ReplicatedTable &table : state.m_tables) {
        positions.push_back(Fleet::replicaPosition(table.m_replica, now));
    }
    return positions;
}

/// Makes the reports for all followers again if they have become too old.
void updateFollowerReports(State &state, TimePoint now)
{
    constexpr Duration Interval = std::chrono::milliseconds(100);
    if (now - state.m_followerReports.m_madeAt >= Interval) {
        makeFollowerReports(state, now);
    }
}

/// Returns the servers that have announced that they are leaving, as far as the other hosts can't read it from the table of the servers.
std::vector<Scheduling::LeavingServer> leavingReports(const State &state)
{
    constexpr std::size_t MaxLeavingReports = 64;
    std::vector<Scheduling::LeavingServer> reports = Scheduling::leavingServers(state.m_scheduler.m_registry);
    reports.resize(std::min(reports.size(), MaxLeavingReports));
    return reports;
}

std::vector<std::uint64_t> runningPlacements(const State &state, const HostId &leader)
{
    std::vector<std::uint64_t> placements;
    for (const auto &[id, attempt] : state.m_attempts) {
        if (attempt.m_leader == leader) {
            placements.push_back(attempt.m_placement);
        }
    }
    return placements;
}

/// Makes a heartbeat with the fields that all receivers get.
Heartbeat heartbeatFor(State &state, const Fleet::HeartbeatRequest &request, TimePoint now)
{
    Heartbeat heartbeat = Fleet::makeHeartbeat(state.m_leadership, request, now);
    heartbeat.m_domain = state.m_settings.m_domain;
    heartbeat.m_tables = replicaPositions(state, now);
    return heartbeat;
}

}

void makeFollowerReports(State &state, TimePoint now)
{
    Reporting::count(state.m_counters, "follower_reports");
    FollowerReports &reports = state.m_followerReports;
    reports = {now, {}, Scheduling::quarantinedRequests(state.m_scheduler, now)};
    const Health::SuspicionSettings &settings = state.m_settings.m_scheduling.m_selection.m_suspicion;
    for (const auto &[id, server] : state.m_scheduler.m_registry.m_servers) {
        for (const auto &[domain, suspicion] : server.m_suspicion.m_byDomain) {
            const double value = Health::valueAt(settings, suspicion, now);
            if (value >= MinReportedSuspicion && reports.m_suspicions.size() < MaxSuspicionReports) {
                reports.m_suspicions.push_back({id, domain, value});
            }
        }
    }
}

void sendHeartbeat(State &state, const Fleet::HeartbeatRequest &request, TimePoint now)
{
    Heartbeat heartbeat = heartbeatFor(state, request, now);
    heartbeat.m_storeFails =
        std::ranges::any_of(state.m_tables, [](const ReplicatedTable &table) { return table.m_isWatched && table.m_watcher.m_failures > 0; });
    if (Fleet::isLeader(state.m_leadership)) {
        heartbeat.m_reachableHosts = state.m_reachableHosts;
        heartbeat.m_minConfigurationVersion = state.m_minConfigurationVersion;
        heartbeat.m_hasQuorum = hasQuorum(state, now);
        heartbeat.m_isStoreReader = state.m_storeReaders.m_appointed.contains(request.m_host);
        if (state.m_leadership.m_followers.contains(request.m_host)) {
            updateFollowerReports(state, now);
            heartbeat.m_suspicions = state.m_followerReports.m_suspicions;
            heartbeat.m_quarantined = state.m_followerReports.m_quarantined;
            heartbeat.m_leaving = leavingReports(state);
        }
    } else if (request.m_host == state.m_leadership.m_leader) {
        heartbeat.m_running = runningPlacements(state, request.m_host);
        heartbeat.m_leaving = leavingReports(state);
    }
    sendTo(state, request.m_host, std::move(heartbeat));
    sendKnownCrashes(state, request.m_host, now);
}

namespace {

void applySuspicionReports(State &state, const Heartbeat &heartbeat, TimePoint now)
{
    for (const Fleet::SuspicionReport &report : heartbeat.m_suspicions) {
        const auto server = state.m_scheduler.m_registry.m_servers.find(report.m_server);
        if (server != state.m_scheduler.m_registry.m_servers.end()) {
            server->second.m_suspicion.m_byDomain[report.m_domain] = {report.m_value, now};
        }
    }
}

void applyLeavingReports(State &state, const HostId &from, const Heartbeat &heartbeat, TimePoint now, Actions &actions)
{
    for (const Scheduling::LeavingServer &leaving : heartbeat.m_leaving) {
        recordLeaving(state, leaving.m_server, leaving.m_incarnation, from, now, actions);
    }
}

void logLeaderChange(const State &state, const HostId &before, TimePoint now, Actions &actions)
{
    log(actions,
        LogLine("leader-changed")
            .with("leader", state.m_leadership.m_leader.text())
            .with("before", before.text())
            .with("share", std::to_string(Fleet::shareOf(state.m_leadership, now))));
}

void onLeaderChanged(State &state, const HostId &before, TimePoint now, Actions &actions)
{
    if (state.m_leadership.m_leader == before) {
        return;
    }
    logLeaderChange(state, before, now, actions);
    state.m_leaderTimeout = {};
    state.m_throttled.clear();
    if (Fleet::isLeader(state.m_leadership)) {
        state.m_leadingSince = now;
        state.m_followerTables.clear();
        adoptReplicatedCrashes(state);
    }
}

/// Applies the state of the rollout that the leader reports.
void applyRollout(State &state, const Heartbeat &heartbeat)
{
    state.m_minConfigurationVersion = heartbeat.m_minConfigurationVersion;
    state.m_reachableHosts = heartbeat.m_reachableHosts;
    const std::uint64_t changed = tableOf(state, TableKind::Configuration).m_replica.m_changed;
    const bool isUpToDate = !heartbeat.m_tables.empty() && heartbeat.m_tables.front().m_changed <= changed;
    // After the last heartbeat of this host, the leader counts it among the hosts that must have a change for at least the length of the lease.
    const TimePoint until = TimePoint(heartbeat.m_echo) + state.m_settings.m_leadership.m_leaseDuration;
    state.m_quorumUntil = heartbeat.m_hasQuorum && isUpToDate ? std::max(state.m_quorumUntil, until) : TimePoint{};
}

void onHeartbeat(State &state, const HostId &from, Fleet::Incarnation incarnation, const Heartbeat &heartbeat, TimePoint now, Actions &actions)
{
    const HostId leaderBefore = state.m_leadership.m_leader;
    const bool hadAcknowledgement = state.m_leadership.m_acknowledgedAt.has_value();
    const bool wantsReply = Fleet::receiveHeartbeat(state.m_leadership, from, incarnation, heartbeat, now);
    onLeaderChanged(state, leaderBefore, now, actions);
    if (!hadAcknowledgement && state.m_leadership.m_acknowledgedAt) {
        log(actions, LogLine("leader-found").with("leader", state.m_leadership.m_leader.text()));
    }
    compareTables(state, from, heartbeat, now, actions);
    applyLeavingReports(state, from, heartbeat, now, actions);
    if (from == state.m_leadership.m_leader) {
        onLeaderHeard(state, incarnation, now);
        applySuspicionReports(state, heartbeat, now);
        Scheduling::quarantineRequests(state.m_scheduler, heartbeat.m_quarantined, now);
        applyRollout(state, heartbeat);
    }
    if (heartbeat.m_leader == state.m_settings.m_host) {
        constexpr Duration StartGrace = std::chrono::milliseconds(300);
        recordFollowerTables(state, from, heartbeat);
        updateStoreReader(state, from, heartbeat, now);
        Scheduling::reconcile(state.m_scheduler, from, heartbeat.m_running, now - StartGrace);
    }
    if (wantsReply) {
        sendHeartbeat(state, {from, false}, now);
    }
}

void onDelta(State &state, const Fleet::DeltaPart &part, TimePoint now, Actions &actions)
{
    observeStoreEra(state, Store::eraOf(part.m_version), now, actions);
    if (!Fleet::applyDelta(tableOf(state, part.m_table).m_replica, part)) {
        return;
    }
    onTableChanged(state, part.m_table, now, actions);
    propagateChanges(state, part.m_table, now);
    if (part.m_table == TableKind::Configuration && state.m_source.m_hasOperatorTable) {
        Fleet::expediteHeartbeat(state.m_leadership, now); // The next heartbeat reports to the leader that this host has the change.
    }
}

void onMessage(State &state, const Fleet::Datagram &datagram, const Message &message, TimePoint now, Actions &actions)
{
    const HostId &from = datagram.m_from;
    std::visit(
        [&](const auto &alternative) {
            using Type = std::decay_t<decltype(alternative)>;
            if constexpr (std::is_same_v<Type, Heartbeat>) {
                onHeartbeat(state, from, datagram.m_incarnation, alternative, now, actions);
            } else if constexpr (std::is_same_v<Type, Fleet::DeltaPart>) {
                onDelta(state, alternative, now, actions);
            } else if constexpr (std::is_same_v<Type, Scheduling::PlacementRequest>) {
                onPlacementRequest(state, from, alternative, now, actions);
            } else if constexpr (std::is_same_v<Type, Fleet::PlacementQueued>) {
                onPlacementQueued(state, from, alternative, now);
            } else if constexpr (std::is_same_v<Type, Scheduling::PlacementReply>) {
                onPlacementReply(state, from, alternative, now, actions);
            } else if constexpr (std::is_same_v<Type, Scheduling::AttemptReport>) {
                onAttemptReport(state, from, alternative, now);
            } else if constexpr (std::is_same_v<Type, Fleet::CrashReports>) {
                onCrashReports(state, from, alternative, now);
            } else {
                onPlacementCancelled(state, from, alternative, now);
            }
        },
        message);
}

}

Scheduling::Requester ownRequester(const State &state)
{
    return {state.m_settings.m_host, state.m_settings.m_domain};
}

void sendTo(State &state, const HostId &host, Message message)
{
    const auto record = state.m_membership.find(host);
    if (record != state.m_membership.end()) {
        state.m_outbox[record->second.m_address].push_back(std::move(message));
    }
}

void onPeerDatagram(State &state, const PeerDatagramReceived &received, TimePoint now, Actions &actions)
{
    const HostId &from = received.m_datagram.m_from;
    const Fleet::Incarnation incarnation = received.m_datagram.m_incarnation;
    const auto [record, isNew] = state.m_membership.try_emplace(from, Fleet::HostRecord{from, received.m_address, {}, incarnation, 0.0});
    if (!isNew && record->second.m_incarnation != incarnation) { // It has started again, and its new record hasn't been read yet.
        record->second.m_address = received.m_address;
        record->second.m_incarnation = incarnation;
    }
    Fleet::recordSignOfLife(state.m_leadership, from, now);
    for (const Message &message : received.m_datagram.m_messages) {
        onMessage(state, received.m_datagram, message, now, actions);
    }
}

bool hasQuorum(const State &state, TimePoint now)
{
    if (!state.m_source.m_hasOperatorTable || !state.m_catalogue) {
        return false;
    }
    if (!Fleet::isLeader(state.m_leadership)) {
        return now < state.m_quorumUntil;
    }
    const std::uint64_t changed = tableOf(state, TableKind::Configuration).m_replica.m_changed;
    std::size_t hosts = Fleet::isShareUnleased(state.m_leadership, now) ? 1 : 0;
    for (const auto &[host, record] : state.m_leadership.m_followers) {
        const auto tables = state.m_followerTables.find(host);
        const bool hasReported = tables != state.m_followerTables.end() && !tables->second.m_reported.empty();
        hosts += hasReported && Fleet::isFullyLeased(record, now) && tables->second.m_reported.front().m_changed <= changed ? 1 : 0;
    }
    return 2 * hosts > state.m_leadership.m_ranking.size();
}

void contactSeeds(State &state, TimePoint now, Actions &actions)
{
    if (now < nextSeedsAt(state)) {
        return;
    }
    state.m_seedsContactedAt = now;
    for (const std::string &address : state.m_settings.m_seeds) {
        actions.emplace_back(SendDatagram{address, {state.m_settings.m_host, state.m_incarnation, {heartbeatFor(state, {HostId(address), true}, now)}}});
    }
}

TimePoint nextSeedsAt(const State &state)
{
    constexpr Duration Interval = std::chrono::milliseconds(500);
    const bool knowsNoHosts = Fleet::isLeader(state.m_leadership) && state.m_leadership.m_followers.empty();
    return knowsNoHosts && !state.m_settings.m_seeds.empty() ? state.m_seedsContactedAt + Interval : TimePoint::max();
}

void sendConfirmation(State &state, bool hasJustFailed, TimePoint now)
{
    if (!hasLeader(state)) {
        return;
    }
    const Duration minGain = state.m_settings.m_freshness.m_minConfirmationGain;
    const bool isFresher = std::ranges::any_of(state.m_tables, [&](const ReplicatedTable &table) {
        const bool isConfirmed = table.m_isWatched && table.m_replica.m_confirmedAt;
        return isConfirmed && table.m_leaderPosition.m_age > now - *table.m_replica.m_confirmedAt + minGain;
    });
    if (isFresher || hasJustFailed) {
        sendHeartbeat(state, {state.m_leadership.m_leader, true}, now);
    }
}

void tickFleet(State &state, TimePoint now, Actions &actions)
{
    const HostId leaderBefore = state.m_leadership.m_leader;
    if (!state.m_settings.m_peerAddress.empty()) {
        for (const Fleet::HeartbeatRequest &request : Fleet::tick(state.m_leadership, state.m_random, now)) {
            sendHeartbeat(state, request, now);
        }
    }
    onLeaderChanged(state, leaderBefore, now, actions);
    contactSeeds(state, now, actions);
    manageStoreReaders(state, now, actions);
    state.m_lastTick = now;
    state.m_hasHadQuorum = state.m_hasHadQuorum || hasQuorum(state, now);
    Scheduling::setShare(state.m_scheduler, Fleet::shareOf(state.m_leadership, now), now);
}

}
