#pragma once

#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>

#include <chrono>
#include <optional>

namespace RagwortRelay::Fleet {

/// Bounds on the time that a host waits for its leader.
struct ReplyTimeoutSettings {
    Duration m_minTimeout{std::chrono::milliseconds(40)}; ///< Shortest time to wait for a reply.
    Duration m_maxTimeout{std::chrono::milliseconds(400)}; ///< Longest time to wait for a reply.
    unsigned m_maxTimeouts = 3; ///< Consecutive timeouts after which the leader isn't asked for a while.
    Duration m_minPause{std::chrono::milliseconds(100)}; ///< First pause after that; each further timeout doubles it.
    Duration m_maxPause{std::chrono::milliseconds(800)}; ///< Longest pause.

    friend bool operator==(const ReplyTimeoutSettings &, const ReplyTimeoutSettings &) = default;
};

/// Estimate of the time in which a leader replies, and the timeout that follows from it.
/// Source: V. Paxson et al., Computing TCP's Retransmission Timer, RFC 6298 (2011).
struct ReplyTimeout {
    std::optional<Duration> m_smoothed; ///< Moving average of the reply time; empty before the first reply.
    Duration m_variation{}; ///< Moving average of the deviation from it.
    unsigned m_timeouts = 0; ///< Consecutive requests without a reply in time.
    TimePoint m_pausedUntil{}; ///< End of the time in which the leader isn't asked.

    friend bool operator==(const ReplyTimeout &, const ReplyTimeout &) = default;
};

/// Returns the estimate after a reply that came in time. Thread-safe, like all functions in this file.
/// @param replyTime time from a request that was sent once to its reply
ReplyTimeout afterReply(const ReplyTimeout &timeout, Duration replyTime);

/// Returns the estimate after a request without a reply in time. Not thread-safe on one generator.
ReplyTimeout afterTimeout(const ReplyTimeout &timeout, const ReplyTimeoutSettings &settings, RandomGenerator &random, TimePoint now);

/// Returns how long to wait for the next reply.
Duration waitFor(const ReplyTimeout &timeout, const ReplyTimeoutSettings &settings);

/// Tells whether the leader isn't asked at present, because it has left several requests in a row without a reply.
bool isPaused(const ReplyTimeout &timeout, TimePoint now);

}
