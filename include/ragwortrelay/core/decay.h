#pragma once

#include <ragwortrelay/core/time.h>

#include <cmath>

namespace RagwortRelay {

/// Returns the part of what was learned that still counts, 0 to 1. Thread-safe. Precondition: the fading is positive.
/// @param fading time in which all but 1/e is lost
inline double decayFactor(Duration age, Duration decayTime)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(decayTime.count()));
}

}
