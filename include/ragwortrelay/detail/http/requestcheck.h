#pragma once

#include <ragwortrelay/http/requestreader.h>

#include <optional>

namespace RagwortRelay::Http::detail {

/// Returns the refusal of a request that two programs could read in two ways; nothing for a sound one. Thread-safe.
std::optional<RequestReadError> checkHead(const RequestHead &head, const RequestLimits &limits);

}
