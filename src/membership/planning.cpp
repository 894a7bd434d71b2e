#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/detail/membership/planning.h>

#include <algorithm>
#include <charconv>

namespace RagwortRelay::Membership::detail {

namespace {

/// Allowance for clocks of two hosts that run at different speeds: one part in this many.
constexpr int ClockDriftDivisor = 50;

constexpr Duration TakeoverInterval = std::chrono::seconds(10);

const SeatKey &ownKey(const MembershipState &state)
{
    return state.m_settings.m_seat.m_key;
}

bool isHeardOf(const MembershipState &state, const SeatKey &key, TimePoint now)
{
    const auto peer = state.m_peers.find(key.m_host);
    if (peer != state.m_peers.end() && peer->second.m_incarnation == key.m_incarnation) {
        return now - peer->second.m_heardAt <= state.m_settings.m_suspicion;
    }
    return false;
}

/// Returns the seats that may get shards: the latest lives of live hosts that aren't leaving.
std::vector<const Seat *> candidates(const MembershipState &state, TimePoint now)
{
    std::vector<const Seat *> seats;
    for (const HostId &host : liveHosts(state, now)) {
        const auto peer = state.m_peers.find(host);
        const bool isOwn = host == ownKey(state).m_host;
        const bool leaves = isOwn ? state.m_leaving : peer != state.m_peers.end() && peer->second.m_leaving;
        if (!leaves) {
            seats.push_back(currentSeat(state.m_roster, host));
        }
    }
    return seats;
}

/// Returns the candidate that should hold a shard: neighbouring shards go to different failure domains.
const Seat *preferredHolder(ShardId shard, const std::map<FailureDomainId, std::vector<const Seat *>> &byDomain)
{
    const auto domain = std::next(byDomain.begin(), static_cast<std::ptrdiff_t>(shard % byDomain.size()));
    const std::string name = "shard/" + std::to_string(shard);
    return *std::max_element(domain->second.begin(), domain->second.end(), [&name](const Seat *left, const Seat *right) {
        return rendezvousScore(name, left->m_key.m_host.text(), 1.0) < rendezvousScore(name, right->m_key.m_host.text(), 1.0);
    });
}

/// Assigns shards to their preferred holders; nothing is assigned when there is no candidate.
std::map<ShardId, SeatKey> assignShards(const std::vector<ShardId> &shards, const std::vector<const Seat *> &seats)
{
    std::map<FailureDomainId, std::vector<const Seat *>> byDomain;
    for (const Seat *seat : seats) {
        byDomain[seat->m_domain].push_back(seat);
    }
    std::map<ShardId, SeatKey> assigned;
    if (byDomain.empty()) {
        return assigned;
    }
    for (const ShardId shard : shards) {
        assigned.emplace(shard, preferredHolder(shard, byDomain)->m_key);
    }
    return assigned;
}

std::vector<ShardId> shardsOf(const Roster &roster, const SeatKey &key)
{
    std::vector<ShardId> shards;
    for (const auto &[shard, holder] : roster.m_holders) {
        if (holder == key) {
            shards.push_back(shard);
        }
    }
    return shards;
}

std::vector<ShardId> unheldShards(const Roster &roster)
{
    std::vector<ShardId> shards;
    for (ShardId shard = 0; shard < ShardCount; ++shard) {
        if (!roster.m_holders.contains(shard)) {
            shards.push_back(shard);
        }
    }
    return shards;
}

/// Tells whether it is this host's turn to do a duty that one host is enough for; later, more hosts may.
bool isOwnTurn(const MembershipState &state, const std::string &duty, Duration waitingFor, TimePoint now)
{
    const double own = rendezvousScore(duty, ownKey(state).m_host.text(), 1.0);
    std::int64_t rank = 0;
    for (const HostId &host : liveHosts(state, now)) {
        rank += rendezvousScore(duty, host.text(), 1.0) > own ? 1 : 0;
    }
    return rank <= waitingFor / TakeoverInterval;
}

RosterChange joinChange(const MembershipState &state)
{
    RosterChange change;
    if (state.m_roster.m_seats.contains(ownKey(state))) {
        change.m_removed.push_back(ownKey(state));
    }
    change.m_joined.push_back(state.m_settings.m_seat);
    if (state.m_roster.m_holders.empty()) {
        change.m_assigned = assignShards(unheldShards(state.m_roster), {&state.m_settings.m_seat});
    }
    return change;
}

bool mayJoin(const MembershipState &state, TimePoint now)
{
    // A seat of this very name and life was left by an unknown process: what it lent must lapse first.
    const bool isTaken = state.m_roster.m_seats.contains(ownKey(state));
    return !isTaken || now - *state.m_startedTickingAt >= state.m_settings.m_leaseMargin;
}

bool mayReclaim(const MembershipState &state, const SeatKey &key, TimePoint now)
{
    const auto found = state.m_observations.find(key);
    const bool isReadable = state.m_readableSince && now - *state.m_readableSince >= state.m_settings.m_suspicion;
    if (key == ownKey(state) || found == state.m_observations.end() || !isReadable || isHeardOf(state, key, now)) {
        return false;
    }
    const Observation &observation = found->second;
    const Duration unchangedFor = observation.m_readAt - observation.m_changedAt;
    const bool isGone = observation.m_goneAt && now - *observation.m_goneAt >= state.m_settings.m_leaseMargin;
    const Duration horizon = state.m_settings.m_horizon + state.m_settings.m_horizon / ClockDriftDivisor + state.m_settings.m_leaseMargin;
    return (isGone && unchangedFor >= state.m_settings.m_suspicion) || unchangedFor >= horizon;
}

std::optional<RosterChange> reclaimChange(const MembershipState &state, TimePoint now)
{
    for (const auto &[key, seat] : state.m_roster.m_seats) {
        if (!mayReclaim(state, key, now)) {
            continue;
        }
        const Duration waitingFor = now - state.m_observations.at(key).m_goneAt.value_or(now) - state.m_settings.m_leaseMargin;
        if (!isOwnTurn(state, "reclaim/" + key.m_host.text(), std::max(waitingFor, Duration::zero()), now)) {
            continue;
        }
        RosterChange change;
        change.m_removed.push_back(key);
        std::vector<const Seat *> seats = candidates(state, now);
        std::erase_if(seats, [gone = &seat](const Seat *candidate) { return candidate == gone; });
        change.m_assigned = assignShards(shardsOf(state.m_roster, key), seats);
        return change;
    }
    return std::nullopt;
}

std::optional<RosterChange> leaveChange(const MembershipState &state, TimePoint now)
{
    if (!state.m_mayLeave) {
        return std::nullopt;
    }
    RosterChange change;
    change.m_removed.push_back(ownKey(state));
    change.m_assigned = assignShards(shardsOf(state.m_roster, ownKey(state)), candidates(state, now));
    return change;
}

std::optional<RosterChange> assignChange(const MembershipState &state, TimePoint now)
{
    RosterChange change;
    if (!state.m_released.empty()) {
        change.m_assigned = assignShards({state.m_released.begin(), state.m_released.end()}, candidates(state, now));
    }
    if (state.m_roster.m_holders.size() < ShardCount && isOwnTurn(state, "assign", now - state.m_rosterChangedAt, now)) {
        change.m_assigned.merge(assignShards(unheldShards(state.m_roster), candidates(state, now)));
    }
    return change.m_assigned.empty() ? std::nullopt : std::optional(change);
}

/// Tells whether the list says that this life is over: it names a later one, or it named this one and no longer does.
bool isGoneBy(const Platform::TargetsRead &list, const SeatKey &key, bool wasListed)
{
    for (const Platform::Target &target : list.m_targets) {
        if (target.m_kind != "host" || target.m_name != key.m_host.text()) {
            continue;
        }
        Incarnation listed = 0;
        const char *end = target.m_incarnation.data() + target.m_incarnation.size();
        const auto [rest, error] = std::from_chars(target.m_incarnation.data(), end, listed);
        const bool isNumber = error == std::errc() && rest == end;
        return isNumber && listed > key.m_incarnation;
    }
    return wasListed;
}

bool isListed(const Platform::TargetsRead &list, const SeatKey &key)
{
    return std::any_of(list.m_targets.begin(), list.m_targets.end(), [&key](const Platform::Target &target) {
        return target.m_kind == "host" && target.m_name == key.m_host.text() && target.m_incarnation == std::to_string(key.m_incarnation);
    });
}

}

bool isSeated(const MembershipState &state)
{
    const auto seat = state.m_roster.m_seats.find(ownKey(state));
    return seat != state.m_roster.m_seats.end() && seat->second.m_nonce == state.m_settings.m_seat.m_nonce;
}

std::optional<RosterChange> planChange(const MembershipState &state, TimePoint now)
{
    std::optional<RosterChange> change;
    if (!isSeated(state)) {
        if (!state.m_leaving && mayJoin(state, now)) {
            change = joinChange(state);
        }
    } else if (state.m_leaving) {
        change = leaveChange(state, now);
    } else {
        change = reclaimChange(state, now);
        if (!change) {
            change = assignChange(state, now);
        }
    }
    if (change) {
        change->m_version = state.m_roster.m_version + 1;
    }
    return change;
}

Platform::Transact transactionOf(const MembershipState &state, const RosterChange &change, std::uint64_t configurationVersion)
{
    Roster next = state.m_roster;
    applyChange(next, change);
    Platform::Transact transact = appendTransaction(change, next);
    for (const SeatKey &key : change.m_removed) {
        const auto observation = state.m_observations.find(key);
        const bool isOwn = key == ownKey(state);
        const std::uint64_t stored = isOwn ? state.m_confirmationVersion : observation->second.m_version;
        const bool joinsAgain = !change.m_joined.empty();
        if (!joinsAgain) {
            transact.m_writes.push_back({Platform::WriteKind::Erase, confirmationKey(key), stored, 0, ""});
        }
    }
    for (const Seat &seat : change.m_joined) {
        transact.m_writes.push_back(confirmationWrite(seat.m_key, {configurationVersion, state.m_listed}, state.m_confirmationVersion));
    }
    return transact;
}

bool needsList(const MembershipState &state, TimePoint now)
{
    if (!isSeated(state)) {
        return false;
    }
    if (!state.m_listed) {
        return true;
    }
    return std::any_of(state.m_observations.begin(), state.m_observations.end(), [&](const auto &entry) {
        const auto &[key, observation] = entry;
        const bool isSilent = observation.m_readAt - observation.m_changedAt >= state.m_settings.m_suspicion;
        return key != ownKey(state) && isSilent && !isHeardOf(state, key, now);
    });
}

void noteList(MembershipState &state, const Platform::TargetsRead &list, TimePoint now)
{
    state.m_listed = state.m_listed || isListed(list, ownKey(state));
    for (auto &[key, observation] : state.m_observations) {
        if (!isGoneBy(list, key, observation.m_confirmation.m_listed)) {
            observation.m_goneAt.reset();
        } else if (!observation.m_goneAt) {
            observation.m_goneAt = now;
        }
    }
}

}

namespace RagwortRelay::Membership {

std::vector<ShardId> surplusShards(const MembershipState &state, std::size_t limit, TimePoint now)
{
    constexpr double Tolerance = 1.25;
    std::vector<ShardId> held = heldShards(state);
    const std::vector<const Seat *> seats = detail::candidates(state, now);
    const double fair = static_cast<double>(ShardCount) / static_cast<double>(std::max<std::size_t>(seats.size(), 1));
    if (static_cast<double>(held.size()) <= fair * Tolerance + 1) {
        return {};
    }
    std::vector<ShardId> surplus;
    for (const auto &[shard, holder] : detail::assignShards(held, seats)) {
        if (holder != detail::ownKey(state) && surplus.size() < limit) {
            surplus.push_back(shard);
        }
    }
    return surplus;
}

}
