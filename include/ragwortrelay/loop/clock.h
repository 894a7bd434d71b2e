#pragma once

#include <ragwortrelay/core/time.h>

namespace RagwortRelay::Loop {

/// Returns the current time of this host's monotonic clock. The clock also advances while the machine is suspended, so that a
/// lease also runs out during a suspension. Thread-safe.
/// Source: clock_gettime(2), CLOCK_BOOTTIME.
TimePoint currentTime();

}
