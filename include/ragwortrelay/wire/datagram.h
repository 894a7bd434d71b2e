#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/fleet/messages.h>

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace RagwortRelay::Wire {

/// Bytes of a datagram that pass any network in one piece.
inline constexpr std::size_t UsualDatagram = 1400;

/// Writes messages in as few datagrams as they fit in, each sealed with the secret of the fleet. Thread-safe.
std::vector<std::string> encodeDatagrams(const Fleet::Datagram &datagram, const std::string &secret);

/// Reads a datagram. Thread-safe.
/// @return an error when it wasn't sealed with the secret, or can't be read
tl::expected<Fleet::Datagram, Error> decodeDatagram(std::string_view bytes, const std::string &secret);

}
