#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/membership/messages.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RagwortRelay::Membership {

/// Identity of a seat: one life of one host.
struct SeatKey {
    HostId m_host;
    Incarnation m_incarnation = 0;

    friend auto operator<=>(const SeatKey &, const SeatKey &) = default;
    friend bool operator==(const SeatKey &, const SeatKey &) = default;
};

/// Place of one life of a host in the roster.
struct Seat {
    SeatKey m_key;
    FailureDomainId m_domain;
    std::string m_address; ///< `IP:PORT` where other hosts reach it.
    std::uint64_t m_nonce = 0; ///< Drawn by the process that joined.

    friend bool operator==(const Seat &, const Seat &) = default;
};

/// Number of a shard: a fixed part of the limits of all workspaces, held by one seat at a time.
using ShardId = std::uint32_t;

/// Count of shards of a fleet. All hosts must agree on it.
inline constexpr ShardId ShardCount = 960;

/// Seats and the holders of the shards at one version.
struct Roster {
    std::uint64_t m_version = 0;
    std::map<SeatKey, Seat> m_seats;
    std::map<ShardId, SeatKey> m_holders; ///< Shards that are held; each holder has a seat.

    friend bool operator==(const Roster &, const Roster &) = default;
};

/// One step of the roster.
struct RosterChange {
    std::uint64_t m_version = 0; ///< That the change makes.
    std::vector<SeatKey> m_removed; ///< Their shards have no holder afterwards.
    std::vector<Seat> m_joined;
    std::map<ShardId, SeatKey> m_assigned; ///< Applied last.

    friend bool operator==(const RosterChange &, const RosterChange &) = default;
};

/// Applies the next change of the chain; leaves out one that isn't the next. Returns whether it was applied.
/// Not thread-safe on one roster.
bool applyChange(Roster &roster, const RosterChange &change);

/// Returns the seat of the latest life of a host, or nothing. Thread-safe on a roster that doesn't change.
const Seat *currentSeat(const Roster &roster, const HostId &host);

/// Returns the hosts that have a seat, in order. Thread-safe on a roster that doesn't change.
std::vector<HostId> seatedHosts(const Roster &roster);

/// Returns the hosts that exchange heartbeats with `host`: all up to a bounded fleet size, beyond it a bounded number that
/// hashing of pairs selects, half of them in the same failure domain. The relation is symmetric. Linear in the hosts. Thread-safe.
std::vector<HostId> peersOf(const Roster &roster, const HostId &host);

/// Fleets up to this size exchange heartbeats all with all.
inline constexpr std::size_t FullMeshHosts = 64;

/// Expected count of peers of a host in larger fleets.
inline constexpr std::size_t SparsePeers = 32;

}
