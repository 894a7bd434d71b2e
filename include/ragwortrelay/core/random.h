#pragma once

#include <cstdint>
#include <random>

namespace RagwortRelay {

/// Pseudorandom number generator. Each user keeps a seeded generator in its state, so that runs are reproducible.
using RandomGenerator = std::mt19937_64;

/// Returns a uniformly distributed integer in [0, bound). Precondition: the bound is positive. Not thread-safe on one generator.
inline std::uint64_t randomBelow(RandomGenerator &generator, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(generator);
}

/// Returns a uniformly distributed number in [0, 1). Not thread-safe on one generator.
inline double randomUnit(RandomGenerator &generator)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

}
