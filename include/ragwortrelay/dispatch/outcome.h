#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace RagwortRelay::Dispatch {

/// What the proxy knows about whether a refused request was run.
enum class Outcome : std::uint8_t {
    NotRun, ///< No backend server ran any part of it.
    Unknown, ///< A backend server may have run it.
};

/// Refusal made by the proxy, sent as `application/problem+json`.
/// Source: RFC 9457.
struct Problem {
    std::uint16_t m_status = 500;
    ErrorId m_id{};
    Outcome m_outcome = Outcome::NotRun;
    std::string m_detail;
    std::optional<Duration> m_retryAfter;

    friend bool operator==(const Problem &, const Problem &) = default;
};

/// How an attempt at a backend server failed.
enum class AttemptFailure : std::uint8_t {
    ConnectRefused, ///< Nobody listens at the address.
    ConnectFailed,
    TimedOut,
    Broken, ///< The connection ended before any answer.
    Truncated, ///< The answer ended before its length.
    Cancelled,
    Malformed, ///< The answer broke the protocol, or nothing in it tells where it ends.
};

/// Returns the header value for an outcome: "not-run" or "unknown".
std::string toString(Outcome outcome);

/// Returns the name of a failure for counters and logs.
std::string toString(AttemptFailure failure);

}
