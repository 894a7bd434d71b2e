#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/node/peermessage.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace RagwortRelay::Wire {

/// Version of the format; a host drops batches of another version.
inline constexpr std::uint32_t FormatVersion = 1;

/// Largest batch that a host takes, in bytes.
inline constexpr std::size_t LargestBatch = 1U << 20U;

/// Encodes a batch in MessagePack. Thread-safe.
std::string encodeBatch(const Node::PeerBatch &batch);

/// Decodes a batch.
/// @return the batch, or PeerMalformedMessage for anything that encodeBatch() doesn't write
/// Thread-safe.
tl::expected<Node::PeerBatch, Error> decodeBatch(const std::string &bytes);

}
