#pragma once

#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/membership/roster.h>
#include <ragwortrelay/membership/storedform.h>
#include <ragwortrelay/platform/table.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace RagwortRelay::Membership {

/// What membership is told about this host and how it is to behave.
struct MembershipSettings {
    Seat m_seat; ///< Of this host; the nonce is drawn by makeMembership().
    std::string m_platformIncarnation; ///< How the platform's list names this life; empty when it uses the incarnation of the seat or none.
    std::vector<std::string> m_seeds; ///< Addresses of some hosts, for a start without the platform.
    Duration m_pollInterval{std::chrono::seconds(1)}; ///< Between two reads of the roster's changes.
    Duration m_heartbeatInterval{std::chrono::seconds(1)}; ///< Doubled in fleets that are too large for a full mesh.
    Duration m_heardTimeout{std::chrono::seconds(4)}; ///< A host that was not heard of for longer isn't live. Doubled likewise.
    Duration m_confirmInterval{std::chrono::seconds(15)}; ///< Between two confirmations of a seat.
    Duration m_listInterval{std::chrono::seconds(10)}; ///< Between two reads of the platform's list while they are needed.
    Duration m_suspicion{std::chrono::seconds(30)}; ///< Silence after which a seat may be reclaimed if the list says that it is gone.
    Duration m_isolation{std::chrono::seconds(15)}; ///< A host that was out of touch with the fleet for so long has stopped serving.
    Duration m_horizon{std::chrono::hours(24)}; ///< A holder that could not confirm its seat for so long stops using its shards.
    Duration m_leaseMargin{std::chrono::seconds(15)}; ///< Longest lease with its margin; a seat that is gone is left alone for so long.

    friend bool operator==(const MembershipSettings &, const MembershipSettings &) = default;
};

/// What this host has heard from another one.
struct Peer {
    Incarnation m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_configurationVersion = 0;
    TimePoint m_heardAt;
    std::set<HostId> m_heard; ///< By that host.
    TimePoint m_heardToldAt; ///< When m_heard was told.
    bool m_leaving = false;
    std::string m_address; ///< Of a host without a seat.

    friend bool operator==(const Peer &, const Peer &) = default;
};

/// What this host has read of another seat's confirmation.
struct Observation {
    std::uint64_t m_version = 0; ///< Of the item.
    Confirmation m_confirmation;
    TimePoint m_changedAt; ///< First read of this version.
    TimePoint m_readAt; ///< Last read.
    std::optional<TimePoint> m_goneAt; ///< First of the successive lists that say that this life is gone.

    friend bool operator==(const Observation &, const Observation &) = default;
};

/// Kinds of calls to the platform that membership makes. At most one of a kind runs.
enum class CallKind : std::uint8_t {
    ReadSnapshot,
    ReadChanges,
    ReadConfirmations,
    ReadList,
    WriteChange,
    WriteConfirmation,
};

/// A call to the platform that is wanted.
struct StoreCall {
    CallKind m_kind{};
    Platform::Call m_call;

    friend bool operator==(const StoreCall &, const StoreCall &) = default;
};

/// A heartbeat that is to be sent.
struct Outgoing {
    HostId m_host;
    std::string m_address;
    Heartbeat m_heartbeat;

    friend bool operator==(const Outgoing &, const Outgoing &) = default;
};

/// What is to be done.
struct Effects {
    std::vector<StoreCall> m_calls;
    std::vector<Outgoing> m_heartbeats;
    std::vector<std::string> m_logLines; ///< Changes of state.

    friend bool operator==(const Effects &, const Effects &) = default;
};

/// Membership as one host knows it.
struct MembershipState {
    MembershipSettings m_settings;
    Roster m_roster;
    bool m_loaded = false; ///< A snapshot, or its absence, was read.
    std::map<HostId, Peer> m_peers;
    std::map<SeatKey, Observation> m_observations;
    std::set<CallKind> m_running;
    std::map<CallKind, TimePoint> m_startedAt; ///< Last start of each kind of call.
    std::optional<TimePoint> m_rosterReadAt; ///< Last successful read of the changes.
    std::optional<TimePoint> m_heartbeatAt;
    std::uint64_t m_sequence = 0;
    std::vector<HostId> m_heardTold; ///< The list that peers were told last.
    std::optional<TimePoint> m_confirmedAt; ///< Start of the last write of this host's seat that is known to have taken effect.
    std::uint64_t m_confirmationVersion = 0; ///< Stored for this host's seat.
    std::optional<RosterChange> m_pendingChange; ///< Of the running WriteChange.
    std::optional<TimePoint> m_writeAfter; ///< No change of the roster is written before.
    std::uint32_t m_writeFailures = 0;
    std::optional<TimePoint> m_readableSince; ///< Since when no read of the changes failed.
    TimePoint m_rosterChangedAt; ///< When this host learnt of the roster's version.
    std::optional<TimePoint> m_startedTickingAt;
    std::optional<TimePoint> m_joinStartedAt; ///< First try of this process to get its seat.
    std::set<ShardId> m_released; ///< Shards that this host no longer uses and offers to others.
    std::string m_listedAs; ///< As in the confirmation.
    bool m_leaving = false;
    bool m_mayLeave = false; ///< Nothing is lent or in use any more.

