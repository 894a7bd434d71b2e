#include <ragwortrelay/detail/host/handlers.h>
#include <ragwortrelay/host/metrics.h>

#include <algorithm>

namespace RagwortRelay::Host {

namespace {

/// Converts a duration to seconds.
double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Counts the servers of each service by their use: evacuated, draining, avoided as probably unhealthy, or healthy.
void addServers(Reporting::Gauges &gauges, const State &state, TimePoint now)
{
    const Scheduling::ServerSelectionSettings &settings = state.m_settings.m_scheduling.m_selection;
    for (const auto &[id, server] : state.m_scheduler.m_registry.m_servers) {
        const double unhealthyProbability =
            Health::unhealthyProbability(settings.m_suspicion, server.m_suspicion, state.m_settings.m_host, state.m_settings.m_domain, now);
        const bool isDraining = Scheduling::isDraining(server, now);
        const char *health = Scheduling::looksUnhealthy(settings, unhealthyProbability) ? "suspect" : "sound";
        const char *use = server.m_isEvacuated ? "evacuated" : (isDraining ? "leaving" : health);
        gauges["servers_cold"] += Scheduling::isCold(server, now) ? 1.0 : 0.0;
        gauges["servers{service=\"" + server.m_server.m_service.text() + "\",use=\"" + use + "\"}"] += 1.0;
    }
}

/// Adds the requests that this host's scheduler has sent to other failure domains.
void addSpillovers(Reporting::Gauges &gauges, const State &state)
{
    for (const auto &[id, service] : state.m_scheduler.m_registry.m_services) {
        for (const auto &[reason, count] : service.m_spillovers) {
            const std::string labels = "{service=\"" + id.text() + "\",reason=\"" + Scheduling::toString(reason) + "\"}";
            gauges["cross_domain_requests" + labels] = static_cast<double>(count.m_requests);
            gauges["cross_domain_kib" + labels] = count.m_kib;
        }
    }
}

/// Returns the number of placements in the queues of all services.
std::size_t waitingPlacements(const Scheduling::Scheduler &scheduler)
{
    std::size_t count = 0;
    for (const auto &[service, queue] : scheduler.m_queues) {
        count += queue.m_size;
    }
    return count;
}

/// Returns the gauges of a host.
Reporting::Gauges gaugesOf(const State &state, TimePoint now)
{
    Reporting::Gauges gauges;
    gauges["ready"] = state.m_ready ? 1.0 : 0.0;
    gauges["leads"] = Fleet::isLeader(state.m_leadership) ? 1.0 : 0.0;
    gauges["hosts_registered"] = static_cast<double>(state.m_membership.size());
    gauges["requests_in_flight"] = static_cast<double>(state.m_exchanges.size());
    gauges["draws_waiting"] = static_cast<double>(waitingPlacements(state.m_scheduler));
    gauges["draw_age_seconds"] = state.m_placementAge;
    gauges["server_selections"] = static_cast<double>(state.m_scheduler.m_selections);
    gauges["limits_share"] = state.m_scheduler.m_share;
    gauges["crash_suspects"] = static_cast<double>(state.m_scheduler.m_suspects.m_crashes.size());
    gauges["crash_candidates"] = static_cast<double>(state.m_scheduler.m_suspects.m_candidates.size());
    gauges["requests_quarantined"] = static_cast<double>(Scheduling::quarantinedRequests(state.m_scheduler, now).size());
    gauges["configuration_version"] = static_cast<double>(detail::configurationVersion(state));
    gauges["store_era"] = static_cast<double>(state.m_storeEra.value_or(0));
    const auto age = detail::configurationAge(state, now);
    if (age) {
        gauges["configuration_age_seconds"] = secondsOf(*age);
    }
    gauges["domains_evacuated"] = static_cast<double>(state.m_scheduler.m_registry.m_evacuatedDomains.size());
    gauges["servers_paused"] =
        static_cast<double>(std::ranges::count_if(state.m_pauses.m_pauses, [&](const auto &entry) { return now < entry.second.m_until; }));
    addServers(gauges, state, now);
    addSpillovers(gauges, state);
    return gauges;
}

}

std::string metricsOf(const State &state, TimePoint now)
{
    return Reporting::formatMetrics(state.m_counters) + Reporting::formatMetrics(gaugesOf(state, now)) + Reporting::formatMetrics(state.m_levels.m_levels);
}

}
