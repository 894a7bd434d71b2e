#include <ragwortrelay/membership/membership.h>

#include <algorithm>

namespace RagwortRelay::Membership {

namespace {

const HostId &ownHost(const MembershipState &state)
{
    return state.m_settings.m_seat.m_key.m_host;
}

Duration heardTimeout(const MembershipState &state)
{
    const bool isSparse = state.m_roster.m_seats.size() > FullMeshHosts;
    return state.m_settings.m_heardTimeout * (isSparse ? 2 : 1);
}

}

bool hears(const MembershipState &state, const HostId &host, TimePoint now)
{
    const auto peer = state.m_peers.find(host);
    return peer != state.m_peers.end() && now - peer->second.m_heardAt <= heardTimeout(state);
}

bool isHeardBy(const MembershipState &state, const HostId &host, TimePoint now)
{
    const auto peer = state.m_peers.find(host);
    return peer != state.m_peers.end() && hears(state, host, now) && peer->second.m_heard.contains(ownHost(state));
}

bool reachesBothWays(const MembershipState &state, const HostId &host, TimePoint now)
{
    return hears(state, host, now) && isHeardBy(state, host, now);
}

std::vector<HostId> liveHosts(const MembershipState &state, TimePoint now)
{
    std::set<HostId> heard{ownHost(state)};
    for (const auto &[host, peer] : state.m_peers) {
        if (hears(state, host, now)) {
            heard.insert(host);
            heard.insert(peer.m_heard.begin(), peer.m_heard.end());
        }
    }
    std::vector<HostId> live = seatedHosts(state.m_roster);
    std::erase_if(live, [&heard](const HostId &host) { return !heard.contains(host); });
    return live;
}

std::size_t rosterSize(const MembershipState &state)
{
    return seatedHosts(state.m_roster).size();
}

bool reachesMajority(const MembershipState &state, TimePoint now)
{
    return 2 * liveHosts(state, now).size() > rosterSize(state);
}

std::string addressOf(const MembershipState &state, const HostId &host)
{
    const Seat *seat = currentSeat(state.m_roster, host);
    if (seat != nullptr) {
        return seat->m_address;
    }
    const auto peer = state.m_peers.find(host);
    return peer == state.m_peers.end() ? std::string() : peer->second.m_address;
}

std::vector<HostId> currentPeers(const MembershipState &state, TimePoint now)
{
    const std::vector<HostId> chosen = peersOf(state.m_roster, ownHost(state));
    std::set<HostId> peers(chosen.begin(), chosen.end());
    for (const auto &[host, peer] : state.m_peers) {
        if (hears(state, host, now) && !addressOf(state, host).empty()) {
            peers.insert(host);
        }
    }
    peers.erase(ownHost(state));
    return {peers.begin(), peers.end()};
}

void onHeartbeat(MembershipState &state, const SeatKey &from, const Heartbeat &heartbeat, TimePoint now)
{
    Peer &peer = state.m_peers[from.m_host];
    const bool isNewLife = from.m_incarnation > peer.m_incarnation;
    const bool isNewer = isNewLife || (from.m_incarnation == peer.m_incarnation && heartbeat.m_sequence > peer.m_sequence);
    if (!isNewer || from.m_host == ownHost(state)) {
        return;
    }
    if (isNewLife) {
        peer = {};
    }
    peer.m_incarnation = from.m_incarnation;
    peer.m_sequence = heartbeat.m_sequence;
    peer.m_configurationVersion = std::max(peer.m_configurationVersion, heartbeat.m_configurationVersion);
    peer.m_heardAt = now;
    peer.m_leaving = heartbeat.m_leaving;
    peer.m_address = heartbeat.m_address;
    if (!heartbeat.m_heardOmitted) {
        peer.m_heard = {heartbeat.m_heard.begin(), heartbeat.m_heard.end()};
        peer.m_heardToldAt = now;
    } else if (now - peer.m_heardToldAt > 2 * heardTimeout(state)) {
        peer.m_heard.clear();
    }
}

std::uint64_t lowestConfigurationVersion(const MembershipState &state, std::uint64_t ownVersion, TimePoint now)
{
    const TimePoint started = state.m_startedTickingAt.value_or(now);
    const std::vector<HostId> live = liveHosts(state, now);
    std::uint64_t lowest = ownVersion;
    for (const auto &[key, seat] : state.m_roster.m_seats) {
        if (key == state.m_settings.m_seat.m_key) {
            continue;
        }
        std::uint64_t version = 0;
        TimePoint heardAt = started;
        const auto peer = state.m_peers.find(key.m_host);
        if (peer != state.m_peers.end() && peer->second.m_incarnation == key.m_incarnation) {
            version = peer->second.m_configurationVersion;
            heardAt = peer->second.m_heardAt;
        }
        const auto observation = state.m_observations.find(key);
        if (observation != state.m_observations.end()) {
            version = std::max(version, observation->second.m_confirmation.m_configurationVersion);
            heardAt = std::max(heardAt, observation->second.m_changedAt);
        }
        const bool isLive = std::binary_search(live.begin(), live.end(), key.m_host) && currentSeat(state.m_roster, key.m_host) == &seat;
        if (isLive || now - heardAt < state.m_settings.m_isolation) {
            lowest = std::min(lowest, version);
        }
    }
    return lowest;
}

}
