#include <ragwortrelay/detail/host/duties.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Reporting::LogLine;
using Reporting::Severity;
using Store::FollowOutcome;

Store::Follower &followerOf(State &state, CallPurpose purpose)
{
    return purpose == CallPurpose::FollowConfiguration ? state.m_configurationFollower : state.m_serverFollower;
}

std::string reasonOf(const Store::Result &result)
{
    if (const auto *refused = std::get_if<Store::Refused>(&result)) {
        return refused->m_reason;
    }
    const auto *unanswered = std::get_if<Store::Unanswered>(&result);
    return unanswered == nullptr ? "unexpected answer" : unanswered->m_reason;
}

/// Brings a configuration in force unless it is older than the one that is.
void takeConfiguration(State &state, TimePoint now, Actions &actions)
{
    auto catalogue = state.m_source.m_readCatalogue(state.m_configurationFollower.m_rows);
    if (!catalogue) {
        log(actions,
            LogLine("configuration-unreadable", Severity::Error).with("error", toString(catalogue.error().m_id)).with("detail", catalogue.error().m_message));
        return;
    }
    const std::uint64_t version = state.m_catalogue ? state.m_catalogue->m_version : 0;
    if (catalogue->m_version <= version) {
        return;
    }
    log(actions,
        LogLine("configuration-in-force")
            .with("version", static_cast<std::int64_t>(catalogue->m_version))
            .with("before", static_cast<std::int64_t>(version))
            .with("routes", static_cast<std::int64_t>(catalogue->m_routes.size()))
            .with("workspaces", static_cast<std::int64_t>(catalogue->m_workspaces.size())));
    state.m_catalogue = std::make_shared<const Configuration::Catalogue>(std::move(*catalogue));
    Scheduling::setLimits(state.m_scheduler, *state.m_catalogue, now);
    if (state.m_catalogue->m_callerLimits) {
        actions.emplace_back(SetCallerLimits{*state.m_catalogue->m_callerLimits});
    }
}

void logDirectoryChange(const Scheduling::ServerBook &book, const Configuration::ServerDirectory &directory, Actions &actions)
{
    for (const auto &[id, server] : directory.m_servers) {
        const auto known = book.m_servers.find(id);
        const bool isNew = known == book.m_servers.end();
        if (isNew || known->second.m_server.m_use != server.m_use || known->second.m_server.m_incarnation != server.m_incarnation) {
            const char *use = server.m_use == Configuration::ServerUse::Active ? "active" : "leaving";
            log(actions, LogLine("server-listed").with("server", id.text()).with("service", server.m_service.text()).with("use", use));
        }
    }
    for (const auto &[id, known] : book.m_servers) {
        if (!directory.m_servers.contains(id)) {
            log(actions, LogLine("server-gone").with("server", id.text()).with("service", known.m_server.m_service.text()));
        }
    }
}

void takeServers(State &state, TimePoint now, Actions &actions)
{
    Findings findings;
    const Configuration::ServerDirectory directory = state.m_source.m_readServers(state.m_serverFollower.m_rows, findings);
    for (const Finding &finding : findings) {
        log(actions, LogLine("server-unreadable", Severity::Warning).with("finding", toString(finding)));
    }
    logDirectoryChange(state.m_scheduler.m_book, directory, actions);
    for (const ServerId &replaced : Scheduling::setServers(state.m_scheduler.m_book, directory, now)) {
        actions.emplace_back(DropConnections{replaced});
    }
}

void noteOutcome(State &state, CallPurpose purpose, FollowOutcome outcome, const Store::Result &result, TimePoint now, Actions &actions)
{
    const Store::Follower &follower = followerOf(state, purpose);
    if (outcome == FollowOutcome::Failed) {
        Reporting::count(state.m_counters, "store_calls_failed");
        if (follower.m_failures == 1) {
            log(actions, LogLine("store-lost", Severity::Warning).with("table", follower.m_table).with("reason", reasonOf(result)));
        }
    } else if (outcome == FollowOutcome::Changed) {
        purpose == CallPurpose::FollowConfiguration ? takeConfiguration(state, now, actions) : takeServers(state, now, actions);
    }
}

}

void onStoreAnswered(State &state, const StoreAnswered &answer, TimePoint now, Actions &actions)
{
    const auto call = state.m_calls.find(answer.m_call);
    if (call == state.m_calls.end()) {
        return;
    }
    const CallPurpose purpose = call->second;
    state.m_calls.erase(call);
    Store::Follower &follower = followerOf(state, purpose);
    const std::uint32_t failuresBefore = follower.m_failures;
    const FollowOutcome outcome = Store::takeAnswer(follower, answer.m_result, state.m_storeClock, now);
    if (failuresBefore > 0 && follower.m_failures == 0) {
        log(actions, LogLine("store-regained").with("table", follower.m_table).with("failures", failuresBefore));
    }
    noteOutcome(state, purpose, outcome, answer.m_result, now, actions);
}

void callStore(State &state, TimePoint now, Actions &actions)
{
    for (const CallPurpose purpose : {CallPurpose::FollowConfiguration, CallPurpose::FollowServers}) {
        auto call = Store::nextCall(followerOf(state, purpose), now);
        if (call) {
            const StoreCallId id = ++state.m_lastCall;
            state.m_calls.emplace(id, purpose);
            Reporting::count(state.m_counters, "store_calls");
            actions.emplace_back(CallStore{id, std::move(*call)});
        }
    }
}

std::optional<Duration> configurationAge(const State &state, TimePoint now)
{
    const auto &confirmedAt = state.m_configurationFollower.m_confirmedAt;
    return state.m_catalogue && confirmedAt ? std::optional(now - *confirmedAt) : std::nullopt;
}

bool mayServeWorkspaces(const State &state, TimePoint now)
{
    const auto age = configurationAge(state, now);
    return age && *age <= state.m_settings.m_keyFreshness;
}

}
