#pragma once

#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/http/headerscheme.h>
#include <ragwortrelay/http/message.h>

#include <string>

namespace RagwortRelay::Loop::detail {

/// Returns the body of a refusal as `application/problem+json`. Thread-safe.
/// Source: RFC 9457.
std::string problemBody(const Dispatch::Problem &problem);

/// Returns the headers of a refusal, with Retry-After for the statuses 429 and 503. Thread-safe.
Http::Headers problemHeaders(const Http::HeaderScheme &headerScheme, const Dispatch::Problem &problem);

}
