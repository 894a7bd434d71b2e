#pragma once

#include <ragwortrelay/http/requestreader.h>

#include <optional>

namespace RagwortRelay::Http::detail {

/// Checks the head of a request for ambiguities, which two programs could read in two ways, and for the limits. Thread-safe.
/// @return the error of a request to be refused; nothing for a valid one
std::optional<RequestReadError> checkHead(const RequestHead &head, const RequestLimits &limits);

}
