#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/fleet/membership.h>
#include <ragwortrelay/fleet/messages.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace RagwortRelay::Fleet {

/// How hosts choose a leader and lend it their parts.
struct LeadershipSettings {
    Duration m_heartbeatInterval{std::chrono::milliseconds(1000)}; ///< Between two heartbeats to a leader that answers.
    Duration m_replyTimeout{std::chrono::milliseconds(100)}; ///< After which an unanswered heartbeat is sent again.
    unsigned m_maxUnacknowledged = 3; ///< Heartbeats in a row without an answer until a host counts as silent.
    unsigned m_maxUndecidedReplies = 5; ///< Answers in a row of a host that still follows a silent one, until it isn't waited for any more.
    Duration m_silence{std::chrono::milliseconds(2000)}; ///< A silent host is left alone for so long.
    Duration m_lease{std::chrono::milliseconds(2200)}; ///< For which a heartbeat lends a part.
    Duration m_forgetAfter{std::chrono::milliseconds(3500)}; ///< A follower that was not heard of for so long is forgotten.
    Duration m_discoveryInterval{std::chrono::milliseconds(1000)}; ///< Between two rounds in which a leader looks for other leaders.
    double m_retainedFraction = 0.5; ///< Of its part that a host uses while an earlier leader may still use it.
    std::size_t m_discoveryFanout = 3; ///< Hosts that a leader asks for other leaders in one round.

    friend bool operator==(const LeadershipSettings &, const LeadershipSettings &) = default;
};

/// A host that follows this one.
struct Follower {
    FailureDomainId m_domain;
    Incarnation m_incarnation = 0;
    double m_leasedFraction = 0.0; ///< Of its part, 0 to 1.
    TimePoint m_leasedUntil; ///< By this host's clock, no later than the follower thinks.
    TimePoint m_heardAt;
    bool m_isRegistered = false; ///< Only the parts of registered hosts add up to the whole.

    friend bool operator==(const Follower &, const Follower &) = default;
};

/// What was heard of another host last.
struct Contact {
    Duration m_sentAt{}; ///< By the other host's clock.
    TimePoint m_receivedAt;
    Incarnation m_incarnation = 0;
};

/// Who leads, as one host sees it.
struct Leadership {
    LeadershipSettings m_settings;
    HostId m_self;
    std::vector<HostId> m_ranking;
    HostId m_leader; ///< This host itself when it leads.
    unsigned m_unacknowledged = 0; ///< Heartbeats to the leader in a row.
    HostId m_disputed; ///< Silent host that the leader follows, by its last answer.
    unsigned m_undecided = 0; ///< Answers of the leader in a row by which it follows a silent host.
    TimePoint m_nextHeartbeatAt{};
    std::optional<TimePoint> m_acknowledgedAt; ///< By the present leader.
    std::map<HostId, TimePoint> m_silentUntil;
    std::map<HostId, Follower> m_followers;
    std::map<HostId, Contact> m_contacts;
    std::vector<HostId> m_asked; ///< Hosts that are to be asked whom they follow.
    HostId m_leaseHolder; ///< Leader that this host's part was lent to last.
    TimePoint m_leaseExpiresAt{};
    TimePoint m_nextDiscoveryAt{};
    bool m_isStoreReader = false; ///< The leader asks this host to follow the store.
};

/// Makes the state of a host that leads itself.
Leadership makeLeadership(const LeadershipSettings &settings, const HostId &self);

/// Tells whether this host leads. Thread-safe on a state that doesn't change, like all functions that take it as constant.
bool isLeader(const Leadership &leadership);

/// Takes over the registered hosts. A host that leads nobody then follows the first in rank. Not thread-safe on one state.
void setMembership(Leadership &leadership, const Membership &membership, TimePoint now);

/// A heartbeat that is to be sent.
struct HeartbeatRequest {
    HostId m_host;
    bool m_wantsReply = true;

    friend bool operator==(const HeartbeatRequest &, const HeartbeatRequest &) = default;
};

/// Does what is due by time. Returns the heartbeats to send. Not thread-safe on one state.
std::vector<HeartbeatRequest> tick(Leadership &leadership, RandomGenerator &random, TimePoint now);

/// Fills in the part of a heartbeat that is about leadership, and binds this host to its leader. Not thread-safe on one state.
Heartbeat makeHeartbeat(Leadership &leadership, const HeartbeatRequest &order, TimePoint now);

/// Takes in a heartbeat. Returns whether it has to be answered at once. Not thread-safe on one state.
bool receiveHeartbeat(Leadership &leadership, const HostId &from, Incarnation incarnation, const Heartbeat &heartbeat, TimePoint now);

/// Makes the next heartbeat to the leader due at once: it has left something else unanswered. Not thread-safe on one state.
void expediteHeartbeat(Leadership &leadership, TimePoint now);

/// Returns an instant of this host that is no later than the one at which a heartbeat was written, if that can be told.
std::optional<TimePoint> writtenAfter(const Heartbeat &heartbeat);

/// Returns the part of all limits that this host may hand out, 0 to 1.
double shareOf(const Leadership &leadership, TimePoint now);

/// Tells whether a follower has bound its whole part to this host, so that it counts for no other leader.
bool isFullyLeased(const Follower &follower, TimePoint now);

/// Tells whether this host's own part isn't bound to another leader.
bool isShareUnleased(const Leadership &leadership, TimePoint now);

/// Returns how many followers have lent their part.
std::size_t followersOf(const Leadership &leadership, TimePoint now);

/// Returns when tick() has to be called at the latest.
TimePoint nextTickAt(const Leadership &leadership);

}
