#include <ragwortrelay/detail/host/handlers.h>

namespace RagwortRelay::Host::detail {

namespace {

using Reporting::LogLine;
using Reporting::Severity;

/// Interval between two checks of the state. Limits the lines that a server close to the threshold produces.
constexpr Duration CheckInterval = std::chrono::milliseconds(250);

/// Highest probability that a server is unhealthy, over the failure domains that report on it.
struct WorstView {
    FailureDomainId m_domain; ///< Failure domain whose hosts report it.
    double m_unhealthyProbability = 0.0; ///< From 0 to 1.
};

/// Returns the highest probability that a server is unhealthy, and the failure domain that it holds for.
WorstView worstViewOf(const Health::SuspicionSettings &settings, const Health::ServerSuspicion &server, TimePoint now)
{
    WorstView worst;
    for (const auto &[domain, suspicion] : server.m_byDomain) {
        const double unhealthyProbability = Health::unhealthyProbability(settings, server, {}, domain, now);
        if (unhealthyProbability > worst.m_unhealthyProbability) {
            worst = {domain, unhealthyProbability};
        }
    }
    return worst;
}

/// Returns a log line about a server.
LogLine serverLine(const char *event, const ServerId &id, const Scheduling::ServerState &server, const WorstView &view, Severity severity)
{
    constexpr double PerMille = 1000.0;
    return LogLine(event, severity)
        .with("server", id.text())
        .with("service", server.m_server.m_service.text())
        .with("seen_from", view.m_domain.text())
        .with("sickness_per_mille", static_cast<std::int64_t>(view.m_unhealthyProbability * PerMille))
        .with("running", static_cast<std::int64_t>(server.m_running.size()))
        .with("slots", server.m_server.m_slots);
}

/// Logs the servers that have become suspected, or trusted again, since the last check.
void logServerChanges(State &state, TimePoint now, Actions &actions)
{
    const Scheduling::ServerSelectionSettings &settings = state.m_settings.m_scheduling.m_selection;
    std::set<ServerId> &suspected = state.m_logged.m_sickServers;
    const auto &servers = state.m_scheduler.m_registry.m_servers;
    std::erase_if(suspected, [&](const ServerId &id) { return !servers.contains(id); });
    for (const auto &[id, server] : servers) {
        const WorstView view = worstViewOf(settings.m_suspicion, server.m_suspicion, now);
        const bool isUnhealthy = Scheduling::looksUnhealthy(settings, view.m_unhealthyProbability);
        if (isUnhealthy && suspected.insert(id).second) {
            log(actions, serverLine("server-suspected", id, server, view, Severity::Warning));
        } else if (!isUnhealthy && suspected.erase(id) > 0) {
            log(actions, serverLine("server-trusted", id, server, view, Severity::Info));
        }
    }
}

/// Logs the requests that have been quarantined since the last check.
void logQuarantinedRequests(State &state, TimePoint now, Actions &actions)
{
    const std::vector<Dispatch::Fingerprint> quarantined = Scheduling::quarantinedRequests(state.m_scheduler, now);
    for (const Dispatch::Fingerprint fingerprint : quarantined) {
        if (!state.m_logged.m_quarantinedRequests.contains(fingerprint)) {
            const auto &crashes = state.m_scheduler.m_suspects.m_crashes.at(fingerprint);
            log(actions,
                LogLine("request-quarantined", Severity::Warning)
                    .with("fingerprint", std::to_string(fingerprint))
                    .with("crashes", static_cast<std::int64_t>(crashes.size()))
                    .with("last_server", crashes.rbegin()->second.m_server.text()));
        }
    }
    state.m_logged.m_quarantinedRequests = {quarantined.begin(), quarantined.end()};
}

}

void logStateChanges(State &state, TimePoint now, Actions &actions)
{
    if (now - state.m_logged.m_at < CheckInterval) {
        return;
    }
    state.m_logged.m_at = now;
    constexpr Duration SuppressionRetention = std::chrono::seconds(10);
    std::erase_if(state.m_logged.m_placements, [&](const auto &entry) { return now - entry.second.m_at > SuppressionRetention; });
    if (hasLeader(state)) { // The leader has the reports of all hosts and logs these changes itself.
        state.m_logged.m_sickServers.clear();
        return;
    }
    logServerChanges(state, now, actions);
    logQuarantinedRequests(state, now, actions);
}

}
