#pragma once

#include <ragwortrelay/detail/settings/yamlreader.h>
#include <ragwortrelay/settings/settings.h>

#include <chrono>

namespace RagwortRelay::Settings::detail {

/// Reads and checks the section `callers`.
CallerSettings readCallers(YamlReader reader, std::chrono::system_clock::time_point now);

/// Reads and checks the section `backends`.
BackendSettings readBackends(YamlReader reader, std::chrono::system_clock::time_point now);

/// Reads and checks the section `log`.
LogSettings readLog(YamlReader reader);

/// Reads and checks the section `peers`.
PeerSettings readPeers(YamlReader reader, std::chrono::system_clock::time_point now);

}
