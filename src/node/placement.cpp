#include <ragwortrelay/detail/node/duties.h>

namespace RagwortRelay::Node::detail {

namespace {

using Dispatch::Outcome;

constexpr std::uint16_t HttpServiceUnavailable = 503;

}

Progress placeExchange(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions)
{
    const auto server = Balancing::pickServer(node.m_balancer, node.m_catalogue, exchange.m_route.m_service, exchange.m_tried, node.m_random);
    if (!server || now >= exchange.m_deadline) {
        refuse(node, id, {HttpServiceUnavailable, ErrorId::RequestNoServer, Outcome::NotRun, "no backend server can take the request", {}}, actions);
        return Progress::Ended;
    }
    const AttemptId attempt = ++node.m_lastAttempt;
    exchange.m_attempt = attempt;
    exchange.m_tried.insert(*server);
    ++exchange.m_attempts;
    node.m_attempts.emplace(attempt, Attempt{id, *server, now});
    Balancing::startAttempt(node.m_balancer, *server);
    const std::string &address = node.m_catalogue.m_servers.at(*server).m_address;
    actions.push_back(StartAttempt{id, attempt, *server, address, exchange.m_route.m_idempotent, exchange.m_deadline - now});
    return Progress::Continue;
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
    return attempt;
}

}
