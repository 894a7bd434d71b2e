#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Scheduling::AttemptKind;
using Scheduling::AttemptReport;
using Scheduling::PlacementReply;
using Scheduling::PlacementRequest;

/// Times that a placement which waits at the leader is asked about without an answer.
constexpr unsigned MaxUnacknowledged = 1;

PlacementRequest placementRequestFor(State &state, const Exchange &exchange, AttemptKind purpose, TimePoint now)
{
    const auto workspace = exchange.m_catalogue->m_workspaces.find(exchange.m_workspace);
    const bool hasPriority = workspace != exchange.m_catalogue->m_workspaces.end() && workspace->second.m_priority;
    PlacementRequest placement;
    placement.m_number = ++state.m_lastPlacement;
    placement.m_purpose = purpose;
    placement.m_service = exchange.m_service;
    placement.m_workspace = exchange.m_workspace;
    placement.m_fingerprint = exchange.m_fingerprint;
    placement.m_priority = hasPriority ? *workspace->second.m_priority : exchange.m_route.m_priority;
    placement.m_idempotent = exchange.m_route.m_idempotent;
    placement.m_timeLeft = exchange.m_deadline - now;
    placement.m_objectiveLeft = exchange.m_arrivedAt + exchange.m_route.m_latencyObjective - now;
    placement.m_excluded = exchange.m_tried;
    return placement;
}

/// Logs what became of a placement that got no server at once. Of placements alike there is one line in a while.
void logPlacement(
    State &state, const HostId &host, const PlacementRequest &placement, const std::optional<PlacementReply> &response, TimePoint now, Actions &actions)
{
    constexpr Duration Interval = std::chrono::milliseconds(100);
    constexpr double PerMille = 1000.0;
    if (response && response->m_server) {
        return;
    }
    const std::string reason = response ? Scheduling::toString(response->m_reason) : "";
    SuppressedPlacements &told = state.m_logged.m_placements[{placement.m_service, placement.m_workspace, reason}];
    if (now - told.m_at < Interval) {
        ++told.m_suppressed;
        return;
    }
    const auto queue = state.m_scheduler.m_queues.find(placement.m_service);
    const auto bucket = state.m_scheduler.m_buckets.find(placement.m_workspace);
    const auto waiting = state.m_scheduler.m_awaitingTokens.find(placement.m_workspace);
    log(actions,
        Reporting::LogLine(response ? "placement-refused" : "placement-queued")
            .with("for", host.text())
            .with("placement", static_cast<std::int64_t>(placement.m_number))
            .with("reason", reason)
            .with("service", placement.m_service.text())
            .with("workspace", placement.m_workspace.text())
            .with("waiting", queue == state.m_scheduler.m_queues.end() ? 0 : static_cast<std::int64_t>(queue->second.m_placements.size()))
            .with("awaiting_token", static_cast<std::int64_t>(waiting == state.m_scheduler.m_awaitingTokens.end() ? 0 : waiting->second.size()))
            .with("tokens_per_mille", bucket == state.m_scheduler.m_buckets.end() ? -1 : static_cast<std::int64_t>(bucket->second.m_tokens * PerMille))
            .with("limits_share_per_mille", static_cast<std::int64_t>(state.m_scheduler.m_share * PerMille))
            .with("configuration_version", configurationVersion(state))
            .with("alike_since_last", told.m_suppressed));
    told = {now, 0};
}

/// Returns why a request need not be asked for: the leader has just said that its workspace is over its limit.
const ExhaustedLimit *exhaustedLimit(const State &state, const Exchange &exchange, AttemptKind purpose, TimePoint now)
{
    const auto spent = state.m_exhaustedLimits.find(exchange.m_workspace);
    const bool isSpent =
        spent != state.m_exhaustedLimits.end() && now < spent->second.m_until && spent->second.m_denied.m_leader == state.m_leadership.m_leader;
    return purpose == AttemptKind::First && isSpent ? &spent->second : nullptr;
}

void decideAlone(State &state, PendingPlacement &pending, TimePoint now, Actions &actions)
{
    pending.m_leader = {};
    const auto response = Scheduling::placement(state.m_scheduler, pending.m_placement, ownRequester(state), state.m_random, now);
    logPlacement(state, state.m_settings.m_host, pending.m_placement, response, now, actions);
    if (response) {
        onPlacementReply(state, {}, *response, now, actions);
    }
}

/// Returns when a placement is looked at again that was sent just now. The pauses grow: a leader may be slow because it has much to do.
TimePoint nextLookAt(const PlacementSettings &settings, const PendingPlacement &pending, TimePoint now)
{
    if (pending.m_isQueued) {
        return now + settings.m_askInterval;
    }
    const TimePoint decideAt = pending.m_sentAt + settings.m_leaderTimeout;
    const TimePoint resendAt = now + settings.m_resendBackoff * (1U << (pending.m_unacknowledged - 1));
    return std::min(decideAt, resendAt);
}

void askLeader(State &state, PendingPlacement &pending, TimePoint now)
{
    ++pending.m_unacknowledged;
    state.m_timers.emplace(nextLookAt(state.m_settings.m_placements, pending, now), Timer{TimerKind::PlacementRequest, pending.m_placement.m_number});
    sendTo(state, pending.m_leader, pending.m_placement);
}

Scheduling::Requester requesterOf(const State &state, const HostId &host)
{
    const auto follower = state.m_leadership.m_followers.find(host);
    return {host, follower == state.m_leadership.m_followers.end() ? FailureDomainId() : follower->second.m_domain};
}

