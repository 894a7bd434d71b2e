#include <ragwortrelay/detail/node/duties.h>

namespace RagwortRelay::Node::detail {

void onPeerSpoke(Node &node, const PeerSpoke &spoke, TimePoint now, Actions &actions)
{
    Reporting::count(node.m_counters, "peer_messages_received");
    noteHeard(node, spoke, now);
    if (const auto *report = std::get_if<Health::EvidenceReport>(&spoke.m_message)) {
        return onEvidenceReport(node, spoke, *report, now, actions);
    }
    if (const auto *verdicts = std::get_if<Health::ServiceVerdicts>(&spoke.m_message)) {
        return onServiceVerdicts(node, spoke, *verdicts, now);
    }
}

void tickMembership(Node & /*node*/, TimePoint /*now*/, Actions & /*actions*/)
{
}

}
