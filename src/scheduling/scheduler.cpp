#include <ragwortrelay/scheduling/scheduler.h>

#include <algorithm>
#include <tuple>

namespace RagwortRelay::Scheduling {

namespace {

/// What a caller is told at least to wait after a refusal.
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(50);

/// What a caller is told at most to wait for a token or a slot.
constexpr Duration LongestRetryAfter = std::chrono::seconds(1);

/// Between two looks at draws that wait: tokens come, and servers that shed become free, by time alone.
constexpr Duration QueueInterval = std::chrono::milliseconds(20);

DrawAnswer refusal(const Draw &draw, RefusalReason reason, Duration retryAfter)
{
    return {draw.m_number, std::nullopt, {}, reason, std::max(LeastRetryAfter, retryAfter)};
}

/// Refuses a draw for want of a server. Its request isn't served, but for a hedge, which runs already.
DrawAnswer refuse(Scheduler &scheduler, const Draw &draw, RefusalReason reason, Duration retryAfter, TimePoint now)
{
    if (draw.m_purpose != DrawPurpose::Hedge) {
        noteRefused(scheduler.m_book, scheduler.m_settings.m_pick, draw.m_service, now);
    }
    return refusal(draw, reason, retryAfter);
}

DrawAnswer grant(Scheduler &scheduler, const Draw &draw, const ServerId &server, const Asker &asker, TimePoint now)
{
    startDraw(scheduler.m_book, scheduler.m_settings.m_pick, draw, server, asker, now);
    scheduler.m_granted[{asker.m_host, draw.m_number}] = {server, draw.m_service, now, draw.m_fingerprint};
    return {draw.m_number, server, {}, {}, {}};
}

Duration usualTimeOf(const Scheduler &scheduler, const ServiceId &service)
{
    const auto found = scheduler.m_book.m_services.find(service);
    return found == scheduler.m_book.m_services.end() ? Duration(0) : found->second.m_usualTime;
}

QueuedDraw queuedDraw(const Draw &draw, const Asker &asker, double turn, TimePoint now)
{
    return {draw, asker, now, now + draw.m_timeLeft, now + draw.m_objectiveLeft, turn};
}

/// Returns the id of a draw that waits.
DrawId idOf(const QueuedDraw &entry)
{
    return {entry.m_asker.m_host, entry.m_draw.m_number};
}

/// Returns how long a draw may wait for a token such that it can still be answered within its objective.
Duration longestTokenWait(const Scheduler &scheduler, const Draw &draw)
{
    constexpr double ShareOfObjective = 0.5; // Of what the work at the server leaves of it.
    const Duration spare = draw.m_objectiveLeft - usualTimeOf(scheduler, draw.m_service);
    const auto allowed = std::chrono::duration_cast<Duration>(spare * ShareOfObjective);
    return std::min(scheduler.m_settings.m_tokenWaitAtMost, allowed);
}

/// What became of a draw at the limit of its workspace.
enum class LimitOutcome : std::uint8_t {
    Passed,
    Waits,
    Refused,
};

/// Takes a token of the workspace's limit, or lets the draw wait for one that will be there soon.
LimitOutcome takeLimit(Scheduler &scheduler, const Draw &draw, const Asker &asker, TimePoint now)
{
    const auto pool = scheduler.m_pools.find(draw.m_workspace);
    if (draw.m_purpose != DrawPurpose::First || pool == scheduler.m_pools.end()) {
        return LimitOutcome::Passed;
    }
    const auto waiting = scheduler.m_awaitingTokens.find(draw.m_workspace);
    const std::size_t ahead = waiting == scheduler.m_awaitingTokens.end() ? 0 : waiting->second.size();
    if (ahead == 0 && Limits::takeToken(pool->second, now)) {
        return LimitOutcome::Passed;
    }
    Limits::refill(pool->second, now);
    const auto wait = Limits::waitForToken(pool->second, ahead);
    if (!wait || *wait > longestTokenWait(scheduler, draw)) {
        return LimitOutcome::Refused;
    }
    scheduler.m_awaitingTokens[draw.m_workspace].push_back(queuedDraw(draw, asker, 0.0, now));
    return LimitOutcome::Waits;
}

DrawAnswer overLimit(Scheduler &scheduler, const Draw &draw, TimePoint now)
{
    const auto wait = Limits::promiseToken(scheduler.m_pools.at(draw.m_workspace), LongestRetryAfter, now);
    return refusal(draw, RefusalReason::OverLimit, wait.value_or(LongestRetryAfter));
}

/// Takes a further attempt from the budget of its service.
/// @return the refusal, or nothing when it was taken
std::optional<DrawAnswer> takeBudget(Scheduler &scheduler, const Draw &draw, TimePoint now)
{
    const RetryLimit &limit = scheduler.m_settings.m_retries;
    RetryBudget &budget = scheduler.m_budgets.try_emplace(draw.m_service, firstBudget(limit, scheduler.m_share)).first->second;
    switch (draw.m_purpose) {
    case DrawPurpose::First:
        budget = afterRequest(budget, limit);
        return std::nullopt;
    case DrawPurpose::Instead:
        return std::nullopt;
    case DrawPurpose::Again:
    case DrawPurpose::Hedge:
        break;
    }
    if (!allowsRetry(budget, limit, scheduler.m_share)) {
        return refuse(scheduler, draw, RefusalReason::NoBudget, Duration(0), now);
    }
    budget = afterRetry(budget);
    return std::nullopt;
}

/// Returns how much longer a request is refused since it has crashed servers.
std::optional<Duration> barredFor(const Scheduler &scheduler, const Draw &draw, TimePoint now)
{
    const auto left = Dispatch::quarantineLeft(scheduler.m_suspects, scheduler.m_settings.m_suspects, draw.m_fingerprint, now);
    const auto barred = scheduler.m_barred.find(draw.m_fingerprint);
    if (left || barred == scheduler.m_barred.end() || barred->second <= now) {
        return left;
    }
    return barred->second - now;
}

/// Tells whether a request has to wait until it is known what else was present when it may have crashed a server.
bool awaitsReports(const Scheduler &scheduler, const Draw &draw, TimePoint now)
{
    return Dispatch::awaitsReports(scheduler.m_suspects, scheduler.m_settings.m_suspects, draw.m_fingerprint, now);
}

/// Takes in what the end of an attempt tells about its request.
void noteRequest(Scheduler &scheduler, const DrawDone &done, std::uint64_t fingerprint, const Asker &asker, TimePoint now)
{
    constexpr Duration ExpireInterval = std::chrono::seconds(1);
    if (now - scheduler.m_suspectsExpiredAt >= ExpireInterval) {
        scheduler.m_suspectsExpiredAt = now;
        Dispatch::expireSuspects(scheduler.m_suspects, scheduler.m_settings.m_suspects, now);
    }
    if (done.m_end == AttemptEnd::Broken && done.m_fingerprint != 0) {
        Dispatch::noteCrash(scheduler.m_suspects, scheduler.m_settings.m_suspects, done.m_fingerprint, {asker.m_host, done.m_number}, {done.m_server, now});
    } else if (done.m_end == AttemptEnd::Succeeded) {
        Dispatch::clearSuspect(scheduler.m_suspects, fingerprint);
    }
}

bool goesBefore(const QueuedDraw &left, const QueuedDraw &right)
{
    return std::tie(left.m_draw.m_priority, left.m_turn) < std::tie(right.m_draw.m_priority, right.m_turn);
}

/// Returns the turn of the next draw of a workspace.
double nextTurn(const DrawQueue &queue, const WorkspaceId &workspace)
{
    const auto next = queue.m_nextTurns.find(workspace);
    return next == queue.m_nextTurns.end() ? queue.m_turn : std::max(queue.m_turn, next->second);
}

double weightOf(const Scheduler &scheduler, const WorkspaceId &workspace)
{
    const auto weight = scheduler.m_weights.find(workspace);
    return weight == scheduler.m_weights.end() ? 1.0 : weight->second;
}

/// Takes the turn of a draw that leaves its queue to be served.
void takeTurn(DrawQueue &queue, const QueuedDraw &entry)
{
    queue.m_turn = std::max(queue.m_turn, entry.m_turn);
    std::erase_if(queue.m_nextTurns, [&](const auto &next) { return next.second <= queue.m_turn; });
}

/// Returns how long a draw would wait behind those that go before it.
Duration expectedWait(const Scheduler &scheduler, const DrawQueue &queue, const QueuedDraw &entry, TimePoint now)
{
    const Draw &draw = entry.m_draw;
    const std::uint32_t slots = slotsOf(scheduler.m_book, draw.m_service, now);
    if (slots == 0) {
        return Duration::max();
    }
    const auto ahead = std::ranges::count_if(queue.m_draws, [&](const QueuedDraw &other) { return !goesBefore(entry, other); });
    return usualTimeOf(scheduler, draw.m_service) * (ahead + 1) / slots;
}

std::optional<DrawAnswer> enqueue(Scheduler &scheduler, const Draw &draw, const Asker &asker, TimePoint now)
{
    DrawQueue &queue = scheduler.m_queues[draw.m_service];
    const QueuedDraw entry = queuedDraw(draw, asker, nextTurn(queue, draw.m_workspace), now);
    const Duration wait = expectedWait(scheduler, queue, entry, now);
    const bool isTooLate = wait > draw.m_timeLeft - usualTimeOf(scheduler, draw.m_service) / 2;
    if (queue.m_draws.size() >= scheduler.m_settings.m_queueAtMost || isTooLate || draw.m_purpose == DrawPurpose::Hedge) {
        return refuse(scheduler, draw, RefusalReason::Overload, std::min(wait, LongestRetryAfter), now);
    }
    queue.m_nextTurns[draw.m_workspace] = entry.m_turn + 1.0 / weightOf(scheduler, draw.m_workspace);
    queue.m_draws.insert(std::upper_bound(queue.m_draws.begin(), queue.m_draws.end(), entry, goesBefore), entry);
    return std::nullopt;
}

/// Refuses the draws that can't be answered in time any more.
void expire(Scheduler &scheduler, const ServiceId &service, DrawQueue &queue, TimePoint now, std::vector<Answered> &answers)
{
    const Duration usual = usualTimeOf(scheduler, service);
    std::erase_if(queue.m_draws, [&](const QueuedDraw &entry) {
        const bool isLate = now + usual / 2 > entry.m_answerBy;
        if (isLate) {
            answers.push_back({entry.m_asker.m_host, refuse(scheduler, entry.m_draw, RefusalReason::Overload, usual, now)});
        }
        return isLate;
    });
}

/// Returns the draw that is served next: the most urgent, among equals the first that can still meet its objective.
/// @param isBlocked draws that found no server in this round
std::deque<QueuedDraw>::iterator nextOf(DrawQueue &queue, const std::set<DrawId> &isBlocked, Duration usual, TimePoint now)
{
    auto best = queue.m_draws.end();
    for (auto entry = queue.m_draws.begin(); entry != queue.m_draws.end(); ++entry) {
        if (isBlocked.contains(idOf(*entry))) {
            continue;
        }
        const bool isUrgent = best == queue.m_draws.end() || entry->m_draw.m_priority < best->m_draw.m_priority;
        if (best != queue.m_draws.end() && entry->m_draw.m_priority > best->m_draw.m_priority) {
            break;
        }
        const bool meetsObjective = now + usual <= entry->m_objectiveAt;
        if (meetsObjective) {
            return entry;
        }
        if (isUrgent) {
            best = entry;
        }
    }
    return best;
}

void serveQueue(Scheduler &scheduler, const ServiceId &service, DrawQueue &queue, RandomGenerator &random, TimePoint now, std::vector<Answered> &answers)
{
    constexpr std::size_t MostBlocked = 8; // Looked at past the first one that finds no server.
    if (!hasFreeSlot(scheduler.m_book, service, now)) {
        return;
    }
    const Duration usual = usualTimeOf(scheduler, service);
    std::set<DrawId> blocked;
    while (blocked.size() < MostBlocked) {
        const auto entry = nextOf(queue, blocked, usual, now);
        if (entry == queue.m_draws.end()) {
            return;
        }
        if (const auto barred = barredFor(scheduler, entry->m_draw, now)) {
            answers.push_back({entry->m_asker.m_host, refusal(entry->m_draw, RefusalReason::Quarantined, *barred)});
            queue.m_draws.erase(entry);
            continue;
        }
        if (awaitsReports(scheduler, entry->m_draw, now)) {
            blocked.insert(idOf(*entry));
            continue;
        }
        const auto server = pickServer(scheduler.m_book, scheduler.m_settings.m_pick, entry->m_draw, entry->m_asker, random, now);
        if (server) {
            answers.push_back({entry->m_asker.m_host, grant(scheduler, entry->m_draw, *server, entry->m_asker, now)});
            takeTurn(queue, *entry);
            queue.m_draws.erase(entry);
        } else if (server.error() == PickFailure::NoServer) {
            answers.push_back({entry->m_asker.m_host, refuse(scheduler, entry->m_draw, RefusalReason::NoServer, usual, now)});
            queue.m_draws.erase(entry);
        } else {
            blocked.insert(idOf(*entry));
        }
    }
}

/// Answers a draw that has its token, or queues it for a slot.
std::optional<DrawAnswer> place(Scheduler &scheduler, const Draw &draw, const Asker &asker, RandomGenerator &random, TimePoint now)
{
    if (auto refused = takeBudget(scheduler, draw, now)) {
        return refused;
    }
    const DrawQueue &queue = scheduler.m_queues[draw.m_service];
    const bool othersGoFirst = !queue.m_draws.empty() && queue.m_draws.front().m_draw.m_priority <= draw.m_priority;
    if (!othersGoFirst && !awaitsReports(scheduler, draw, now)) {
        const auto server = pickServer(scheduler.m_book, scheduler.m_settings.m_pick, draw, asker, random, now);
        if (server) {
            return grant(scheduler, draw, *server, asker, now);
        }
        if (server.error() == PickFailure::NoServer) {
            return refuse(scheduler, draw, RefusalReason::NoServer, std::chrono::milliseconds(500), now);
        }
    }
    return enqueue(scheduler, draw, asker, now);
}

/// Returns a draw with the time that is left of it after it has waited.
Draw afterWait(const QueuedDraw &entry, TimePoint now)
{
    Draw draw = entry.m_draw;
    draw.m_timeLeft = entry.m_answerBy - now;
    draw.m_objectiveLeft = entry.m_objectiveAt - now;
    return draw;
}

/// Goes on with the draws for which there is a token now. One that can't be answered in time any more is refused.
void serveTokens(Scheduler &scheduler, RandomGenerator &random, TimePoint now, std::vector<Answered> &answers)
{
    for (auto &[workspace, waiting] : scheduler.m_awaitingTokens) {
        const auto pool = scheduler.m_pools.find(workspace);
        while (!waiting.empty()) {
            const QueuedDraw entry = waiting.front();
            const Draw draw = afterWait(entry, now);
            const bool isLate = draw.m_timeLeft < usualTimeOf(scheduler, draw.m_service) / 2;
            if (!isLate && pool != scheduler.m_pools.end() && !Limits::takeToken(pool->second, now)) {
                break;
            }
            waiting.pop_front();
            const auto answer =
                isLate && pool != scheduler.m_pools.end() ? overLimit(scheduler, draw, now) : place(scheduler, draw, entry.m_asker, random, now);
            if (answer) {
                answers.push_back({entry.m_asker.m_host, *answer});
            }
        }
    }
    std::erase_if(scheduler.m_awaitingTokens, [](const auto &entry) { return entry.second.empty(); });
}

void setLimit(Scheduler &scheduler, const WorkspaceId &id, const Configuration::Workspace *workspace, TimePoint now)
{
    if (workspace == nullptr || !workspace->m_isLimited) {
        scheduler.m_pools.erase(id);
        return;
    }
    const auto [pool, isNew] = scheduler.m_pools.try_emplace(id);
    if (isNew) {
        pool->second.m_share = scheduler.m_share;
        pool->second.m_refilledAt = now;
    }
    Limits::setLimit(pool->second, workspace->m_rate, workspace->m_burst, now);
}

void setWeight(Scheduler &scheduler, const WorkspaceId &id, const Configuration::Workspace *workspace)
{
    if (workspace != nullptr && workspace->m_weight != 1.0 && workspace->m_weight > 0.0) {
        scheduler.m_weights[id] = workspace->m_weight;
    } else {
        scheduler.m_weights.erase(id);
    }
}

}

void setWorkspace(Scheduler &scheduler, const Configuration::Catalogue &catalogue, const WorkspaceId &id, TimePoint now)
{
    const auto found = catalogue.m_workspaces.find(id);
    const Configuration::Workspace *workspace = found == catalogue.m_workspaces.end() ? nullptr : &found->second;
    setLimit(scheduler, id, workspace, now);
    setWeight(scheduler, id, workspace);
}

void setServices(Scheduler &scheduler, const Configuration::Catalogue &catalogue)
{
    for (const auto &[id, service] : catalogue.m_services) {
        ServicePolicy policy;
        policy.m_floor = service.m_floor;
        if (service.m_detectFailures > 0.0) {
            policy.m_sickAbove = service.m_detectFailures;
        }
        policy.m_sickAfter = service.m_detectAfter;
        scheduler.m_book.m_services[id].m_policy = policy;
    }
}

void setCatalogue(Scheduler &scheduler, const Configuration::Catalogue &catalogue, TimePoint now)
{
    const auto isGone = [&](const auto &entry) { return !catalogue.m_workspaces.contains(entry.first); };
    std::erase_if(scheduler.m_pools, isGone);
    std::erase_if(scheduler.m_weights, isGone);
    for (const auto &[id, workspace] : catalogue.m_workspaces) {
        setLimit(scheduler, id, &workspace, now);
        setWeight(scheduler, id, &workspace);
    }
    setServices(scheduler, catalogue);
}

void setShare(Scheduler &scheduler, double share, TimePoint now)
{
    if (share == scheduler.m_share) {
        return;
    }
    for (auto &[service, budget] : scheduler.m_budgets) {
        budget = withShare(budget, scheduler.m_settings.m_retries, scheduler.m_share, share);
    }
    scheduler.m_share = share;
    for (auto &[id, pool] : scheduler.m_pools) {
        Limits::setShare(pool, share, now);
    }
}

std::optional<DrawAnswer> draw(Scheduler &scheduler, const Draw &draw, const Asker &asker, RandomGenerator &random, TimePoint now)
{
    scheduler.m_domains[asker.m_host] = asker.m_domain;
    if (const auto barred = barredFor(scheduler, draw, now)) {
        return refusal(draw, RefusalReason::Quarantined, *barred);
    }
    switch (takeLimit(scheduler, draw, asker, now)) {
    case LimitOutcome::Waits:
        return std::nullopt;
    case LimitOutcome::Refused:
        return overLimit(scheduler, draw, now);
    case LimitOutcome::Passed:
        break;
    }
    return place(scheduler, draw, asker, random, now);
}

void withdraw(Scheduler &scheduler, const DrawId &id)
{
    const auto isIt = [&](const QueuedDraw &entry) { return idOf(entry) == id; };
    for (auto &[service, queue] : scheduler.m_queues) {
        std::erase_if(queue.m_draws, isIt);
    }
    for (auto &[workspace, waiting] : scheduler.m_awaitingTokens) {
        std::erase_if(waiting, isIt);
    }
}

bool isQueued(const Scheduler &scheduler, const ServiceId &service, const DrawId &id)
{
    const auto isIt = [&](const QueuedDraw &entry) { return idOf(entry) == id; };
    const auto queue = scheduler.m_queues.find(service);
    const bool awaitsSlot = queue != scheduler.m_queues.end() && std::ranges::any_of(queue->second.m_draws, isIt);
    return awaitsSlot || std::ranges::any_of(scheduler.m_awaitingTokens, [&](const auto &entry) { return std::ranges::any_of(entry.second, isIt); });
}

void reconcile(Scheduler &scheduler, const HostId &host, const std::vector<std::uint64_t> &running, TimePoint startedBefore)
{
    const auto first = scheduler.m_granted.lower_bound({host, 0});
    for (auto granted = first; granted != scheduler.m_granted.end() && granted->first.m_host == host;) {
        const bool isNamed = std::ranges::find(running, granted->first.m_number) != running.end();
        const bool isLost = granted->second.m_at < startedBefore && !isNamed;
        granted = isLost ? scheduler.m_granted.erase(granted) : std::next(granted);
    }
    reconcile(scheduler.m_book, host, running, startedBefore);
}

std::vector<Dispatch::Fingerprint> guiltyRequests(const Scheduler &scheduler, TimePoint now)
{
    std::vector<Dispatch::Fingerprint> guilty;
    for (const Dispatch::Fingerprint fingerprint : scheduler.m_suspects.m_accused) {
        if (Dispatch::quarantineLeft(scheduler.m_suspects, scheduler.m_settings.m_suspects, fingerprint, now)) {
            guilty.push_back(fingerprint);
        }
    }
    return guilty;
}

void barRequests(Scheduler &scheduler, const std::vector<Dispatch::Fingerprint> &fingerprints, TimePoint now)
{
    std::erase_if(scheduler.m_barred, [&](const auto &entry) { return entry.second <= now; });
    for (const Dispatch::Fingerprint fingerprint : fingerprints) {
        scheduler.m_barred[fingerprint] = now + scheduler.m_settings.m_suspects.m_quarantine;
    }
}

void finish(Scheduler &scheduler, const DrawDone &done, const Asker &asker, TimePoint now)
{
    const auto granted = scheduler.m_granted.find({asker.m_host, done.m_number});
    std::uint64_t fingerprint = done.m_fingerprint;
    if (granted != scheduler.m_granted.end()) {
        fingerprint = granted->second.m_fingerprint;
        scheduler.m_granted.erase(granted);
    }
    noteRequest(scheduler, done, fingerprint, asker, now);
    scheduler.m_domains[asker.m_host] = asker.m_domain;
    endDraw(scheduler.m_book, scheduler.m_settings.m_pick, done, asker, now);
    const auto server = scheduler.m_book.m_servers.find(done.m_server);
    const auto queue = server == scheduler.m_book.m_servers.end() ? scheduler.m_queues.end() : scheduler.m_queues.find(server->second.m_server.m_service);
    if (queue != scheduler.m_queues.end()) {
        queue->second.m_lookAt = now; // A slot is free.
    }
}

std::vector<Answered> serve(Scheduler &scheduler, RandomGenerator &random, TimePoint now)
{
    std::vector<Answered> answers;
    if (now - scheduler.m_overdueAt >= scheduler.m_settings.m_overdueInterval) {
        scheduler.m_overdueAt = now;
        noteOverdue(scheduler.m_book, scheduler.m_settings.m_pick, scheduler.m_domains, now);
    }
    if (now >= scheduler.m_tokensAt) {
        scheduler.m_tokensAt = now + QueueInterval;
        serveTokens(scheduler, random, now, answers);
    }
    for (auto &[service, queue] : scheduler.m_queues) {
        if (!queue.m_draws.empty() && now >= queue.m_lookAt) {
            queue.m_lookAt = now + QueueInterval;
            expire(scheduler, service, queue, now, answers);
            serveQueue(scheduler, service, queue, random, now, answers);
        }
    }
    return answers;
}

TimePoint nextServeAt(const Scheduler &scheduler)
{
    TimePoint next = scheduler.m_awaitingTokens.empty() ? TimePoint::max() : scheduler.m_tokensAt;
    for (const auto &[service, queue] : scheduler.m_queues) {
        next = queue.m_draws.empty() ? next : std::min(next, queue.m_lookAt);
    }
    return scheduler.m_granted.empty() ? next : std::min(next, scheduler.m_overdueAt + scheduler.m_settings.m_overdueInterval);
}

}
