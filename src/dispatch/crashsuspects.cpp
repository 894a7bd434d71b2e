#include <ragwortrelay/dispatch/crashsuspects.h>

#include <algorithm>
#include <set>

namespace RagwortRelay::Dispatch {

namespace {

using Crashes = std::map<CrashId, Crash>;

std::size_t countServers(const Crashes &crashes)
{
    std::set<ServerId> servers;
    for (const auto &[id, crash] : crashes) {
        servers.insert(crash.m_server);
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

/// Returns whether crashes are numerous enough to make a request a quarantine candidate.
bool reachesThreshold(const Crashes &crashes, const CrashSuspectSettings &settings)
{
    const bool isPossible = crashes.size() >= settings.m_serverThreshold;
    return crashes.size() >= settings.m_crashThreshold || (isPossible && countServers(crashes) >= settings.m_serverThreshold);
}

/// Returns whether another suspect was present at crashes on all the same servers and thus may be the cause instead.
bool hasAlternativeCause(const CrashSuspects &suspects, Fingerprint fingerprint, const Crashes &crashes)
{
    return std::ranges::any_of(suspects.m_crashes, [&](const auto &other) {
        const auto isShared = [&](const auto &entry) { return involvesServer(other.second, entry.second.m_server); };
        return other.first != fingerprint && std::ranges::all_of(crashes, isShared);
    });
}

/// Returns whether a request is the likely cause of its crashes, given all that is known about the other suspects.
/// Precondition: the request is a candidate.
bool isLikelyCause(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, const Crashes &crashes)
{
    return crashes.size() >= settings.m_crashThreshold || !hasAlternativeCause(suspects, fingerprint, crashes);
}

void removeOldest(CrashSuspects &suspects)
{
    const auto oldest = std::ranges::min_element(suspects.m_crashes, {}, [](const auto &entry) { return lastCrashAt(entry.second); });
    suspects.m_candidates.erase(oldest->first);
    suspects.m_crashes.erase(oldest);
}

}

bool recordCrash(CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, const CrashId &id, const Crash &crash)
{
    const bool isNew = !suspects.m_crashes.contains(fingerprint);
    if (isNew && suspects.m_crashes.size() >= settings.m_maxSuspects) {
        removeOldest(suspects);
    }
    Crashes &crashes = suspects.m_crashes[fingerprint];
    const bool isDuplicate = std::ranges::any_of(crashes, [&](const auto &entry) {
        const Crash &other = entry.second;
        return other.m_server == crash.m_server && std::chrono::abs(other.m_at - crash.m_at) < settings.m_sameCrashWindow;
    });
    const bool isRecorded = !isDuplicate && crashes.size() < settings.m_crashThreshold && crashes.emplace(id, crash).second;
    if (reachesThreshold(crashes, settings)) {
        suspects.m_candidates.insert(fingerprint);
    }
    return isRecorded;
}

bool clearSuspect(CrashSuspects &suspects, Fingerprint fingerprint)
{
    suspects.m_candidates.erase(fingerprint);
    return suspects.m_crashes.erase(fingerprint) > 0;
}

bool isSuspect(const CrashSuspects &suspects, Fingerprint fingerprint)
{
    return suspects.m_crashes.contains(fingerprint);
}

bool awaitsReports(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now)
{
    return suspects.m_candidates.contains(fingerprint) && now < lastCrashAt(suspects.m_crashes.at(fingerprint)) + settings.m_reportDelay;
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
    if (suspects.m_candidates.size() > settings.m_maxCandidates) {
        return QuarantineVerdict::TooManyCandidates;
    }
    const Crashes &crashes = suspects.m_crashes.at(fingerprint);
    if (now >= lastCrashAt(crashes) + settings.m_quarantineDuration) {
        return QuarantineVerdict::Expired;
    }
    return isLikelyCause(suspects, settings, fingerprint, crashes) ? QuarantineVerdict::Quarantined : QuarantineVerdict::AlternativeCause;
}

std::optional<Duration> quarantineRemaining(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now)
{
    if (quarantineVerdict(suspects, settings, fingerprint, now) != QuarantineVerdict::Quarantined) {
        return std::nullopt;
    }
    return lastCrashAt(suspects.m_crashes.at(fingerprint)) + settings.m_quarantineDuration - now;
}

void expireSuspects(CrashSuspects &suspects, const CrashSuspectSettings &settings, TimePoint now)
{
    for (auto &[fingerprint, crashes] : suspects.m_crashes) {
        const bool isRefused = reachesThreshold(crashes, settings) && now < lastCrashAt(crashes) + settings.m_quarantineDuration;
        if (!isRefused) {
            std::erase_if(crashes, [&](const auto &entry) { return now >= entry.second.m_at + settings.m_crashWindow; });
        }
    }
    std::erase_if(suspects.m_crashes, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(suspects.m_candidates, [&](Fingerprint fingerprint) {
        const auto found = suspects.m_crashes.find(fingerprint);
        return found == suspects.m_crashes.end() || !reachesThreshold(found->second, settings);
    });
}

}
