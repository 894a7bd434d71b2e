#include <ragwortrelay/core/decay.h>
#include <ragwortrelay/health/suspicion.h>

#include <algorithm>
#include <cmath>

namespace RagwortRelay::Health {

double valueAt(const SuspicionSettings &settings, const Suspicion &suspicion, TimePoint now)
{
    if (suspicion.m_value <= 0.0) {
        return 0.0;
    }
    return suspicion.m_value * decayFactor(now - suspicion.m_updatedAt, settings.m_decayTime);
}

void addEvidence(const SuspicionSettings &settings, Suspicion &suspicion, double evidence, TimePoint now)
{
    suspicion.m_value = std::clamp(valueAt(settings, suspicion, now) + evidence, 0.0, settings.m_maxEvidence);
    suspicion.m_updatedAt = now;
}

void addSuccess(const SuspicionSettings &settings, ServerSuspicion &server, const HostId &host, const FailureDomainId &domain, TimePoint now)
{
    server.m_byHost.erase(host);
    for (auto &[observerDomain, suspicion] : server.m_byDomain) {
        addEvidence(settings, suspicion, settings.m_success * (observerDomain == domain ? 1.0 : settings.m_otherDomainWeight), now);
    }
}

double unhealthyProbability(const SuspicionSettings &settings, const ServerSuspicion &server, const HostId &host, const FailureDomainId &domain, TimePoint now)
{
    double evidence = 0.0;
    for (const auto &[observerDomain, suspicion] : server.m_byDomain) {
        evidence += valueAt(settings, suspicion, now) * (observerDomain == domain ? 1.0 : settings.m_otherDomainWeight);
    }
    double logOdds = settings.m_priorLogOdds + std::min(evidence, settings.m_maxEvidence);
    const auto pathSuspicion = server.m_byHost.find(host);
    if (pathSuspicion != server.m_byHost.end()) {
        logOdds += valueAt(settings, pathSuspicion->second, now);
    }
    return 1.0 / (1.0 + std::exp(-logOdds));
}

}
