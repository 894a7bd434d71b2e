#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/health/messages.h>
#include <ragwortrelay/health/settings.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace RagwortRelay::Health {

/// What the deciding host knows of a server by other ways than evidence.
struct ServerView {
    ServerId m_server;
    double m_capacity = 1.0;
    bool m_isLeaving = false; ///< By the table or the platform's list.
    bool m_isCold = false; ///< New in the table.

    friend bool operator==(const ServerView &, const ServerView &) = default;
};

/// The same for a service.
struct ServiceView {
    ServiceId m_service;
    double m_floor = 0.5; ///< Share of the capacity that ejections must leave.
    std::vector<ServerView> m_servers;

    friend bool operator==(const ServiceView &, const ServiceView &) = default;
};

/// Sums over the evidence of late; older evidence counts less.
struct FadingSums {
    double m_runs = 0.0;
    double m_failures = 0.0;
    double m_timed = 0.0;
    double m_logTimes = 0.0;
    double m_squaredLogTimes = 0.0;
    TimePoint m_updatedAt;
};

enum class ServerState : std::uint8_t {
    InUse,
    Ejected,
    Trial, ///< Ejected, but observers may send trial requests.
};

/// What the deciding host of a service holds of one server.
struct ServerRecord {
    ServerState m_state = ServerState::InUse;
    TimePoint m_since; ///< Of the state.
    std::uint32_t m_ejections = 0; ///< In a row.
    std::uint32_t m_trialSuccesses = 0;
    double m_failureSuspicion = 0.0; ///< Log-likelihood ratio, by the CUSUM rule never below 0.
    double m_slownessSuspicion = 0.0;
    std::map<HostId, double> m_accusers; ///< What each host has added since the suspicion was 0.
    std::set<std::uint32_t> m_failingWorkspaces; ///< Since the suspicion was 0.
    std::map<HostId, TimePoint> m_unreachableFrom;
    std::optional<TimePoint> m_drainingUntil;
    std::optional<TimePoint> m_coldUntil;
    TimePoint m_maybeBarredUntil; ///< Some host may go by an ejection until then.
    FadingSums m_sums;
};

/// Evidence of one host on one server that waits to be weighed against that on its peers.
struct WindowEntry {
    HostId m_from;
    ServerEvidence m_evidence; ///< Without samples.
    double m_ownFailures = 0.0; ///< Failures that are not bound to a request or a workspace.
};

/// A host that reports to this one.
struct Supporter {
    std::uint64_t m_incarnation = 0;
    Duration m_sentAt{}; ///< Of its last report, by its clock.
    TimePoint m_heardAt;
    std::uint32_t m_knownHosts = 0;
    TimePoint m_supportsUntil; ///< Until then it reports to no other host.
    bool m_hasTraffic = false;
};

/// Where a failed request or the failed requests of a workspace were seen.
struct FailureOrigin {
    std::set<ServerId> m_servers;
    bool m_succeededElsewhere = false;
    TimePoint m_seenAt;
};

/// State of the deciding host of one service.
struct DecidingState {
    TimePoint m_startedAt;
    std::uint32_t m_knownHosts = 1;
    std::map<HostId, Supporter> m_supporters;
    std::map<ServerId, ServerRecord> m_servers;
    std::vector<WindowEntry> m_window; ///< Weighed together, so that what befalls all servers at once is no outlier.
    TimePoint m_windowSince;
    std::map<std::uint32_t, FailureOrigin> m_requests;
    std::map<std::uint32_t, FailureOrigin> m_workspaces;
};

/// Takes in one service of a report.
/// @param incarnation of the sender
/// @return false for a report that is older than one taken before; it is dropped
/// Not thread-safe on one state, like all functions on it.
bool takeReport(DecidingState &state,
                const HealthSettings &settings,
                const HostId &from,
                std::uint64_t incarnation,
                const EvidenceReport &report,
                const ServiceEvidence &evidence,
                TimePoint now);

/// Ejects, tries and reinstates servers. Ejections need the support of more than half of the known hosts.
/// @return whether the verdicts have changed
bool decide(DecidingState &state, const HealthSettings &settings, const ServiceView &view, TimePoint now);

/// Returns until when more than half of the known hosts report to no other host, so that no other host's ejections are in force.
std::optional<TimePoint> authorityUntil(const DecidingState &state, TimePoint now);

/// Makes the message for one host that has reported. Keeps in mind how long its ejections may be in force.
/// Precondition: takeReport() has taken a report of the host.
ServiceVerdicts verdictsFor(DecidingState &state, const HealthSettings &settings, const HostId &host, TimePoint now);

/// Returns how long a server stays out before it is tried, after so many ejections in a row.
Duration waitAfter(const HealthSettings &settings, std::uint32_t ejections);

}
