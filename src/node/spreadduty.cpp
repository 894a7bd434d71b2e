#include <ragwortrelay/configuration/storedform.h>
#include <ragwortrelay/detail/node/duties.h>

#include <algorithm>

namespace RagwortRelay::Node::detail {

namespace {

using Configuration::HostEntry;

constexpr std::size_t PartSize = 64'000; // bytes
constexpr std::uint64_t LargestTable = 256U << 20U; // bytes
constexpr std::size_t MostAskedAtOnce = 64;
constexpr Duration FetchRetry = std::chrono::milliseconds(250);
constexpr Duration WatchInterval = std::chrono::milliseconds(250);
constexpr Duration WatchMemory = std::chrono::seconds(5);
constexpr std::int64_t AsksInMemory = 4; ///< Questions to a host before its last answer is too old.
constexpr std::size_t DomainsToJoin = 2;

std::string addressOf(const Node &node, const HostId &host)
{
    const ConfigurationState &state = node.m_configuration;
    const auto entry = state.m_roster.find(host);
    if (entry != state.m_roster.end() && !entry->second.m_address.empty()) {
        return entry->second.m_address;
    }
    const auto told = state.m_addresses.find(host);
    return told != state.m_addresses.end() ? told->second : Membership::addressOf(node.m_membership, host);
}

void send(const Node &node, const HostId &host, PeerMessage message, Actions &actions)
{
    actions.push_back(SendPeer{host, addressOf(node, host), std::move(message)});
}

std::vector<HostId> otherHosts(const Node &node)
{
    std::vector<HostId> hosts;
    for (const auto &[host, entry] : node.m_configuration.m_roster) {
        if (host != node.m_settings.m_host) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

/// Takes `count` hosts at random.
void sample(std::vector<HostId> &hosts, std::size_t count, RandomGenerator &random)
{
    for (std::size_t i = 0; i < std::min(count, hosts.size()); ++i) {
        std::swap(hosts[i], hosts[i + drawBelow(random, hosts.size() - i)]);
    }
    hosts.resize(std::min(count, hosts.size()));
}

bool isWatching(const Node &node, TimePoint now)
{
    const ConfigurationState &state = node.m_configuration;
    return state.m_watchedUntil && now < *state.m_watchedUntil;
}

/// Returns the hosts to ask about a version that an operator waits for.
std::vector<HostId> hostsBehind(const Node &node, std::uint64_t version)
{
    std::vector<HostId> hosts = otherHosts(node);
    std::erase_if(hosts, [&](const HostId &host) {
        const auto view = node.m_configuration.m_freshness.m_peers.find(host);
        return view != node.m_configuration.m_freshness.m_peers.end() && view->second.m_version >= version;
    });
    return hosts;
}

/// Returns the hosts to ask when the store hasn't confirmed the version: all of a small fleet, a majority and a tenth of a large one.
std::vector<HostId> hostsForMajority(Node &node)
{
    std::vector<HostId> hosts = otherHosts(node);
    if (hosts.size() > MostAskedAtOnce) {
        const std::size_t enough = hosts.size() / 2 + hosts.size() / 10 + 1;
        sample(hosts, enough, node.m_random);
    }
    return hosts;
}

/// Asks the hosts of the settings, of which just the addresses are known.
void askSeeds(const Node &node, const Configuration::Ask &ask, Actions &actions)
{
    for (const std::string &address : node.m_settings.m_seedAddresses) {
        if (address != node.m_settings.m_peerAddress) {
            actions.push_back(SendPeer{HostId(), address, ask});
        }
    }
}

void askHosts(Node &node, const std::vector<HostId> &hosts, TimePoint now, Actions &actions)
{
    ConfigurationState &state = node.m_configuration;
    const bool wantsHosts = node.m_table.m_version == 0;
    Configuration::Ask ask = Configuration::makeAsk(state.m_freshness, wantsHosts, now, node.m_settings.m_configuration.m_isolationAfter);
    ask.m_address = wantsHosts ? node.m_settings.m_peerAddress : std::string();
    for (const HostId &host : hosts) {
        send(node, host, ask, actions);
    }
    if (wantsHosts) {
        askSeeds(node, ask, actions);
    }
}

void askWhenDue(Node &node, TimePoint now, Actions &actions)
{
    ConfigurationState &state = node.m_configuration;
    const Duration interval = node.m_settings.m_configuration.m_isolationAfter / AsksInMemory;
    const auto isDue = [&](const std::optional<TimePoint> &last, Duration wait) { return !last || now - *last >= wait; };
    const auto &confirmedAt = state.m_freshness.m_confirmedAt;
    const bool isDoubtful = !confirmedAt || now - *confirmedAt > interval;
    if (isDoubtful && isDue(state.m_askedAt, interval)) {
        state.m_askedAt = now;
        askHosts(node, hostsForMajority(node), now, actions);
    }
    if (isWatching(node, now) && isDue(state.m_watchAskedAt, WatchInterval)) {
        state.m_watchAskedAt = now;
        askHosts(node, hostsBehind(node, state.m_watchedVersion), now, actions);
    }
}

/// Returns a host with the highest version; empty when none is above this host's.
HostId hostAhead(Node &node)
{
    std::uint64_t highest = node.m_table.m_version;
    std::vector<HostId> hosts;
    for (const auto &[host, view] : node.m_configuration.m_freshness.m_peers) {
        if (view.m_version > highest) {
            highest = view.m_version;
            hosts.clear();
        }
        if (view.m_version == highest && highest > node.m_table.m_version) {
            hosts.push_back(host);
        }
    }
    return hosts.empty() ? HostId() : hosts[drawBelow(node.m_random, hosts.size())];
}

void sendFetch(Node &node, const HostId &host, TimePoint now, Actions &actions)
{
    const PartialTable &partial = node.m_configuration.m_partial;
    node.m_configuration.m_fetchedAt = now;
    send(node, host, Configuration::Fetch{node.m_table.m_version, partial.m_version, partial.m_bytes.size()}, actions);
}

void fetchWhenDue(Node &node, TimePoint now, Actions &actions)
{
    ConfigurationState &state = node.m_configuration;
    if (state.m_fetchedAt && now - *state.m_fetchedAt < FetchRetry) {
        return;
    }
    const Duration memory = node.m_settings.m_configuration.m_isolationAfter;
    // While the store answers, a poll brings what is missing.
    const auto &confirmedAt = state.m_freshness.m_confirmedAt;
    if (confirmedAt && now - *confirmedAt <= memory / AsksInMemory) {
        return;
    }
    if (node.m_table.m_version == 0 && Configuration::countDomains(state.m_freshness, now, memory) < DomainsToJoin) {
        return;
    }
    const HostId host = hostAhead(node);
    if (!host.isEmpty()) {
        sendFetch(node, host, now, actions);
    }
}

std::vector<HostEntry> entriesOf(const Node &node)
{
    std::vector<HostEntry> entries;
    for (const auto &[host, entry] : node.m_configuration.m_roster) {
        entries.push_back(entry);
    }
    return entries;
}

/// Returns recent changes after a version, as many as fit into a part; none when the first of them isn't kept any more.
Configuration::RecentChanges changesSince(const Node &node, std::uint64_t version)
{
    Configuration::RecentChanges recent;
    const auto &kept = node.m_configuration.m_recent;
    if (kept.empty() || kept.front().m_version > version + 1) {
        return recent;
    }
    recent.m_firstVersion = version + 1;
    std::size_t bytes = 0;
    for (const RecentChange &change : kept) {
        if (change.m_version <= version) {
            continue;
        }
        bytes += change.m_body.size();
        if (bytes > PartSize) {
            break;
        }
        recent.m_changes.push_back(change.m_body);
    }
    return recent;
}

Configuration::TablePart tablePart(Node &node, const Configuration::Fetch &fetch)
{
    PartialTable &encoded = node.m_configuration.m_encoded;
    const bool goesOn = fetch.m_offset > 0 && fetch.m_partVersion == encoded.m_version;
    if (!goesOn && encoded.m_version != node.m_table.m_version) {
        encoded = {node.m_table.m_version, Configuration::encodeSnapshot({node.m_table, node.m_configuration.m_headChange})};
    }
    const std::uint64_t offset = goesOn ? std::min<std::uint64_t>(fetch.m_offset, encoded.m_bytes.size()) : 0;
    return {encoded.m_version, offset, encoded.m_bytes.size(), encoded.m_bytes.substr(offset, PartSize)};
}

void onHint(Node &node, const HostId &from, const Configuration::Hint &hint, TimePoint now, Actions &actions)
{
    notePeerVersion(node, from, hint.m_version);
    if (hint.m_version <= node.m_table.m_version) {
        return;
    }
    if (!hint.m_change.empty() && bringInForce(node, hint.m_version, hint.m_change, now, actions)) {
        sendHint(node, hint.m_version, hint.m_change, actions);
        return;
    }
    pollSoon(node, now, actions);
}

void onAsk(Node &node, const HostId &from, const Configuration::Ask &ask, TimePoint now, Actions &actions)
{
    const Configuration::FreshnessState &freshness = node.m_configuration.m_freshness;
    Configuration::Attest attest{ask.m_nonce, node.m_table.m_version, std::nullopt, freshness.m_established, node.m_settings.m_domain, {}};
    if (freshness.m_confirmedAt) {
        attest.m_confirmedAgo = now - *freshness.m_confirmedAt;
    }
    if (ask.m_wantsHosts) {
        attest.m_hosts = entriesOf(node);
        node.m_configuration.m_addresses[from] = ask.m_address;
    }
    send(node, from, std::move(attest), actions);
}

void onAttest(Node &node, const HostId &from, const Configuration::Attest &attest, TimePoint now, Actions &actions)
{
    ConfigurationState &state = node.m_configuration;
    if (!Configuration::takeAttest(state.m_freshness, from, attest, node.m_table.m_version)) {
        return;
    }
    if (state.m_rosterVersion == 0) {
        for (const HostEntry &entry : attest.m_hosts) {
            state.m_roster.try_emplace(entry.m_host, entry);
        }
    }
    fetchWhenDue(node, now, actions);
}

void onFetch(Node &node, const HostId &from, const Configuration::Fetch &fetch, Actions &actions)
{
    if (fetch.m_version >= node.m_table.m_version) {
        return;
    }
    Configuration::RecentChanges recent = changesSince(node, fetch.m_version);
    if (!recent.m_changes.empty()) {
        return send(node, from, std::move(recent), actions);
    }
    send(node, from, tablePart(node, fetch), actions);
}

void onRecentChanges(Node &node, const Configuration::RecentChanges &recent, TimePoint now, Actions &actions)
{
    std::uint64_t version = recent.m_firstVersion;
    for (const std::string &change : recent.m_changes) {
        bringInForce(node, version, change, now, actions);
        ++version;
    }
}

void onTablePart(Node &node, const HostId &from, const Configuration::TablePart &part, TimePoint now, Actions &actions)
{
    PartialTable &partial = node.m_configuration.m_partial;
    if (part.m_version <= node.m_table.m_version || part.m_total > LargestTable) {
        return;
    }
    if (part.m_offset == 0 && part.m_version != partial.m_version) {
        partial = {part.m_version, {}};
    }
    if (part.m_version != partial.m_version || part.m_offset != partial.m_bytes.size()) {
        return;
    }
    partial.m_bytes += part.m_bytes;
    if (partial.m_bytes.size() < part.m_total) {
        return sendFetch(node, from, now, actions);
    }
    const auto snapshot = Configuration::decodeSnapshot(partial.m_bytes);
    partial = {};
    if (!snapshot) {
        Reporting::count(node.m_counters, "configuration_unreadable");
        return;
    }
    adoptSnapshot(node, *snapshot, now, actions);
}

/// Takes over membership's roster when it has changed.
void takeRoster(Node &node)
{
    ConfigurationState &state = node.m_configuration;
    const Membership::Roster &roster = node.m_membership.m_roster;
    if (roster.m_version == state.m_rosterVersion) {
        return;
    }
    state.m_rosterVersion = roster.m_version;
    state.m_roster.clear();
    for (const HostId &host : Membership::seatedHosts(roster)) {
        const Membership::Seat *seat = Membership::currentSeat(roster, host);
        state.m_roster[host] = {host, seat->m_address, seat->m_domain};
    }
}

/// Forgets what an earlier life of a host had. Returns whether the message is of the present life.
bool noteIncarnation(Node &node, const PeerSpoke &spoke)
{
    ConfigurationState &state = node.m_configuration;
    std::uint64_t &known = state.m_incarnations[spoke.m_from];
    if (spoke.m_incarnation < known) {
        return false;
    }
    if (spoke.m_incarnation > known) {
        state.m_freshness.m_peers.erase(spoke.m_from);
        known = spoke.m_incarnation;
    }
    return true;
}

}

void notePeerVersion(Node &node, const HostId &host, std::uint64_t version)
{
    Configuration::PeerView &view = node.m_configuration.m_freshness.m_peers[host];
    view.m_version = std::max(view.m_version, version);
}

void sendHint(Node &node, std::uint64_t version, const std::string &body, Actions &actions)
{
    const ConfigurationSettings &settings = node.m_settings.m_configuration;
    std::vector<HostId> hosts = otherHosts(node);
    sample(hosts, settings.m_hintPeers, node.m_random);
    const Configuration::Hint hint{version, body.size() <= settings.m_largestHint ? body : std::string()};
    for (const HostId &host : hosts) {
        send(node, host, hint, actions);
    }
}

void onConfigurationSpoke(Node &node, const PeerSpoke &spoke, TimePoint now, Actions &actions)
{
    if (!noteIncarnation(node, spoke)) {
        return;
    }
    const HostId &from = spoke.m_from;
    if (const auto *hint = std::get_if<Configuration::Hint>(&spoke.m_message)) {
        onHint(node, from, *hint, now, actions);
    } else if (const auto *ask = std::get_if<Configuration::Ask>(&spoke.m_message)) {
        onAsk(node, from, *ask, now, actions);
    } else if (const auto *attest = std::get_if<Configuration::Attest>(&spoke.m_message)) {
        onAttest(node, from, *attest, now, actions);
    } else if (const auto *fetch = std::get_if<Configuration::Fetch>(&spoke.m_message)) {
        onFetch(node, from, *fetch, actions);
    } else if (const auto *recent = std::get_if<Configuration::RecentChanges>(&spoke.m_message)) {
        onRecentChanges(node, *recent, now, actions);
    } else if (const auto *part = std::get_if<Configuration::TablePart>(&spoke.m_message)) {
        onTablePart(node, from, *part, now, actions);
    } else if (const auto *heartbeat = std::get_if<Membership::Heartbeat>(&spoke.m_message)) {
        notePeerVersion(node, from, heartbeat->m_configurationVersion);
    }
}

void tickSpread(Node &node, TimePoint now, Actions &actions)
{
    takeRoster(node);
    askWhenDue(node, now, actions);
    fetchWhenDue(node, now, actions);
}

SpreadShown showSpread(Node &node, std::uint64_t version, TimePoint now)
{
    ConfigurationState &state = node.m_configuration;
    state.m_watchedVersion = version;
    state.m_watchedUntil = now + WatchMemory;
    SpreadShown shown;
    shown.m_version = version;
    shown.m_hosts.push_back({node.m_settings.m_host, node.m_table.m_version, Duration::zero()});
    for (const HostId &host : otherHosts(node)) {
        HostVersion line{host, 0, std::nullopt};
        const auto view = state.m_freshness.m_peers.find(host);
        if (view != state.m_freshness.m_peers.end()) {
            line.m_version = view->second.m_version;
            line.m_heardAgo = view->second.m_askedAt ? std::optional(now - *view->second.m_askedAt) : std::nullopt;
        }
        shown.m_hosts.push_back(line);
    }
    const auto inForce = std::count_if(shown.m_hosts.begin(), shown.m_hosts.end(), [&](const HostVersion &line) { return line.m_version >= version; });
    shown.m_accepted = 2 * static_cast<std::size_t>(inForce) > shown.m_hosts.size();
    return shown;
}

}
