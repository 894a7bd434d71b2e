#pragma once

#include <ragwortrelay/core/identifier.h>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace RagwortRelay::Membership {

/// Number of one life of a host; a host that is restarted has a higher one.
using Incarnation = std::uint64_t;

/// Sent by each host to its peers at a steady interval.
struct Heartbeat {
    std::uint64_t m_sequence = 0;
    std::uint64_t m_configurationVersion = 0; ///< In force on the sender.
    std::vector<HostId> m_heard; ///< Hosts that the sender has heard of late.
    bool m_leaving = false;
    bool m_heardOmitted = false; ///< The hosts heard are those of the last heartbeat that told them.
    std::string m_address; ///< `IP:PORT` of a sender that has no seat yet, else empty.

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_sequence, self.m_configurationVersion, self.m_heard, self.m_leaving, self.m_heardOmitted, self.m_address);
    }
};

}
