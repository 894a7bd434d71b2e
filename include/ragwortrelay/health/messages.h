#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <tuple>
#include <vector>

namespace RagwortRelay::Health {

/// One failed request, so that failures bound to a request or a workspace can be told from those of a server.
struct FailureSample {
    std::uint32_t m_request = 0; ///< Hash.
    std::uint32_t m_workspace = 0; ///< Hash.
    bool m_succeededElsewhere = false; ///< The same request then succeeded at another server.

    friend bool operator==(const FailureSample &, const FailureSample &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_request, self.m_workspace, self.m_succeededElsewhere);
    }
};

/// What one host saw of one server since its last report.
struct ServerEvidence {
    ServerId m_server;
    std::uint32_t m_succeeded = 0;
    std::uint32_t m_failed = 0; ///< With `m_unreachable`.
    std::uint32_t m_unreachable = 0; ///< Connections that failed.
    std::uint32_t m_timed = 0; ///< Answers whose time is in the sums below.
    double m_logTimes = 0.0; ///< Sum of the binary logarithms of the milliseconds.
    double m_squaredLogTimes = 0.0;
    bool m_draining = false; ///< By its own report.
    std::vector<FailureSample> m_samples;

    friend bool operator==(const ServerEvidence &, const ServerEvidence &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_server,
                        self.m_succeeded,
                        self.m_failed,
                        self.m_unreachable,
                        self.m_timed,
                        self.m_logTimes,
                        self.m_squaredLogTimes,
                        self.m_draining,
                        self.m_samples);
    }
};

/// What a deciding host tells about a server.
enum class Verdict : std::uint8_t {
    Suspect, ///< Prefer others.
    Leaving, ///< Send no new work.
    Ejected, ///< Send nothing.
    Trial, ///< Send nothing but trial requests, where allowed.
    Last = Trial,
};

/// Verdict on one server.
struct ServerVerdict {
    ServerId m_server;
    Verdict m_verdict{};
    std::uint32_t m_ejections = 0; ///< In a row, which the wait until the next trial grows with.

    friend bool operator==(const ServerVerdict &, const ServerVerdict &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_server, self.m_verdict, self.m_ejections);
    }
};

/// Part of a report on one service.
struct ServiceEvidence {
    ServiceId m_service;
    Duration m_echo{}; ///< Sending time of the last verdicts from the receiver in this life, by its clock; 0 for none.
    std::vector<ServerEvidence> m_servers;
    std::vector<ServerVerdict> m_held; ///< Verdicts that the sender went by of late.

    friend bool operator==(const ServiceEvidence &, const ServiceEvidence &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_service, self.m_echo, self.m_servers, self.m_held);
    }
};

/// Sent by each host to the deciding host of each service. Until the support lease after `m_sentAt` has lapsed, the sender reports on
/// the same services to no other host.
struct EvidenceReport {
    std::uint64_t m_toIncarnation = 0; ///< Life of the receiver that the report is meant for.
    Duration m_sentAt{}; ///< By the sender's clock.
    Duration m_supportFor{}; ///< The support lease.
    std::uint32_t m_knownHosts = 0; ///< Hosts that the sender takes to belong to the fleet.
    std::vector<ServiceEvidence> m_services;

    friend bool operator==(const EvidenceReport &, const EvidenceReport &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_toIncarnation, self.m_sentAt, self.m_supportFor, self.m_knownHosts, self.m_services);
    }
};

/// Sent by the deciding host of a service to the hosts that report to it.
struct ServiceVerdicts {
    ServiceId m_service;
    Duration m_echo{}; ///< Sending time of the receiver's last report, by the receiver's clock.
    Duration m_sentAt{}; ///< By the sender's clock.
    Duration m_validFor{}; ///< After `m_echo`; the ejections end with it. 0 for none.
    std::vector<ServerVerdict> m_servers;
    std::vector<HostId> m_observers; ///< Hosts that may send trial requests.

    friend bool operator==(const ServiceVerdicts &, const ServiceVerdicts &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_service, self.m_echo, self.m_sentAt, self.m_validFor, self.m_servers, self.m_observers);
    }
};

}
