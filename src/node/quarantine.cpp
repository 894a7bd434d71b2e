#include <ragwortrelay/detail/node/duties.h>
#include <ragwortrelay/membership/membership.h>

namespace RagwortRelay::Node::detail {

namespace {

using Dispatch::AttemptFailure;
using Dispatch::Outcome;

constexpr std::uint16_t HttpServiceUnavailable = 503;

std::string fingerprintOf(const Exchange &exchange)
{
    const RequestArrived &request = exchange.m_request;
    return Dispatch::fingerprintOf(exchange.m_workspace, request.m_method, request.m_target, request.m_bodyDigest);
}

void tellFleet(Node &node, const Dispatch::CrashReport &report, TimePoint now, Actions &actions)
{
    for (const HostId &host : Membership::liveHosts(node.m_membership, now)) {
        const std::string address = Membership::addressOf(node.m_membership, host);
        if (host != node.m_settings.m_host && !address.empty()) {
            actions.push_back(SendPeer{host, address, report});
        }
    }
}

/// Tells whether another suspect of the same service runs on this host.
bool anotherSuspectRuns(const Node &node, ExchangeId id, const Exchange &exchange)
{
    for (const auto &[attemptId, attempt] : node.m_attempts) {
        const auto other = node.m_exchanges.find(attempt.m_exchange);
        const bool isOther = other != node.m_exchanges.end() && other->first != id;
        if (isOther && other->second.m_route.m_service == exchange.m_route.m_service && other->second.m_isSuspect) {
            return true;
        }
    }
    return false;
}

}

Progress guardSuspect(Node &node, ExchangeId id, Exchange &exchange, TimePoint now, Actions &actions)
{
    if (node.m_suspects.m_crashes.empty()) {
        return Progress::Continue;
    }
    const std::string fingerprint = fingerprintOf(exchange);
    exchange.m_isSuspect = Dispatch::isSuspect(node.m_suspects, fingerprint);
    if (!exchange.m_isSuspect) {
        return Progress::Continue;
    }
    if (const auto left = Dispatch::quarantineLeft(node.m_suspects, node.m_settings.m_suspects, fingerprint, now)) {
        refuse(node, id, {HttpServiceUnavailable, ErrorId::RequestQuarantined, Outcome::NotRun, "this request has crashed backend servers", left}, actions);
        return Progress::Ended;
    }
    if (anotherSuspectRuns(node, id, exchange)) {
        leaveQueue(node, id, exchange); // It must not hold up those behind it.
        return Progress::Wait;
    }
    return Progress::Continue;
}

void noteAttemptFailure(Node &node, const AttemptFailed &failure, const Attempt &attempt, const Exchange &exchange, TimePoint now, Actions &actions)
{
    const bool isCrash = failure.m_sent && (failure.m_failure == AttemptFailure::Broken || failure.m_failure == AttemptFailure::CutShort);
    if (!isCrash) {
        return;
    }
    const std::string fingerprint = fingerprintOf(exchange);
    Reporting::count(node.m_counters, "crashes_seen");
    Dispatch::noteCrash(node.m_suspects, node.m_settings.m_suspects, fingerprint, {node.m_settings.m_host, failure.m_attempt}, {attempt.m_server, now});
    tellFleet(node, {fingerprint, attempt.m_server, failure.m_attempt}, now, actions);
}

void noteSuspectAnswered(Node &node, AttemptId attempt, const Exchange &exchange, TimePoint now, Actions &actions)
{
    if (node.m_suspects.m_crashes.empty()) {
        return;
    }
    const std::string fingerprint = fingerprintOf(exchange);
    if (Dispatch::clearSuspect(node.m_suspects, fingerprint)) {
        Reporting::count(node.m_counters, "suspects_cleared");
        tellFleet(node, {fingerprint, {}, attempt}, now, actions);
    }
}

void onCrashReport(Node &node, const HostId &from, const Dispatch::CrashReport &report, TimePoint now)
{
    if (report.m_server.isEmpty()) {
        Dispatch::clearSuspect(node.m_suspects, report.m_fingerprint);
        return;
    }
    Dispatch::noteCrash(node.m_suspects, node.m_settings.m_suspects, report.m_fingerprint, {from, report.m_attempt}, {report.m_server, now});
}

void tickSuspects(Node &node, TimePoint now)
{
    if (!node.m_suspects.m_crashes.empty()) {
        Dispatch::expireSuspects(node.m_suspects, node.m_settings.m_suspects, now);
    }
}

}
