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
    const Limits::Admission admission = admitTo(node, exchange.m_workspace, exchange.m_admission, now, actions);
    if (admission != Limits::Admission::Refused) {
        return admission == Limits::Admission::Admitted ? Progress::Continue : Progress::Wait;
    }
    const Duration wait = Limits::retryAfter(node.m_limits, exchange.m_workspace, now);
    refuse(node, id, {HttpTooManyRequests, ErrorId::RequestOverLimit, Outcome::NotRun, "the workspace is over its rate", wait}, actions);
    return Progress::Ended;
}

}
