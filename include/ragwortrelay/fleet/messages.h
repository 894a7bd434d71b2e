#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/crashsuspects.h>
#include <ragwortrelay/fleet/membership.h>
#include <ragwortrelay/scheduling/placementrequest.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/// Messages between hosts. Any message may be lost, delayed, duplicated or reordered.
namespace RagwortRelay::Fleet {

/// Tables of the store that hosts replicate among one another.
enum class TableKind : std::uint8_t {
    Configuration,
    Servers,
    Hosts,
    Last = Hosts,
};

/// Number of replicated tables.
inline constexpr std::size_t TableKinds = 3;

/// Position up to which a host has replicated one table. Its versions contain the era of the store.
struct ReplicaPosition {
    std::uint64_t m_version = 0; ///< Version of the store up to which the table is known; 0 for an unknown table.
    std::uint64_t m_changed = 0; ///< Version of the last known change.
    Duration m_age{}; ///< Time since the store confirmed this state; meaningless without a version.
    std::uint64_t m_compactedVersion = 0; ///< Version up to which rows may have been erased of which the host retains nothing.
    std::uint64_t m_digest = 0; ///< Digest of the names and versions of all rows.

    friend bool operator==(const ReplicaPosition &, const ReplicaPosition &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_version, self.m_changed, self.m_age, self.m_compactedVersion, self.m_digest);
    }
};

/// Suspicion against a server, as computed by the leader.
struct SuspicionReport {
    ServerId m_server;
    FailureDomainId m_domain; ///< Failure domain from which the server was observed.
    double m_value = 0.0; ///< Value of the suspicion; see Health::Suspicion.

    friend bool operator==(const SuspicionReport &, const SuspicionReport &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_server, self.m_domain, self.m_value);
    }
};

/// Heartbeat between a host and its leader, in both directions. A host that names the receiver as its leader leases its own share of all
/// limits to it.
struct Heartbeat {
    Duration m_sentAt{}; ///< Time of sending by the sender's clock.
    Duration m_echo{}; ///< m_sentAt of the last heartbeat from the receiver, thus by the receiver's clock; 0 for none.
    Duration m_heldFor{}; ///< Time between the receipt of the echoed heartbeat and the sending of this one.
    FailureDomainId m_domain; ///< Failure domain of the sender.
    HostId m_leader; ///< Host that the sender follows; the sender itself if it leads.
    double m_leasedFraction = 0.0; ///< Fraction of the sender's own share that is leased to m_leader, 0 to 1.
    std::uint32_t m_followers = 0; ///< From a leader: followers whose lease is running.
    std::uint32_t m_reachableHosts = 0; ///< From a leader: hosts that it hears, including itself.
    std::uint64_t m_minConfigurationVersion = 0; ///< From a leader: lowest version of the configuration on the reachable hosts.
    bool m_hasQuorum = false; ///< From a leader: most of the registered hosts lease their share to it, and none knows a later configuration.
    bool m_wantsReply = false; ///< The receiver is asked to reply.
    bool m_isStoreReader = false; ///< From a leader that can't read the store: the receiver is appointed to read it.
    bool m_storeFails = false; ///< The sender reads the store, but its calls fail.
    std::vector<ReplicaPosition> m_tables; ///< Positions of the replicated tables, indexed by TableKind.
    std::vector<std::uint64_t> m_running; ///< From a follower: placements whose attempts are running.
    std::vector<SuspicionReport> m_suspicions; ///< From a leader: servers under suspicion.
    std::vector<std::uint64_t> m_quarantined; ///< From a leader: fingerprints of requests that crash servers.
    std::vector<Scheduling::LeavingServer> m_leaving; ///< Between a leader and its followers: servers that have announced that they are leaving.

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
                        self.m_quarantined,
                        self.m_leaving);
    }
};

/// One part of a table's delta. A delta travels compressed in as many parts as it needs.
struct DeltaPart {
    TableKind m_table{};
    std::uint64_t m_since = 0; ///< Version after which the contained changes were made; 0 for the whole table.
    std::uint64_t m_version = 0; ///< Version up to which the receiver knows the table once it has applied the delta.
    std::uint32_t m_index = 0; ///< Position among the parts, counted from 0.
    std::uint32_t m_count = 1; ///< Number of parts.
    std::string m_bytes; ///< Section of the compressed delta.

    friend bool operator==(const DeltaPart &, const DeltaPart &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_table, self.m_since, self.m_version, self.m_index, self.m_count, self.m_bytes);
    }
};

/// Reports that the leader has queued a placement request and replies to it later.
struct PlacementQueued {
    std::uint64_t m_number = 0; ///< Number of the placement.

    friend bool operator==(const PlacementQueued &, const PlacementQueued &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_number);
    }
};

/// Cancels a placement request.
struct PlacementCancelled {
    std::uint64_t m_number = 0; ///< Number of the placement.

    friend bool operator==(const PlacementCancelled &, const PlacementCancelled &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_number);
    }
};

/// Suspected crash of a server while it executed a request.
struct CrashReport {
    std::uint64_t m_fingerprint = 0; ///< Fingerprint of the request.
    HostId m_host; ///< Host that made the attempt.
    std::uint64_t m_number = 0; ///< Number of the placement; unique within the host's process.
    ServerId m_server;
    Dispatch::CrashSign m_sign{};
    bool m_isDoubtful = false; ///< See Dispatch::Crash.
    Duration m_age{}; ///< Time since the crash was noticed.
    Duration m_elapsed{}; ///< Time from the start of the attempt until then.

    friend bool operator==(const CrashReport &, const CrashReport &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_fingerprint, self.m_host, self.m_number, self.m_server, self.m_sign, self.m_isDoubtful, self.m_age, self.m_elapsed);
    }
};

/// Reports crashes: to the leader those that a host knows, to the possible successors of the leader those that the leader knows.
struct CrashReports {
    std::vector<CrashReport> m_reports;
    bool m_isComplete = false; ///< From a leader: replaces all earlier reports.

    friend bool operator==(const CrashReports &, const CrashReports &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_reports, self.m_isComplete);
    }
};

/// Any message between hosts. The position of an alternative is its number on the wire, so new alternatives are appended.
using Message = std::variant<Heartbeat,
                             DeltaPart,
                             Scheduling::PlacementRequest,
                             PlacementQueued,
                             Scheduling::PlacementReply,
                             Scheduling::AttemptReport,
                             PlacementCancelled,
                             CrashReports>;

/// Messages that one host sends to another together.
struct Datagram {
    HostId m_from;
    Incarnation m_incarnation = 0; ///< Incarnation of the sender's process.
    std::vector<Message> m_messages;

    friend bool operator==(const Datagram &, const Datagram &) = default;
};

}
