#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

/// Requests that may crash the backend servers that run them. `docs/dispatch.md` tells how innocent ones are told apart.
namespace RagwortRelay::Dispatch {

/// When a request is refused for the sake of the backend servers.
struct CrashSuspectSettings {
    Duration m_window{std::chrono::minutes(10)}; ///< A crash counts for so long.
    Duration m_quarantine{std::chrono::minutes(10)}; ///< After the last crash that counts.
    Duration m_sameCrash{std::chrono::seconds(10)}; ///< Broken connections of one server within this time are one crash.
    Duration m_reportDelay{std::chrono::milliseconds(30)}; ///< After a crash, until all that were present are known.
    std::size_t m_serversUntilRefused = 2; ///< Distinct servers.
    std::size_t m_crashesUntilRefused = 4; ///< On any servers; for services with few.
    std::size_t m_refusedAtMost = 8; ///< When more requests look guilty, the service or the network fails and none is refused.
    std::size_t m_suspectsAtMost = 1024;

    friend bool operator==(const CrashSuspectSettings &, const CrashSuspectSettings &) = default;
};

/// Hash of what makes two requests the same.
using Fingerprint = std::uint64_t;

/// One broken connection.
struct Crash {
    ServerId m_server;
    TimePoint m_at;

    friend bool operator==(const Crash &, const Crash &) = default;
};

/// Attempt of one host.
using CrashId = std::pair<HostId, std::uint64_t>;

/// Requests under suspicion by their fingerprints, with the crashes at which they were present.
struct CrashSuspects {
    std::map<Fingerprint, std::map<CrashId, Crash>> m_crashes;
    std::set<Fingerprint> m_candidates; ///< Those that were present at enough crashes to be refused, unless others were as well.
};

/// Notes that a server broke the connection while it ran the request. A crash that is already noted changes nothing.
/// Not thread-safe on one state.
void recordCrash(CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, const CrashId &id, const Crash &crash);

/// Forgets the suspicion: a server has run the request and lives. Returns whether there was one. Not thread-safe on one state.
bool clearSuspect(CrashSuspects &suspects, Fingerprint fingerprint);

/// Tells whether the request was present at a crash. Thread-safe on a state that doesn't change.
bool isSuspect(const CrashSuspects &suspects, Fingerprint fingerprint);

/// Tells whether the request may look guilty only because the crashes of others are not known yet. Thread-safe like isSuspect().
bool awaitsReports(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now);

/// Returns how much longer the request is refused, or nothing. Linear in the suspects, for one that is accused. Thread-safe like isSuspect().
std::optional<Duration> quarantineRemaining(const CrashSuspects &suspects, const CrashSuspectSettings &settings, Fingerprint fingerprint, TimePoint now);

/// Forgets crashes that no longer count. Not thread-safe on one state.
void expireSuspects(CrashSuspects &suspects, const CrashSuspectSettings &settings, TimePoint now);

}
