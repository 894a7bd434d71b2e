#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <map>

/// Estimates the probability that a backend server is unhealthy from the outcomes of real requests.
namespace RagwortRelay::Health {

/// Weights of the evidence, as log odds, and how it decays.
struct SuspicionSettings {
    double m_priorLogOdds = -3.8; ///< Log odds that a server without any evidence is unhealthy.
    double m_failure = 5.5; ///< Evidence of one failed request.
    double m_reportedFailure = 3.0; ///< Evidence of one failure that the server itself reports in its response. Healthy servers occasionally do so.
    double m_success = -1.2; ///< Evidence of one successful request.
    double m_maxEvidence = 7.0; ///< Upper bound of the evidence, so that a server that has recovered is soon trusted again.
    double m_otherDomainWeight = 0.6; ///< Weight of evidence from failure domains other than the requesting host's own.
    Duration m_decayTime{std::chrono::seconds(7)}; ///< Time in which evidence decays to 1/e of its weight.

    friend bool operator==(const SuspicionSettings &, const SuspicionSettings &) = default;
};

/// Evidence that decays over time. It lies between 0 for none and SuspicionSettings::m_maxEvidence.
struct Suspicion {
    double m_value = 0.0; ///< Evidence as log odds at the time of the last update.
    TimePoint m_updatedAt{}; ///< Time of the last update.

    friend bool operator==(const Suspicion &, const Suspicion &) = default;
};

/// All evidence that one backend server is unhealthy.
struct ServerSuspicion {
    std::map<FailureDomainId, Suspicion> m_byDomain; ///< Evidence by the failure domain of the host that observed it.
    std::map<HostId, Suspicion> m_byHost; ///< Evidence about the network path from one host to the server.

    friend bool operator==(const ServerSuspicion &, const ServerSuspicion &) = default;
};

/// Records a successful request that a host of the given failure domain sent to the server. Not thread-safe on one server.
void addSuccess(const SuspicionSettings &settings, ServerSuspicion &server, const HostId &host, const FailureDomainId &domain, TimePoint now);

/// Returns the decayed value of a suspicion at the given time. Thread-safe, like all functions here that change nothing.
double valueAt(const SuspicionSettings &settings, const Suspicion &suspicion, TimePoint now);

/// Adds evidence to a suspicion. Negative evidence indicates a healthy server. Not thread-safe on one suspicion.
void addEvidence(const SuspicionSettings &settings, Suspicion &suspicion, double evidence, TimePoint now);

/// Returns the probability that the server is unhealthy for requests of the given host. Thread-safe.
double unhealthyProbability(const SuspicionSettings &settings, const ServerSuspicion &server, const HostId &host, const FailureDomainId &domain, TimePoint now);

}
