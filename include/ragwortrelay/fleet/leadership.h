#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/fleet/membership.h>
#include <ragwortrelay/fleet/messageage.h>
#include <ragwortrelay/fleet/messages.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace RagwortRelay::Fleet {

/// Timing and limits of leader election and of share leases.
struct LeadershipSettings {
    Duration m_heartbeatInterval{std::chrono::milliseconds(1000)}; ///< Interval between heartbeats to a leader that replies.
    Duration m_replyTimeout{std::chrono::milliseconds(100)}; ///< Time without a reply after which a heartbeat to a prompt leader is sent again.
    Duration m_maxReplyTimeout{std::chrono::milliseconds(1000)}; ///< Time without a reply after which a heartbeat to any leader is sent again.
    double m_heartbeatJitter = 0.2; ///< Random part by which the interval is shorter or longer, so that the heartbeats of the followers don't come together.
    unsigned m_maxUnacknowledged = 3; ///< Consecutive heartbeats without a reply after which a host counts as silent, if nothing else was heard from it.
    Duration m_signOfLifeDuration{std::chrono::milliseconds(600)}; ///< Time after a message of any kind in which its sender doesn't count as silent.
    unsigned m_maxUndecidedReplies = 5; ///< Consecutive replies naming a silent leader after which the replying host is no longer waited for.
    Duration m_silentHostBackoff{std::chrono::milliseconds(2000)}; ///< Time for which a silent host is neither followed nor asked.
    Duration m_leaseDuration{std::chrono::milliseconds(2200)}; ///< Time for which a heartbeat leases the sender's share of all limits to its leader.
    Duration m_followerTimeout{std::chrono::milliseconds(3500)}; ///< Time without a heartbeat after which a leader removes a follower.
    Duration m_discoveryInterval{std::chrono::milliseconds(1000)}; ///< Interval between rounds in which a leader looks for other leaders.
    Duration m_firstDiscoveryDelay{std::chrono::milliseconds(100)}; ///< Time after a start for which hosts that start together may register first.
    double m_retainedFraction = 0.5; ///< Fraction of its own share that a host uses or leases while an earlier leader may still use the share.
    std::size_t m_discoveryFanout = 3; ///< Hosts that a leader asks about other leaders in one round.

    friend bool operator==(const LeadershipSettings &, const LeadershipSettings &) = default;
};

/// State that a leader keeps about a host that follows it.
struct Follower {
    FailureDomainId m_domain;
    Incarnation m_incarnation = 0;
    double m_leasedFraction = 0.0; ///< Fraction of the follower's own share that is leased to this host, 0 to 1.
    TimePoint m_leasedUntil; ///< End of the lease by this host's clock, no later than the end that the follower assumes.
    TimePoint m_heardAt; ///< Time of the last heartbeat from the follower.
    bool m_isRegistered = false; ///< Only registered hosts count, since only their shares add up to the whole limit.
    MessageAge m_messageAge; ///< Age of the follower's messages when they are read.

    friend bool operator==(const Follower &, const Follower &) = default;
};

/// Sum of the leases that a leader holds. It stays true until a lease ends or a follower changes.
struct LeaseSum {
    double m_fractions = 0.0; ///< Sum of the leased fractions of the registered followers' own shares.
    std::size_t m_followers = 0; ///< Number of followers whose lease is running.
    TimePoint m_validUntil{}; ///< Earliest end of a lease in the sum; the sum has to be taken again from then on.

    friend bool operator==(const LeaseSum &, const LeaseSum &) = default;
};

/// Latest heartbeat received from another host.
struct Contact {
    Duration m_sentAt{}; ///< Time of sending by the other host's clock.
    TimePoint m_receivedAt; ///< Time of receipt by this host's clock.
    Incarnation m_incarnation = 0; ///< Incarnation of the other host's process.
};

