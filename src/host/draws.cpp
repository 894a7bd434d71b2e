#include <ragwortrelay/detail/host/duties.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Scheduling::Draw;
using Scheduling::DrawAnswer;
using Scheduling::DrawDone;
using Scheduling::DrawPurpose;

/// Times that a draw which waits at the lead is asked about without an answer.
constexpr unsigned MaxUnacknowledged = 1;

Draw drawFor(State &state, const Exchange &exchange, DrawPurpose purpose, TimePoint now)
{
    const auto workspace = exchange.m_catalogue->m_workspaces.find(exchange.m_workspace);
    const bool hasPriority = workspace != exchange.m_catalogue->m_workspaces.end() && workspace->second.m_priority;
    Draw draw;
    draw.m_number = ++state.m_lastDraw;
    draw.m_purpose = purpose;
    draw.m_service = exchange.m_service;
    draw.m_workspace = exchange.m_workspace;
    draw.m_fingerprint = exchange.m_fingerprint;
    draw.m_priority = hasPriority ? *workspace->second.m_priority : exchange.m_route.m_priority;
    draw.m_idempotent = exchange.m_route.m_idempotent;
    draw.m_timeLeft = exchange.m_deadline - now;
    draw.m_objectiveLeft = exchange.m_arrivedAt + exchange.m_route.m_latencyObjective - now;
    draw.m_excluded = exchange.m_tried;
    return draw;
}

/// Logs what became of a draw that got no server at once. Of draws alike there is one line in a while.
void logDraw(State &state, const HostId &host, const Draw &draw, const std::optional<DrawAnswer> &answer, TimePoint now, Actions &actions)
{
    constexpr Duration Interval = std::chrono::milliseconds(100);
    constexpr double PerMille = 1000.0;
    if (answer && answer->m_server) {
        return;
    }
    const std::string reason = answer ? Scheduling::toString(answer->m_reason) : "";
    ToldDraws &told = state.m_told.m_draws[{draw.m_service, draw.m_workspace, reason}];
    if (now - told.m_at < Interval) {
        ++told.m_left;
        return;
    }
    const auto queue = state.m_scheduler.m_queues.find(draw.m_service);
    const auto pool = state.m_scheduler.m_pools.find(draw.m_workspace);
    const auto waiting = state.m_scheduler.m_awaitingTokens.find(draw.m_workspace);
    log(actions,
        Reporting::LogLine(answer ? "draw-refused" : "draw-queued")
            .with("for", host.text())
            .with("draw", static_cast<std::int64_t>(draw.m_number))
            .with("reason", reason)
            .with("service", draw.m_service.text())
            .with("workspace", draw.m_workspace.text())
            .with("waiting", queue == state.m_scheduler.m_queues.end() ? 0 : static_cast<std::int64_t>(queue->second.m_draws.size()))
            .with("awaiting_token", static_cast<std::int64_t>(waiting == state.m_scheduler.m_awaitingTokens.end() ? 0 : waiting->second.size()))
            .with("tokens_per_mille", pool == state.m_scheduler.m_pools.end() ? -1 : static_cast<std::int64_t>(pool->second.m_tokens * PerMille))
            .with("limits_share_per_mille", static_cast<std::int64_t>(state.m_scheduler.m_share * PerMille))
            .with("configuration_version", configurationVersion(state))
            .with("alike_since_last", told.m_left));
    told = {now, 0};
}

/// Returns why a request need not be asked for: the lead has just said that its workspace is over its limit.
const SpentLimit *spentLimit(const State &state, const Exchange &exchange, DrawPurpose purpose, TimePoint now)
{
    const auto spent = state.m_spentLimits.find(exchange.m_workspace);
    const bool isSpent = spent != state.m_spentLimits.end() && now < spent->second.m_until && spent->second.m_denied.m_leader == state.m_leadership.m_leader;
    return purpose == DrawPurpose::First && isSpent ? &spent->second : nullptr;
}

void decideAlone(State &state, PendingDraw &pending, TimePoint now, Actions &actions)
{
    pending.m_leader = {};
    const auto answer = Scheduling::draw(state.m_scheduler, pending.m_draw, selfOf(state), state.m_random, now);
    logDraw(state, state.m_settings.m_host, pending.m_draw, answer, now, actions);
    if (answer) {
        onDrawAnswered(state, {}, *answer, now, actions);
    }
}

/// Returns when a draw is looked at again that was sent just now. The pauses grow: a lead may be slow because it has much to do.
TimePoint nextLookAt(const DrawSettings &settings, const PendingDraw &pending, TimePoint now)
{
    if (pending.m_isQueued) {
        return now + settings.m_askInterval;
    }
    const TimePoint decideAt = pending.m_sentAt + settings.m_decideAfter;
    const TimePoint resendAt = now + settings.m_resendAfter * (1U << (pending.m_unacknowledged - 1));
    return std::min(decideAt, resendAt);
}

void askLeader(State &state, PendingDraw &pending, TimePoint now)
{
    ++pending.m_unacknowledged;
    state.m_due.emplace(nextLookAt(state.m_settings.m_draws, pending, now), Due{DueKind::Draw, pending.m_draw.m_number});
    sendTo(state, pending.m_leader, pending.m_draw);
}

Scheduling::Asker askerOf(const State &state, const HostId &host)
{
    const auto follower = state.m_leadership.m_followers.find(host);
    return {host, follower == state.m_leadership.m_followers.end() ? FailureDomainId() : follower->second.m_domain};
}

