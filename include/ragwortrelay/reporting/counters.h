#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace RagwortRelay::Reporting {

/// Counters by name. A name may end with labels in the form of the Prometheus text format, such as `name{service="booking"}`.
using Counters = std::map<std::string, std::uint64_t>;

/// Adds to a counter, which starts at 0. Not thread-safe on one set of counters.
void count(Counters &counters, const std::string &name, std::uint64_t amount = 1);

/// Values of the present moment by name, with labels like those of counters.
using Gauges = std::map<std::string, double>;

/// Writes all counters in the Prometheus text format, in the order of their names.
std::string formatMetrics(const Counters &counters);

/// Writes all gauges likewise.
std::string formatMetrics(const Gauges &gauges);

}
