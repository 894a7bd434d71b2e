#pragma once

#include <ragwortrelay/http/message.h>

#include <string>

namespace RagwortRelay::Http {

/// Serializes the head of a request including the empty line at its end. Thread-safe.
/// Precondition: the head was parsed or checked, so that nothing in it breaks a line.
std::string writeHead(const RequestHead &head);

/// Serializes the head of a response including the empty line at its end. Thread-safe.
/// Precondition: the head was parsed or checked, so that nothing in it breaks a line.
std::string writeHead(const ResponseHead &head);

/// Serializes one chunk of a body in the chunked transfer coding. An empty piece ends the body. Thread-safe.
/// Source: RFC 9112, section 7.1.
std::string writeChunk(std::string_view piece);

}
