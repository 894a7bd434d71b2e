#include <ragwortrelay/detail/node/duties.h>

namespace RagwortRelay::Node::detail {

void onPeerSpoke(Node &node, const PeerSpoke & /*spoke*/, TimePoint /*now*/, Actions & /*actions*/)
{
    Reporting::count(node.m_counters, "peer_messages_received");
}

void tickMembership(Node & /*node*/, TimePoint /*now*/, Actions & /*actions*/)
{
}

}
