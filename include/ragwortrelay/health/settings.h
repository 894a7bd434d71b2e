#pragma once

#include <ragwortrelay/core/time.h>

#include <cstdint>

namespace RagwortRelay::Health {

/// Who decides on ejections.
enum class EjectionPolicy : std::uint8_t {
    Pooled, ///< The deciding host of the service, by the evidence of all hosts.
    OwnFailures, ///< For comparison: each host by itself, after some failures in a row, for a fixed time.
};

/// How sick servers are told from healthy ones. The defaults lie between the two example profiles.
struct HealthSettings {
    EjectionPolicy m_policy = EjectionPolicy::Pooled;
    double m_ejectionThreshold = 9.0; ///< Log-likelihood ratio from which a server is taken to be sick.
    double m_avoidanceThreshold = 3.5; ///< The same, from which a host by itself prefers other servers.
    double m_usualFailureRate = 0.01; ///< Of a healthy server, unless its peers fail more often.
    double m_sickFailureRate = 0.5; ///< Of a sick server.
    double m_slowFactor = 4.0; ///< Answers of a sick server take this many times longer than those of its peers.
    Duration m_reportInterval{std::chrono::seconds(1)}; ///< Between two reports of a host to a deciding host.
    Duration m_supportLease{std::chrono::seconds(6)}; ///< A host reports to no other deciding host for this long after a report.
    Duration m_firstWait{std::chrono::seconds(5)}; ///< After an ejection, until the server is tried again.
    Duration m_longestWait{std::chrono::minutes(5)}; ///< Bound of the waits of a server that flaps.
    Duration m_forgetAfter{std::chrono::minutes(10)}; ///< In use without an ejection, until the waits start anew.
    Duration m_coldTime{std::chrono::seconds(10)}; ///< After a server came back; its answers may be slow.
    Duration m_trickleInterval{std::chrono::milliseconds(250)}; ///< Between two trial requests of one host to one server.
    std::uint32_t m_trickleSuccesses = 6; ///< Trial requests that must succeed in a row before a server is reinstated.

    friend bool operator==(const HealthSettings &, const HealthSettings &) = default;
};

}