/// State of leader election as seen by one host.
struct Leadership {
    LeadershipSettings m_settings;
    HostId m_self;
    bool m_isRegistered =
        false; ///< The table of hosts names this host. Only then does this host have a share of its own, since the registered hosts share the whole.
    std::vector<HostId> m_ranking; ///< Registered hosts and this one, in the order in which they are preferred as leader.
    HostId m_leader; ///< Host that this one follows; this host itself if it leads.
    unsigned m_unacknowledged = 0; ///< Consecutive heartbeats to the leader without a reply.
    HostId m_disputedLeader; ///< Silent host that the leader follows according to its last reply.
    unsigned m_undecidedReplies = 0; ///< Consecutive replies in which the leader follows a silent host.
    TimePoint m_nextHeartbeatAt{};
    bool m_expeditesNext = false; ///< Another heartbeat to the leader is due as soon as the present one is answered.
    Duration m_currentInterval{}; ///< Interval from the last heartbeat to the leader to the next one.
    Duration m_replyTime{}; ///< Time that the present leader took for its last reply.
    TimePoint m_leaderHeardAt{}; ///< Time of the last message of any kind from the present leader.
    TimePoint m_leaderContactedAt{}; ///< Time of the last heartbeat to the present leader, which renewed the lease.
    std::optional<TimePoint> m_acknowledgedAt; ///< Time of the last reply from the present leader.
    std::map<HostId, TimePoint> m_silentUntil; ///< Silent hosts and the times at which they are tried again.
    std::map<HostId, Follower> m_followers;
    LeaseSum m_leases; ///< Sum over m_followers. Functions that change m_followers reset it; tick() takes it again.
    TimePoint m_nextFollowerCheckAt{}; ///< Next check for followers that have fallen silent.
    std::map<HostId, Contact> m_contacts;
    std::vector<HostId> m_discoveryTargets; ///< Hosts to be asked whom they follow.
    HostId m_leaseHolder; ///< Leader to which this host last leased its own share.
    TimePoint m_leaseExpiresAt{};
    TimePoint m_nextDiscoveryAt{};
    bool m_isStoreReader = false; ///< The leader has appointed this host to read the store.
};

/// Creates the state of a host that leads itself. It has no share of its own before setMembership() names it.
Leadership makeLeadership(const LeadershipSettings &settings, const HostId &self);

/// Returns whether this host leads. Thread-safe while the state isn't modified, like all functions here that take it as constant.
bool isLeader(const Leadership &leadership);

/// Applies the set of registered hosts. If this host leads but has no followers, it then follows the first host of the ranking. Not
/// thread-safe on one state.
void setMembership(Leadership &leadership, const Membership &membership, TimePoint now);

/// Heartbeat that is to be sent.
struct HeartbeatRequest {
    HostId m_host; ///< Receiver of the heartbeat.
    bool m_wantsReply = true; ///< The receiver is asked to reply.

    friend bool operator==(const HeartbeatRequest &, const HeartbeatRequest &) = default;
};

/// Performs the actions that are due. Returns the heartbeats to send. Not thread-safe on one state.
std::vector<HeartbeatRequest> tick(Leadership &leadership, RandomGenerator &random, TimePoint now);

/// Creates a heartbeat with the fields that concern leadership. A heartbeat to the leader also starts the lease of this host's share, so
/// call it only for heartbeats that are sent. Not thread-safe on one state.
Heartbeat makeHeartbeat(Leadership &leadership, const HeartbeatRequest &request, TimePoint now);

/// Applies a received heartbeat. Returns whether a reply must be sent at once. Not thread-safe on one state.
bool receiveHeartbeat(Leadership &leadership, const HostId &from, Incarnation incarnation, const Heartbeat &heartbeat, TimePoint now);

/// Records that a message of any kind came from a host. A leader that sends messages is alive, however late its replies to heartbeats are.
/// Not thread-safe on one state.
void recordSignOfLife(Leadership &leadership, const HostId &from, TimePoint now);

/// Makes the next heartbeat to the leader due at once, for example because the leader left another message unanswered. While a heartbeat
/// awaits its reply, the next one follows that reply. Not thread-safe on one state.
void expediteHeartbeat(Leadership &leadership, TimePoint now);

/// Returns a lower bound, by this host's clock, of the time at which a received heartbeat was written. Empty if the heartbeat echoes none
/// of this host's heartbeats.
std::optional<TimePoint> writtenAfter(const Heartbeat &heartbeat);

/// Returns the share of all limits that this host may hand out, 0 to 1. A host that isn't known to be registered hands out only what others lease to it. Takes
/// constant time between a tick() and the next change of a follower, else time linear in the followers.
double shareOf(const Leadership &leadership, TimePoint now);

/// Returns whether a follower has leased its whole share to this host, so that it counts for no other leader.
bool isFullyLeased(const Follower &follower, TimePoint now);

/// Returns whether this host's own share is not leased to another leader.
bool isShareUnleased(const Leadership &leadership, TimePoint now);

/// Returns the number of followers whose lease is running; 0 if this host doesn't lead.
std::size_t followersOf(const Leadership &leadership, TimePoint now);

/// Returns the time at which tick() must be called at the latest.
TimePoint nextTickAt(const Leadership &leadership);

}
