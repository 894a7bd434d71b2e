#include <ragwortrelay/dispatch/crashsuspects.h>

#include <algorithm>
#include <tuple>

namespace RagwortRelay::Dispatch {

namespace {

using Crashes = std::map<CrashId, Crash>;

std::size_t countServers(const Crashes &crashes)
{
    std::set<ServerId> servers;
    for (const auto &[id, crash] : crashes) {
        if (!crash.m_isDoubtful) {
            servers.insert(crash.m_server);
        }
    }
    return servers.size();
}

bool involvesServer(const Crashes &crashes, const ServerId &server)
{
    return std::ranges::any_of(crashes, [&](const auto &entry) { return entry.second.m_server == server; });
}

TimePoint lastCrashAt(const Crashes &crashes)
{
    TimePoint last;
    for (const auto &[id, crash] : crashes) {
        last = std::max(last, crash.m_at);
    }
    return last;
}

/// Returns the time at which the server has ended, if it has. A server that doesn't respond may have ended as soon as it had the request.
TimePoint presumedEnd(const Crash &crash)
{
    return crash.m_sign == CrashSign::NoResponse ? crash.m_startedAt : crash.m_at;
}

/// Returns whether two attempts ran on a server at the same time, so that one crash explains the end of both.
bool isSameCrash(const Crash &left, const Crash &right)
{
    return left.m_server == right.m_server && left.m_startedAt <= right.m_at && right.m_startedAt <= left.m_at;
}

/// Returns whether crashes are so numerous that no other cause can explain them.
bool isConclusive(const Crashes &crashes, const CrashSuspectSettings &settings)
{
    return crashes.size() >= settings.m_crashThreshold;
}

/// Returns whether crashes are numerous enough to make a request a quarantine candidate.
bool reachesThreshold(const Crashes &crashes, const CrashSuspectSettings &settings)
{
    const bool isPossible = crashes.size() >= settings.m_serverThreshold;
    return isConclusive(crashes, settings) || (isPossible && countServers(crashes) >= settings.m_serverThreshold);
}

/// Returns whether another suspect was present at crashes on all the same servers and thus may be the cause instead. Doubtful crashes don't count.
bool hasAlternativeCause(const CrashSuspects &suspects, Fingerprint fingerprint, const Crashes &crashes)
{
    return std::ranges::any_of(suspects.m_crashes, [&](const auto &other) {
        const auto isShared = [&](const auto &entry) { return entry.second.m_isDoubtful || involvesServer(other.second, entry.second.m_server); };
        return other.first != fingerprint && std::ranges::all_of(crashes, isShared);
    });
}

/// Returns the duration of the quarantine after the last crash.
Duration quarantineDuration(const Crashes &crashes, const CrashSuspectSettings &settings)
{
    return crashes.size() >= settings.m_finalThreshold ? settings.m_quarantineDuration : settings.m_trialDelay;
}

void updateCandidate(CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint)
{
    const auto found = suspects.m_crashes.find(fingerprint);
    if (found != suspects.m_crashes.end() && reachesThreshold(found->second, settings)) {
        suspects.m_candidates.insert(fingerprint);
    } else {
        suspects.m_candidates.erase(fingerprint);
    }
}

/// Removes the suspect with the fewest crashes, and of several the one whose last crash is the oldest.
void removeLeastSuspect(CrashSuspects &suspects)
{
    const auto rankOf = [](const auto &entry) { return std::tuple(entry.second.size(), lastCrashAt(entry.second)); };
    const auto least = std::ranges::min_element(suspects.m_crashes, {}, rankOf);
    suspects.m_candidates.erase(least->first);
    suspects.m_crashes.erase(least);
}

/// Adds a crash to those of a suspect. Beyond the final threshold, the oldest crash is dropped.
/// @return whether the crash was added
bool addCrash(Crashes &crashes, const CrashSuspectSettings &settings, const CrashId &id, const Crash &crash)
{
    if (crashes.contains(id) || std::ranges::any_of(crashes, [&](const auto &entry) { return isSameCrash(entry.second, crash); })) {
        return false;
    }
    if (crashes.size() >= settings.m_finalThreshold) {
        const auto oldest = std::ranges::min_element(crashes, {}, [](const auto &entry) { return entry.second.m_at; });
        if (crash.m_at <= oldest->second.m_at) {
            return false;
        }
        crashes.erase(oldest);
    }
    return crashes.emplace(id, crash).second;
}

/// Forgets the crashes that no response of their servers can change any more.
void forgetRecentCrashes(CrashSuspects &suspects, const CrashSuspectSettings &settings, TimePoint now)
{
    const auto isObsolete = [&](const std::pair<Fingerprint, CrashId> &recent) {
        const auto suspect = suspects.m_crashes.find(recent.first);
        const bool isKnown = suspect != suspects.m_crashes.end() && suspect->second.contains(recent.second);
        return !isKnown || now >= suspect->second.at(recent.second).m_at + settings.m_trialDelay;
    };
    for (auto &[server, recent] : suspects.m_recent) {
        std::erase_if(recent, isObsolete);
    }
    std::erase_if(suspects.m_recent, [](const auto &entry) { return entry.second.empty(); });
}

/// An attempt that has found a server running.
struct Survival {
    LifeSign m_sign{};
    TimePoint m_startedAt; ///< Start of the attempt.
    TimePoint m_at; ///< End of the attempt.
};

/// Tells whether an attempt shows that a server went on running at the presumed time of its end.
bool disproves(const Survival &survival, const Crash &crash, const CrashSuspectSettings &settings)
{
    const bool wasRunning = survival.m_startedAt < presumedEnd(crash) - settings.m_responseLag;
    return survival.m_sign == LifeSign::Response && crash.m_sign == CrashSign::BrokenConnection && wasRunning;
}

/// Tells whether an attempt shows that a server was running sooner after its presumed end than it is likely to restart.
bool makesDoubtful(const Survival &survival, const Crash &crash, const CrashSuspectSettings &settings)
{
    const TimePoint end = presumedEnd(crash);
    const bool isNewConnection = survival.m_startedAt >= end + settings.m_responseLag && crash.m_sign == CrashSign::BrokenConnection;
    return survival.m_startedAt < end + settings.m_minRestartTime && (survival.m_sign == LifeSign::Response || isNewConnection);
}

/// Applies what an attempt tells about a server to one of the server's recent crashes.
/// @return whether later attempts may still change the crash
bool applySurvival(CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, const CrashId &id, const Survival &survival)
{
    const auto suspect = suspects.m_crashes.find(fingerprint);
    if (suspect == suspects.m_crashes.end() || !suspect->second.contains(id)) {
        return false;
    }
    Crash &crash = suspect->second.at(id);
    const TimePoint end = presumedEnd(crash);
    if (survival.m_at < end + settings.m_responseLag) {
        return true;
    }
    const bool isDisproved = disproves(survival, crash, settings);
    if (isDisproved || makesDoubtful(survival, crash, settings)) {
        crash.m_isDoubtful = true;
        suspects.m_survivedAt[crash.m_server] = survival.m_at;
    }
    if (isDisproved) {
        suspect->second.erase(id);
    }
    if (suspect->second.empty()) {
        suspects.m_crashes.erase(suspect);
    }
    updateCandidate(suspects, settings, fingerprint);
    return !isDisproved && survival.m_at < end + settings.m_trialDelay;
}

}

std::string toString(CrashSign sign)
{
    return sign == CrashSign::BrokenConnection ? "broken-connection" : "no-response";
}

bool recordCrash(CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, const CrashId &id, const Crash &crash)
{
    const bool isNew = !suspects.m_crashes.contains(fingerprint);
    if (isNew && suspects.m_crashes.size() >= settings.m_maxSuspects) {
        removeLeastSuspect(suspects);
    }
    const auto survivedAt = suspects.m_survivedAt.find(crash.m_server);
    Crash noticed = crash;
    noticed.m_isDoubtful = crash.m_isDoubtful || (survivedAt != suspects.m_survivedAt.end() && crash.m_at < survivedAt->second + settings.m_survivalMemory);
    const bool isAdded = addCrash(suspects.m_crashes[fingerprint], settings, id, noticed);
    if (isAdded) {
        suspects.m_recent[crash.m_server].emplace_back(fingerprint, id);
        updateCandidate(suspects, settings, fingerprint);
    }
    return isAdded;
}

void recordLifeSign(CrashSuspects &suspects, const CrashSuspectSettings &settings, const ServerId &server, LifeSign sign, TimePoint startedAt, TimePoint now)
{
    const auto recent = suspects.m_recent.find(server);
    if (recent == suspects.m_recent.end()) {
        return;
    }
    const Survival survival{sign, startedAt, now};
    std::erase_if(recent->second, [&](const auto &entry) { return !applySurvival(suspects, settings, entry.first, entry.second, survival); });
    if (recent->second.empty()) {
        suspects.m_recent.erase(recent);
    }
}

bool clearSuspect(CrashSuspects &suspects, Fingerprint fingerprint)
{
    suspects.m_candidates.erase(fingerprint);
    return suspects.m_crashes.erase(fingerprint) > 0;
}

std::string toString(QuarantineVerdict verdict)
{
    switch (verdict) {
    case QuarantineVerdict::Quarantined:
        return "quarantined";
    case QuarantineVerdict::TooFewCrashes:
        return "too-few-crashes";
    case QuarantineVerdict::TooManyCandidates:
        return "too-many-candidates";
    case QuarantineVerdict::AlternativeCause:
        return "alternative-cause";
    case QuarantineVerdict::Expired:
        return "expired";
    }
    return "unknown";
}

QuarantineVerdict quarantineVerdict(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now)
{
    if (!suspects.m_candidates.contains(fingerprint)) {
        return QuarantineVerdict::TooFewCrashes;
    }
    const Crashes &crashes = suspects.m_crashes.at(fingerprint);
    if (now >= lastCrashAt(crashes) + quarantineDuration(crashes, settings)) {
        return QuarantineVerdict::Expired;
    }
    if (isConclusive(crashes, settings)) {
        return QuarantineVerdict::Quarantined;
    }
    if (suspects.m_candidates.size() > settings.m_maxCandidates) {
        return QuarantineVerdict::TooManyCandidates;
    }
    return hasAlternativeCause(suspects, fingerprint, crashes) ? QuarantineVerdict::AlternativeCause : QuarantineVerdict::Quarantined;
}

bool isSuspect(const CrashSuspects &suspects, Fingerprint fingerprint)
{
    return suspects.m_crashes.contains(fingerprint);
}

bool awaitsReports(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now)
{
    return suspects.m_candidates.contains(fingerprint) && now < lastCrashAt(suspects.m_crashes.at(fingerprint)) + settings.m_reportDelay;
}

bool mustRunAlone(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now)
{
    return quarantineVerdict(suspects, settings, fingerprint, now) == QuarantineVerdict::Expired;
}

std::optional<Duration> quarantineRemaining(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now)
{
    if (quarantineVerdict(suspects, settings, fingerprint, now) != QuarantineVerdict::Quarantined) {
        return std::nullopt;
    }
    const Crashes &crashes = suspects.m_crashes.at(fingerprint);
    return lastCrashAt(crashes) + quarantineDuration(crashes, settings) - now;
}

void expireSuspects(CrashSuspects &suspects, const CrashSuspectSettings &settings, TimePoint now)
{
    for (auto &[fingerprint, crashes] : suspects.m_crashes) {
        const bool isRefused = reachesThreshold(crashes, settings) && now < lastCrashAt(crashes) + quarantineDuration(crashes, settings);
        if (!isRefused) {
            std::erase_if(crashes, [&](const auto &entry) { return now >= entry.second.m_at + settings.m_crashWindow; });
        }
    }
    std::erase_if(suspects.m_crashes, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(suspects.m_candidates, [&](Fingerprint fingerprint) {
        const auto found = suspects.m_crashes.find(fingerprint);
        return found == suspects.m_crashes.end() || !reachesThreshold(found->second, settings);
    });
    forgetRecentCrashes(suspects, settings, now);
    std::erase_if(suspects.m_survivedAt, [&](const auto &entry) { return now >= entry.second + settings.m_survivalMemory; });
}

}
