#include <ragwortrelay/detail/node/duties.h>

#include <type_traits>

namespace RagwortRelay::Node::detail {

namespace {

void performEffects(Node &node, const Membership::Effects &effects, Actions &actions)
{
    for (const Membership::StoreCall &call : effects.m_calls) {
        PendingCall pending;
        pending.m_purpose = PlatformPurpose::Membership;
        pending.m_membershipCall = call.m_kind;
        callPlatform(node, call.m_call, pending, actions);
    }
    for (const Membership::Outgoing &outgoing : effects.m_heartbeats) {
        actions.push_back(SendPeer{outgoing.m_host, outgoing.m_address, outgoing.m_heartbeat});
    }
    for (const std::string &line : effects.m_logLines) {
        actions.push_back(LogChange{line});
    }
}

}

Membership::MembershipSettings membershipSettingsOf(const NodeSettings &settings)
{
    Membership::MembershipSettings membership;
    membership.m_seat.m_key = {settings.m_host, settings.m_incarnation};
    membership.m_seat.m_domain = settings.m_domain;
    membership.m_seat.m_address = settings.m_peerAddress;
    membership.m_seeds = settings.m_seedAddresses;
    membership.m_platformIncarnation = settings.m_platformIncarnation;
    membership.m_pollInterval = settings.m_pollInterval;
    membership.m_horizon = settings.m_seatHorizon;
    return membership;
}

void onPeerSpoke(Node &node, const PeerSpoke &spoke, TimePoint now, Actions &actions)
{
    Reporting::count(node.m_counters, "peer_messages_received");
    std::visit(
        [&](const auto &message) {
            using Type = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<Type, Membership::Heartbeat>) {
                onHeartbeat(node, spoke, message, now);
            } else if constexpr (std::is_same_v<Type, Health::EvidenceReport>) {
                onEvidenceReport(node, spoke, message, now, actions);
            } else if constexpr (std::is_same_v<Type, Health::ServiceVerdicts>) {
                onServiceVerdicts(node, spoke, message, now);
            } else if constexpr (std::is_same_v<Type, Dispatch::CrashReport>) {
                onCrashReport(node, spoke.m_from, message, now);
            } else if constexpr (std::is_same_v<Type, Limits::LoanRequest>) {
                onLoanRequest(node, spoke, message, now, actions);
            } else if constexpr (std::is_same_v<Type, Limits::LoanAnswer>) {
                onLoanAnswer(node, spoke, message, now, actions);
            }
        },
        spoke.m_message);
    onConfigurationSpoke(node, spoke, now, actions);
}

void onHeartbeat(Node &node, const PeerSpoke &spoke, const Membership::Heartbeat &heartbeat, TimePoint now)
{
    Membership::onHeartbeat(node.m_membership, {spoke.m_from, spoke.m_incarnation}, heartbeat, now);
}

void onMembershipAnswered(Node &node, Membership::CallKind kind, const Platform::Result &result, TimePoint now, Actions &actions)
{
    Membership::Effects effects;
    Membership::onAnswered(node.m_membership, kind, result, node.m_random, now, effects);
    performEffects(node, effects, actions);
}

void tickMembership(Node &node, TimePoint now, Actions &actions)
{
    Membership::Effects effects;
    Membership::tick(node.m_membership, node.m_table.m_version, node.m_random, now, effects);
    performEffects(node, effects, actions);
}

}
