#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>
#include <array>

namespace RagwortRelay::Host::detail {

namespace {

using Fleet::TableKind;
using Reporting::LogLine;

/// Returns whether this host, as a leader, can't read the store or gets only old confirmations from it.
bool isStoreUnusable(const State &state, TimePoint now)
{
    return std::ranges::any_of(std::array{TableKind::Configuration, TableKind::Servers}, [&](TableKind kind) {
        const ReplicatedTable &table = tableOf(state, kind);
        const auto &confirmedAt = table.m_watcher.m_confirmedAt;
        const bool isOld = confirmedAt && now - *confirmedAt > state.m_settings.m_freshness.m_leaderStaleAge;
        return table.m_isWatched && (table.m_watcher.m_failures > 0 || isOld);
    });
}

/// Dismisses store readers that have reported no fresh table in time, and those that no longer follow this host.
void dismissStoreReaders(State &state, TimePoint now)
{
    const FreshnessSettings &freshness = state.m_settings.m_freshness;
    std::erase_if(state.m_storeReaders.m_appointed, [&](const auto &entry) {
        const StoreReader &reader = entry.second;
        const TimePoint usefulUntil =
            reader.m_lastFreshAt ? *reader.m_lastFreshAt + freshness.m_storeReaderSilenceTimeout : reader.m_appointedAt + freshness.m_storeReaderTimeout;
        const bool isExpired = now >= usefulUntil || !state.m_leadership.m_followers.contains(entry.first);
        if (isExpired) {
            state.m_storeReaders.m_backoffUntil[entry.first] = now + freshness.m_storeReaderBackoff;
        }
        return isExpired;
    });
}

}

void updateStoreReader(State &state, const HostId &from, const Fleet::Heartbeat &heartbeat, TimePoint now)
{
    const FreshnessSettings &freshness = state.m_settings.m_freshness;
    const auto reader = state.m_storeReaders.m_appointed.find(from);
    if (reader == state.m_storeReaders.m_appointed.end()) {
        return;
    }
    const bool isFresh = !heartbeat.m_tables.empty() && heartbeat.m_tables.front().m_age < freshness.m_leaderStaleAge;
    if (heartbeat.m_storeFails) {
        state.m_storeReaders.m_backoffUntil[from] = now + freshness.m_storeReaderBackoff;
        state.m_storeReaders.m_appointed.erase(reader);
    } else if (isFresh) {
        reader->second.m_lastFreshAt = now;
    }
}

void manageStoreReaders(State &state, TimePoint now, Actions &actions)
{
    StoreReaders &readers = state.m_storeReaders;
    if (!Fleet::isLeader(state.m_leadership) || !isStoreUnusable(state, now)) {
        readers.m_appointed.clear();
        return;
    }
    std::erase_if(readers.m_backoffUntil, [&](const auto &entry) { return entry.second <= now; });
    dismissStoreReaders(state, now);
    for (const HostId &host : state.m_leadership.m_ranking) {
        if (readers.m_appointed.size() >= state.m_settings.m_freshness.m_maxStoreReaders) {
            return;
        }
        const bool isCandidate = state.m_leadership.m_followers.contains(host) && !readers.m_backoffUntil.contains(host);
        if (isCandidate && readers.m_appointed.emplace(host, StoreReader{now, {}}).second) {
            log(actions, LogLine("store-reader-appointed").with("store_reader", host.text()));
            sendHeartbeat(state, {host, true}, now);
        }
    }
}

TimePoint nextStoreReadersAt(const State &state)
{
    if (!Fleet::isLeader(state.m_leadership)) {
        return TimePoint::max();
    }
    constexpr Duration Interval = std::chrono::milliseconds(100); // While store readers may be needed.
    const Duration staleAge = state.m_settings.m_freshness.m_leaderStaleAge;
    TimePoint next = TimePoint::max();
    for (const TableKind kind : {TableKind::Configuration, TableKind::Servers}) {
        const auto &confirmedAt = tableOf(state, kind).m_watcher.m_confirmedAt;
        if (confirmedAt) {
            next = std::min(next, std::max(*confirmedAt + staleAge + Duration(1), state.m_lastTick + Interval));
        }
    }
    return next;
}

}
