#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/membership/roster.h>

#include <algorithm>
#include <limits>
#include <set>

namespace RagwortRelay::Membership {

namespace {

void removeSeat(Roster &roster, const SeatKey &key)
{
    roster.m_seats.erase(key);
    std::erase_if(roster.m_holders, [&key](const auto &holder) { return holder.second == key; });
}

/// Returns a number in [0, 1) that is the same for (a, b) and (b, a).
double pairUniform(const HostId &a, const HostId &b)
{
    constexpr double Range = 18446744073709551616.0; // 2^64
    const auto &[low, high] = std::minmax(a, b);
    return static_cast<double>(hashOf(high.text(), hashOf(low.text()))) / Range;
}

/// Returns each host's current domain.
std::map<HostId, FailureDomainId> currentDomains(const Roster &roster)
{
    std::map<HostId, FailureDomainId> domains;
    for (const auto &[key, seat] : roster.m_seats) {
        domains.insert_or_assign(key.m_host, seat.m_domain);
    }
    return domains;
}

std::size_t countDomains(const std::map<HostId, FailureDomainId> &domains)
{
    std::set<FailureDomainId> distinct;
    for (const auto &[host, domain] : domains) {
        distinct.insert(domain);
    }
    return distinct.size();
}

}

bool applyChange(Roster &roster, const RosterChange &change)
{
    if (change.m_version != roster.m_version + 1) {
        return false;
    }
    roster.m_version = change.m_version;
    for (const SeatKey &key : change.m_removed) {
        removeSeat(roster, key);
    }
    for (const Seat &seat : change.m_joined) {
        roster.m_seats.insert_or_assign(seat.m_key, seat);
    }
    for (const auto &[shard, key] : change.m_assigned) {
        if (roster.m_seats.contains(key)) {
            roster.m_holders.insert_or_assign(shard, key);
        }
    }
    return true;
}

const Seat *currentSeat(const Roster &roster, const HostId &host)
{
    const auto next = roster.m_seats.upper_bound({host, std::numeric_limits<Incarnation>::max()});
    if (next == roster.m_seats.begin()) {
        return nullptr;
    }
    const Seat &seat = std::prev(next)->second;
    return seat.m_key.m_host == host ? &seat : nullptr;
}

std::vector<HostId> seatedHosts(const Roster &roster)
{
    std::vector<HostId> hosts;
    for (const auto &[key, seat] : roster.m_seats) {
        if (hosts.empty() || hosts.back() != key.m_host) {
            hosts.push_back(key.m_host);
        }
    }
    return hosts;
}

std::vector<HostId> peersOf(const Roster &roster, const HostId &host)
{
    const auto domains = currentDomains(roster);
    const auto own = domains.find(host);
    const bool isFullMesh = domains.size() <= FullMeshHosts;
    const double hosts = static_cast<double>(domains.size());
    const double hostsInDomain = hosts / static_cast<double>(std::max<std::size_t>(countDomains(domains), 1));
    const double near = SparsePeers / 2.0 / hostsInDomain;
    const double far = SparsePeers / 2.0 / std::max(hosts - hostsInDomain, 1.0);
    std::vector<HostId> peers;
    for (const auto &[other, domain] : domains) {
        const double chance = own != domains.end() && domain == own->second ? near : far;
        if (other != host && (isFullMesh || pairUniform(host, other) < chance)) {
            peers.push_back(other);
        }
    }
    return peers;
}

}
