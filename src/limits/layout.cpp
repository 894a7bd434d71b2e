#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/limits/layout.h>

#include <algorithm>

namespace RagwortRelay::Limits {

namespace {

std::uint32_t partOf(std::uint32_t whole, std::uint32_t position, std::uint32_t parts)
{
    return whole / parts + (position < whole % parts ? 1 : 0);
}

}

std::uint32_t spreadOf(const Share &limit)
{
    constexpr std::uint32_t SmallestSpread = 3; // One for each failure domain of a small fleet.
    constexpr std::uint32_t LargestSpread = 192;
    constexpr std::uint32_t TokensOfPart = 8;
    const std::uint32_t smaller = std::min(limit.m_rate, limit.m_burst);
    if (smaller < SmallestSpread) {
        return 1;
    }
    std::uint32_t spread = SmallestSpread;
    while (spread < LargestSpread && 2 * spread * TokensOfPart <= smaller) {
        spread *= 2;
    }
    return spread;
}

std::uint32_t firstShard(const WorkspaceId &workspace, std::uint32_t shardCount)
{
    return static_cast<std::uint32_t>(hashOf(workspace.text()) % shardCount);
}

Share partOf(const Share &limit, std::uint32_t position)
{
    const std::uint32_t spread = spreadOf(limit);
    if (position >= spread) {
        return {};
    }
    return {partOf(limit.m_rate, position, spread), partOf(limit.m_burst, position, spread)};
}

}
