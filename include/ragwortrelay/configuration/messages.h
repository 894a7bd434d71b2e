#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace RagwortRelay::Configuration {

/// Tells that a version is durable. Hosts pass it on when it is news to them.
struct Hint {
    std::uint64_t m_version = 0;
    std::string m_change; ///< Encoded change that made the version; empty when it is large.

    friend bool operator==(const Hint &, const Hint &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_version, self.m_change);
    }
};

/// Asks a host for its version. The answer counts as of the time of the question, however late it comes.
struct Ask {
    std::uint64_t m_nonce = 0;
    bool m_wantsHosts = false; ///< The sender doesn't know the roster yet.
    std::string m_address; ///< `IP:PORT` for the answer, from a sender that may not be in the roster yet.

    friend bool operator==(const Ask &, const Ask &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_nonce, self.m_wantsHosts, self.m_address);
    }
};

/// A host of the roster and where it is.
struct HostEntry {
    HostId m_host;
    std::string m_address; ///< `IP:PORT`
    FailureDomainId m_domain;

    friend bool operator==(const HostEntry &, const HostEntry &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_host, self.m_address, self.m_domain);
    }
};

/// Answer to Ask.
struct Attest {
    std::uint64_t m_nonce = 0;
    std::uint64_t m_version = 0; ///< In force on the sender.
    std::optional<Duration> m_confirmedAgo; ///< Age of the read of the store that showed this version as the newest.
    bool m_established = false; ///< The sender has had a sure view of the newest version in this life.
    FailureDomainId m_domain;
    std::vector<HostEntry> m_hosts; ///< The roster, when asked for.

    friend bool operator==(const Attest &, const Attest &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_nonce, self.m_version, self.m_confirmedAgo, self.m_established, self.m_domain, self.m_hosts);
    }
};

/// Asks for what is newer than a version.
struct Fetch {
    std::uint64_t m_version = 0; ///< In force on the sender.
    std::uint64_t m_partVersion = 0; ///< Version of the table of which the sender has the first m_offset bytes.
    std::uint64_t m_offset = 0;

    friend bool operator==(const Fetch &, const Fetch &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_version, self.m_partVersion, self.m_offset);
    }
};

/// Answer to Fetch while the sender still has the changes: the next ones in order.
struct RecentChanges {
    std::uint64_t m_firstVersion = 0;
    std::vector<std::string> m_changes;

    friend bool operator==(const RecentChanges &, const RecentChanges &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_firstVersion, self.m_changes);
    }
};

/// Answer to Fetch otherwise: a part of the encoded table.
struct TablePart {
    std::uint64_t m_version = 0;
    std::uint64_t m_offset = 0;
    std::uint64_t m_total = 0; ///< Bytes of the whole.
    std::string m_bytes;

    friend bool operator==(const TablePart &, const TablePart &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_version, self.m_offset, self.m_total, self.m_bytes);
    }
};

}
