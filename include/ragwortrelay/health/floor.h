#pragma once

#include <ragwortrelay/core/identifier.h>

#include <vector>

namespace RagwortRelay::Health {

/// A server of a service, as the floor counts it.
struct ServerCapacity {
    ServerId m_server;
    double m_capacity = 1.0;
    bool m_isOut = false; ///< Leaving, cold, unreachable or ejected.

    friend bool operator==(const ServerCapacity &, const ServerCapacity &) = default;
};

/// Returns whether so much capacity is left as the floor asks for.
/// @param floor share of the whole capacity, 0 to 1
/// Thread-safe.
bool isAboveFloor(const std::vector<ServerCapacity> &servers, double floor);

/// Takes out servers in the given order as long as the floor holds with each of them.
/// @param candidates that are out already don't count again
/// @return those of the candidates that are out, or may be
/// Thread-safe.
std::vector<ServerId> takeOutWithinFloor(std::vector<ServerCapacity> &servers, double floor, const std::vector<ServerId> &candidates);

}
