#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace RagwortRelay::Reporting {

/// Monotonic counters by name. A name may end with labels in the Prometheus text format, such as `name{service="booking"}`.
using Counters = std::map<std::string, std::uint64_t>;

/// Increments a counter, which starts at 0. Not thread-safe for calls with the same `counters`.
void count(Counters &counters, const std::string &name, std::uint64_t amount = 1);

/// Current values by name. A name may end with labels, as in Counters.
using Gauges = std::map<std::string, double>;

/// Formats all counters in the Prometheus text format, ordered by name.
std::string formatMetrics(const Counters &counters);

/// Formats all gauges in the Prometheus text format, ordered by name.
std::string formatMetrics(const Gauges &gauges);

}
