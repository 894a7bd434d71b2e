#pragma once

#include <ragwortrelay/detail/settings/yamlreader.h>
#include <ragwortrelay/settings/settings.h>

#include <chrono>

namespace RagwortRelay::Settings::detail {

/// Reads and checks the section `peers`.
PeerSettings readPeers(YamlReader reader, std::chrono::system_clock::time_point now);

}
