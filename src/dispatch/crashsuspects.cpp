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

bool wasAt(const Crashes &crashes, const ServerId &server)
{
    return std::ranges::any_of(crashes, [&](const auto &entry) { return entry.second.m_server == server; });
}

TimePoint lastOf(const Crashes &crashes)
{
    TimePoint last;
    for (const auto &[id, crash] : crashes) {
        last = std::max(last, crash.m_at);
    }
    return last;
}

bool hasEnough(const Crashes &crashes, const CrashSuspectSettings &settings)
{
    const bool isPossible = crashes.size() >= settings.m_serversUntilRefused;
    return crashes.size() >= settings.m_crashesUntilRefused || (isPossible && countServers(crashes) >= settings.m_serversUntilRefused);
}

/// Tells whether another suspect was present at crashes on all the same servers, so that it may be the cause as well.
bool hasAlibi(const CrashSuspects &suspects, Fingerprint fingerprint, const Crashes &crashes)
{
    return std::ranges::any_of(suspects.m_crashes, [&](const auto &other) {
        const auto wasThereToo = [&](const auto &entry) { return wasAt(other.second, entry.second.m_server); };
        return other.first != fingerprint && std::ranges::all_of(crashes, wasThereToo);
    });
}

/// Tells whether a request looks guilty, by all that is known of the others.
/// Precondition: it is accused.
bool exceedsCrashThreshold(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, const Crashes &crashes)
{
    return crashes.size() >= settings.m_crashesUntilRefused || !hasAlibi(suspects, fingerprint, crashes);
}

void dropOldest(CrashSuspects &suspects)
{
    const auto oldest = std::ranges::min_element(suspects.m_crashes, {}, [](const auto &entry) { return lastOf(entry.second); });
    suspects.m_candidates.erase(oldest->first);
    suspects.m_crashes.erase(oldest);
}

}

void recordCrash(CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, const CrashId &id, const Crash &crash)
{
    const bool isNew = !suspects.m_crashes.contains(fingerprint);
    if (isNew && suspects.m_crashes.size() >= settings.m_suspectsAtMost) {
        dropOldest(suspects);
    }
    Crashes &crashes = suspects.m_crashes[fingerprint];
    const bool isSame = std::ranges::any_of(crashes, [&](const auto &entry) {
        const Crash &other = entry.second;
        return other.m_server == crash.m_server && std::chrono::abs(other.m_at - crash.m_at) < settings.m_sameCrash;
    });
    if (!isSame && crashes.size() < settings.m_crashesUntilRefused) {
        crashes.emplace(id, crash);
    }
    if (hasEnough(crashes, settings)) {
        suspects.m_candidates.insert(fingerprint);
    }
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
    return suspects.m_candidates.contains(fingerprint) && now < lastOf(suspects.m_crashes.at(fingerprint)) + settings.m_reportDelay;
}

std::optional<Duration> quarantineRemaining(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now)
{
    const bool isPossible = suspects.m_candidates.contains(fingerprint) && suspects.m_candidates.size() <= settings.m_refusedAtMost;
    if (!isPossible) {
        return std::nullopt;
    }
    const Crashes &crashes = suspects.m_crashes.at(fingerprint);
    const Duration left = lastOf(crashes) + settings.m_quarantine - now;
    return left > Duration::zero() && exceedsCrashThreshold(suspects, settings, fingerprint, crashes) ? std::optional(left) : std::nullopt;
}

void expireSuspects(CrashSuspects &suspects, const CrashSuspectSettings &settings, TimePoint now)
{
    for (auto &[fingerprint, crashes] : suspects.m_crashes) {
        const bool isRefused = hasEnough(crashes, settings) && now < lastOf(crashes) + settings.m_quarantine;
        if (!isRefused) {
            std::erase_if(crashes, [&](const auto &entry) { return now >= entry.second.m_at + settings.m_window; });
        }
    }
    std::erase_if(suspects.m_crashes, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(suspects.m_candidates, [&](Fingerprint fingerprint) {
        const auto found = suspects.m_crashes.find(fingerprint);
        return found == suspects.m_crashes.end() || !hasEnough(found->second, settings);
    });
}

}
