#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/limits/tokenbucket.h>

#include <cstdint>

namespace RagwortRelay::Limits {

/// Returns over how many shards a limit is spread. It depends on the limit in coarse steps only. Thread-safe.
std::uint32_t spreadOf(const Share &limit);

/// Returns the first shard of a workspace; its limit is spread over this one and those that follow it, round about.
/// @param shardCount of the fleet, positive
/// Thread-safe.
std::uint32_t firstShard(const WorkspaceId &workspace, std::uint32_t shardCount);

/// Returns the part of a limit that lies on one of its shards. The parts add up to the limit. While the spread stays the same, a
/// part never shrinks when the limit grows, so that parts taken of two limits add up to no more than the larger one.
/// @param position of the shard among those of the workspace, from 0
/// Thread-safe.
Share partOf(const Share &limit, std::uint32_t position);

}