void addAddress(const State &state, DrawAnswer &answer)
{
    if (answer.m_server) {
        answer.m_address = state.m_scheduler.m_book.m_servers.at(*answer.m_server).m_server.m_address;
    }
}

}

bool hasLeader(const State &state)
{
    return !Fleet::isLeader(state.m_leadership) && state.m_leadership.m_acknowledgedAt.has_value();
}

void drawServer(State &state, ExchangeId id, DrawPurpose purpose, TimePoint now, Actions &actions)
{
    Exchange &exchange = state.m_exchanges.at(id);
    if (exchange.m_draw) { // Of a hedge, which would be refused where this one may wait.
        withdrawDraw(state, *exchange.m_draw);
    }
    if (const SpentLimit *spent = spentLimit(state, exchange, purpose, now)) {
        return denyOverLimit(state, id, *spent, now, actions);
    }
    const Draw draw = drawFor(state, exchange, purpose, now);
    exchange.m_draw = draw.m_number;
    PendingDraw &pending = state.m_draws[draw.m_number];
    pending = {id, draw, {}, now, 0, false};
    if (!hasLeader(state)) {
        return decideAlone(state, pending, now, actions);
    }
    pending.m_leader = state.m_leadership.m_leader;
    askLeader(state, pending, now);
}

void withdrawDraw(State &state, std::uint64_t number)
{
    const auto found = state.m_draws.find(number);
    if (found == state.m_draws.end()) {
        return;
    }
    if (found->second.m_leader.isEmpty()) {
        Scheduling::withdraw(state.m_scheduler, {state.m_settings.m_host, number});
    } else {
        sendTo(state, found->second.m_leader, Fleet::DrawWithdrawn{number});
    }
    state.m_draws.erase(found);
}

void reportDone(State &state, const HostId &leader, const DrawDone &done, TimePoint now)
{
    Scheduling::finish(state.m_scheduler, done, selfOf(state), now);
    if (!leader.isEmpty()) {
        sendTo(state, leader, done);
    }
}

void onDrawDue(State &state, std::uint64_t number, TimePoint now, Actions &actions)
{
    const auto found = state.m_draws.find(number);
    if (found == state.m_draws.end() || found->second.m_leader.isEmpty()) {
        return;
    }
    PendingDraw &pending = found->second;
    const bool isLeaderLost = pending.m_leader != state.m_leadership.m_leader;
    const bool isOver = pending.m_isQueued ? pending.m_unacknowledged > MaxUnacknowledged : now - pending.m_sentAt >= state.m_settings.m_draws.m_decideAfter;
    if (!isLeaderLost && !isOver) {
        return askLeader(state, pending, now);
    }
    Reporting::count(state.m_counters, "draws_unanswered");
    Fleet::expediteHeartbeat(state.m_leadership, now);
    decideAlone(state, pending, now, actions);
}

void onDrawQueued(State &state, const HostId &from, const Fleet::DrawQueued &queued)
{
    const auto pending = state.m_draws.find(queued.m_number);
    if (pending != state.m_draws.end() && pending->second.m_leader == from) {
        pending->second.m_isQueued = true;
        pending->second.m_unacknowledged = 0;
    }
}

void serveQueues(State &state, TimePoint now, Actions &actions)
{
    for (Scheduling::Answered &answered : Scheduling::serve(state.m_scheduler, state.m_random, now)) {
        if (answered.m_host == state.m_settings.m_host) {
            onDrawAnswered(state, {}, answered.m_answer, now, actions);
        } else {
            addAddress(state, answered.m_answer);
            sendTo(state, answered.m_host, answered.m_answer);
        }
    }
}

void onDraw(State &state, const HostId &from, const Draw &draw, TimePoint now, Actions &actions)
{
    const Scheduling::DrawId id{from, draw.m_number};
    const auto granted = state.m_scheduler.m_granted.find(id);
    std::optional<DrawAnswer> answer;
    if (granted != state.m_scheduler.m_granted.end()) {
        answer = DrawAnswer{draw.m_number, granted->second.m_server, {}, {}, {}};
    } else if (!Scheduling::isQueued(state.m_scheduler, draw.m_service, id)) {
        answer = Scheduling::draw(state.m_scheduler, draw, askerOf(state, from), state.m_random, now);
        logDraw(state, from, draw, answer, now, actions);
    }
    if (!answer) {
        return sendTo(state, from, Fleet::DrawQueued{draw.m_number});
    }
    const bool isStillThere = !answer->m_server || state.m_scheduler.m_book.m_servers.contains(*answer->m_server);
    if (isStillThere) {
        addAddress(state, *answer);
        sendTo(state, from, *answer);
    }
}

void onDrawDone(State &state, const HostId &from, const DrawDone &done, TimePoint now)
{
    Scheduling::finish(state.m_scheduler, done, askerOf(state, from), now);
}

void onDrawWithdrawn(State &state, const HostId &from, const Fleet::DrawWithdrawn &withdrawn, TimePoint now)
{
    const Scheduling::DrawId id{from, withdrawn.m_number};
    Scheduling::withdraw(state.m_scheduler, id);
    const auto granted = state.m_scheduler.m_granted.find(id);
    if (granted != state.m_scheduler.m_granted.end()) {
        Scheduling::finish(state.m_scheduler, Scheduling::unusedDraw(withdrawn.m_number, granted->second.m_server), askerOf(state, from), now);
    }
}

}