    friend bool operator==(const MembershipState &, const MembershipState &) = default;
};

/// Makes the state of a host that has just started.
MembershipState makeMembership(const MembershipSettings &settings, RandomGenerator &random);

/// Does what is due by time: heartbeats, reads, confirmations, and one step of the roster at a time.
/// Precondition: `now` doesn't run backwards. Not thread-safe on one state.
void tick(MembershipState &state, std::uint64_t configurationVersion, RandomGenerator &random, TimePoint now, Effects &effects);

/// Takes in the answer to a call of tick(). Not thread-safe on one state.
void onAnswered(MembershipState &state, CallKind kind, const Platform::Result &result, RandomGenerator &random, TimePoint now, Effects &effects);

/// Takes in a heartbeat; an old or repeated one changes nothing. Not thread-safe on one state.
void onHeartbeat(MembershipState &state, const SeatKey &from, const Heartbeat &heartbeat, TimePoint now);

/// Starts leaving: heartbeats tell it at once. The seat is given up after allowLeave(). Not thread-safe on one state.
void startLeaving(MembershipState &state, TimePoint now);

/// Lets the seat be given up: this host has stopped using its shards and has nothing lent. Not thread-safe on one state.
void allowLeave(MembershipState &state);

/// Tells whether this host has no seat (any more). Thread-safe on a state that doesn't change, like all below.
bool isWithoutSeat(const MembershipState &state);

/// Tells whether the shards that the roster gives to this host may be used: its seat was confirmed within the horizon.
bool mayUseShards(const MembershipState &state, TimePoint now);

/// Returns the instant after which mayUseShards() doesn't hold any more, unless the seat is confirmed again.
TimePoint shardsEnd(const MembershipState &state);

/// Returns the shards that this host holds by its roster and hasn't released.
std::vector<ShardId> heldShards(const MembershipState &state);

/// Returns the shards that this host should hand to others, so that all hosts hold about the same number; at most `limit`.
std::vector<ShardId> surplusShards(const MembershipState &state, std::size_t limit, TimePoint now);

/// Offers a shard to others. Precondition: this host doesn't use it any more and has lent nothing of it; it is not to be used
/// again before the roster gives it to this host anew. Not thread-safe on one state.
void releaseShard(MembershipState &state, ShardId shard);

/// Tells whether this host has heard from the other one lately.
bool hears(const MembershipState &state, const HostId &host, TimePoint now);

/// Tells whether the other host has heard from this one lately, by its own word.
bool isHeardBy(const MembershipState &state, const HostId &host, TimePoint now);

/// Tells whether messages pass both ways between this host and the other one.
bool reachesBothWays(const MembershipState &state, const HostId &host, TimePoint now);

/// Returns the seated hosts that are alive by this host's view, itself included: heard directly or by a host that it hears.
std::vector<HostId> liveHosts(const MembershipState &state, TimePoint now);

/// Returns the count of hosts with a seat.
std::size_t rosterSize(const MembershipState &state);

/// Tells whether more than half of the seated hosts are alive by this host's view, itself included.
bool reachesMajority(const MembershipState &state, TimePoint now);

/// Returns the address of a host, from the roster or its own word; empty when it is unknown.
std::string addressOf(const MembershipState &state, const HostId &host);

/// Returns the hosts with which this one exchanges heartbeats: those that the roster gives and others that were heard lately.
std::vector<HostId> currentPeers(const MembershipState &state, TimePoint now);

/// Returns the lowest version of the configuration that may be in force on a host that serves; 0 while one is unknown. Hosts that have
/// been silent for the isolation time don't count: a host that is out of touch for so long stops serving by itself.
std::uint64_t lowestConfigurationVersion(const MembershipState &state, std::uint64_t ownVersion, TimePoint now);

}
