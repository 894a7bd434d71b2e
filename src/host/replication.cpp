#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Fleet::Heartbeat;
using Fleet::TableKind;

/// Time after which changes are sent again to a follower whose heartbeats don't show them. Heartbeats that were written before the changes arrived come until
/// then.
constexpr Duration ResendInterval = std::chrono::milliseconds(700);

/// Returns the changes of a table that a replica with the given position lacks. They are made once for all hosts with the same position.
const std::vector<Fleet::DeltaPart> &changesFor(ReplicatedTable &table, TableKind kind, const Fleet::ReplicaPosition &position)
{
    PreparedDeltas &prepared = table.m_preparedDeltas;
    constexpr std::size_t MaxPrepared = 16; // Bounds their memory.
    if (prepared.m_version != table.m_replica.m_version || prepared.m_parts.size() >= MaxPrepared) {
        prepared = {table.m_replica.m_version, {}};
    }
    const auto [parts, isNew] = prepared.m_parts.try_emplace(position.m_version);
    if (isNew) {
        parts->second = Fleet::deltaFor(table.m_replica, kind, position);
    }
    return parts->second;
}

/// Returns whether a host reads the changes that it lacks from the store itself. One that needs the whole table but was in touch with the store until a moment
/// ago does, which is less work than the whole table; that is sent once its copy is out of date.
bool readsByItself(const State &state, TableKind kind, const Fleet::ReplicaPosition &theirs)
{
    const Fleet::TableReplica &table = tableOf(state, kind).m_replica;
    const bool isSameEra = Store::eraOf(theirs.m_version) == Store::eraOf(table.m_version);
    const bool isFresh = theirs.m_version > 0 && theirs.m_age < state.m_settings.m_freshness.m_leaderFreshAge;
    return isSameEra && isFresh && Fleet::needsWholeTable(table, theirs);
}

/// Returns whether a host has reported that it lacks changes which this host has to send.
bool awaitsChanges(const State &state, TableKind kind, const Fleet::ReplicaPosition &theirs)
{
    return !Fleet::holdsSameRows(tableOf(state, kind).m_replica, theirs) && !readsByItself(state, kind, theirs);
}

/// Sends a host the changes of a table that it lacks.
void sendChanges(State &state, const HostId &host, TableKind kind, const Fleet::ReplicaPosition &position)
{
    for (const Fleet::DeltaPart &part : changesFor(tableOf(state, kind), kind, position)) {
        sendTo(state, host, part);
    }
}

/// Notes that all changes of a table up to the present one are sent to a follower with the given position.
void recordSent(SentChanges &sent, const Fleet::TableReplica &table, const Fleet::ReplicaPosition &theirs, TimePoint now)
{
    const bool wasConfirmed = theirs.m_version >= sent.m_version;
    sent = {table.m_version, wasConfirmed ? now : sent.m_unconfirmedSince};
}

/// Sends a follower the changes that its heartbeat doesn't show, unless they may still be on their way.
void sendMissingChanges(State &state, const HostId &from, TableKind kind, const Fleet::ReplicaPosition &theirs, TimePoint now)
{
    if (!awaitsChanges(state, kind, theirs)) {
        return;
    }
    const auto follower = state.m_followerTables.find(from);
    if (follower == state.m_followerTables.end()) {
        return sendChanges(state, from, kind, theirs);
    }
    const Fleet::TableReplica &table = tableOf(state, kind).m_replica;
    SentChanges &sent = follower->second.m_sent[static_cast<std::size_t>(kind)];
    const bool mayBeOnItsWay = sent.m_version > theirs.m_version && now - sent.m_unconfirmedSince < ResendInterval;
    if (theirs.m_version >= table.m_version || mayBeOnItsWay) {
        return;
    }
    sendChanges(state, from, kind, theirs);
    sent = {table.m_version, now};
}

/// Updates the lowest configuration version and the number of reachable hosts while this host leads.
void updateMinConfigurationVersion(State &state)
{
    constexpr auto Configuration = static_cast<std::size_t>(TableKind::Configuration);
    std::erase_if(state.m_followerTables, [&](const auto &entry) { return !state.m_leadership.m_followers.contains(entry.first); });
    state.m_minConfigurationVersion = state.m_tables[Configuration].m_replica.m_changed;
    state.m_reachableHosts = 1;
    for (const auto &[host, tables] : state.m_followerTables) {
        if (tables.m_reported.size() == Fleet::TableKinds) {
            state.m_minConfigurationVersion = std::min(state.m_minConfigurationVersion, tables.m_reported[Configuration].m_changed);
            ++state.m_reachableHosts;
        }
    }
}

/// Returns the version of the last change of the configuration that a follower has reported; nothing if it has reported none.
std::optional<std::uint64_t> reportedConfiguration(const State &state, const HostId &follower)
{
    const auto tables = state.m_followerTables.find(follower);
    if (tables == state.m_followerTables.end() || tables->second.m_reported.empty()) {
        return std::nullopt;
    }
    return tables->second.m_reported.front().m_changed;
}

}

void compareTables(State &state, const HostId &from, const Heartbeat &heartbeat, TimePoint now, Actions &actions)
{
    if (heartbeat.m_tables.size() != Fleet::TableKinds) {
        return;
    }
    const auto writtenAt = Fleet::writtenAfter(heartbeat);
    for (std::size_t i = 0; i < Fleet::TableKinds; ++i) {
        const Fleet::ReplicaPosition &theirs = heartbeat.m_tables[i];
        ReplicatedTable &table = state.m_tables[i];
        if (theirs.m_version > 0) {
            observeStoreEra(state, Store::eraOf(theirs.m_version), now, actions);
        }
        if (writtenAt) {
            Fleet::applyConfirmation(table.m_replica, theirs, *writtenAt - theirs.m_age);
        }
        if (from == state.m_leadership.m_leader) {
            table.m_leaderPosition = theirs;
        }
        sendMissingChanges(state, from, static_cast<TableKind>(i), theirs, now);
    }
}

void recordFollowerTables(State &state, const HostId &from, const Heartbeat &heartbeat)
{
    const auto before = reportedConfiguration(state, from);
    state.m_followerTables[from].m_reported = heartbeat.m_tables;
    const bool hasLostFollowers = state.m_followerTables.size() != state.m_leadership.m_followers.size();
    if (hasLostFollowers || reportedConfiguration(state, from) != before) {
        updateMinConfigurationVersion(state);
    }
}

void propagateChanges(State &state, TableKind kind, TimePoint now)
{
    const auto index = static_cast<std::size_t>(kind);
    ReplicatedTable &table = state.m_tables[index];
    if (!Fleet::isLeader(state.m_leadership)) {
        if (table.m_isWatched && awaitsChanges(state, kind, table.m_leaderPosition)) {
            sendChanges(state, state.m_leadership.m_leader, kind, table.m_leaderPosition);
        }
        return;
    }
    for (auto &[host, tables] : state.m_followerTables) {
        if (tables.m_reported.size() != Fleet::TableKinds || !state.m_leadership.m_followers.contains(host)) {
            continue;
        }
        Fleet::ReplicaPosition known = tables.m_reported[index];
        known.m_version = std::max(known.m_version, tables.m_sent[index].m_version);
        if (readsByItself(state, kind, known)) {
            continue;
        }
        sendChanges(state, host, kind, known);
        recordSent(tables.m_sent[index], table.m_replica, tables.m_reported[index], now);
    }
    updateMinConfigurationVersion(state);
}

}
