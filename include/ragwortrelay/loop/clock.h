#pragma once

#include <ragwortrelay/core/time.h>

namespace RagwortRelay::Loop {

/// Returns the present time of this host. The clock also counts the time in which the machine was suspended, so that leases don't
/// outlive it. Thread-safe.
/// Source: clock_gettime(2), CLOCK_BOOTTIME.
TimePoint currentTime();

}
