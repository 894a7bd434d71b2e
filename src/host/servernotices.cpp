#include <ragwortrelay/detail/host/handlers.h>

namespace RagwortRelay::Host::detail {

namespace {

using Reporting::LogLine;

/// Records that a server wants no requests from this host for some time.
void recordPause(State &state, const ServerId &server, Duration pause, TimePoint now, Actions &actions)
{
    Scheduling::expirePauses(state.m_pauses, now);
    Reporting::count(state.m_counters, "server_pauses_asked");
    if (Scheduling::startPause(state.m_pauses, state.m_scheduler.m_registry, server, pause, now)) {
        log(actions, LogLine("server-paused").with("server", server.text()).with("pause_us", pause.count()));
    }
}

}

void applyNotices(State &state, const Attempt &attempt, const Http::ResponseMetadata &metadata, TimePoint now, Actions &actions)
{
    const ServerId &server = attempt.m_server;
    if (!metadata.m_unreadableHeader.empty()) {
        log(actions,
            LogLine("response-header-ignored", Reporting::Severity::Warning).with("server", server.text()).with("header", metadata.m_unreadableHeader));
    }
    if (metadata.m_loadReport && metadata.m_loadReport->m_draining) {
        onServerClosing(state, {server}, now);
    }
    if (metadata.m_isLeaving) {
        recordLeaving(state, server, attempt.m_incarnation, state.m_settings.m_host, now, actions);
    }
    if (metadata.m_pause && *metadata.m_pause > Duration(0)) {
        recordPause(state, server, *metadata.m_pause, now, actions);
    }
}

void recordLeaving(State &state, const ServerId &server, std::optional<std::uint64_t> incarnation, const HostId &from, TimePoint now, Actions &actions)
{
    const Scheduling::ServerSelectionSettings &selection = state.m_settings.m_scheduling.m_selection;
    if (Scheduling::noteLeaving(state.m_scheduler.m_registry, selection, server, incarnation, now)) {
        Reporting::count(state.m_counters, "servers_leaving_announced");
        log(actions, LogLine("server-leaving").with("server", server.text()).with("heard_from", from.text()));
    }
}

void onServerClosing(State &state, const ServerClosing &closing, TimePoint now)
{
    const auto server = state.m_scheduler.m_registry.m_servers.find(closing.m_server);
    if (server != state.m_scheduler.m_registry.m_servers.end()) {
        server->second.m_drainingUntil = now + state.m_settings.m_scheduling.m_selection.m_drainingPeriod;
    }
}

bool mayUseServer(const State &state, const ServerId &server, TimePoint now)
{
    const Scheduling::ServerRegistry &registry = state.m_scheduler.m_registry;
    const auto registered = registry.m_servers.find(server);
    const bool isDraining = registered == registry.m_servers.end() ? Scheduling::isLeaving(registry, server) : Scheduling::isDraining(registered->second, now);
    const bool isEvacuated = registered != registry.m_servers.end() && registered->second.m_isEvacuated;
    return !isDraining && !isEvacuated && Scheduling::mayStart(state.m_pauses, registry, server, now);
}

std::optional<std::uint64_t> leavingIncarnation(const State &state, const ServerId &server)
{
    const auto registered = state.m_scheduler.m_registry.m_servers.find(server);
    const bool isLeaving = registered != state.m_scheduler.m_registry.m_servers.end() && registered->second.m_isLeaving;
    return isLeaving ? std::optional(registered->second.m_server.m_incarnation) : std::nullopt;
}

}
