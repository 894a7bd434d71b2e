#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/limits/tokenbucket.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

/// Sub-leases: a leader lends parts of its share of the limits of busy workspaces to the hosts that use them.
///
/// A sub-lease is granted in the reply to a heartbeat. The host counts its duration from the sending of that heartbeat, the leader from the sending of the
/// reply, so that the host never considers it valid for longer. The leader grants only what the leases of its followers cover until the end, so that a follower
/// that takes its own part back never has tokens that are lent.
namespace RagwortRelay::Limits {

/// Settings of sub-leases.
struct SubleaseSettings {
    Duration m_duration{std::chrono::milliseconds(1900)}; ///< Duration of a sub-lease; shorter than that of a lease, which has to cover it.
    double m_maxLent = 0.65; ///< Largest part of the leader's share of a limit that is lent by use.
    double m_maxLentOfAll = 0.2; ///< Largest part of the leader's share of all limits that is lent to hosts that miss its replies. The rest is for other hosts.
    double m_minUseFraction = 0.7; ///< Part of a host's use that is lent to it when the limit is fully used; more would lapse in the gaps between its requests.
    double m_maxUseFraction = 1.5; ///< The same when the limit is little used; so the host seldom has no token in a group of requests.
    double m_minUse = 1.0; ///< Least use of a workspace by a host that gets a sub-lease, in tokens per second.
    double m_minTokens = 1.0; ///< Least part of the burst that is lent, in tokens; a smaller one is often empty when a request comes.
    std::size_t m_maxWorkspaces = 8; ///< Most sub-leases in one reply, so that a heartbeat stays within a datagram.

    friend bool operator==(const SubleaseSettings &, const SubleaseSettings &) = default;
};

/// Part of the limit of a workspace that a leader lends to a host.
struct Sublease {
    WorkspaceId m_workspace; ///< Empty for a part of all limits.
    double m_fraction = 0.0; ///< Fraction of the whole limit, 0 to 1.

    friend bool operator==(const Sublease &, const Sublease &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_workspace, self.m_fraction);
    }
};

/// Part of all limits that a leader may use until a point in time.
struct LeasedPart {
    double m_fraction = 0.0; ///< Fraction of the whole of each limit.
    TimePoint m_until;
};

/// Length of the slots in which ends of leases and sub-leases are counted. Leases are rounded down and sub-leases up.
inline constexpr Duration SubleaseSlot = std::chrono::milliseconds(50);

/// Share of each limit that a leader may use, by slot from the present one on.
using Backing = std::array<double, 64>;

/// Adds up the parts that a leader may use, for each slot from the present one on. Linear in the parts. Thread-safe.
Backing backingOf(const std::vector<LeasedPart> &parts, TimePoint now);

/// Use of the tokens of a workspace by a host.
struct TokenUse {
    std::uint32_t m_count = 0; ///< Tokens since the last update of the rate.
    double m_rate = 0.0; ///< Tokens per second, a moving average.
    TimePoint m_updatedAt{};
};

/// Fraction that a leader has lent to a host until the end of a slot.
struct LentPart {
    double m_fraction = 0.0;
    std::int64_t m_endSlot = 0; ///< First slot in which the part is no longer in use.
};

/// What is lent of the limit of one workspace.
struct LentLimit {
    std::map<std::int64_t, double> m_byEnd; ///< Sum over the hosts of what ends with each slot.
    std::map<HostId, std::vector<LentPart>> m_byHost; ///< Parts of each host by their ends; the fractions decrease. The greatest that hasn't ended counts.
};

/// Sub-leases that a host has granted, also before it ceased to lead.
struct Lender {
    std::map<WorkspaceId, LentLimit> m_limits;
    std::map<HostId, std::map<WorkspaceId, TokenUse>> m_uses;
    std::map<WorkspaceId, double> m_totalUses; ///< Tokens per second that all hosts use of a limit.
};

/// Counts a token that a host has used, whether it was lent or not. Not thread-safe on one lender, like all functions that change it.
void recordUse(Lender &lender, const HostId &host, const WorkspaceId &workspace, TimePoint now);

/// Grants a host sub-leases of the workspaces that it uses most, until `now + SubleaseSettings::m_duration` at the latest. What is lent of a limit never
/// exceeds the backing in any slot. The time taken doesn't grow with the number of hosts.
/// @param buckets limits of the workspaces
std::vector<Sublease> grantSubleases(Lender &lender,
                                     const SubleaseSettings &settings,
                                     const HostId &host,
                                     const std::map<WorkspaceId, TokenBucket> &buckets,
                                     const Backing &backing,
                                     TimePoint now);

/// Grants a host a part of all limits, which is in addition to what it gets by its use.
std::vector<Sublease>
grantPartOfAll(Lender &lender, const SubleaseSettings &settings, const HostId &host, double wanted, const Backing &backing, TimePoint now);

/// Returns the fraction of the limit of a workspace that is lent at a time, without the parts of all limits; those alone for an empty workspace. Thread-safe on
/// a lender that doesn't change.
double lentFraction(const Lender &lender, const WorkspaceId &workspace, TimePoint now);

/// Removes ended sub-leases and hosts that use nothing any more. Linear in the sub-leases.
void forgetEnded(Lender &lender, TimePoint now);

/// Sub-lease that a host holds.
struct Borrowed {
    double m_fraction = 0.0;
    TimePoint m_until;

    friend bool operator==(const Borrowed &, const Borrowed &) = default;
};

/// Sub-leases that a host holds, by workspace.
using Borrowings = std::map<WorkspaceId, Borrowed>;

/// Applies the sub-leases of a reply, and removes those that have ended. A reply to an earlier heartbeat than the one that gave a sub-lease changes nothing.
/// @param askedAt sending of the heartbeat to which the leader replies, by this host's clock
void applySubleases(Borrowings &borrowings, const SubleaseSettings &settings, const std::vector<Sublease> &subleases, TimePoint askedAt, TimePoint now);

}
