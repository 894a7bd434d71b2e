#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/health/follower.h>

#include <algorithm>

namespace RagwortRelay::Health {

namespace {

bool isEjection(const ServerVerdict &verdict)
{
    return verdict.m_verdict == Verdict::Ejected || verdict.m_verdict == Verdict::Trial;
}

}

std::optional<HostId> decidingHost(const ServiceId &service, const std::vector<HostId> &hosts)
{
    std::optional<HostId> best;
    double bestScore = 0.0;
    for (const HostId &host : hosts) {
        const double score = rendezvousScore(service.text(), host.text(), 1.0);
        if (!best || score > bestScore || (score == bestScore && host < *best)) {
            best = host;
            bestScore = score;
        }
    }
    return best;
}

bool follow(Following &following, const HealthSettings &settings, const HostId &decider, std::uint64_t incarnation, TimePoint startedAt, TimePoint now)
{
    if (following.m_decider == decider && following.m_incarnation == incarnation) {
        return true;
    }
    if (now < following.m_boundUntil || now < startedAt + settings.m_supportLease) {
        return false;
    }
    following.m_decider = decider;
    following.m_incarnation = incarnation;
    following.m_reportedAt.reset();
    following.m_echo = Duration(0);
    following.m_validUntil = TimePoint();
    following.m_observers.clear();
    return true;
}

void noteReported(Following &following, const HealthSettings &settings, TimePoint now)
{
    following.m_reportedAt = now;
    following.m_boundUntil = std::max(following.m_boundUntil, now + settings.m_supportLease);
}

bool takeVerdicts(Following &following, const HostId &from, std::uint64_t incarnation, const ServiceVerdicts &verdicts, TimePoint now)
{
    const bool isFollowed = following.m_decider == from && following.m_incarnation == incarnation && following.m_reportedAt.has_value();
    const bool isOwnEcho = isFollowed && TimePoint(verdicts.m_echo) <= *following.m_reportedAt;
    if (!isOwnEcho || verdicts.m_sentAt <= following.m_echo) {
        return false;
    }
    following.m_echo = verdicts.m_sentAt;
    following.m_receivedAt = now;
    following.m_validUntil = TimePoint(verdicts.m_echo + verdicts.m_validFor);
    following.m_verdicts = verdicts.m_servers;
    following.m_observers = verdicts.m_observers;
    return true;
}

std::vector<ServerVerdict> verdictsInForce(const Following &following, const HealthSettings &settings, TimePoint now)
{
    std::vector<ServerVerdict> inForce;
    const bool isFresh = now < following.m_receivedAt + settings.m_supportLease;
    for (const ServerVerdict &verdict : following.m_verdicts) {
        if (isEjection(verdict) && now >= following.m_validUntil) {
            inForce.push_back({verdict.m_server, Verdict::Suspect, verdict.m_ejections});
        } else if (isEjection(verdict) || isFresh) {
            inForce.push_back(verdict);
        }
    }
    return inForce;
}

std::optional<ServerId> takeTrial(Following &following, const HealthSettings &settings, const HostId &self, TimePoint now)
{
    const bool isObserver = std::find(following.m_observers.begin(), following.m_observers.end(), self) != following.m_observers.end();
    if (!isObserver || now >= following.m_validUntil) {
        return std::nullopt;
    }
    for (const ServerVerdict &verdict : following.m_verdicts) {
        if (verdict.m_verdict != Verdict::Trial) {
            continue;
        }
        const auto tried = following.m_triedAt.find(verdict.m_server);
        if (tried == following.m_triedAt.end() || now >= tried->second + settings.m_trickleInterval) {
            following.m_triedAt[verdict.m_server] = now;
            return verdict.m_server;
        }
    }
    return std::nullopt;
}

void noteTrialFailed(Following &following, const HealthSettings &settings, const ServerId &server, TimePoint now)
{
    const auto tried = following.m_triedAt.find(server);
    if (tried != following.m_triedAt.end()) {
        tried->second = now + settings.m_firstWait; // By then the deciding host has ended the trial.
    }
}

}
