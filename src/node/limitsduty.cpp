#include <ragwortrelay/detail/node/duties.h>
#include <ragwortrelay/limits/layout.h>

#include <algorithm>

namespace RagwortRelay::Node::detail {

namespace {

using Limits::Share;
using Membership::ShardCount;
using Membership::ShardId;

/// Shards that one change of the roster hands to others at most.
constexpr std::size_t ShardsOfHandover = 64;

constexpr Duration HandoverInterval = std::chrono::seconds(2);

/// Version of the configuration that wrote the row of a workspace last.
std::uint64_t rowVersionOf(const Node &node, const WorkspaceId &workspace)
{
    const auto row = node.m_table.m_rows.find({Configuration::RowKind::Workspace, workspace.text()});
    return row == node.m_table.m_rows.end() ? 0 : row->second.m_version;
}

/// Tells whether the spread of a limit may be used here. Parts by different spreads don't add up, so that after a change of the
/// spread, or when changes in between may have been missed, all hosts must first be known to have left the old one.
bool isSpreadInForce(Node &node, const WorkspaceId &workspace, std::uint32_t spread, std::uint64_t lowestVersion)
{
    LimitsDuty &duty = node.m_limitsDuty;
    const std::uint64_t version = rowVersionOf(node, workspace);
    const auto known = duty.m_spreads.find(workspace);
    if (known != duty.m_spreads.end() && known->second.m_spread == spread) {
        const bool isUnchanged = known->second.m_rowVersion == version;
        const bool isNextChange = duty.m_tableVersion + 1 == node.m_table.m_version;
        if (isUnchanged || isNextChange) {
            known->second.m_rowVersion = version;
            return true;
        }
    }
    if (lowestVersion < version) {
        duty.m_spreads.erase(workspace);
        duty.m_waitsForHosts = true;
        return false;
    }
    duty.m_spreads.insert_or_assign(workspace, KnownSpread{spread, version});
    return true;
}

/// Calls `visit` with each shard of a limit and the part that lies on it.
void forEachPart(const WorkspaceId &workspace, const Share &limit, const auto &visit)
{
    const std::uint32_t first = Limits::firstShard(workspace, ShardCount);
    const std::uint32_t spread = Limits::spreadOf(limit);
    for (std::uint32_t position = 0; position < spread; ++position) {
        visit(static_cast<ShardId>((first + position) % ShardCount), Limits::partOf(limit, position));
    }
}

Share limitOf(const Configuration::Workspace &workspace)
{
    return {workspace.m_rate, workspace.m_burst};
}

void setWorkspaceLimit(Node &node, const Configuration::Workspace &workspace, const std::set<ShardId> &held, std::uint64_t lowestVersion, TimePoint now)
{
    const Share limit = limitOf(workspace);
    const Membership::Roster &roster = node.m_membership.m_roster;
    const bool isInForce = isSpreadInForce(node, workspace.m_id, Limits::spreadOf(limit), lowestVersion);
    Share own;
    std::set<HostId> lenders;
    forEachPart(workspace.m_id, limit, [&](ShardId shard, const Share &part) {
        const auto holder = roster.m_holders.find(shard);
        if (held.contains(shard)) {
            own.m_rate += isInForce ? part.m_rate : 0;
            own.m_burst += isInForce ? part.m_burst : 0;
        } else if (holder != roster.m_holders.end() && holder->second.m_host != node.m_settings.m_host) {
            lenders.insert(holder->second.m_host);
        }
    });
    Limits::setLimit(node.m_limits, workspace.m_id, limit, own, {lenders.begin(), lenders.end()}, Membership::shardsEnd(node.m_membership), now);
}

/// Lays the limits on the shards that this host holds now.
void refreshLimits(Node &node, TimePoint now)
{
    LimitsDuty &duty = node.m_limitsDuty;
    std::set<ShardId> held;
    if (!duty.m_gaveUp) {
        const std::vector<ShardId> shards = Membership::heldShards(node.m_membership);
        held = {shards.begin(), shards.end()};
    }
    duty.m_waitsForHosts = false;
    const std::uint64_t lowestVersion = Membership::lowestConfigurationVersion(node.m_membership, node.m_table.m_version, now);
    for (const auto &[id, workspace] : node.m_catalogue.m_workspaces) {
        setWorkspaceLimit(node, workspace, held, lowestVersion, now);
    }
    for (const auto &[id, limit] : node.m_limits.m_workspaces) {
        if (!node.m_catalogue.m_workspaces.contains(id)) {
            duty.m_spreads.erase(id);
            Limits::setLimit(node.m_limits, id, {}, {}, {}, Membership::shardsEnd(node.m_membership), now);
        }
    }
    Limits::dropVoid(node.m_limits);
    duty.m_rosterVersion = node.m_membership.m_roster.m_version;
    duty.m_tableVersion = node.m_table.m_version;
    duty.m_ownEnd = Membership::shardsEnd(node.m_membership);
    duty.m_refreshedAt = now;
}

bool needsRefresh(const Node &node, TimePoint now)
{
    constexpr Duration RetryInterval = std::chrono::milliseconds(200);
    const LimitsDuty &duty = node.m_limitsDuty;
    const bool isChanged = duty.m_rosterVersion != node.m_membership.m_roster.m_version || duty.m_tableVersion != node.m_table.m_version;
    const bool isProlonged = duty.m_ownEnd != Membership::shardsEnd(node.m_membership);
    return isChanged || isProlonged || (duty.m_waitsForHosts && now - duty.m_refreshedAt >= RetryInterval);
}

/// Tells whether nothing that lies on a shard is lent.
bool canRelease(const Node &node, ShardId shard, TimePoint now)
{
    return std::all_of(node.m_catalogue.m_workspaces.begin(), node.m_catalogue.m_workspaces.end(), [&](const auto &entry) {
        const Share limit = limitOf(entry.second);
        const std::uint32_t position = (shard + ShardCount - Limits::firstShard(entry.first, ShardCount)) % ShardCount;
        return Limits::canGiveUp(node.m_limits, entry.first, Limits::partOf(limit, position), now);
    });
}

/// Gives up shards of which this host holds more than others, one by one, each after its part was taken out of use.
void handOver(Node &node, TimePoint now)
{
    LimitsDuty &duty = node.m_limitsDuty;
    if (now - duty.m_handedOverAt < HandoverInterval || !node.m_membership.m_released.empty()) {
        return;
    }
    duty.m_handedOverAt = now;
    for (const ShardId shard : Membership::surplusShards(node.m_membership, ShardsOfHandover, now)) {
        if (canRelease(node, shard, now)) {
            Membership::releaseShard(node.m_membership, shard);
            refreshLimits(node, now);
        }
    }
}

void sendOutbox(Node &node, Actions &actions)
{
    for (const Limits::LoanMessage &message : Limits::takeOutbox(node.m_limits)) {
        actions.push_back(SendPeer{message.m_host, Membership::addressOf(node.m_membership, message.m_host), message.m_request});
    }
}

/// Advances the requests that wait for a token of one of the workspaces.
void advanceAdmissions(Node &node, const std::vector<WorkspaceId> &workspaces, TimePoint now, Actions &actions)
{
    const std::set<ExchangeId> waiting = node.m_waitingExchanges;
    for (const ExchangeId id : waiting) {
        const auto exchange = node.m_exchanges.find(id);
        const bool isAdmitting = exchange != node.m_exchanges.end() && exchange->second.m_stage == Stage::Admit;
        if (isAdmitting && std::find(workspaces.begin(), workspaces.end(), exchange->second.m_workspace) != workspaces.end()) {
            advance(node, id, now, actions);
        }
    }
}

}

void onLoanRequest(Node &node, const PeerSpoke &spoke, const Limits::LoanRequest &request, TimePoint now, Actions &actions)
{
    Limits::LoanAnswer answer = Limits::onLoanRequest(node.m_limits, {spoke.m_from, spoke.m_incarnation}, request, now);
    if (!answer.m_granted.empty()) {
        actions.push_back(SendPeer{spoke.m_from, Membership::addressOf(node.m_membership, spoke.m_from), std::move(answer)});
    }
}

void onLoanAnswer(Node &node, const PeerSpoke &spoke, const Limits::LoanAnswer &answer, TimePoint now, Actions &actions)
{
    const std::vector<WorkspaceId> touched = Limits::onLoanAnswer(node.m_limits, spoke.m_from, answer, now);
    advanceAdmissions(node, touched, now, actions);
    sendOutbox(node, actions);
}

Limits::Admission admitTo(Node &node, const WorkspaceId &workspace, Limits::AdmissionTry &attempt, TimePoint now, Actions &actions)
{
    if (needsRefresh(node, now)) {
        refreshLimits(node, now);
    }
    const Limits::Admission admission = Limits::admit(node.m_limits, workspace, attempt, node.m_random, now);
    sendOutbox(node, actions);
    return admission;
}

void tickLimits(Node &node, TimePoint now, Actions &actions)
{
    if (needsRefresh(node, now)) {
        refreshLimits(node, now);
    }
    if (node.m_stopAskedAt) {
        node.m_limits.m_stopping = true;
    } else {
        handOver(node, now);
    }
    Limits::control(node.m_limits, node.m_random, now);
    sendOutbox(node, actions);
}

bool giveUpLimits(Node &node, TimePoint now, Actions &actions)
{
    if (!node.m_limitsDuty.m_gaveUp) {
        node.m_limitsDuty.m_gaveUp = true;
        Limits::giveBackAll(node.m_limits, now);
        refreshLimits(node, now);
        sendOutbox(node, actions);
    }
    return !Limits::hasLent(node.m_limits, now);
}

}
