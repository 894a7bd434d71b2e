#pragma once

#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/runtime/message.h>
#include <ragwortrelay/settings/settings.h>

#include <optional>
#include <string>

namespace RagwortRelay::Runtime::detail {

/// A caller's request as it was read, before its body.
struct RequestHead {
    std::string m_method;
    std::string m_target;
    std::string m_version;
    Headers m_headers;

    friend bool operator==(const RequestHead &, const RequestHead &) = default;
};

/// Returns the refusal of a request that two programs could read in two ways, or that is too large; nothing for a sound one.
/// Thread-safe.
std::optional<Dispatch::Problem> checkHead(const RequestHead &head, const Settings::CallerSettings &settings);

/// Returns the target with escapes of unreserved characters in its path decoded, so that a route can't be passed by.
/// @return nothing for a target that is not in origin form, or whose path has dot segments, empty segments, escaped slashes,
/// backslashes or control characters
/// Source: RFC 3986, section 6.2.2. Thread-safe.
std::optional<std::string> normalizeTarget(const std::string &target);

/// Returns the part of the `Authorization` header that must stay secret; empty when it holds no key. Thread-safe.
std::string secretOf(const std::string &authorization);

/// Tells whether a text holds the secret, as it is or percent-encoded. Thread-safe.
bool carriesSecret(const std::string &text, const std::string &secret);

/// Leaves out hop-by-hop headers, those that are written anew, and every header that carries the caller's secret. Thread-safe.
Headers headersForServer(const Headers &headers, const std::string &secret);

}
