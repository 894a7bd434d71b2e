#include <ragwortrelay/detail/node/duties.h>

#include <algorithm>

namespace RagwortRelay::Node::detail {

namespace {

using Dispatch::Outcome;

constexpr std::uint16_t HttpServiceUnavailable = 503;

/// Sheds in a row after which a request waits for its turn in place of trying one more server.
constexpr std::uint32_t ShedsBeforeQueue = 3;

/// What a caller is told at least to wait after a refusal by overload.
constexpr Duration LeastRetryAfter = std::chrono::seconds(1);

void refuseOverload(Node &node, ExchangeId id, const std::string &detail, Actions &actions)
{
    refuse(node, id, {HttpServiceUnavailable, ErrorId::RequestOverload, Outcome::NotRun, detail, LeastRetryAfter}, actions);
}

std::string detailOf(Balancing::QueueRefusal refusal)
{
    switch (refusal) {
    case Balancing::QueueRefusal::WorkspaceFull:
        return "the workspace has too many requests waiting";
    case Balancing::QueueRefusal::ServiceFull:
        return "the service has too many requests waiting";
    case Balancing::QueueRefusal::TooLate:
        return "the service is overloaded; the request would not be answered in time";
    }
    return {};
}

Balancing::QueuedRequest queuedRequestOf(const Node &node, ExchangeId id, Exchange &exchange, TimePoint now)
{
    Balancing::QueuedRequest request;
    request.m_id = id;
    request.m_workspace = exchange.m_workspace;
    const auto workspace = node.m_catalogue.m_workspaces.find(exchange.m_workspace);
    if (workspace != node.m_catalogue.m_workspaces.end()) {
        request.m_weight = workspace->second.m_weight;
    }
    const auto service = node.m_balancer.m_services.find(exchange.m_route.m_service);
    const Duration work = service == node.m_balancer.m_services.end() ? Duration(0) : service->second.m_meanWork;
    if (!exchange.m_placeBefore) {
        exchange.m_placeBefore = std::min(exchange.m_deadline - work, now + node.m_settings.m_queue.m_longestWait);
    }
    request.m_startBefore = *exchange.m_placeBefore;
    return request;
}

/// Lets a request wait for its turn, or refuses it when the queue is full.
Progress waitForTurn(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions)
{
    Balancing::RequestQueue &queue = node.m_placement.m_queues[exchange.m_route.m_service];
    const auto queued = Balancing::enqueue(queue, node.m_settings.m_queue, queuedRequestOf(node, id, exchange, now), now);
    if (!queued) {
        refuseOverload(node, id, detailOf(queued.error()), actions);
        return Progress::Ended;
    }
    exchange.m_isQueued = true;
    Reporting::count(node.m_counters, "requests_queued");
    return Progress::Wait;
}

void startAttemptAt(Node &node, ExchangeId id, Exchange &exchange, const ServerId &server, TimePoint now, Actions &actions)
{
    const AttemptId attempt = ++node.m_lastAttempt;
    exchange.m_attempt = attempt;
    exchange.m_tried.insert(server);
    ++exchange.m_attempts;
    node.m_attempts.emplace(attempt, Attempt{id, server, now});
    Balancing::startAttempt(node.m_balancer, server);
    const std::string &address = node.m_catalogue.m_servers.at(server).m_address;
    actions.push_back(StartAttempt{id, attempt, server, address, exchange.m_route.m_idempotent, exchange.m_deadline - now});
}

tl::expected<ServerId, Balancing::PickFailure> pickServerFor(Node &node, const Exchange &exchange, TimePoint now)
{
    Balancing::PickQuery query;
    query.m_host = node.m_settings.m_host;
    query.m_service = exchange.m_route.m_service;
    query.m_excluded = &exchange.m_tried;
    query.m_hosts = std::max<std::size_t>(1, node.m_health.m_decidersAmong.size());
    const std::map<ServerId, Balancing::Standing> standings = standingsOf(node, query.m_service, now);
    query.m_standings = &standings;
    return Balancing::pickServer(node.m_balancer, node.m_settings.m_balancing, node.m_catalogue, query, now, node.m_random);
}

/// Lets the servers that shed a request be tried again when its turn comes.
void forgetSheds(Exchange &exchange)
{
    for (const ServerId &server : exchange.m_shedBy) {
        exchange.m_tried.erase(server);
    }
    exchange.m_shedBy.clear();
}

void giveTurn(Node &node, ExchangeId id, TimePoint now, Actions &actions)
{
    node.m_placement.m_turn = id;
    advance(node, id, now, actions);
    node.m_placement.m_turn = 0;
}

/// Takes a suspect that had its turn but must wait for other requests to end out of the queue; it will ask for a place again.
void letOthersPass(Node &node, ExchangeId id)
{
    const auto exchange = node.m_exchanges.find(id);
    if (exchange != node.m_exchanges.end() && exchange->second.m_isSuspect) {
        leaveQueue(node, id, exchange->second);
        exchange->second.m_isQueued = false;
    }
}

/// Gives so many turns, or fewer when one finds no slot.
void giveTurns(Node &node, Balancing::RequestQueue &queue, std::size_t turns, TimePoint now, Actions &actions)
{
    for (std::size_t turn = 0; turn < turns; ++turn) {
        const auto next = Balancing::nextTurn(queue);
        if (!next) {
            return;
        }
        const std::size_t sizeBefore = queue.m_size;
        giveTurn(node, *next, now, actions);
        if (queue.m_size >= sizeBefore) {
            letOthersPass(node, *next);
            Balancing::noteNoSlot(queue, node.m_random, now);
            return;
        }
    }
}

}

Progress placeExchange(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions)
{
    if (now >= exchange.m_placeBefore.value_or(exchange.m_deadline)) {
        leaveQueue(node, id, exchange);
        refuseOverload(node, id, "no backend server had a free slot in time", actions);
        return Progress::Ended;
    }
    Balancing::RequestQueue &queue = node.m_placement.m_queues[exchange.m_route.m_service];
    const bool hasTurn = node.m_placement.m_turn == id;
    if (!hasTurn && queue.m_size > 0) {
        return exchange.m_isQueued ? Progress::Wait : waitForTurn(node, id, exchange, now, actions);
    }
    const auto trial = takeTrialServer(node, exchange, now);
    const auto server = trial ? tl::expected<ServerId, Balancing::PickFailure>(*trial) : pickServerFor(node, exchange, now);
    if (server) {
        if (hasTurn) {
            Balancing::takeTurn(queue, now);
            exchange.m_isQueued = false;
        }
        startAttemptAt(node, id, exchange, *server, now, actions);
        return Progress::Continue;
    }
    if (server.error() == Balancing::PickFailure::AllBusy) {
        return hasTurn ? Progress::Wait : waitForTurn(node, id, exchange, now, actions);
    }
    leaveQueue(node, id, exchange);
    refuse(node, id, {HttpServiceUnavailable, ErrorId::RequestNoServer, Outcome::NotRun, "no backend server can take the request", {}}, actions);
    return Progress::Ended;
}

std::optional<Attempt> finishAttempt(Node &node, AttemptId id)
{
    const auto found = node.m_attempts.find(id);
    if (found == node.m_attempts.end()) {
        return std::nullopt;
    }
    const Attempt attempt = found->second;
    node.m_attempts.erase(found);
    Balancing::endAttempt(node.m_balancer, attempt.m_server);
    const auto server = node.m_catalogue.m_servers.find(attempt.m_server);
    if (server != node.m_catalogue.m_servers.end()) {
        node.m_placement.m_freed.insert(server->second.m_service);
    }
    return attempt;
}

void observeAnswer(Node &node, const AttemptAnswered &answer, TimePoint now)
{
    const Attempt &attempt = node.m_attempts.at(answer.m_attempt);
    const auto found = node.m_catalogue.m_servers.find(attempt.m_server);
    if (found == node.m_catalogue.m_servers.end()) {
        return;
    }
    const Configuration::Server &server = found->second;
    if (answer.m_load) {
        Balancing::noteReport(node.m_balancer, node.m_settings.m_balancing, server, answer.m_load->m_busySlots, answer.m_load->m_draining, now);
    }
    if (answer.m_notRun) {
        Reporting::count(node.m_counters, "attempts_shed");
        Balancing::noteShed(node.m_balancer, node.m_settings.m_balancing, server, now);
        return;
    }
    noteAnswered(node, answer, now);
    Balancing::noteWork(node.m_balancer, server.m_service, now - attempt.m_startedAt);
    Balancing::noteSlot(node.m_placement.m_queues[server.m_service]);
}

void placeAgainAfterShed(Node &node, ExchangeId id, const ServerId &server, TimePoint now, Actions &actions)
{
    Exchange &exchange = node.m_exchanges.at(id);
    Balancing::RequestQueue &queue = node.m_placement.m_queues[exchange.m_route.m_service];
    exchange.m_stage = Stage::Place;
    --exchange.m_attempts;
    exchange.m_shedBy.push_back(server);
    const bool mayTryAnother = exchange.m_shedBy.size() < ShedsBeforeQueue && queue.m_size == 0 && !exchange.m_placeBefore;
    if (mayTryAnother && pickServerFor(node, exchange, now).has_value()) {
        return advance(node, id, now, actions);
    }
    Balancing::noteNoSlot(queue, node.m_random, now);
    forgetSheds(exchange);
    if (node.m_settings.m_queue.m_perService == 0) {
        refuseOverload(node, id, "no backend server has a free slot", actions);
        return endRefused(node, id, now, actions);
    }
    Balancing::enqueueAgain(queue, queuedRequestOf(node, id, exchange, now));
    exchange.m_isQueued = true;
    node.m_waitingExchanges.insert(id);
}

void serveQueues(Node &node, TimePoint now, Actions &actions)
{
    const std::set<ServiceId> freed = std::move(node.m_placement.m_freed);
    node.m_placement.m_freed.clear();
    for (auto &[service, queue] : node.m_placement.m_queues) {
        if (queue.m_size == 0) {
            continue;
        }
        for (const ExchangeId id : Balancing::expire(queue, now)) {
            giveTurn(node, id, now, actions);
        }
        const std::size_t turns = (freed.contains(service) ? 1 : 0) + (now >= queue.m_retryAt ? 1 : 0);
        giveTurns(node, queue, turns, now, actions);
    }
}

void leaveQueue(Node &node, ExchangeId id, const Exchange &exchange)
{
    const auto queue = node.m_placement.m_queues.find(exchange.m_route.m_service);
    if (queue != node.m_placement.m_queues.end()) {
        Balancing::removeRequest(queue->second, exchange.m_workspace, id);
    }
}

}
