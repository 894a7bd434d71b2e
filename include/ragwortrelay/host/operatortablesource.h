#pragma once

#include <ragwortrelay/host/configurationsource.h>

namespace RagwortRelay::Host {

/// Returns the source that reads the configuration and the backend servers from the operators' table. Thread-safe.
ConfigurationSource operatorTableSource();

}
