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

/// Tells whether a seat was left by an earlier process of this host: this process listens on that one's address, so that it is over.
bool isPredecessor(const MembershipState &state, const Seat &seat, TimePoint now)
{
    const Seat &own = state.m_settings.m_seat;
    const bool isEarlier = seat.m_key.m_host == own.m_key.m_host && seat.m_key.m_incarnation < own.m_key.m_incarnation;
    const bool isOver = isEarlier && !own.m_address.empty() && seat.m_address == own.m_address;
    return isOver && state.m_observations.contains(seat.m_key) && now - *state.m_startedTickingAt >= state.m_settings.m_leaseMargin;
}

std::optional<RosterChange> reclaimChange(const MembershipState &state, TimePoint now)
{
    for (const auto &[key, seat] : state.m_roster.m_seats) {
        const bool isOwnPredecessor = isPredecessor(state, seat, now);
        if (!isOwnPredecessor && !mayReclaim(state, key, now)) {
            continue;
        }
        const Duration waitingFor = now - state.m_observations.at(key).m_goneAt.value_or(now) - state.m_settings.m_leaseMargin;
        if (!isOwnPredecessor && !isOwnTurn(state, "reclaim/" + key.m_host.text(), std::max(waitingFor, Duration::zero()), now)) {
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

std::optional<std::uint64_t> numberFrom(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && rest == end ? std::optional(number) : std::nullopt;
}

const Platform::Target *entryOf(const Platform::TargetsRead &list, const HostId &host)
{
    const auto entry = std::find_if(list.m_targets.begin(), list.m_targets.end(), [&host](const Platform::Target &target) {
        return target.m_kind == "host" && target.m_name == host.text();
    });
    return entry == list.m_targets.end() ? nullptr : &*entry;
}

/// Tells whether a list names a life that came after `listedAs`. Numbers tell an older list from a newer one.
bool isLaterLife(const std::string &listed, const std::string &listedAs)
{
    const auto listedNumber = numberFrom(listed);
    const auto ownNumber = numberFrom(listedAs);
    return listedNumber && ownNumber ? *listedNumber > *ownNumber : listed != listedAs;
}

/// Tells whether the list says that a life is over that it has named before: it names a later one, or the host no more.
bool isGoneBy(const Platform::TargetsRead &list, const SeatKey &key, const std::string &listedAs)
{
    if (listedAs.empty()) {
        return false;
    }
    const Platform::Target *entry = entryOf(list, key.m_host);
    return entry == nullptr || (listedAs != AnyLife && isLaterLife(entry->m_incarnation, listedAs));
}

/// Returns how the list names this life of this host, empty when it doesn't name it yet.
std::string ownNameIn(const Platform::TargetsRead &list, const MembershipSettings &settings)
{
    const Platform::Target *entry = entryOf(list, settings.m_seat.m_key.m_host);
    const std::string &given = settings.m_platformIncarnation;
    if (entry == nullptr || (!given.empty() && entry->m_incarnation != given)) {
        return {};
    }
    const bool isNamed = !given.empty() || entry->m_incarnation == std::to_string(settings.m_seat.m_key.m_incarnation);
    return isNamed ? entry->m_incarnation : AnyLife;
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
        transact.m_writes.push_back(confirmationWrite(seat.m_key, {configurationVersion, state.m_listedAs}, state.m_confirmationVersion));
    }
    return transact;
}

bool needsList(const MembershipState &state, TimePoint now)
{
    if (!isSeated(state)) {
        return false;
    }
    if (state.m_listedAs.empty()) {
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
    if (state.m_listedAs.empty()) {
        state.m_listedAs = ownNameIn(list, state.m_settings);
    }
    for (auto &[key, observation] : state.m_observations) {
        if (!isGoneBy(list, key, observation.m_confirmation.m_listedAs)) {
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
