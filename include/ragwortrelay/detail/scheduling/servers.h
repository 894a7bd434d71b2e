#pragma once

#include <ragwortrelay/scheduling/serverregistry.h>

namespace RagwortRelay::Scheduling::detail {

/// Tells whether a server may get new requests: it isn't draining, its failure domain isn't evacuated and its weight is positive. Thread-safe on a state that
/// doesn't change, like all functions in this file.
bool isUsable(const ServerState &state, TimePoint now);

/// Tells whether a server has a free slot and hasn't just shed a request.
bool hasFreeSlot(const ServerState &state, TimePoint now);

/// Returns the slowness of a server relative to its service; 1 is usual. Decays towards 1 with the age of the last observation.
double slownessOf(const ServerState &state, const ServerSelectionSettings &settings, TimePoint now);

/// Tells whether a price decides about requests of a host to other failure domains.
bool hasSpilloverPrice(const ServerSelectionSettings &settings, const Requester &requester);

/// Returns the size of a request in KiB, with a typical header.
double kibOf(const PlacementRequest &placement);

}
