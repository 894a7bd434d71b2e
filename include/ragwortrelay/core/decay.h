#pragma once

#include <ragwortrelay/core/time.h>

#include <cmath>

namespace RagwortRelay {

/// Returns the weight of an observation of the given age after exponential decay, 0 to 1. Thread-safe. Precondition: the decay time is positive.
/// @param decayTime time in which the weight drops to 1/e
inline double decayFactor(Duration age, Duration decayTime)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(decayTime.count()));
}

}
