#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/health/messages.h>
#include <ragwortrelay/health/settings.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace RagwortRelay::Health {

/// How an attempt at a server ended, as far as its health is concerned.
enum class WorkOutcome : std::uint8_t {
    Succeeded,
    Failed,
    Unreachable,
};

/// One attempt that has ended.
struct Work {
    ServerId m_server;
    WorkOutcome m_outcome{};
    std::optional<Duration> m_time; ///< Nothing when it tells nothing about the server, as while that is cold.
    FailureSample m_sample; ///< Of a failure; unused when the server was unreachable, which no request causes.
};

/// Suspicion of one host against one server. It fades, since an avoided server gets no requests that could clear it.
struct LocalSuspicion {
    double m_value = 0.0;
    TimePoint m_updatedAt;

    friend bool operator==(const LocalSuspicion &, const LocalSuspicion &) = default;
};

/// Failures in a row that one host saw, for EjectionPolicy::OwnFailures.
struct FailureRun {
    std::uint32_t m_failures = 0;
    TimePoint m_ejectedUntil;

    friend bool operator==(const FailureRun &, const FailureRun &) = default;
};

/// What one host saw since its last report, and its own suspicion.
struct EvidenceBook {
    std::map<ServerId, ServerEvidence> m_servers;
    std::map<ServerId, LocalSuspicion> m_suspicions;
    std::map<ServerId, FailureRun> m_failureRuns;
};

/// Largest number of servers and of samples for each of them in one report; what is above is dropped.
inline constexpr std::size_t MostServersInReport = 1024;
inline constexpr std::size_t MostSamplesOfServer = 8;

/// Takes in an attempt that has ended. Not thread-safe on one book.
void noteWork(EvidenceBook &book, const HealthSettings &settings, const Work &work, TimePoint now);

/// Takes in that an attempt runs for far longer than is usual. Its end must not be timed again.
void noteOverdue(EvidenceBook &book, const ServerId &server, Duration age);

/// Takes in that a request that failed at the server then succeeded at another.
void noteSucceededElsewhere(EvidenceBook &book, const ServerId &server, FailureSample sample);

/// Takes in that the server reported to be draining.
void noteDraining(EvidenceBook &book, const ServerId &server);

/// Returns the suspicion of this host against a server, as a log-likelihood ratio.
double localSuspicion(const EvidenceBook &book, const ServerId &server, TimePoint now);

/// Takes the evidence on the given servers out of the book.
std::vector<ServerEvidence> takeEvidence(EvidenceBook &book, const std::vector<ServerId> &servers);

/// Returns the log-likelihood ratio of outcomes: that the failure rate is `sickRate` against that it is `usualRate`.
/// Preconditions: 0 < usualRate < 1, 0 < sickRate < 1. Thread-safe.
double failureEvidence(double failed, double succeeded, double usualRate, double sickRate);

}
