#pragma once

#include <ragwortrelay/core/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace RagwortRelay::Limits {

/// Settings of the adaptive throttling of a workspace by the hosts that receive its requests.
struct ThrottleSettings {
    Duration m_window{std::chrono::seconds(1)}; ///< Time for which outcomes are counted, and the longest time for which requests are refused after a surge.
    double m_multiplier = 1.1; ///< Requests that are sent to the leader for each one that it admits.

    friend bool operator==(const ThrottleSettings &, const ThrottleSettings &) = default;
};

/// Numbers of requests by outcome.
struct ThrottleCounts {
    std::uint32_t m_admitted = 0; ///< Requests within the limit, by the decision of the leader.
    std::uint32_t m_refused = 0; ///< Requests that the leader refused as over the limit.
    std::uint32_t m_throttled = 0; ///< Requests that this host refused without asking the leader.

    friend bool operator==(const ThrottleCounts &, const ThrottleCounts &) = default;
};

/// Client-side adaptive throttling: a host that sees the leader refuse requests of a workspace as over the limit refuses most of the further ones itself.
/// Source: B. Beyer et al., Site Reliability Engineering (2016), chapter 21, "Client-Side Throttling".
struct Throttle {
    static constexpr std::size_t Slots = 10; ///< Slots of the sliding window.

    std::array<ThrottleCounts, Slots> m_slots; ///< Counts by slot, used in turn.
    std::int64_t m_slot = 0; ///< Number of the latest slot, counted from the epoch of the clock.

    friend bool operator==(const Throttle &, const Throttle &) = default;
};

/// Outcome of a request with regard to the limit of its workspace.
enum class ThrottleOutcome : std::uint8_t {
    Admitted,
    Refused,
    Throttled,
};

/// Counts the outcome of a request. The first refusal in a window removes what was counted before it: the admitted requests were within the burst and don't
/// tell the rate at which the leader admits further ones. Not thread-safe on one throttle.
void recordOutcome(Throttle &throttle, const ThrottleSettings &settings, ThrottleOutcome outcome, TimePoint now);

/// Returns the counts of the window that ends now. Thread-safe on a throttle that doesn't change, like the following functions.
ThrottleCounts countsOf(const Throttle &throttle, const ThrottleSettings &settings, TimePoint now);

/// Returns the probability with which the host refuses the next request without asking the leader: max(0, (requests - multiplier * admitted) / (requests + 1)).
/// It is 0 if the leader has refused no request in the window, whatever else has happened.
double throttleProbability(const Throttle &throttle, const ThrottleSettings &settings, TimePoint now);

/// Tells whether the window that ends now contains no request, so that the throttle equals a new one.
bool isIdle(const Throttle &throttle, const ThrottleSettings &settings, TimePoint now);

/// Returns the delay after which the caller of a throttled request should retry: between half of the longest delay and all of it, so that the callers don't
/// return at the same time. The leader assigns earlier times to the requests that it refuses itself. Thread-safe.
/// @param position uniformly distributed in [0, 1)
Duration throttledRetryDelay(Duration maxDelay, double position);

}
