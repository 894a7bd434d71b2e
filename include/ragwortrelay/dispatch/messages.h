#pragma once

#include <ragwortrelay/core/identifier.h>

#include <cstdint>
#include <string>
#include <tuple>

namespace RagwortRelay::Dispatch {

/// What a host has learnt about a request that may crash backend servers. May get lost, late, twice or out of order.
struct CrashReport {
    std::string m_fingerprint; ///< Of the request.
    ServerId m_server; ///< That broke its connection while it ran the request; empty when the request is cleared.
    std::uint64_t m_attempt = 0; ///< Number of the attempt on the sender.

    friend bool operator==(const CrashReport &, const CrashReport &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_fingerprint, self.m_server, self.m_attempt);
    }
};

}
