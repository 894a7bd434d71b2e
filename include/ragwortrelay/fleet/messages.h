#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/fleet/membership.h>
#include <ragwortrelay/scheduling/placementrequest.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/// What hosts tell one another. Any message may get lost, come late, twice or out of order.
namespace RagwortRelay::Fleet {

/// Tables of the store that hosts keep one another up to date about.
enum class TableKind : std::uint8_t {
    Configuration,
    Servers,
    Hosts,
    Last = Hosts,
};

inline constexpr std::size_t TableKinds = 3;

/// How far a host knows one table.
struct ReplicaPosition {
    std::uint64_t m_version = 0; ///< Version of the store up to which it knows the table; 0 for nothing.
    std::uint64_t m_changed = 0; ///< Version of the last change that it knows.
    Duration m_age{}; ///< Since the store confirmed this state; meaningless without a version.

    friend bool operator==(const ReplicaPosition &, const ReplicaPosition &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_version, self.m_changed, self.m_age);
    }
};

/// What speaks against a server, as the leader sees it.
struct SuspicionReport {
    ServerId m_server;
    FailureDomainId m_domain; ///< From which it was seen.
    double m_value = 0.0; ///< See Health::Suspicion.

    friend bool operator==(const SuspicionReport &, const SuspicionReport &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_server, self.m_domain, self.m_value);
    }
};

/// Heartbeat between a host and the one that it follows, in both directions. A host that names its receiver as its leader lends it the
/// part that it has of all limits.
struct Heartbeat {
    Duration m_sentAt{}; ///< By the sender's clock.
    Duration m_echo{}; ///< Of the last heartbeat that the sender had from the receiver, by the receiver's clock; 0 for none.
    Duration m_heldFor{}; ///< Since the sender had that heartbeat.
    FailureDomainId m_domain; ///< Of the sender.
    HostId m_leader; ///< That the sender follows; itself when it leads.
    double m_leasedFraction = 0.0; ///< Of the sender's part of all limits, 0 to 1; lent to the leader that it names.
    std::uint32_t m_followers = 0; ///< Of a sender that leads: those that have lent their part.
    std::uint32_t m_reachableHosts = 0; ///< Of a sender that leads: hosts that it hears, itself among them.
    std::uint64_t m_minConfigurationVersion = 0; ///< Of a sender that leads: lowest version of the configuration on these.
    bool m_hasQuorum = false; ///< Of a sender that leads: most of the registered hosts are bound to it, and none knows a later configuration.
    bool m_wantsReply = false;
    bool m_isStoreReader = false; ///< Of a sender that leads: the receiver is to follow the store, since the sender can't.
    bool m_storeFails = false; ///< The sender follows the store and gets no use of it.
    std::vector<ReplicaPosition> m_tables; ///< By TableKind.
    std::vector<std::uint64_t> m_running; ///< Placements of a sender that follows, whose attempts run.
    std::vector<SuspicionReport> m_suspicions; ///< Of a sender that leads.
    std::vector<std::uint64_t> m_quarantined; ///< Of a sender that leads: fingerprints of requests that crash servers.

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_sentAt,
                        self.m_echo,
                        self.m_heldFor,
                        self.m_domain,
                        self.m_leader,
                        self.m_leasedFraction,
                        self.m_followers,
                        self.m_reachableHosts,
                        self.m_minConfigurationVersion,
                        self.m_hasQuorum,
                        self.m_wantsReply,
                        self.m_isStoreReader,
                        self.m_storeFails,
                        self.m_tables,
                        self.m_running,
                        self.m_suspicions,
                        self.m_quarantined);
    }
};

/// One part of the changes of a table, which travel compressed in as many parts as they need.
struct DeltaPart {
    TableKind m_table{};
    std::uint64_t m_since = 0; ///< Changes after this version; 0 for the whole table.
    std::uint64_t m_version = 0; ///< Up to which the receiver knows the table with them.
    std::uint32_t m_index = 0;
    std::uint32_t m_count = 1;
    std::string m_bytes;

    friend bool operator==(const DeltaPart &, const DeltaPart &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_table, self.m_since, self.m_version, self.m_index, self.m_count, self.m_bytes);
    }
};

/// The leader has taken a placement and will answer it later.
struct PlacementQueued {
    std::uint64_t m_number = 0; ///< Of the placement.

    friend bool operator==(const PlacementQueued &, const PlacementQueued &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_number);
    }
};

/// A placement is no longer wanted.
struct PlacementCancelled {
    std::uint64_t m_number = 0; ///< Of the placement.

    friend bool operator==(const PlacementCancelled &, const PlacementCancelled &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_number);
    }
};

/// The position of a type is its number on the wire: new ones go to the end.
using Message = std::
    variant<Heartbeat, DeltaPart, Scheduling::PlacementRequest, PlacementQueued, Scheduling::PlacementReply, Scheduling::AttemptReport, PlacementCancelled>;

/// Messages of one host to another that travel together.
struct Datagram {
    HostId m_from;
    Incarnation m_incarnation = 0; ///< Of the sender.
    std::vector<Message> m_messages;

    friend bool operator==(const Datagram &, const Datagram &) = default;
};

}
