#pragma once

#include <string>

namespace RagwortRelay {

/// Returns whether a text is a decimal port number, 0 to 65535. Thread-safe.
bool isPort(const std::string &text);

/// Returns whether a text has the form `IP:PORT`, with an IPv6 address in square brackets. Thread-safe.
bool isAddress(const std::string &text);

/// Returns whether a text is an address that can be connected to: one whose port isn't 0. Thread-safe.
bool isRemoteAddress(const std::string &text);

}
