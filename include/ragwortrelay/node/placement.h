#pragma once

#include <ragwortrelay/balancing/requestqueue.h>
#include <ragwortrelay/core/identifier.h>

#include <cstdint>
#include <map>
#include <set>

namespace RagwortRelay::Node {

/// Requests of this host that wait for a slot of a backend server.
struct Placement {
    std::map<ServiceId, Balancing::RequestQueue> m_queues;
    std::uint64_t m_turn = 0; ///< The queued request that may try now, 0 for none.
    std::set<ServiceId> m_freed; ///< Services with an attempt that has ended since the queues were served.
};

}
