#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// How the hosts of a fleet find one another and choose one that leads.
namespace RagwortRelay::Fleet {

/// Number of one life of a host's process; differs between any two lives of one host.
using Incarnation = std::uint64_t;

/// What a host registers about itself in the store.
struct HostRecord {
    HostId m_host;
    std::string m_address; ///< `IP:PORT` of its datagram socket.
    FailureDomainId m_domain;
    Incarnation m_incarnation = 0;
    double m_capacity = 1.0; ///< Of its processor, relative to other hosts.

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// Writes a host record as it is stored. Thread-safe.
std::string encodeHostRecord(const HostRecord &record);

/// Reads a stored host record. Thread-safe.
tl::expected<HostRecord, Error> decodeHostRecord(const HostId &host, const std::string &text);

/// The hosts that are registered.
using Membership = std::map<HostId, HostRecord>;

/// Returns the hosts in the order in which they are to lead: strong ones first, those of one strength in an order that all hosts
/// compute alike. Takes time in the order of n log n.
std::vector<HostId> ranking(const Membership &membership);

}
