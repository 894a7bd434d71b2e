#pragma once

#include <ragwortrelay/detail/settings/yamlreader.h>
#include <ragwortrelay/settings/settings.h>

#include <chrono>

namespace RagwortRelay::Settings::detail {

// Each function reads and validates one section of the settings file and reports its unknown keys.

HostSettings readHost(YamlReader reader);
CallerSettings readCallers(YamlReader reader, std::chrono::system_clock::time_point now);
BackendSettings readBackends(YamlReader reader, std::chrono::system_clock::time_point now);
OperatorSettings readOperators(YamlReader reader);
StoreSettings readStore(YamlReader reader);
PeerSettings readPeers(YamlReader reader);
ConfigurationSettings readConfiguration(YamlReader reader);
ReportSettings readReports(YamlReader reader);
RetrySettings readRetries(YamlReader reader);
HealthSettings readHealth(YamlReader reader);
WarmupSettings readWarmup(YamlReader reader);
BalancingSettings readBalancing(YamlReader reader);
QueueSettings readQueue(YamlReader reader);
StopSettings readStop(YamlReader reader);
LogSettings readLog(YamlReader reader);

/// Reads a section that describes an HTTP endpoint.
///
/// @param defaultPath path of the endpoint if the section has none
EndpointSettings readEndpoint(YamlReader reader, const std::string &defaultPath);

}
