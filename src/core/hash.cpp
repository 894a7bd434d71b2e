#include <ragwortrelay/core/hash.h>

#include <cmath>
#include <xxhash.h>

namespace RagwortRelay {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double rendezvousScore(std::string_view key, std::string_view member, double weight)
{
    constexpr double MantissaRange = 9007199254740992.0; // 2^53
    const std::uint64_t hash = hashOf(member, hashOf(key));
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / MantissaRange;
    return -weight / std::log(uniform);
}

}
