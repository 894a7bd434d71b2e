#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Scheduling::AttemptKind;
using Scheduling::AttemptReport;
using Scheduling::PlacementReply;
using Scheduling::PlacementRequest;

/// Maximum number of unacknowledged queries about a placement that is queued at the leader. After that the host decides by itself.
constexpr unsigned MaxUnacknowledged = 1;

}

PlacementRequest placementRequestFor(const State &state, const Exchange &exchange, std::uint64_t number, AttemptKind purpose, TimePoint now)
{
    const auto workspace = exchange.m_catalogue->m_workspaces.find(exchange.m_workspace);
    const bool hasPriority = workspace != exchange.m_catalogue->m_workspaces.end() && workspace->second.m_priority;
    PlacementRequest placement;
    placement.m_number = number;
    placement.m_purpose = purpose;
    placement.m_service = exchange.m_service;
    placement.m_workspace = exchange.m_workspace;
    placement.m_fingerprint = exchange.m_fingerprint;
    placement.m_priority = hasPriority ? *workspace->second.m_priority : exchange.m_route.m_priority;
    placement.m_idempotent = exchange.m_route.m_idempotent;
    placement.m_timeLeft = exchange.m_deadline - now;
    placement.m_objectiveLeft = exchange.m_arrivedAt + exchange.m_route.m_latencyObjective - now;
    placement.m_excluded = exchange.m_tried;
    placement.m_bodyBytes = exchange.m_request.m_bodyBytes;
    constexpr std::size_t MaxExcludedPauses = 64; // Keeps the message within one datagram.
    const auto paused = Scheduling::excludedByPauses(state.m_pauses, state.m_scheduler.m_registry, exchange.m_service, now);
    const std::size_t count = std::min(paused.size(), MaxExcludedPauses);
    placement.m_excluded.insert(placement.m_excluded.end(), paused.begin(), paused.begin() + static_cast<std::ptrdiff_t>(count));
    return placement;
}

