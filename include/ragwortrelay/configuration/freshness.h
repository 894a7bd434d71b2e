#pragma once

#include <ragwortrelay/configuration/messages.h>
#include <ragwortrelay/core/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace RagwortRelay::Configuration {

/// Whether a host may answer for workspaces.
enum class Freshness : std::uint8_t {
    Confirmed, ///< A read of the store, its own or one that a peer attests, is young enough.
    Outage, ///< No such read, but more than half of the roster answers, and no host has a higher version.
    Isolated, ///< Neither: an accepted change may have passed this host by.
};

/// What this host knows of the version of another.
struct PeerView {
    std::uint64_t m_version = 0;
    std::optional<TimePoint> m_askedAt; ///< Time of the latest question that it has answered.
    bool m_established = false; ///< As it said in that answer.
    FailureDomainId m_domain;

    friend bool operator==(const PeerView &, const PeerView &) = default;
};

/// How sure this host is that it has the newest version.
struct FreshnessState {
    std::optional<TimePoint> m_confirmedAt; ///< Start of the youngest read of the store that showed the version in force as the newest.
    std::optional<TimePoint> m_startedAt; ///< Of this life.
    bool m_established = false; ///< Was sure at least once, as of this life; only then do other hosts count it.
    std::map<std::uint64_t, TimePoint> m_asks; ///< Questions by nonce.
    std::uint64_t m_lastNonce = 0;
    std::map<HostId, PeerView> m_peers;

    friend bool operator==(const FreshnessState &, const FreshnessState &) = default;
};

/// Notes a question to peers and returns it; forgets those older than `memory`.
Ask makeAsk(FreshnessState &state, bool wantsHosts, TimePoint now, Duration memory);

/// Notes an answer; one to an unknown question is left out. Returns whether it was taken.
/// @param version in force on this host
bool takeAttest(FreshnessState &state, const HostId &from, const Attest &attest, std::uint64_t version);

/// Notes that a read of the store, started at `startedAt`, showed the version in force as the newest.
void confirmVersion(FreshnessState &state, TimePoint startedAt);

/// Counts the hosts of the roster, this one included if it is established, that have answered a question of the last `memory`,
/// are established themselves and have no higher version than this one.
std::size_t
countReached(const FreshnessState &state, const std::map<HostId, HostEntry> &roster, const HostId &self, std::uint64_t version, TimePoint now, Duration memory);

/// Counts the failure domains of the hosts that have answered a question of the last `memory` with a version above 0.
std::size_t countDomains(const FreshnessState &state, TimePoint now, Duration memory);

/// Tells whether this host may answer for workspaces. Marks it as established when it may.
///
/// Why a host in an outage has all accepted changes: an accepted change is in force on more than half of the roster, the host has
/// heard more than half within `memory`, and two majorities share a host, whose version was no higher. A host replaced since has
/// lost its version; it counts for nobody until it has heard a majority without itself, or has a confirmation from after its start,
/// so it can't stand for the lost one.
/// Precondition: m_startedAt is set.
Freshness
judgeFreshness(FreshnessState &state, const std::map<HostId, HostEntry> &roster, const HostId &self, std::uint64_t version, TimePoint now, Duration memory);

}
