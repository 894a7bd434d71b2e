#pragma once

#include <ragwortrelay/host/configurationsource.h>

namespace RagwortRelay::Host {

/// Returns the source that reads the operators' own table, and the backend servers in it. Thread-safe.
ConfigurationSource operatorTableSource();

}
