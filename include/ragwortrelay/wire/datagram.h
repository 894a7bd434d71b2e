#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/fleet/messages.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace RagwortRelay::Wire {

/// Packed messages per datagram in bytes, so that the datagram isn't fragmented on any network. A larger message gets a datagram of its
/// own.
inline constexpr std::size_t TargetDatagramBytes = 1400;

/// Serializes messages into as few datagrams as they fit in, each authenticated with the fleet's secret. Thread-safe.
std::vector<std::string> encodeDatagrams(const Fleet::Datagram &datagram, const std::string &secret);

/// Parses a datagram. Thread-safe.
/// @return an error if the datagram isn't authenticated with the secret or is malformed
tl::expected<Fleet::Datagram, Error> decodeDatagram(std::string_view bytes, const std::string &secret);

}
