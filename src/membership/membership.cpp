#include <ragwortrelay/detail/membership/planning.h>
#include <ragwortrelay/membership/membership.h>

#include <algorithm>
#include <cmath>

namespace RagwortRelay::Membership {

namespace {

using detail::isSeated;

/// A heartbeat tells the hosts heard when they changed, and every so often anyway.
constexpr std::uint64_t HeardToldEvery = 4;

/// A change of the roster isn't planned on a read older than this many poll intervals.
constexpr int FreshPolls = 5;

const SeatKey &ownKey(const MembershipState &state)
{
    return state.m_settings.m_seat.m_key;
}

bool isDue(const MembershipState &state, CallKind kind, Duration interval, TimePoint now)
{
    const auto started = state.m_startedAt.find(kind);
    return !state.m_running.contains(kind) && (started == state.m_startedAt.end() || now - started->second >= interval);
}

void startCall(MembershipState &state, CallKind kind, const Platform::Call &call, TimePoint now, Effects &effects)
{
    state.m_running.insert(kind);
    state.m_startedAt.insert_or_assign(kind, now);
    effects.m_calls.push_back({kind, call});
}

void callSoon(MembershipState &state, CallKind kind)
{
    state.m_startedAt.erase(kind);
}

void sendHeartbeats(MembershipState &state, std::uint64_t configurationVersion, TimePoint now, Effects &effects)
{
    const bool isSparse = state.m_roster.m_seats.size() > FullMeshHosts;
    const Duration interval = state.m_settings.m_heartbeatInterval * (isSparse ? 2 : 1);
    if (state.m_heartbeatAt && now - *state.m_heartbeatAt < interval) {
        return;
    }
    state.m_heartbeatAt = now;
    std::vector<HostId> heard;
    for (const auto &[host, peer] : state.m_peers) {
        if (hears(state, host, now)) {
            heard.push_back(host);
        }
    }
    Heartbeat heartbeat;
    heartbeat.m_sequence = ++state.m_sequence;
    heartbeat.m_configurationVersion = configurationVersion;
    heartbeat.m_leaving = state.m_leaving;
    heartbeat.m_heardOmitted = heard == state.m_heardTold && state.m_sequence % HeardToldEvery != 1;
    if (!heartbeat.m_heardOmitted) {
        heartbeat.m_heard = heard;
        state.m_heardTold = heard;
    }
    if (!isSeated(state)) {
        heartbeat.m_address = state.m_settings.m_seat.m_address;
        for (const std::string &seed : state.m_settings.m_seeds) {
            effects.m_heartbeats.push_back({HostId(), seed, heartbeat});
        }
    }
    for (const HostId &host : currentPeers(state, now)) {
        effects.m_heartbeats.push_back({host, addressOf(state, host), heartbeat});
    }
}

void startReads(MembershipState &state, TimePoint now, Effects &effects)
{
    const MembershipSettings &settings = state.m_settings;
    if (!state.m_loaded) {
        if (isDue(state, CallKind::ReadSnapshot, settings.m_pollInterval, now)) {
            startCall(state, CallKind::ReadSnapshot, Platform::GetItem{snapshotKey()}, now, effects);
        }
        return;
    }
    if (isDue(state, CallKind::ReadChanges, settings.m_pollInterval, now)) {
        startCall(state, CallKind::ReadChanges, rosterChangesAfter(state.m_roster.m_version), now, effects);
    }
    const int slowDown = state.m_roster.m_seats.size() > FullMeshHosts ? 4 : 1;
    if (isDue(state, CallKind::ReadConfirmations, settings.m_confirmInterval * slowDown, now)) {
        startCall(state, CallKind::ReadConfirmations, Platform::QueryItems{ConfirmationPartition, "seat/", "seat/~"}, now, effects);
    }
    if (detail::needsList(state, now) && isDue(state, CallKind::ReadList, settings.m_listInterval, now)) {
        startCall(state, CallKind::ReadList, Platform::ListTargets{}, now, effects);
    }
}

void startChange(MembershipState &state, std::uint64_t configurationVersion, TimePoint now, Effects &effects)
{
    const bool isFresh = state.m_rosterReadAt && now - *state.m_rosterReadAt <= FreshPolls * state.m_settings.m_pollInterval;
    const bool isHeldBack = state.m_writeAfter && now < *state.m_writeAfter;
    if (!isFresh || isHeldBack || state.m_running.contains(CallKind::WriteChange)) {
        return;
    }
    const auto change = detail::planChange(state, now);
    if (!change) {
        return;
    }
    if (!change->m_joined.empty() && !state.m_joinStartedAt) {
        state.m_joinStartedAt = now;
    }
    state.m_pendingChange = *change;
    startCall(state, CallKind::WriteChange, detail::transactionOf(state, *change, configurationVersion), now, effects);
}

void startConfirmation(MembershipState &state, std::uint64_t configurationVersion, TimePoint now, Effects &effects)
{
    const bool isJustWritten = state.m_confirmedAt && now - *state.m_confirmedAt < state.m_settings.m_confirmInterval;
    // Not beside a change of the roster, which may write the same item.
    const bool isBusy = state.m_running.contains(CallKind::WriteChange) || state.m_running.contains(CallKind::ReadConfirmations);
    if (!isSeated(state) || isJustWritten || isBusy || state.m_confirmationVersion == 0) {
        return;
    }
    if (isDue(state, CallKind::WriteConfirmation, std::chrono::seconds(2), now)) {
        const Confirmation confirmation{configurationVersion, state.m_listedAs};
        startCall(state,
                  CallKind::WriteConfirmation,
                  Platform::Transact{{confirmationWrite(ownKey(state), confirmation, state.m_confirmationVersion)}},
                  now,
                  effects);
    }
}

/// Applies the next change of the chain; shards that it gives to this host are in use again.
bool applyNext(MembershipState &state, const RosterChange &change)
{
    if (!applyChange(state.m_roster, change)) {
        return false;
    }
    for (const auto &[shard, holder] : change.m_assigned) {
        if (holder == ownKey(state)) {
            state.m_released.erase(shard);
        }
    }
    return true;
}

/// Takes over a new state of the roster.
void afterChange(MembershipState &state, TimePoint now, Effects &effects)
{
    state.m_rosterChangedAt = now;
    std::erase_if(state.m_observations, [&state](const auto &entry) { return !state.m_roster.m_seats.contains(entry.first); });
    std::erase_if(state.m_released, [&state](ShardId shard) {
        const auto holder = state.m_roster.m_holders.find(shard);
        return holder == state.m_roster.m_holders.end() || holder->second != ownKey(state);
    });
    if (isSeated(state) && !state.m_confirmedAt) {
        state.m_confirmedAt = state.m_joinStartedAt;
        effects.m_logLines.push_back("host has a seat in the roster");
    } else if (!isSeated(state) && state.m_confirmedAt) {
        state.m_confirmedAt.reset();
        state.m_joinStartedAt.reset();
        state.m_confirmationVersion = 0;
        effects.m_logLines.emplace_back("host has no seat in the roster any more");
    }
}

void onSnapshotRead(MembershipState &state, const Platform::Result &result, TimePoint now, Effects &effects)
{
    const auto *read = std::get_if<Platform::ItemRead>(&result);
    if (read == nullptr) {
        return;
    }
    if (!read->m_item) {
        state.m_loaded = true;
        return;
    }
    auto roster = decodeRoster(read->m_item->m_body);
    if (roster && roster->m_version >= state.m_roster.m_version) {
        state.m_roster = std::move(*roster);
        state.m_loaded = true;
        afterChange(state, now, effects);
    }
}

void onChangesRead(MembershipState &state, const Platform::Result &result, TimePoint now, Effects &effects)
{
    const auto *read = std::get_if<Platform::ItemsRead>(&result);
    if (read == nullptr) {
        state.m_readableSince.reset();
        return;
    }
    state.m_readableSince = state.m_readableSince.value_or(now);
    bool changed = false;
    for (const Platform::Item &item : read->m_items) {
        const auto change = decodeChange(item.m_body);
        if (!change) {
            return;
        }
        changed = applyNext(state, *change) || changed;
        if (change->m_version > state.m_roster.m_version) {
            // The log no longer reaches back to this host's version.
            state.m_loaded = false;
            break;
        }
    }
    if (changed) {
        afterChange(state, now, effects);
    }
    if (read->m_more) {
        callSoon(state, CallKind::ReadChanges);
    } else if (state.m_loaded) {
        state.m_rosterReadAt = now;
    }
}

void onConfirmationsRead(MembershipState &state, const Platform::Result &result, TimePoint now)
{
    const auto *read = std::get_if<Platform::ItemsRead>(&result);
    if (read == nullptr) {
        return;
    }
    for (const Platform::Item &item : read->m_items) {
        const auto key = seatFrom(item.m_key.m_sort);
        const auto confirmation = decodeConfirmation(item.m_body);
        if (!key || !confirmation || !state.m_roster.m_seats.contains(*key)) {
            continue;
        }
        if (*key == ownKey(state)) {
            state.m_confirmationVersion = item.m_version;
            continue;
        }
        Observation &observation = state.m_observations[*key];
        if (observation.m_version != item.m_version) {
            observation = {item.m_version, *confirmation, now, now, std::nullopt};
        }
        observation.m_readAt = now;
    }
}

void onChangeWritten(MembershipState &state, const Platform::Result &result, RandomGenerator &random, TimePoint now, Effects &effects)
{
    constexpr std::uint32_t MostDoublings = 5;
    constexpr std::uint64_t FirstBackoffMicroseconds = 50'000;
    const RosterChange change = state.m_pendingChange.value_or(RosterChange{});
    state.m_pendingChange.reset();
    if (std::holds_alternative<Platform::Written>(result)) {
        state.m_writeFailures = 0;
        if (!change.m_joined.empty()) {
            ++state.m_confirmationVersion;
        }
        if (applyNext(state, change)) {
            afterChange(state, now, effects);
        }
        return;
    }
    const std::uint64_t backoff = FirstBackoffMicroseconds << std::min(state.m_writeFailures, MostDoublings);
    ++state.m_writeFailures;
    state.m_writeAfter = now + Duration(static_cast<std::int64_t>(drawBelow(random, backoff)));
    // The outcome may be unknown; nothing is planned before the roster was read again.
    state.m_rosterReadAt.reset();
    callSoon(state, CallKind::ReadChanges);
    callSoon(state, CallKind::ReadConfirmations);
}

void onConfirmationWritten(MembershipState &state, const Platform::Result &result)
{
    if (std::holds_alternative<Platform::Written>(result)) {
        ++state.m_confirmationVersion;
        state.m_confirmedAt = state.m_startedAt.at(CallKind::WriteConfirmation);
    } else {
        callSoon(state, CallKind::ReadConfirmations);
    }
}

}

MembershipState makeMembership(const MembershipSettings &settings, RandomGenerator &random)
{
    MembershipState state;
    state.m_settings = settings;
    state.m_settings.m_seat.m_nonce = random();
    return state;
}

void tick(MembershipState &state, std::uint64_t configurationVersion, RandomGenerator & /*random*/, TimePoint now, Effects &effects)
{
    if (!state.m_startedTickingAt) {
        state.m_startedTickingAt = now;
    }
    sendHeartbeats(state, configurationVersion, now, effects);
    startReads(state, now, effects);
    startChange(state, configurationVersion, now, effects);
    startConfirmation(state, configurationVersion, now, effects);
}

void onAnswered(MembershipState &state, CallKind kind, const Platform::Result &result, RandomGenerator &random, TimePoint now, Effects &effects)
{
    state.m_running.erase(kind);
    switch (kind) {
    case CallKind::ReadSnapshot:
        return onSnapshotRead(state, result, now, effects);
    case CallKind::ReadChanges:
        return onChangesRead(state, result, now, effects);
    case CallKind::ReadConfirmations:
        return onConfirmationsRead(state, result, now);
    case CallKind::ReadList:
        if (const auto *list = std::get_if<Platform::TargetsRead>(&result)) {
            detail::noteList(state, *list, now);
        }
        return;
    case CallKind::WriteChange:
        return onChangeWritten(state, result, random, now, effects);
    case CallKind::WriteConfirmation:
        return onConfirmationWritten(state, result);
    }
}

void startLeaving(MembershipState &state, TimePoint /*now*/)
{
    state.m_leaving = true;
    state.m_heartbeatAt.reset();
}

void allowLeave(MembershipState &state)
{
    state.m_mayLeave = true;
}

bool isWithoutSeat(const MembershipState &state)
{
    return !isSeated(state);
}

TimePoint shardsEnd(const MembershipState &state)
{
    return state.m_confirmedAt ? *state.m_confirmedAt + state.m_settings.m_horizon : TimePoint::min();
}

bool mayUseShards(const MembershipState &state, TimePoint now)
{
    return isSeated(state) && state.m_confirmedAt && now < shardsEnd(state);
}

std::vector<ShardId> heldShards(const MembershipState &state)
{
    std::vector<ShardId> held;
    if (!isSeated(state)) {
        return held;
    }
    for (const auto &[shard, holder] : state.m_roster.m_holders) {
        if (holder == ownKey(state) && !state.m_released.contains(shard)) {
            held.push_back(shard);
        }
    }
    return held;
}

void releaseShard(MembershipState &state, ShardId shard)
{
    state.m_released.insert(shard);
}

}
