#include <ragwortrelay/detail/host/handlers.h>
#include <ragwortrelay/http/status.h>

#include <cstdio>

namespace RagwortRelay::Host::detail {

namespace {

using Reporting::Quality;

constexpr const char *LevelTableName = "ragwortrelay-levels";
constexpr Duration StoreInterval = std::chrono::minutes(1);
constexpr std::int64_t HoursOnHost = 2; ///< Hours kept in memory; older ones are only in the store.
constexpr std::int64_t HoursInReport = 73;

std::string hourText(std::int64_t hour)
{
    char text[32];
    std::snprintf(text, sizeof text, "%010lld", static_cast<long long>(hour));
    return text;
}

std::vector<Reporting::Objective> objectivesOf(const State &state)
{
    std::vector<Reporting::Objective> objectives;
    if (state.m_catalogue) {
        for (const auto &[id, service] : state.m_catalogue->m_services) {
            objectives.push_back({id, service.m_objective, service.m_latencyObjective});
        }
    }
    return objectives;
}

std::string ownSuffix(const State &state)
{
    return '/' + state.m_settings.m_host.text() + '/' + std::to_string(state.m_incarnation);
}

void readRecords(State &state, Operators::CommandId call, const std::string &from, Actions &actions)
{
    constexpr std::uint32_t MaxRowsPerRead = 200;
    startCall(state, {CallPurpose::ReadLevels, {}, call}, Store::ReadRows{LevelTableName, {}, from, {}, MaxRowsPerRead}, actions);
}

void finishReport(State &state, Operators::CommandId call, bool isComplete, Actions &actions)
{
    ServiceLevelState &levels = state.m_levels;
    const PendingReport &pending = levels.m_reports[call];
    Reporting::BurnReport report = Reporting::makeBurnReport(pending.m_levels, objectivesOf(state), levels.m_wallClock);
    report.m_complete = isComplete;
    report.m_records = pending.m_records;
    levels.m_reports.erase(call);
    actions.emplace_back(ReplyToOperator{call, Operators::BurnShown{report}});
}

}

void recordResponse(State &state, const ServiceId &service, std::uint16_t status, Duration latency)
{
    const auto known = state.m_catalogue ? state.m_catalogue->m_services.find(service) : decltype(state.m_catalogue->m_services.find(service))();
    const bool isKnown = state.m_catalogue && known != state.m_catalogue->m_services.end();
    const bool isSlow = isKnown && latency > known->second.m_latencyObjective;
    const Quality quality = status >= Http::Status::InternalServerError ? Quality::Failed : (isSlow ? Quality::Slow : Quality::Good);
    Reporting::recordRequest(state.m_levels.m_levels, service, quality, latency, state.m_levels.m_wallClock);
}

void storeLevels(State &state, TimePoint now, Actions &actions)
{
    ServiceLevelState &levels = state.m_levels;
    const bool isDue = !levels.m_storedAt || now - *levels.m_storedAt >= StoreInterval;
    if (!state.m_settings.m_storesServiceLevels || !isDue || levels.m_isStoring || levels.m_levels.m_hours.empty()) {
        return;
    }
    Reporting::forgetOldHours(levels.m_levels, levels.m_wallClock, HoursOnHost);
    if (levels.m_storedHour == 0) {
        levels.m_storedHour = levels.m_wallClock / Reporting::SecondsPerHour;
    }
    levels.m_storedAt = now;
    levels.m_isStoring = true;
    const Store::RowKey key{LevelTableName, {}, hourText(levels.m_storedHour) + ownSuffix(state)};
    Store::Transaction transaction;
    transaction.m_writes.push_back({key, Reporting::encodeLevels(Reporting::levelsOfHour(levels.m_levels, levels.m_storedHour))});
    startCall(state, {CallPurpose::StoreLevels, {}, 0}, transaction, actions);
}

void onLevelsStored(State &state, const Store::Result &result)
{
    ServiceLevelState &levels = state.m_levels;
    levels.m_isStoring = false;
    const std::int64_t hour = levels.m_wallClock / Reporting::SecondsPerHour;
    if (std::holds_alternative<Store::Committed>(result) && levels.m_storedHour < hour) {
        levels.m_storedHour = hour;
    }
}

void startBurnReport(State &state, Operators::CommandId call, Actions &actions)
{
    state.m_levels.m_reports[call] = {state.m_levels.m_levels, 1};
    const std::int64_t hour = state.m_levels.m_wallClock / Reporting::SecondsPerHour;
    readRecords(state, call, hourText(hour - HoursInReport), actions);
}

void onLevelsRead(State &state, Operators::CommandId call, const Store::Result &result, Actions &actions)
{
    const auto *read = std::get_if<Store::RowsRead>(&result);
    if (read == nullptr) {
        return finishReport(state, call, false, actions);
    }
    PendingReport &pending = state.m_levels.m_reports[call];
    const std::int64_t oldestOnHost = state.m_levels.m_wallClock / Reporting::SecondsPerHour - HoursOnHost;
    for (const Store::Row &row : read->m_rows) {
        // The report already has more recent values for the latest hours of this host.
        const bool isOwn = row.m_key.m_name.ends_with(ownSuffix(state)) && row.m_key.m_name >= hourText(oldestOnHost);
        if (!isOwn) {
            Reporting::mergeLevels(pending.m_levels, Reporting::decodeLevels(row.m_value));
            ++pending.m_records;
        }
    }
    if (read->m_hasMore && !read->m_rows.empty()) {
        return readRecords(state, call, read->m_rows.back().m_key.m_name + '!', actions); // Sorts directly after the last name that was read.
    }
    finishReport(state, call, true, actions);
}

}