namespace {

/// Logs a placement that got no server immediately: refused, or queued when there is no reply. Writes at most one line per interval for each combination
/// of service, workspace and reason, with the number of suppressed ones.
void logPlacement(
    State &state, const HostId &host, const PlacementRequest &placement, const std::optional<PlacementReply> &reply, TimePoint now, Actions &actions)
{
    constexpr Duration Interval = std::chrono::milliseconds(100);
    constexpr double PerMille = 1000.0;
    if (reply && reply->m_server) {
        return;
    }
    const std::string reason = reply ? Scheduling::toString(reply->m_reason) : "";
    SuppressedPlacements &suppressed = state.m_logged.m_placements[{placement.m_service, placement.m_workspace, reason}];
    if (now - suppressed.m_at < Interval) {
        ++suppressed.m_suppressed;
        return;
    }
    const auto queue = state.m_scheduler.m_queues.find(placement.m_service);
    const auto bucket = state.m_scheduler.m_buckets.find(placement.m_workspace);
    const auto waiting = state.m_scheduler.m_awaitingTokens.find(placement.m_workspace);
    log(actions,
        Reporting::LogLine(reply ? "placement-refused" : "placement-queued")
            .with("for", host.text())
            .with("placement", static_cast<std::int64_t>(placement.m_number))
            .with("reason", reason)
            .with("service", placement.m_service.text())
            .with("workspace", placement.m_workspace.text())
            .with("waiting", queue == state.m_scheduler.m_queues.end() ? 0 : static_cast<std::int64_t>(queue->second.m_size))
            .with("awaiting_token", static_cast<std::int64_t>(waiting == state.m_scheduler.m_awaitingTokens.end() ? 0 : waiting->second.size()))
            .with("tokens_per_mille", bucket == state.m_scheduler.m_buckets.end() ? -1 : static_cast<std::int64_t>(bucket->second.m_tokens * PerMille))
            .with("limits_share_per_mille", static_cast<std::int64_t>(state.m_scheduler.m_share * PerMille))
            .with("configuration_version", configurationVersion(state))
            .with("alike_since_last", suppressed.m_suppressed));
    suppressed = {now, 0};
}

/// Decides a placement by this host's own scheduler, or queues it there.
void decideLocally(State &state, PendingPlacement &pending, TimePoint now, Actions &actions)
{
    pending.m_leader = {};
    const auto reply = Scheduling::placement(state.m_scheduler, pending.m_placement, ownRequester(state), state.m_random, now);
    logPlacement(state, state.m_settings.m_host, pending.m_placement, reply, now, actions);
    if (reply) {
        onPlacementReply(state, {}, *reply, now, actions);
    }
}

/// Returns how long to wait for the leader's reply to a placement request: as long as it usually takes, and at most half of the time that the request can spend
/// before it misses its latency objective.
Duration leaderTimeoutOf(const State &state, const PlacementRequest &placement)
{
    const Fleet::ReplyTimeoutSettings &settings = state.m_settings.m_placements.m_leaderTimeout;
    const Duration spare = placement.m_objectiveLeft - Scheduling::usualTimeOf(state.m_scheduler, placement.m_service);
    return std::min(Fleet::waitFor(state.m_leaderTimeout, settings), std::max(settings.m_minTimeout, spare / 2));
}

/// Tells whether the leader usually takes longer to reply than the first pause before a resend, or left the last request without a reply in time. It may be
/// overloaded, and a resend would make it slower. The reply to a request that was sent again doesn't tell how long the leader takes.
bool exceedsResendBackoff(const State &state)
{
    if (state.m_leaderTimeout.m_timeouts > 0) {
        return true;
    }
    const Duration resendBackoff = state.m_settings.m_placements.m_resendBackoff;
    return state.m_leadership.m_replyTime > resendBackoff || state.m_leaderTimeout.m_smoothed.value_or(Duration(0)) > resendBackoff;
}

/// Returns when to check again a placement that was sent just now. The interval doubles with each resend. A leader that is known to be slow gets no resend.
TimePoint nextCheckAt(const State &state, const PendingPlacement &pending, TimePoint now)
{
    const PlacementSettings &settings = state.m_settings.m_placements;
    if (pending.m_isQueued) {
        return now + settings.m_askInterval;
    }
    if (exceedsResendBackoff(state)) {
        return pending.m_decideAt;
    }
    const TimePoint resendAt = now + settings.m_resendBackoff * (1U << (pending.m_unacknowledged - 1));
    return std::min(pending.m_decideAt, resendAt);
}

/// Returns until when a host waits for a leader that is late, instead of deciding by itself: as long as the request can spare, if the leader is alive and the
/// host has no token for the request. Its part of the limit is small, and a refusal would be certain.
/// @return nothing if the host has to decide now
std::optional<TimePoint> extendedWait(const State &state, const PendingPlacement &pending, TimePoint now)
{
    const bool isAlive = now - state.m_leadership.m_leaderHeardAt < state.m_settings.m_leadership.m_signOfLifeDuration;
    if (pending.m_isQueued || pending.m_isExtended || !isAlive || !Scheduling::isLimited(state.m_scheduler, pending.m_placement)) {
        return std::nullopt;
    }
    if (Limits::hasToken(state.m_scheduler.m_buckets.at(pending.m_placement.m_workspace), now)) {
        return std::nullopt;
    }
    const Duration spare = pending.m_placement.m_objectiveLeft - Scheduling::usualTimeOf(state.m_scheduler, pending.m_placement.m_service);
    const TimePoint until = pending.m_sentAt + std::min(state.m_settings.m_placements.m_leaderTimeout.m_maxTimeout, spare / 2);
    return until > now ? std::optional(until) : std::nullopt;
}

/// Returns how long the host waits for the reply to a placement request that is sent now.
Duration replyWaitOf(const State &state, const PendingPlacement &pending, TimePoint now)
{
    if (pending.m_isQueued) {
        return state.m_settings.m_placements.m_askInterval * (MaxUnacknowledged + 1);
    }
    const TimePoint until = extendedWait(state, pending, now).value_or(pending.m_decideAt);
    return std::max(until, pending.m_decideAt) - now;
}

/// Sends a placement request to the leader, for the first time or again, and schedules the next check.
void sendToLeader(State &state, PendingPlacement &pending, TimePoint now)
{
    ++pending.m_unacknowledged;
    pending.m_placement.m_sentAt = now.time_since_epoch();
    pending.m_placement.m_replyWait = replyWaitOf(state, pending, now);
    state.m_timers.emplace(nextCheckAt(state, pending, now), Timer{TimerKind::PlacementRequest, pending.m_placement.m_number});
    sendTo(state, pending.m_leader, pending.m_placement);
}

/// Takes a resend from the budget. Returns whether there was one.
bool takeResend(State &state)
{
    if (state.m_resendBudget < 1.0) {
        return false;
    }
    state.m_resendBudget -= 1.0;
    return true;
}

/// Goes on waiting for a leader that is late, and counts the time so far as its reply time: it is a lower bound of it.
void extendWait(State &state, PendingPlacement &pending, TimePoint until, TimePoint now)
{
    const unsigned timeouts = state.m_leaderTimeout.m_timeouts;
    state.m_leaderTimeout = Fleet::afterReply(state.m_leaderTimeout, now - pending.m_sentAt);
    state.m_leaderTimeout.m_timeouts = timeouts;
    pending.m_isExtended = true;
    pending.m_decideAt = until;
    state.m_timers.emplace(until, Timer{TimerKind::PlacementRequest, pending.m_placement.m_number});
    Reporting::count(state.m_counters, "draws_late");
}

/// Returns the requester for a host. Its failure domain is empty when the host doesn't follow this one.
Scheduling::Requester requesterOf(const State &state, const HostId &host)
{
    const auto follower = state.m_leadership.m_followers.find(host);
    return {host, follower == state.m_leadership.m_followers.end() ? FailureDomainId() : follower->second.m_domain};
}

/// Records the age of a placement request that is read now, and returns it. Zero for a host that doesn't follow this one.
Duration recordAge(State &state, const HostId &from, const PlacementRequest &placement, TimePoint now)
{
    constexpr double SmoothingFactor = 0.05;
    const auto follower = state.m_leadership.m_followers.find(from);
    if (follower == state.m_leadership.m_followers.end()) {
        return Duration(0);
    }
    const Duration age = Fleet::recordMessage(follower->second.m_messageAge, placement.m_sentAt, now);
    state.m_placementAge += SmoothingFactor * (std::chrono::duration<double>(age).count() - state.m_placementAge);
    return age;
}

/// Returns a placement request with the times that are left after its way to this host.
PlacementRequest sentEarlier(const PlacementRequest &placement, Duration age)
{
    PlacementRequest current = placement;
    current.m_timeLeft -= age;
    current.m_objectiveLeft -= age;
    return current;
}

/// Handles a placement request whose sender has decided by itself in the meantime. A server or a token that it got now would be lost. If its workspace is over
/// the limit, the sender is told, since hosts refuse further requests of such a workspace by themselves.
void onStaleRequest(State &state, const HostId &from, const PlacementRequest &placement, TimePoint now)
{
    Reporting::count(state.m_counters, "draws_stale");
    if (const auto refusal = Scheduling::refuseIfOverLimit(state.m_scheduler, placement, now)) {
        sendTo(state, from, *refusal);
    }
}

/// Adds the address of the granted server to a reply, if there is one.
void addAddress(const State &state, PlacementReply &reply)
{
    if (reply.m_server) {
        reply.m_address = state.m_scheduler.m_registry.m_servers.at(*reply.m_server).m_server.m_address;
    }
}

}

