#pragma once

#include <ragwortrelay/http/message.h>

#include <string>

namespace RagwortRelay::Http {

/// Writes the head of a request with its end. Precondition: the head was read or checked, so that nothing in it breaks a line. Thread-safe.
std::string writeHead(const RequestHead &head);

/// Writes the head of an answer with its end. Precondition as above. Thread-safe.
std::string writeHead(const ResponseHead &head);

/// Returns one chunk of a body in chunked transfer coding; an empty piece ends the body. Thread-safe.
/// Source: RFC 9112, section 7.1.
std::string writeChunk(std::string_view piece);

}
