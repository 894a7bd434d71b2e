#include <ragwortrelay/configuration/storedform.h>
#include <ragwortrelay/detail/node/duties.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <algorithm>

namespace RagwortRelay::Node::detail {

namespace {

using Configuration::Freshness;

constexpr std::size_t MostRecentChanges = 256;
constexpr std::size_t MostRecentBytes = 1'000'000;
constexpr std::size_t MostRememberedIds = 4096;
constexpr std::size_t MostHintsOfOnePoll = 4;

/// Returns the time between two polls. The reads of the whole fleet stay within a budget.
Duration pollInterval(const Node &node)
{
    const auto hosts = static_cast<std::int64_t>(node.m_configuration.m_roster.size());
    const Duration share = std::chrono::seconds(hosts) / std::max(1U, node.m_settings.m_configuration.m_pollsPerSecond);
    return std::max(node.m_settings.m_pollInterval, share);
}

void rememberChange(ConfigurationState &state, std::uint64_t version, const std::string &id, const std::string &body)
{
    state.m_headChange = id;
    if (state.m_versionOfChange.emplace(id, version).second) {
        state.m_changeOrder.push_back(id);
    }
    if (state.m_changeOrder.size() > MostRememberedIds) {
        state.m_versionOfChange.erase(state.m_changeOrder.front());
        state.m_changeOrder.pop_front();
    }
    state.m_recent.push_back({version, body});
    state.m_recentBytes += body.size();
    while (state.m_recent.size() > MostRecentChanges || state.m_recentBytes > MostRecentBytes) {
        state.m_recentBytes -= state.m_recent.front().m_body.size();
        state.m_recent.pop_front();
    }
}

void startPoll(Node &node, TimePoint now, Actions &actions)
{
    node.m_pollRuns = true;
    node.m_polledAt = now;
    node.m_configuration.m_pollAgain = false;
    const std::uint64_t version = node.m_table.m_version;
    if (version == 0) {
        return callPlatform(node, Platform::GetItem{Configuration::snapshotKey()}, {PlatformPurpose::ReadSnapshotName, 0, now, 0}, actions);
    }
    callPlatform(node, Configuration::changesAfter(version), {PlatformPurpose::PollChanges, 0, now, version}, actions);
}

void endPoll(Node &node, TimePoint now, Actions &actions)
{
    node.m_pollRuns = false;
    runEdits(node, now, actions);
    if (node.m_configuration.m_pollAgain && !node.m_pollRuns) {
        startPoll(node, now, actions);
    }
}

void noteStoreBehind(Node &node, bool behind, Actions &actions)
{
    if (behind) {
        Reporting::count(node.m_counters, "configuration_store_behind");
    }
    if (node.m_configuration.m_isStoreBehind == behind) {
        return;
    }
    node.m_configuration.m_isStoreBehind = behind;
    const std::string version = std::to_string(node.m_table.m_version);
    actions.push_back(LogChange{behind ? "the store lacks configuration version " + version + ", which is in force here"
                                       : "the store has configuration version " + version + " again"});
}

/// Tells whether the store's chain holds the version that was read after.
bool hasBase(const Node &node, const Configuration::ChainRead &chain, std::uint64_t base)
{
    if (base == 0 || (chain.m_markOfBase.empty() && !chain.m_entries.empty())) {
        return true;
    }
    return base == node.m_table.m_version ? chain.m_markOfBase == node.m_configuration.m_headChange : !chain.m_markOfBase.empty();
}

/// Applies the entries in order. Returns false when one couldn't be applied yet.
bool applyEntries(Node &node, const Configuration::ChainRead &chain, TimePoint now, Actions &actions)
{
    std::size_t left = chain.m_entries.size();
    for (const Configuration::LogEntry &entry : chain.m_entries) {
        --left;
        if (entry.m_version <= node.m_table.m_version) {
            continue;
        }
        if (!entry.m_object.empty()) {
            callPlatform(node, Platform::GetObject{entry.m_object}, {PlatformPurpose::ReadChangeObject, 0, now, entry.m_version}, actions);
            return false;
        }
        if (!bringInForce(node, entry.m_version, entry.m_change, now, actions)) {
            endPoll(node, now, actions);
            return false;
        }
        if (left < MostHintsOfOnePoll) {
            sendHint(node, entry.m_version, entry.m_change, actions);
        }
    }
    return true;
}

void onChangesRead(Node &node, const PendingCall &call, const Platform::ItemsRead &read, TimePoint now, Actions &actions)
{
    const Configuration::ChainRead chain = Configuration::readChain(read, call.m_version);
    const bool isTrimmed = !chain.m_entries.empty() && chain.m_entries.front().m_version > node.m_table.m_version + 1;
    if (isTrimmed) {
        return callPlatform(
            node, Platform::GetItem{Configuration::snapshotKey()}, {PlatformPurpose::ReadSnapshotName, 0, now, node.m_table.m_version + 1}, actions);
    }
    if (!hasBase(node, chain, call.m_version)) {
        noteStoreBehind(node, true, actions);
        return endPoll(node, now, actions);
    }
    noteStoreBehind(node, false, actions);
    if (!applyEntries(node, chain, now, actions)) {
        return;
    }
    if (read.m_more) {
        return startPoll(node, now, actions);
    }
    Configuration::confirmVersion(node.m_configuration.m_freshness, call.m_startedAt);
    endPoll(node, now, actions);
}

void onChangeObjectRead(Node &node, const PendingCall &call, const Platform::ObjectRead &read, TimePoint now, Actions &actions)
{
    if (!read.m_content || !bringInForce(node, call.m_version, *read.m_content, now, actions)) {
        return endPoll(node, now, actions);
    }
    sendHint(node, call.m_version, *read.m_content, actions);
    startPoll(node, now, actions);
}

void onSnapshotNameRead(Node &node, const PendingCall &call, const Platform::ItemRead &read, TimePoint now, Actions &actions)
{
    if (read.m_item && read.m_item->m_version > node.m_table.m_version) {
        return callPlatform(node, Platform::GetObject{read.m_item->m_body}, {PlatformPurpose::ReadSnapshot, 0, now, read.m_item->m_version}, actions);
    }
    if (call.m_version == 0 && node.m_table.m_version == 0) {
        return callPlatform(node, Configuration::changesAfter(0), {PlatformPurpose::PollChanges, 0, now, 0}, actions);
    }
    endPoll(node, now, actions);
}

void onSnapshotRead(Node &node, const Platform::ObjectRead &read, TimePoint now, Actions &actions)
{
    const auto snapshot = read.m_content ? Configuration::decodeSnapshot(*read.m_content) : tl::unexpected(Error{});
    if (!snapshot) {
        Reporting::count(node.m_counters, "configuration_unreadable");
        return endPoll(node, now, actions);
    }
    adoptSnapshot(node, *snapshot, now, actions);
    startPoll(node, now, actions);
}

const char *textOf(Freshness mode)
{
    switch (mode) {
    case Freshness::Confirmed:
        return "configuration confirmed by the store";
    case Freshness::Outage:
        return "store out of reach for the hosts that answer; serving the configuration that most of them have";
    case Freshness::Isolated:
        return "host isolated: configuration not confirmed, and no more than half of the roster answers";
    }
    return "";
}

void judge(Node &node, TimePoint now, Actions &actions)
{
    ConfigurationState &state = node.m_configuration;
    const Duration memory = node.m_settings.m_configuration.m_isolationAfter;
    const Freshness mode = Configuration::judgeFreshness(state.m_freshness, state.m_roster, node.m_settings.m_host, node.m_table.m_version, now, memory);
    if (mode != state.m_mode) {
        state.m_mode = mode;
        actions.push_back(LogChange{textOf(mode)});
    }
}

}

bool bringInForce(Node &node, std::uint64_t version, const std::string &body, TimePoint now, Actions &actions)
{
    if (version != node.m_table.m_version + 1) {
        return false;
    }
    const auto change = Configuration::decodeChange(body, version);
    if (!change || !Configuration::applyChange(node.m_table, *change)) {
        Reporting::count(node.m_counters, "configuration_unreadable");
        return false;
    }
    Configuration::updateCatalogue(node.m_catalogue, *change);
    Balancing::noteCatalogue(node.m_balancer, node.m_settings.m_balancing, node.m_catalogue, now);
    rememberChange(node.m_configuration, version, change->m_changeId, body);
    Reporting::count(node.m_counters, "configuration_changes");
    actions.push_back(LogChange{"configuration version " + std::to_string(version) + " in force"});
    return true;
}

void adoptSnapshot(Node &node, const Configuration::Snapshot &snapshot, TimePoint now, Actions &actions)
{
    if (snapshot.m_table.m_version <= node.m_table.m_version) {
        return;
    }
    Findings findings;
    node.m_table = snapshot.m_table;
    node.m_catalogue = Configuration::buildCatalogue(node.m_table, findings);
    Balancing::noteCatalogue(node.m_balancer, node.m_settings.m_balancing, node.m_catalogue, now);
    node.m_configuration.m_headChange = snapshot.m_changeId;
    node.m_configuration.m_recent.clear();
    node.m_configuration.m_recentBytes = 0;
    node.m_configuration.m_partial = {};
    Reporting::count(node.m_counters, "configuration_snapshots_read");
    actions.push_back(LogChange{"configuration version " + std::to_string(node.m_table.m_version) + " in force, from a snapshot"});
}

bool mayServeWorkspaces(Node &node, TimePoint now)
{
    ConfigurationState &state = node.m_configuration;
    const Duration memory = node.m_settings.m_configuration.m_isolationAfter;
    const Freshness mode = Configuration::judgeFreshness(state.m_freshness, state.m_roster, node.m_settings.m_host, node.m_table.m_version, now, memory);
    return mode != Freshness::Isolated;
}

Progress checkWorkspace(Node &node, ExchangeId id, const Exchange &exchange, TimePoint now, Actions &actions)
{
    using Dispatch::Outcome;
    constexpr std::uint16_t HttpUnauthorized = 401;
    constexpr std::uint16_t HttpServiceUnavailable = 503;
    // A claim that is being decided is decided first; no attempt starts before.
    if (exchange.m_route.m_open || exchange.m_claim == ClaimUse::Waiting) {
        return Progress::Continue;
    }
    if (!mayServeWorkspaces(node, now)) {
        refuse(node,
               id,
               {HttpServiceUnavailable, ErrorId::RequestHostIsolated, Outcome::NotRun, "this host can't tell whether its configuration is current", {}},
               actions);
        return Progress::Ended;
    }
    if (!Workspaces::isValid(node.m_catalogue, exchange.m_key, exchange.m_workspace)) {
        refuse(node, id, {HttpUnauthorized, ErrorId::RequestUnauthenticated, Outcome::NotRun, "the workspace key was withdrawn", {}}, actions);
        return Progress::Ended;
    }
    return Progress::Continue;
}

void pollSoon(Node &node, TimePoint now, Actions &actions)
{
    if (node.m_pollRuns) {
        node.m_configuration.m_pollAgain = true;
        return;
    }
    startPoll(node, now, actions);
}

void tickConfiguration(Node &node, TimePoint now, Actions &actions)
{
    if (!node.m_configuration.m_freshness.m_startedAt) {
        node.m_configuration.m_freshness.m_startedAt = now;
    }
    const bool isDue = !node.m_polledAt || now - *node.m_polledAt >= pollInterval(node);
    if (!node.m_pollRuns && isDue) {
        startPoll(node, now, actions);
    }
    runEdits(node, now, actions);
    tickSpread(node, now, actions);
    judge(node, now, actions);
}

void onConfigurationAnswered(Node &node, const PendingCall &call, const Platform::Result &result, TimePoint now, Actions &actions)
{
    switch (call.m_purpose) {
    case PlatformPurpose::LookUpChange:
        return onChangeLookedUp(node, result, now, actions);
    case PlatformPurpose::WriteChangeObject:
        return onChangeObjectWritten(node, result, now, actions);
    case PlatformPurpose::AppendChanges:
        return onChangesAppended(node, result, now, actions);
    case PlatformPurpose::WriteSnapshot:
    case PlatformPurpose::CheckSnapshotName:
    case PlatformPurpose::WriteSnapshotName:
    case PlatformPurpose::ReadOldChanges:
    case PlatformPurpose::TrimChanges:
        return onSnapshotStep(node, call, result, now, actions);
    default:
        break;
    }
    if (const auto *changes = std::get_if<Platform::ItemsRead>(&result)) {
        return onChangesRead(node, call, *changes, now, actions);
    }
    if (const auto *item = std::get_if<Platform::ItemRead>(&result)) {
        return onSnapshotNameRead(node, call, *item, now, actions);
    }
    if (const auto *object = std::get_if<Platform::ObjectRead>(&result)) {
        const bool isChange = call.m_purpose == PlatformPurpose::ReadChangeObject;
        return isChange ? onChangeObjectRead(node, call, *object, now, actions) : onSnapshotRead(node, *object, now, actions);
    }
    endPoll(node, now, actions);
}

}
