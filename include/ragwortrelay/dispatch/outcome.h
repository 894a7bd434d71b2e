#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace RagwortRelay::Dispatch {

/// Knowledge of the proxy about whether a refused request was executed.
enum class Outcome : std::uint8_t {
    NotRun, ///< No backend server executed any part of the request.
    Unknown, ///< A backend server may have executed the request.
};

/// Error response of the proxy itself, sent as `application/problem+json`.
/// Source: RFC 9457.
struct Problem {
    std::uint16_t m_status = 500; ///< HTTP status code.
    ErrorId m_id{};
    Outcome m_outcome = Outcome::NotRun;
    std::string m_detail;
    std::optional<Duration> m_retryAfter;

    friend bool operator==(const Problem &, const Problem &) = default;
};

/// Cause for which an attempt at a backend server failed.
enum class AttemptFailure : std::uint8_t {
    ConnectRefused, ///< No process listens on the address.
    ConnectFailed,
    TimedOut,
    Broken, ///< The connection ended before any part of the response.
    Truncated, ///< The response ended before its declared length.
    Cancelled,
    Malformed, ///< The response violates the protocol or does not indicate its end.
};

/// Returns the header value for an outcome: "not-run" or "unknown". Thread-safe.
std::string toString(Outcome outcome);

/// Returns the name of a failure in counters and logs. Thread-safe.
std::string toString(AttemptFailure failure);

}
