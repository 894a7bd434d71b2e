#pragma once

#include <chrono>
#include <cstdint>

namespace RagwortRelay {

/// Duration in microseconds.
using Duration = std::chrono::microseconds;

/// Clock type of the monotonic clock of one host. It has no `now()`: functions whose decisions depend on the time take it as an argument.
struct MonotonicClock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by the Clock concept
};

/// Instant on the monotonic clock of one host. Instants of different hosts are not comparable.
using TimePoint = MonotonicClock::time_point;

/// Returns the microseconds between the epoch of the clock and an instant. Thread-safe.
inline std::int64_t microsecondsOf(TimePoint instant)
{
    return instant.time_since_epoch().count();
}

}
