#include <ragwortrelay/detail/node/duties.h>

#include <algorithm>
#include <charconv>

namespace RagwortRelay::Node::detail {

namespace {

using Health::DecidingState;
using Health::HealthSettings;

constexpr Duration ListInterval = std::chrono::seconds(2);
constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
constexpr Duration LiveTime = std::chrono::seconds(4); ///< After a host was heard of.
constexpr Duration KnownTime = std::chrono::minutes(10); ///< After a host was heard of, it counts for the majority.
constexpr Duration DecideInterval = std::chrono::milliseconds(200);
constexpr Duration DecidingLifetime = std::chrono::minutes(1); ///< Without reports.

/// Returns the settings for the size of the table: with many services, reports are sent more seldom.
HealthSettings scaledSettings(const Node &node)
{
    constexpr std::size_t ServicesAtFullPace = 60;
    HealthSettings settings = node.m_settings.m_health;
    const std::size_t factor = 1 + node.m_catalogue.m_services.size() / ServicesAtFullPace;
    settings.m_reportInterval *= factor;
    settings.m_supportLease *= factor;
    return settings;
}

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

Health::ServiceView viewOf(const Node &node, const ServiceId &service, TimePoint now)
{
    Health::ServiceView view;
    view.m_service = service;
    const auto row = node.m_catalogue.m_services.find(service);
    view.m_floor = row == node.m_catalogue.m_services.end() ? 1.0 : row->second.m_floor;
    const auto members = node.m_catalogue.m_serversOf.find(service);
    if (members == node.m_catalogue.m_serversOf.end()) {
        return view;
    }
    for (const ServerId &id : members->second) {
        const Configuration::Server &server = node.m_catalogue.m_servers.at(id);
        const bool isLeaving = server.m_use == Configuration::ServerUse::Leaving || node.m_health.m_leaving.contains(id);
        view.m_servers.push_back({id, server.m_slots * server.m_weight, isLeaving, Balancing::isCold(node.m_balancer, id, now)});
    }
    return view;
}

/// Chooses the deciding hosts anew when the live hosts or the table changed.
void chooseDeciders(Node &node, const std::vector<HostId> &live)
{
    HealthState &health = node.m_health;
    if (health.m_decidersAmong == live && health.m_decidersVersion == node.m_catalogue.m_version) {
        return;
    }
    health.m_decidersAmong = live;
    health.m_decidersVersion = node.m_catalogue.m_version;
    health.m_deciders.clear();
    for (const auto &[service, servers] : node.m_catalogue.m_serversOf) {
        health.m_deciders[service] = *Health::decidingHost(service, live);
    }
    std::erase_if(health.m_following, [&health](const auto &entry) { return !health.m_deciders.contains(entry.first); });
}

void sendToHost(Node &node, const FleetHost &host, const PeerMessage &message, TimePoint now, Actions &actions)
{
    if (host.m_host == node.m_settings.m_host) {
        const PeerSpoke spoke{host.m_host, node.m_settings.m_incarnation, message};
        if (const auto *report = std::get_if<Health::EvidenceReport>(&message)) {
            onEvidenceReport(node, spoke, *report, now, actions);
        } else if (const auto *verdicts = std::get_if<Health::ServiceVerdicts>(&message)) {
            onServiceVerdicts(node, spoke, *verdicts, now);
        }
        return;
    }
    actions.push_back(SendPeer{host.m_host, host.m_address, message});
}

/// Brings attempts that run for far too long into the evidence before they end.
void noteOverdueAttempts(Node &node, TimePoint now)
{
    constexpr Duration LeastOverdue = std::chrono::milliseconds(200);
    constexpr int TimesUsual = 8;
    for (auto &[id, attempt] : node.m_attempts) {
        const auto server = node.m_catalogue.m_servers.find(attempt.m_server);
        if (attempt.m_isTimed || server == node.m_catalogue.m_servers.end() || Balancing::isCold(node.m_balancer, attempt.m_server, now)) {
            continue;
        }
        const Duration usual = node.m_balancer.m_services[server->second.m_service].m_meanWork;
        const Duration age = now - attempt.m_startedAt;
        if (age >= std::max(LeastOverdue, TimesUsual * usual)) {
            attempt.m_isTimed = true;
            Health::noteOverdue(node.m_health.m_book, attempt.m_server, age);
        }
    }
}

Health::ServiceEvidence evidenceOn(Node &node, const ServiceId &service, const Health::Following &following)
{
    Health::ServiceEvidence evidence;
    evidence.m_service = service;
    evidence.m_echo = following.m_echo;
    evidence.m_servers = Health::takeEvidence(node.m_health.m_book, node.m_catalogue.m_serversOf.at(service));
    evidence.m_held = following.m_verdicts;
    return evidence;
}

/// Sends each deciding host one report with all services that it decides for.
void sendReports(Node &node, const std::vector<FleetHost> &hosts, TimePoint now, Actions &actions)
{
    const HealthSettings settings = scaledSettings(node);
    std::map<HostId, Health::EvidenceReport> reports;
    for (const auto &[service, decider] : node.m_health.m_deciders) {
        const auto host = std::find_if(hosts.begin(), hosts.end(), [&](const FleetHost &entry) { return entry.m_host == decider; });
        Health::Following &following = node.m_health.m_following[service];
        if (!Health::follow(following, settings, decider, host->m_incarnation, *node.m_health.m_startedAt, now)) {
            continue;
        }
        Health::noteReported(following, settings, now);
        auto [report, isNew] =
            reports.try_emplace(decider, Health::EvidenceReport{host->m_incarnation, now.time_since_epoch(), settings.m_supportLease, 0, {}});
        report->second.m_knownHosts = static_cast<std::uint32_t>(hosts.size());
        report->second.m_services.push_back(evidenceOn(node, service, following));
    }
    for (const FleetHost &host : hosts) {
        const auto report = reports.find(host.m_host);
        if (report != reports.end()) {
            sendToHost(node, host, report->second, now, actions);
        }
    }
}

void reportEvidence(Node &node, TimePoint now, Actions &actions)
{
    HealthState &health = node.m_health;
    const bool isDue = !health.m_reportedAt || now - *health.m_reportedAt >= scaledSettings(node).m_reportInterval;
    if (!isDue || node.m_table.m_version == 0) {
        return;
    }
    health.m_reportedAt = now;
    const std::vector<FleetHost> hosts = fleetHosts(node, now);
    std::vector<HostId> live;
    for (const FleetHost &host : hosts) {
        if (host.m_isLive) {
            live.push_back(host.m_host);
        }
    }
    if (live.empty()) {
        return;
    }
    chooseDeciders(node, live);
    noteOverdueAttempts(node, now);
    sendReports(node, hosts, now, actions);
}

void sendVerdicts(Node &node, const ServiceId &service, const HostId &to, TimePoint now, Actions &actions)
{
    DecidingState &deciding = node.m_health.m_deciding.at(service);
    Health::ServiceVerdicts verdicts = Health::verdictsFor(deciding, scaledSettings(node), to, now);
    verdicts.m_service = service;
    FleetHost host{to, {}, 0, true};
    const auto listed = node.m_health.m_listed.find(to);
    if (listed != node.m_health.m_listed.end()) {
        host = listed->second;
    }
    sendToHost(node, host, verdicts, now, actions);
}

std::map<ServerId, Health::ServerState> statesOf(const DecidingState &deciding)
{
    std::map<ServerId, Health::ServerState> states;
    for (const auto &[id, record] : deciding.m_servers) {
        states[id] = record.m_state;
    }
    return states;
}

std::string toString(Health::ServerState state)
{
    switch (state) {
    case Health::ServerState::InUse:
        return "in use";
    case Health::ServerState::Ejected:
        return "ejected";
    case Health::ServerState::Trial:
        return "on trial";
    }
    return {};
}

/// Tells all hosts that report on the service when the verdicts have changed.
bool decideService(Node &node, const ServiceId &service, TimePoint now, Actions &actions)
{
    DecidingState &deciding = node.m_health.m_deciding.at(service);
    const auto before = statesOf(deciding);
    if (!Health::decide(deciding, scaledSettings(node), viewOf(node, service, now), now)) {
        return false;
    }
    for (const auto &[id, state] : statesOf(deciding)) {
        const auto old = before.find(id);
        if (old != before.end() && old->second != state) {
            Reporting::count(node.m_counters, "server_states{state=\"" + toString(state) + "\"}");
            actions.push_back(LogChange{"backend server " + id.text() + " of service " + service.text() + " is " + toString(state)});
        }
    }
    std::vector<HostId> hosts;
    for (const auto &[host, supporter] : deciding.m_supporters) {
        if (now - supporter.m_heardAt < scaledSettings(node).m_supportLease) {
            hosts.push_back(host);
        }
    }
    for (const HostId &host : hosts) {
        sendVerdicts(node, service, host, now, actions);
    }
    return true;
}

void decideServices(Node &node, TimePoint now, Actions &actions)
{
    HealthState &health = node.m_health;
    if (health.m_decidedAt && now - *health.m_decidedAt < DecideInterval) {
        return;
    }
    health.m_decidedAt = now;
    std::erase_if(health.m_deciding, [now](const auto &entry) {
        const auto &supporters = entry.second.m_supporters;
        return std::all_of(supporters.begin(), supporters.end(), [now](const auto &one) { return now - one.second.m_heardAt > DecidingLifetime; });
    });
    std::vector<ServiceId> services;
    for (const auto &[service, deciding] : health.m_deciding) {
        services.push_back(service);
    }
    for (const ServiceId &service : services) {
        decideService(node, service, now, actions);
    }
}

void listTargets(Node &node, TimePoint now, Actions &actions)
{
    HealthState &health = node.m_health;
    if (health.m_listRuns || (health.m_listedAt && now - *health.m_listedAt < ListInterval)) {
        return;
    }
    health.m_listRuns = true;
    health.m_listedAt = now;
    PendingCall pending;
    pending.m_purpose = PlatformPurpose::ListTargets;
    callPlatform(node, Platform::ListTargets{}, pending, actions);
}

void sendHeartbeats(Node &node, TimePoint now, Actions &actions)
{
    HealthState &health = node.m_health;
    if (health.m_heartbeatAt && now - *health.m_heartbeatAt < HeartbeatInterval) {
        return;
    }
    health.m_heartbeatAt = now;
    Membership::Heartbeat heartbeat;
    heartbeat.m_sequence = ++health.m_heartbeats;
    heartbeat.m_configurationVersion = node.m_table.m_version;
    heartbeat.m_leaving = node.m_stopAskedAt.has_value();
    for (const auto &[id, host] : health.m_listed) {
        if (id != node.m_settings.m_host) {
            actions.push_back(SendPeer{id, host.m_address, heartbeat});
        }
    }
}

/// Starts the slow start of servers that came back by these verdicts.
void noteReinstated(Node &node, const std::vector<Health::ServerVerdict> &before, const std::vector<Health::ServerVerdict> &after, TimePoint now)
{
    for (const Health::ServerVerdict &old : before) {
        const bool isListed = std::any_of(after.begin(), after.end(), [&](const auto &entry) { return entry.m_server == old.m_server; });
        if (old.m_verdict == Health::Verdict::Trial && !isListed) {
            Balancing::noteCold(node.m_balancer, node.m_settings.m_balancing, old.m_server, now);
            node.m_health.m_book.m_suspicions.erase(old.m_server);
        }
    }
}

}

std::vector<FleetHost> fleetHosts(const Node &node, TimePoint now)
{
    std::map<HostId, FleetHost> hosts = node.m_health.m_listed;
    for (const auto &[id, heard] : node.m_health.m_heard) {
        if (now - heard.m_at >= KnownTime) {
            continue;
        }
        FleetHost &host = hosts[id];
        host.m_host = id;
        host.m_incarnation = heard.m_incarnation;
        host.m_isLive = !heard.m_isLeaving && now - heard.m_at < LiveTime;
    }
    FleetHost &self = hosts[node.m_settings.m_host];
    self = {node.m_settings.m_host, node.m_settings.m_peerAddress, node.m_settings.m_incarnation, !node.m_stopAskedAt.has_value()};
    std::vector<FleetHost> sorted;
    for (const auto &[id, host] : hosts) {
        sorted.push_back(host);
    }
    return sorted;
}

void noteHeard(Node &node, const PeerSpoke &spoke, TimePoint now)
{
    HeardHost &heard = node.m_health.m_heard[spoke.m_from];
    if (spoke.m_incarnation < heard.m_incarnation) {
        return;
    }
    const auto *heartbeat = std::get_if<Membership::Heartbeat>(&spoke.m_message);
    const bool isSameLife = spoke.m_incarnation == heard.m_incarnation;
    const bool isLeaving = heartbeat != nullptr ? heartbeat->m_leaving : isSameLife && heard.m_isLeaving;
    heard = {now, spoke.m_incarnation, isLeaving};
}

void onEvidenceReport(Node &node, const PeerSpoke &spoke, const Health::EvidenceReport &report, TimePoint now, Actions &actions)
{
    if (report.m_toIncarnation != node.m_settings.m_incarnation) {
        return;
    }
    for (const Health::ServiceEvidence &evidence : report.m_services) {
        if (!node.m_catalogue.m_serversOf.contains(evidence.m_service)) {
            continue;
        }
        auto [deciding, isNew] = node.m_health.m_deciding.try_emplace(evidence.m_service);
        if (isNew) {
            deciding->second.m_startedAt = now;
        }
        if (!Health::takeReport(deciding->second, scaledSettings(node), spoke.m_from, spoke.m_incarnation, report, evidence, now)) {
            continue;
        }
        if (!decideService(node, evidence.m_service, now, actions)) {
            sendVerdicts(node, evidence.m_service, spoke.m_from, now, actions);
        }
    }
}

void onServiceVerdicts(Node &node, const PeerSpoke &spoke, const Health::ServiceVerdicts &verdicts, TimePoint now)
{
    const auto following = node.m_health.m_following.find(verdicts.m_service);
    if (following == node.m_health.m_following.end()) {
        return;
    }
    const std::vector<Health::ServerVerdict> before = following->second.m_verdicts;
    if (Health::takeVerdicts(following->second, spoke.m_from, spoke.m_incarnation, verdicts, now)) {
        noteReinstated(node, before, following->second.m_verdicts, now);
    }
}

void onTargetsListed(Node &node, const Platform::Result &result)
{
    node.m_health.m_listRuns = false;
    const auto *read = std::get_if<Platform::TargetsRead>(&result);
    if (read == nullptr) {
        return;
    }
    node.m_health.m_leaving.clear();
    node.m_health.m_listed.clear();
    for (const Platform::Target &target : read->m_targets) {
        if (target.m_kind == "server" && target.m_leaving) {
            node.m_health.m_leaving.insert(ServerId(target.m_name));
        } else if (target.m_kind == "host") {
            const HostId id(target.m_name);
            node.m_health.m_listed[id] = {id, target.m_address, numberOf(target.m_incarnation), false};
        }
    }
}

void tickHealth(Node &node, TimePoint now, Actions &actions)
{
    if (!node.m_health.m_startedAt) {
        node.m_health.m_startedAt = now;
    }
    listTargets(node, now, actions);
    sendHeartbeats(node, now, actions);
    reportEvidence(node, now, actions);
    decideServices(node, now, actions);
}

}