void addAddress(const State &state, PlacementReply &response)
{
    if (response.m_server) {
        response.m_address = state.m_scheduler.m_registry.m_servers.at(*response.m_server).m_server.m_address;
    }
}

}

bool hasLeader(const State &state)
{
    return !Fleet::isLeader(state.m_leadership) && state.m_leadership.m_acknowledgedAt.has_value();
}

void requestPlacement(State &state, ExchangeId id, AttemptKind purpose, TimePoint now, Actions &actions)
{
    Exchange &exchange = state.m_exchanges.at(id);
    if (exchange.m_placement) { // Of a hedge, which would be refused where this one may wait.
        cancelPlacement(state, *exchange.m_placement);
    }
    if (const ExhaustedLimit *spent = exhaustedLimit(state, exchange, purpose, now)) {
        return denyOverLimit(state, id, *spent, now, actions);
    }
    const PlacementRequest placement = placementRequestFor(state, exchange, purpose, now);
    exchange.m_placement = placement.m_number;
    PendingPlacement &pending = state.m_placements[placement.m_number];
    pending = {id, placement, {}, now, 0, false};
    if (!hasLeader(state)) {
        return decideAlone(state, pending, now, actions);
    }
    pending.m_leader = state.m_leadership.m_leader;
    askLeader(state, pending, now);
}

void cancelPlacement(State &state, std::uint64_t number)
{
    const auto found = state.m_placements.find(number);
    if (found == state.m_placements.end()) {
        return;
    }
    if (found->second.m_leader.isEmpty()) {
        Scheduling::cancel(state.m_scheduler, {state.m_settings.m_host, number});
    } else {
        sendTo(state, found->second.m_leader, Fleet::PlacementCancelled{number});
    }
    state.m_placements.erase(found);
}

void reportAttemptEnd(State &state, const HostId &leader, const AttemptReport &done, TimePoint now)
{
    Scheduling::finish(state.m_scheduler, done, ownRequester(state), now);
    if (!leader.isEmpty()) {
        sendTo(state, leader, done);
    }
}

void onPlacementDue(State &state, std::uint64_t number, TimePoint now, Actions &actions)
{
    const auto found = state.m_placements.find(number);
    if (found == state.m_placements.end() || found->second.m_leader.isEmpty()) {
        return;
    }
    PendingPlacement &pending = found->second;
    const bool isLeaderLost = pending.m_leader != state.m_leadership.m_leader;
    const bool isOver =
        pending.m_isQueued ? pending.m_unacknowledged > MaxUnacknowledged : now - pending.m_sentAt >= state.m_settings.m_placements.m_leaderTimeout;
    if (!isLeaderLost && !isOver) {
        return askLeader(state, pending, now);
    }
    Reporting::count(state.m_counters, "draws_unanswered");
    Fleet::expediteHeartbeat(state.m_leadership, now);
    decideAlone(state, pending, now, actions);
}

void onPlacementQueued(State &state, const HostId &from, const Fleet::PlacementQueued &queued)
{
    const auto pending = state.m_placements.find(queued.m_number);
    if (pending != state.m_placements.end() && pending->second.m_leader == from) {
        pending->second.m_isQueued = true;
        pending->second.m_unacknowledged = 0;
    }
}

void serveQueues(State &state, TimePoint now, Actions &actions)
{
    for (Scheduling::AddressedReply &answered : Scheduling::serve(state.m_scheduler, state.m_random, now)) {
        if (answered.m_host == state.m_settings.m_host) {
            onPlacementReply(state, {}, answered.m_response, now, actions);
        } else {
            addAddress(state, answered.m_response);
            sendTo(state, answered.m_host, answered.m_response);
        }
    }
}

void onPlacementRequest(State &state, const HostId &from, const PlacementRequest &placement, TimePoint now, Actions &actions)
{
    const Scheduling::PlacementId id{from, placement.m_number};
    const auto granted = state.m_scheduler.m_granted.find(id);
    std::optional<PlacementReply> response;
    if (granted != state.m_scheduler.m_granted.end()) {
        response = PlacementReply{placement.m_number, granted->second.m_server, {}, {}, {}};
    } else if (!Scheduling::isQueued(state.m_scheduler, placement.m_service, id)) {
        response = Scheduling::placement(state.m_scheduler, placement, requesterOf(state, from), state.m_random, now);
        logPlacement(state, from, placement, response, now, actions);
    }
    if (!response) {
        return sendTo(state, from, Fleet::PlacementQueued{placement.m_number});
    }
    const bool isStillThere = !response->m_server || state.m_scheduler.m_registry.m_servers.contains(*response->m_server);
    if (isStillThere) {
        addAddress(state, *response);
        sendTo(state, from, *response);
    }
}

void onAttemptReport(State &state, const HostId &from, const AttemptReport &done, TimePoint now)
{
    Scheduling::finish(state.m_scheduler, done, requesterOf(state, from), now);
}

void onPlacementCancelled(State &state, const HostId &from, const Fleet::PlacementCancelled &withdrawn, TimePoint now)
{
    const Scheduling::PlacementId id{from, withdrawn.m_number};
    Scheduling::cancel(state.m_scheduler, id);
    const auto granted = state.m_scheduler.m_granted.find(id);
    if (granted != state.m_scheduler.m_granted.end()) {
        Scheduling::finish(state.m_scheduler, Scheduling::unusedPlacement(withdrawn.m_number, granted->second.m_server), requesterOf(state, from), now);
    }
}

}
