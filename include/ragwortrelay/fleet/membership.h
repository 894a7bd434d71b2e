#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Membership of the fleet, leader election and the state that hosts replicate.
namespace RagwortRelay::Fleet {

/// Number of one run of a host's process. It differs between any two runs of a host.
using Incarnation = std::uint64_t;

/// Registration of a host in the store.
struct HostRecord {
    HostId m_host;
    std::string m_address; ///< Address of the datagram socket as `IP:PORT`.
    FailureDomainId m_domain;
    Incarnation m_incarnation = 0;
    double m_capacity = 1.0; ///< Processor capacity relative to other hosts.

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// Serializes a host record in its stored form. Thread-safe.
std::string encodeHostRecord(const HostRecord &record);

/// Parses a stored host record. Thread-safe.
/// @return an error if the text isn't a valid host record
tl::expected<HostRecord, Error> decodeHostRecord(const HostId &host, const std::string &text);

/// Records of all registered hosts.
using Membership = std::map<HostId, HostRecord>;

/// Returns the hosts in the order in which they are preferred as leader. Hosts with more capacity come first; hosts of equal capacity
/// follow in an order that all hosts compute alike. Complexity: O(n log n).
std::vector<HostId> ranking(const Membership &membership);

}
