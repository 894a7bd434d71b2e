#include <ragwortrelay/detail/node/duties.h>

namespace RagwortRelay::Node::detail {

namespace {

using Dispatch::Outcome;

constexpr std::uint16_t HttpUnauthorized = 401;
constexpr std::uint16_t HttpTooManyRequests = 429;

}

Progress admitExchange(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions)
{
    if (exchange.m_route.m_open) {
        return Progress::Continue;
    }
    const auto workspace = node.m_catalogue.m_workspaces.find(exchange.m_workspace);
    if (workspace == node.m_catalogue.m_workspaces.end()) {
        refuse(node, id, {HttpUnauthorized, ErrorId::RequestUnauthenticated, Outcome::NotRun, "the workspace of this key is gone", {}}, actions);
        return Progress::Ended;
    }
    const Limits::Share share{workspace->second.m_rate, workspace->second.m_burst};
    auto [bucket, isNew] = node.m_buckets.try_emplace(exchange.m_workspace);
    if (isNew || bucket->second.m_share != share) {
        bucket->second = {share, share.m_burst * Limits::MicrotokensPerToken, now};
    }
    if (Limits::takeToken(bucket->second, now)) {
        return Progress::Continue;
    }
    const Duration wait = Limits::waitForToken(bucket->second, now);
    refuse(node, id, {HttpTooManyRequests, ErrorId::RequestOverLimit, Outcome::NotRun, "the workspace is over its rate", wait}, actions);
    return Progress::Ended;
}

}
