#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <map>

/// How much speaks for a backend server being sick, from the outcomes of real requests.
namespace RagwortRelay::Health {

/// Weights of evidence, as logarithms of odds.
struct SuspicionSettings {
    double m_prior = -3.8; ///< Log odds that a server of which nothing is known is sick.
    double m_failure = 5.5; ///< One failed request.
    double m_reportedFailure = 3.0; ///< One failed request that the server answered itself: sound servers do so now and then.
    double m_success = -1.2; ///< One request that succeeded.
    double m_most = 7.0; ///< Evidence above this is forgotten, so that a server that is well again is soon trusted.
    double m_otherDomains = 0.6; ///< Weight of what other failure domains than the asking one saw.
    Duration m_decayTime{std::chrono::seconds(7)}; ///< Evidence loses all but 1/e of its weight in this time.

    friend bool operator==(const SuspicionSettings &, const SuspicionSettings &) = default;
};

/// Evidence that fades. Between 0 for none and SuspicionSettings::m_most.
struct Suspicion {
    double m_value = 0.0;
    TimePoint m_updatedAt{};

    friend bool operator==(const Suspicion &, const Suspicion &) = default;
};

/// What speaks against one server.
struct ServerSuspicion {
    std::map<FailureDomainId, Suspicion> m_byDomain; ///< By the failure domain of the host that saw it.
    std::map<HostId, Suspicion> m_byHost; ///< About the path from one host to the server.

    friend bool operator==(const ServerSuspicion &, const ServerSuspicion &) = default;
};

/// Adds what a request that succeeded from a failure domain tells about the server.
void addSuccess(const SuspicionSettings &settings, ServerSuspicion &server, const HostId &host, const FailureDomainId &domain, TimePoint now);

/// Returns what is left of a suspicion. Thread-safe, like all functions that change nothing.
double valueAt(const SuspicionSettings &settings, const Suspicion &suspicion, TimePoint now);

/// Adds evidence; negative speaks for the server. Not thread-safe on one suspicion.
void addEvidence(const SuspicionSettings &settings, Suspicion &suspicion, double evidence, TimePoint now);

/// Returns the probability that the server is sick for requests of the host.
double unhealthyProbability(const SuspicionSettings &settings, const ServerSuspicion &server, const HostId &host, const FailureDomainId &domain, TimePoint now);

}
