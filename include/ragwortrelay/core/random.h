#pragma once

#include <cstdint>
#include <random>

namespace RagwortRelay {

/// Seeded random numbers; part of the state of whoever draws, so that a run can be repeated.
using RandomGenerator = std::mt19937_64;

/// Draws a number in [0, bound). `bound` must be positive. Not thread-safe on one generator.
inline std::uint64_t randomBelow(RandomGenerator &generator, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(generator);
}

/// Draws a number in [0, 1). Not thread-safe on one generator.
inline double randomUnit(RandomGenerator &generator)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

}
