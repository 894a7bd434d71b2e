#pragma once

#include <ragwortrelay/host/state.h>

#include <string>

namespace RagwortRelay::Host {

/// Returns the counters, gauges and histograms of a host in the Prometheus text format. Thread-safe on a state that doesn't change.
std::string metricsOf(const State &state, TimePoint now);

}
