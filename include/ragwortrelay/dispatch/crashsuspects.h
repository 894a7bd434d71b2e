#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

/// Requests that may crash the backend servers that execute them. `docs/dispatch.md` explains how other requests are distinguished from them.
namespace RagwortRelay::Dispatch {

/// Conditions under which a request is quarantined in order to protect the backend servers.
struct CrashSuspectSettings {
    Duration m_crashWindow{std::chrono::minutes(10)}; ///< Time for which a crash counts.
    Duration m_quarantineDuration{std::chrono::minutes(10)}; ///< Duration of the quarantine after the last crash that counts.
    Duration m_sameCrashWindow{std::chrono::seconds(10)}; ///< Broken connections of one server within this time count as one crash.
    Duration m_reportDelay{std::chrono::milliseconds(30)}; ///< Time after a crash until all requests that were present are known.
    std::size_t m_serverThreshold = 2; ///< Number of distinct crashed servers that makes a request a quarantine candidate.
    std::size_t m_crashThreshold = 4; ///< Number of crashes that suffices on any servers; for services with few servers.
    std::size_t m_maxCandidates = 8; ///< With more quarantine candidates, the service or the network is failing, and no request is quarantined.
    std::size_t m_maxSuspects = 1024; ///< Maximum number of suspects in memory.

    friend bool operator==(const CrashSuspectSettings &, const CrashSuspectSettings &) = default;
};

/// Hash that is equal for equal requests.
using Fingerprint = std::uint64_t;

/// Connection that a server broke while it executed a request.
struct Crash {
    ServerId m_server; ///< Server that broke the connection.
    TimePoint m_at; ///< Time of the crash.

    friend bool operator==(const Crash &, const Crash &) = default;
};

/// Identifier of the attempt during which a crash occurred: its host and its number there.
using CrashId = std::pair<HostId, std::uint64_t>;

/// Suspected requests with the crashes at which they were present.
struct CrashSuspects {
    std::map<Fingerprint, std::map<CrashId, Crash>> m_crashes; ///< Crashes of each suspect by its fingerprint.
    std::set<Fingerprint> m_candidates; ///< Suspects that were present at enough crashes to be quarantined, unless others were present as well.
};

/// Records that a server broke the connection while it executed the request. A crash that is already recorded has no effect.
/// Not thread-safe on one state.
/// @return whether the crash was not recorded yet
bool recordCrash(CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, const CrashId &id, const Crash &crash);

/// Removes a suspect, because a server has executed the request and survived. Returns whether it was suspected. Not thread-safe on one state.
bool clearSuspect(CrashSuspects &suspects, Fingerprint fingerprint);

/// Whether a request is quarantined, and if not, why.
enum class QuarantineVerdict : std::uint8_t {
    Quarantined,
    TooFewCrashes, ///< The request was present at too few crashes.
    TooManyCandidates, ///< So many requests look like causes that the service or the network seems to be failing.
    AlternativeCause, ///< Another request was present at crashes of all the same servers.
    Expired, ///< The quarantine is over.
};

/// Returns the name of a verdict for logs. Thread-safe.
std::string toString(QuarantineVerdict verdict);

/// Returns the verdict on a request. Complexity as for quarantineRemaining(). Thread-safe like isSuspect().
QuarantineVerdict quarantineVerdict(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now);

/// Returns whether the request was present at a crash. Thread-safe on a constant state.
bool isSuspect(const CrashSuspects &suspects, Fingerprint fingerprint);

/// Returns whether the request may look like the cause only because reports of other requests are outstanding. Thread-safe like isSuspect().
bool awaitsReports(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now);

/// Returns the remaining quarantine of the request; empty if it is not quarantined. For a candidate, takes time linear in the number of
/// suspects. Thread-safe like isSuspect().
std::optional<Duration> quarantineRemaining(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now);

/// Removes crashes that no longer count. Not thread-safe on one state.
void expireSuspects(CrashSuspects &suspects, const CrashSuspectSettings &settings, TimePoint now);

}
