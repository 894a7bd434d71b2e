#pragma once

#include <ragwortrelay/scheduling/serverregistry.h>

namespace RagwortRelay::Scheduling::detail {

/// Tells whether a server may get new requests at all. Thread-safe on a state that doesn't change, like all functions here.
bool isUsable(const ServerState &state, TimePoint now);

/// Tells whether a server can start one more request.
bool hasFreeSlot(const ServerState &state, TimePoint now);

/// Returns how slow a server is: what was seen of it, the less the longer ago.
double slownessOf(const ServerState &state, const ServerSelectionSettings &settings, TimePoint now);

}
