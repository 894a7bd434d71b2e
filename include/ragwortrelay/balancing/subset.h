#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/core/identifier.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace RagwortRelay::Balancing {

/// Orders the servers of a service for one host by rendezvous hashing, taking failure domains in turn.
/// The order of the other servers stays when one comes or goes within its failure domain.
/// Thread-safe.
std::vector<ServerId> orderServers(const Configuration::Catalogue &catalogue, const ServiceId &service, const HostId &host);

/// Returns how many servers of a service each host may use so that no server gets more connections than the limit.
/// The limit stands five standard deviations above the mean, since each host picks by itself.
/// @param connectionsAtMost that one server should get, one from each host that uses it
/// @return at least 1, at most `servers`; 0 for no servers
/// Thread-safe.
std::size_t subsetSize(std::size_t hosts, std::size_t servers, std::uint32_t connectionsAtMost);

}
