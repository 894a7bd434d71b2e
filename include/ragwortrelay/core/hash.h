#pragma once

#include <cstdint>
#include <string_view>

namespace RagwortRelay {

/// Returns the 64-bit XXH3 hash of a text. It is identical on all hosts. Thread-safe.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// Returns the score of `member` for `key` in rendezvous hashing; the member with the highest score owns the key.
/// Precondition: the weight is positive. Thread-safe.
/// Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates" (1998).
double rendezvousScore(std::string_view key, std::string_view member, double weight);

}