bool hasLeader(const State &state)
{
    return !Fleet::isLeader(state.m_leadership) && state.m_leadership.m_acknowledgedAt.has_value();
}

bool asksLeader(const State &state, TimePoint now)
{
    return hasLeader(state) && !Fleet::isPaused(state.m_leaderTimeout, now);
}

void requestPlacement(State &state, ExchangeId id, AttemptKind purpose, TimePoint now, Actions &actions)
{
    Exchange &exchange = state.m_exchanges.at(id);
    if (exchange.m_placement) { // It belongs to a hedge, which is refused in cases where the new placement may be queued.
        cancelPlacement(state, *exchange.m_placement);
    }
    const bool isLeaderAsked = asksLeader(state, now);
    if (const auto throttled = isLeaderAsked ? throttle(state, exchange.m_workspace, purpose, now, actions) : std::nullopt) {
        return refuseThrottled(state, id, *throttled, now, actions);
    }
    const PlacementRequest placement = placementRequestFor(state, exchange, ++state.m_lastPlacement, purpose, now);
    exchange.m_placement = placement.m_number;
    PendingPlacement &pending = state.m_placements[placement.m_number];
    pending = {id, placement, {}, now, now + leaderTimeoutOf(state, placement), 0, false, false};
    if (!isLeaderAsked) {
        return decideLocally(state, pending, now, actions);
    }
    constexpr double MaxResendBudget = 2.0;
    state.m_resendBudget = std::min(MaxResendBudget, state.m_resendBudget + state.m_settings.m_placements.m_resendRatio);
    pending.m_leader = state.m_leadership.m_leader;
    sendToLeader(state, pending, now);
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

void reportAttemptEnd(State &state, const HostId &leader, const AttemptReport &report, TimePoint now)
{
    Scheduling::finish(state.m_scheduler, report, ownRequester(state), now);
    if (!leader.isEmpty()) {
        sendTo(state, leader, report);
    }
}

void onPlacementDue(State &state, std::uint64_t number, TimePoint now, Actions &actions)
{
    const auto found = state.m_placements.find(number);
    if (found == state.m_placements.end() || found->second.m_leader.isEmpty()) {
        return;
    }
    PendingPlacement &pending = found->second;
    const bool hasLeaderChanged = pending.m_leader != state.m_leadership.m_leader;
    const bool isTimedOut = pending.m_isQueued ? pending.m_unacknowledged > MaxUnacknowledged : now >= pending.m_decideAt;
    if (!hasLeaderChanged && !isTimedOut) {
        if (pending.m_isQueued || takeResend(state)) {
            return sendToLeader(state, pending, now);
        }
        state.m_timers.emplace(pending.m_decideAt, Timer{TimerKind::PlacementRequest, number});
        return;
    }
    if (const auto until = hasLeaderChanged ? std::nullopt : extendedWait(state, pending, now)) {
        return extendWait(state, pending, *until, now);
    }
    Reporting::count(state.m_counters, "draws_unanswered");
    if (!hasLeaderChanged) {
        state.m_leaderTimeout = Fleet::afterTimeout(state.m_leaderTimeout, state.m_settings.m_placements.m_leaderTimeout, state.m_random, now);
    }
    Fleet::expediteHeartbeat(state.m_leadership, now);
    recordOverdue(state, pending.m_placement, now);
    decideLocally(state, pending, now, actions);
}

void recordLeaderReply(State &state, const PendingPlacement &pending, TimePoint now)
{
    const bool isMeasurable = !pending.m_isQueued && pending.m_unacknowledged == 1; // Otherwise it isn't known which datagram is answered.
    if (isMeasurable) {
        state.m_leaderTimeout = Fleet::afterReply(state.m_leaderTimeout, now - pending.m_sentAt);
    }
}

void onPlacementQueued(State &state, const HostId &from, const Fleet::PlacementQueued &queued, TimePoint now)
{
    const auto pending = state.m_placements.find(queued.m_number);
    if (pending != state.m_placements.end() && pending->second.m_leader == from) {
        recordLeaderReply(state, pending->second, now);
        pending->second.m_isQueued = true;
        pending->second.m_unacknowledged = 0;
        return;
    }
    sendTo(state, from, Fleet::PlacementCancelled{queued.m_number}); // This host has decided by itself; the leader need not keep a token or a slot for it.
}

void serveQueues(State &state, TimePoint now, Actions &actions)
{
    for (Scheduling::AddressedReply &reply : Scheduling::serve(state.m_scheduler, state.m_random, now)) {
        if (reply.m_host == state.m_settings.m_host) {
            onPlacementReply(state, {}, reply.m_response, now, actions);
        } else {
            addAddress(state, reply.m_response);
            sendTo(state, reply.m_host, reply.m_response);
        }
    }
}

void onPlacementRequest(State &state, const HostId &from, const PlacementRequest &placement, TimePoint now, Actions &actions)
{
    const Scheduling::PlacementId id{from, placement.m_number};
    const Duration age = recordAge(state, from, placement, now);
    const auto granted = state.m_scheduler.m_granted.find(id);
    std::optional<PlacementReply> reply;
    if (granted != state.m_scheduler.m_granted.end()) {
        reply = PlacementReply{placement.m_number, granted->second.m_server, {}, {}, {}};
    } else if (!Scheduling::isQueued(state.m_scheduler, id)) {
        if (age > placement.m_replyWait) {
            return onStaleRequest(state, from, placement, now);
        }
        reply = Scheduling::placement(state.m_scheduler, sentEarlier(placement, age), requesterOf(state, from), state.m_random, now);
        logPlacement(state, from, placement, reply, now, actions);
    }
    if (!reply) {
        return sendTo(state, from, Fleet::PlacementQueued{placement.m_number});
    }
    const bool isStillValid = !reply->m_server || state.m_scheduler.m_registry.m_servers.contains(*reply->m_server);
    if (isStillValid) {
        addAddress(state, *reply);
        sendTo(state, from, *reply);
    }
}

void onAttemptReport(State &state, const HostId &from, const AttemptReport &report, TimePoint now)
{
    Scheduling::finish(state.m_scheduler, report, requesterOf(state, from), now);
}

void onPlacementCancelled(State &state, const HostId &from, const Fleet::PlacementCancelled &cancelled, TimePoint now)
{
    const Scheduling::PlacementId id{from, cancelled.m_number};
    Scheduling::cancel(state.m_scheduler, id);
    const auto granted = state.m_scheduler.m_granted.find(id);
    if (granted != state.m_scheduler.m_granted.end()) {
        Scheduling::finish(state.m_scheduler, Scheduling::unusedPlacement(cancelled.m_number, granted->second.m_server), requesterOf(state, from), now);
    }
}

}
