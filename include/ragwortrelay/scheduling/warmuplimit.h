#pragma once

#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <deque>

/// Limit on the requests that all hosts together start at a server that is warming up. Pure functions of plain values; thread-safe on different values.
namespace RagwortRelay::Scheduling {

/// Bounds of the starts at a cold server within any one second: the server's own rate times the overage, plus the slack.
struct WarmupBounds {
    double m_overage = 1.5;
    double m_slack = 8.0;

    friend bool operator==(const WarmupBounds &, const WarmupBounds &) = default;
};

/// Period over which starts are counted: the second of the bound, and the time by which the start at a host may be later than the grant of the leader.
inline constexpr Duration WarmupWindow = std::chrono::milliseconds(1250);

/// Share of the bound that a scheduler may use. A greater share comes into force after WarmupWindow, when the starts of the host that gave it up no longer
/// count; a smaller one at once. So the shares that are used within a window add up to the whole bound at most, also over a change of the leader.
struct WarmupShare {
    double m_usable = 0.0; ///< Share in force, 0 to 1.
    double m_next = 0.0; ///< Share that comes into force at m_nextAt; not less than m_usable.
    TimePoint m_nextAt{};

    friend bool operator==(const WarmupShare &, const WarmupShare &) = default;
};

/// Sets the share of a scheduler, 0 to 1. Without effect while it stays the same, except that a greater one may come into force.
void updateShare(WarmupShare &share, double latest, TimePoint now);

/// Returns the number of starts that a scheduler may make at one cold server within WarmupWindow, rounded down. It may be 0 for a host that decides alone
/// in a large fleet, which uses other servers then.
/// @param coldRate requests per second that the server tolerates while it is cold
std::uint32_t maxColdStarts(const WarmupBounds &bounds, double coldRate, double share);

/// Latest starts at one server, oldest first.
struct RecentStarts {
    std::deque<TimePoint> m_starts;

    friend bool operator==(const RecentStarts &, const RecentStarts &) = default;
};

/// Records a start and forgets those outside the window.
void recordStart(RecentStarts &recent, TimePoint now);

/// Tells whether another start is within the limit. Linear in the recorded starts.
bool allowsStart(const RecentStarts &recent, std::uint32_t maxStarts, TimePoint now);

}
