#include <ragwortrelay/detail/node/duties.h>

#include <algorithm>

namespace RagwortRelay::Node::detail {

namespace {

using Health::DecidingState;
using Health::HealthSettings;

constexpr Duration ListInterval = std::chrono::seconds(2);
constexpr Duration DecideInterval = std::chrono::milliseconds(200);
constexpr Duration DecidingLifetime = std::chrono::minutes(1); ///< Without reports.

/// Returns the settings for the size of the table: with many services, reports are sent more seldom.
HealthSettings scaledSettings(const Node &node)
{
    constexpr std::size_t ServicesAtFullPace = 60;
    HealthSettings settings = node.m_settings.m_health;
    const auto factor = static_cast<std::int64_t>(1 + node.m_catalogue.m_services.size() / ServicesAtFullPace);
    settings.m_reportInterval *= factor;
    settings.m_supportLease *= factor;
    return settings;
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

void sendToHost(Node &node, const HostId &host, const PeerMessage &message, TimePoint now, Actions &actions)
{
    if (host != node.m_settings.m_host) {
        actions.push_back(SendPeer{host, Membership::addressOf(node.m_membership, host), message});
        return;
    }
    const PeerSpoke spoke{host, node.m_settings.m_incarnation, message};
    if (const auto *report = std::get_if<Health::EvidenceReport>(&message)) {
        onEvidenceReport(node, spoke, *report, now, actions);
    } else if (const auto *verdicts = std::get_if<Health::ServiceVerdicts>(&message)) {
        onServiceVerdicts(node, spoke, *verdicts, now);
    }
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
void sendReports(Node &node, TimePoint now, Actions &actions)
{
    const HealthSettings settings = scaledSettings(node);
    std::map<HostId, Health::EvidenceReport> reports;
    for (const auto &[service, decider] : node.m_health.m_deciders) {
        const Membership::Seat *seat = Membership::currentSeat(node.m_membership.m_roster, decider);
        Health::Following &following = node.m_health.m_following[service];
        if (seat == nullptr || !Health::follow(following, settings, decider, seat->m_key.m_incarnation, *node.m_health.m_startedAt, now)) {
            continue;
        }
        Health::noteReported(following, settings, now);
        Health::EvidenceReport &report = reports[decider];
        report.m_toIncarnation = seat->m_key.m_incarnation;
        report.m_sentAt = now.time_since_epoch();
        report.m_supportFor = settings.m_supportLease;
        report.m_knownHosts = static_cast<std::uint32_t>(Membership::rosterSize(node.m_membership));
        report.m_services.push_back(evidenceOn(node, service, following));
    }
    for (const auto &[host, report] : reports) {
        sendToHost(node, host, report, now, actions);
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
    const std::vector<HostId> live = Membership::liveHosts(node.m_membership, now);
    if (live.empty()) {
        return;
    }
    chooseDeciders(node, live);
    noteOverdueAttempts(node, now);
    sendReports(node, now, actions);
}

void sendVerdicts(Node &node, const ServiceId &service, const HostId &to, TimePoint now, Actions &actions)
{
    DecidingState &deciding = node.m_health.m_deciding.at(service);
    Health::ServiceVerdicts verdicts = Health::verdictsFor(deciding, scaledSettings(node), to, now);
    verdicts.m_service = service;
    sendToHost(node, to, verdicts, now, actions);
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

void onEvidenceReport(Node &node, const PeerSpoke &spoke, const Health::EvidenceReport &report, TimePoint now, Actions &actions)
{
    if (report.m_toIncarnation != node.m_settings.m_incarnation) {
        return;
    }
    // Only hosts with a seat count for the majority.
    const Membership::Seat *seat = Membership::currentSeat(node.m_membership.m_roster, spoke.m_from);
    const bool isSeated = seat != nullptr && seat->m_key.m_incarnation == spoke.m_incarnation;
    for (Health::ServiceEvidence evidence : report.m_services) {
        if (!node.m_catalogue.m_serversOf.contains(evidence.m_service)) {
            continue;
        }
        if (!isSeated) {
            evidence.m_echo = Duration(0);
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
    for (const Platform::Target &target : read->m_targets) {
        if (target.m_kind == "server" && target.m_leaving) {
            node.m_health.m_leaving.insert(ServerId(target.m_name));
        }
    }
}

void tickHealth(Node &node, TimePoint now, Actions &actions)
{
    if (node.m_settings.m_health.m_policy != Health::EjectionPolicy::Pooled) {
        return;
    }
    if (!node.m_health.m_startedAt) {
        node.m_health.m_startedAt = now;
    }
    listTargets(node, now, actions);
    reportEvidence(node, now, actions);
    decideServices(node, now, actions);
}

}
