#include <ragwortrelay/configuration/storedtable.h>
#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Fleet::TableKind;
using Reporting::LogLine;
using Reporting::Severity;
using Store::WatchOutcome;

constexpr std::array<TableKind, Fleet::TableKinds> AllTables{TableKind::Configuration, TableKind::Servers, TableKind::Hosts};

std::string reasonOf(const Store::Result &result)
{
    if (const auto *refused = std::get_if<Store::Refused>(&result)) {
        return refused->m_reason;
    }
    const auto *noResponse = std::get_if<Store::NoResponse>(&result);
    return noResponse == nullptr ? "unexpected response" : noResponse->m_reason;
}

/// Returns the catalogue to change: the one in force, or a copy of it while requests hold it.
std::shared_ptr<Configuration::Catalogue> catalogueToChange(const State &state)
{
    if (!state.m_catalogue) {
        return std::make_shared<Configuration::Catalogue>();
    }
    const bool isShared = state.m_catalogue.use_count() > 1;
    return isShared ? std::make_shared<Configuration::Catalogue>(*state.m_catalogue) : state.m_catalogue;
}

/// Applies the changes of the catalogue to the scheduler. Linear in the number of changed rows where the source can tell which workspace a row describes.
void updateScheduler(State &state, const ChangedRows &changed, TimePoint now)
{
    if (state.m_source.m_workspaceOf == nullptr) {
        return Scheduling::setCatalogue(state.m_scheduler, *state.m_catalogue, now);
    }
    for (const Store::Row *row : changed) {
        if (const auto workspace = state.m_source.m_workspaceOf(row->m_key.m_name)) {
            Scheduling::setWorkspace(state.m_scheduler, *state.m_catalogue, *workspace, now);
        }
    }
    Scheduling::setServices(state.m_scheduler, *state.m_catalogue);
}

/// Returns the failure domains that rows of the configuration evacuate. Reads the whole replica rather than its changes, so that a row counts in whichever
/// order it became known.
std::set<FailureDomainId> evacuatedDomains(const Fleet::TableReplica &table, const std::string &prefix)
{
    std::set<FailureDomainId> domains;
    for (auto row = table.m_rows.lower_bound(prefix); row != table.m_rows.end() && row->first.starts_with(prefix); ++row) {
        if (!row->second.m_erased && row->first.size() > prefix.size()) {
            domains.insert(FailureDomainId(row->first.substr(prefix.size())));
        }
    }
    return domains;
}

LogLine evacuationLine(const State &state, const char *event, const FailureDomainId &domain)
{
    const auto isInDomain = [&](const auto &entry) { return entry.second.m_server.m_domain == domain; };
    const auto servers = std::ranges::count_if(state.m_scheduler.m_registry.m_servers, isInDomain);
    return LogLine(event)
        .with("domain", domain.text())
        .with("servers", static_cast<std::int64_t>(servers))
        .with("table_version", static_cast<std::int64_t>(tableOf(state, TableKind::Configuration).m_replica.m_changed));
}

/// Applies the evacuations of failure domains. They don't depend on whether the configuration in the same table is readable or newer.
void applyEvacuations(State &state, TimePoint now, Actions &actions)
{
    if (state.m_source.m_evacuationPrefix.empty()) {
        return;
    }
    const std::set<FailureDomainId> before = state.m_scheduler.m_registry.m_evacuatedDomains;
    const std::set<FailureDomainId> after = evacuatedDomains(tableOf(state, TableKind::Configuration).m_replica, state.m_source.m_evacuationPrefix);
    if (after == before) {
        return;
    }
    Scheduling::setEvacuatedDomains(state.m_scheduler.m_registry, after, now);
    for (const FailureDomainId &domain : after) {
        if (!before.contains(domain)) {
            log(actions, evacuationLine(state, "domain-evacuated", domain));
        }
    }
    for (const FailureDomainId &domain : before) {
        if (!after.contains(domain)) {
            log(actions, evacuationLine(state, "domain-restored", domain));
        }
    }
}

/// Applies the changes of the configuration unless they are older than the configuration in force.
void applyConfiguration(State &state, TimePoint now, Actions &actions)
{
    ReplicatedTable &table = tableOf(state, TableKind::Configuration);
    Fleet::TableChanges changes = Fleet::takeChanges(table.m_replica);
    ChangedRows &rows = changes.m_rows;
    const bool isEraChanged = table.m_appliedVersion > 0 && Store::eraOf(table.m_replica.m_changed) > Store::eraOf(table.m_appliedVersion);
    table.m_appliedVersion = table.m_replica.m_changed;
    applyEvacuations(state, now, actions);
    if (state.m_source.m_hasOperatorTable) {
        if (isEraChanged) {
            reportLostRows(state, rows, actions);
        }
        dropWithdrawnKeys(state, rows, isEraChanged, actions);
        Configuration::updateTable(state.m_operatorTable, rows);
    }
    const std::int64_t before = configurationVersion(state);
    const auto catalogue = catalogueToChange(state);
    const auto changed = state.m_source.m_updateCatalogue(*catalogue, rows);
    if (!changed) {
        log(actions,
            LogLine("configuration-unreadable", Severity::Error).with("error", toString(changed.error().m_id)).with("detail", changed.error().m_message));
        return;
    }
    if (!*changed) {
        return;
    }
    if (state.m_source.m_hasOperatorTable) {
        catalogue->m_version = table.m_appliedVersion; // Single rows may be newer than the table.
    }
    log(actions,
        LogLine("configuration-in-force")
            .with("version", static_cast<std::int64_t>(catalogue->m_version))
            .with("before", before)
            .with("routes", static_cast<std::int64_t>(catalogue->m_routes.size()))
            .with("workspaces", static_cast<std::int64_t>(catalogue->m_workspaces.size())));
    state.m_catalogue = catalogue;
    updateScheduler(state, rows, now);
    if (state.m_catalogue->m_callerLimits) {
        actions.emplace_back(SetCallerLimits{*state.m_catalogue->m_callerLimits});
    }
}

void logServerChange(const Scheduling::ServerRegistry &registry, const Configuration::Server &server, Actions &actions)
{
    const auto existing = registry.m_servers.find(server.m_id);
    const bool isNew = existing == registry.m_servers.end();
    const bool isChanged = isNew || existing->second.m_server.m_use != server.m_use || existing->second.m_server.m_incarnation != server.m_incarnation;
    if (isChanged || existing->second.m_server.m_address != server.m_address) {
        const char *use = server.m_use == Configuration::ServerUse::Active ? "active" : "leaving";
        log(actions,
            LogLine("server-listed")
                .with("server", server.m_id.text())
                .with("service", server.m_service.text())
                .with("address", server.m_address)
                .with("use", use));
    }
}

/// Applies the row of a server. A row that can't be parsed removes the server, as an erased row does.
void applyServerRow(State &state, const ServerId &id, const Store::Row &row, TimePoint now, Actions &actions)
{
    Scheduling::ServerRegistry &registry = state.m_scheduler.m_registry;
    const auto server = row.m_erased ? tl::unexpected(Error{}) : state.m_source.m_parseServer(row);
    if (server) {
        logServerChange(registry, *server, actions);
        const auto known = registry.m_servers.find(id);
        const bool wasCold = known != registry.m_servers.end() && Scheduling::isCold(known->second, now);
        if (Scheduling::setServer(registry, *server, now)) {
            actions.emplace_back(CloseIdleConnections{id});
        }
        if (!wasCold && Scheduling::isCold(registry.m_servers.at(id), now)) {
            log(actions,
                LogLine("server-cold").with("server", id.text()).with("service", server->m_service.text()).with("warmup_us", server->m_warmupLeft.count()));
        }
        return;
    }
    if (!row.m_erased) {
        log(actions, LogLine("server-unreadable", Severity::Warning).with("server", id.text()).with("detail", server.error().m_message));
    }
    if (Scheduling::eraseServer(registry, id)) {
        log(actions, LogLine("server-gone").with("server", id.text()));
        actions.emplace_back(CloseIdleConnections{id});
    }
}

void applyServerRows(State &state, TimePoint now, Actions &actions)
{
    ReplicatedTable &table = tableOf(state, TableKind::Servers);
    const Fleet::TableChanges changes = Fleet::takeChanges(table.m_replica);
    table.m_appliedVersion = table.m_replica.m_changed;
    for (const Store::Row *row : changes.m_rows) {
        const auto id = state.m_source.m_serverIdOf(row->m_key.m_name);
        if (id) {
            applyServerRow(state, *id, *row, now, actions);
        }
    }
}

std::optional<Duration> confirmationAge(const Fleet::TableReplica &table, TimePoint now)
{
    return table.m_confirmedAt ? std::optional(now - *table.m_confirmedAt) : std::nullopt;
}

/// Returns whether this host has just started and has found neither a leader nor followers yet.
bool isSearchingLeader(const State &state, TimePoint now)
{
    constexpr Duration SearchTimeout = std::chrono::milliseconds(1200);
    const bool knowsNoHosts = !state.m_leadership.m_acknowledgedAt && state.m_leadership.m_followers.empty();
    return knowsNoHosts && !state.m_settings.m_peerAddress.empty() && now - state.m_startedAt.value_or(now) < SearchTimeout;
}

/// Returns the age of a table at which this host watches it itself.
Duration staleAgeOf(const State &state, TableKind kind)
{
    const FreshnessSettings &freshness = state.m_settings.m_freshness;
    return (kind == TableKind::Hosts ? freshness.m_staleHostsAge : freshness.m_staleAge) + state.m_staleDelay;
}

/// Returns whether this host has to watch a table in the store, as no other host keeps it up to date.
bool mustWatch(const State &state, TableKind kind, TimePoint now)
{
    const auto age = confirmationAge(tableOf(state, kind).m_replica, now);
    if (age && isSearchingLeader(state, now)) {
        return kind == TableKind::Hosts && Fleet::isLeader(state.m_leadership); // No other host is known yet.
    }
    return !age || Fleet::isLeader(state.m_leadership) || state.m_leadership.m_isStoreReader || *age > staleAgeOf(state, kind);
}

/// Returns whether the leader can send what this host lacks. A leader that has read the table in full doesn't know which rows were erased before.
bool canFollow(const Fleet::TableReplica &table, const Fleet::ReplicaPosition &leader)
{
    return table.m_version >= leader.m_compactedVersion || Fleet::holdsSameRows(table, leader);
}

/// Starts or stops watching a table.
/// A host that began to watch because its table was too old goes on until the table of its leader is fresh again. A host that has just started
/// reads each table once, and stops if it finds its leader soon.
void updateWatching(State &state, ReplicatedTable &table, TableKind kind, TimePoint now)
{
    const bool mustBeWatched = mustWatch(state, kind, now);
    if (mustBeWatched && !table.m_isWatched) {
        table.m_isWatched = true;
        table.m_watcher.m_nextAt = std::max(table.m_watcher.m_nextAt, now);
        table.m_watcher.m_asksAtOnce = true;
        Fleet::resume(table.m_watcher, table.m_replica);
        return;
    }
    const FreshnessSettings &freshness = state.m_settings.m_freshness;
    const Duration freshAge = kind == TableKind::Hosts ? freshness.m_staleHostsAge / 2 : freshness.m_leaderFreshAge;
    const bool isLeaderFresh = state.m_leadership.m_acknowledgedAt && table.m_leaderPosition.m_version > 0 && table.m_leaderPosition.m_age < freshAge
        && canFollow(table.m_replica, table.m_leaderPosition);
    if (!mustBeWatched && table.m_isWatched && !table.m_watcher.m_isRunning && (isLeaderFresh || isSearchingLeader(state, now))) {
        table.m_isWatched = false;
    }
}

/// Returns the table that is called while calls to the store fail, to detect its recovery; nothing while no call fails.
std::optional<TableKind> probeTable(const State &state)
{
    std::optional<TableKind> probe;
    for (const TableKind kind : AllTables) {
        const ReplicatedTable &table = tableOf(state, kind);
        if (!table.m_isWatched || table.m_watcher.m_failures == 0) {
            continue;
        }
        if (table.m_watcher.m_isRunning) {
            return kind;
        }
        if (!probe || table.m_watcher.m_nextAt < tableOf(state, *probe).m_watcher.m_nextAt) {
            probe = kind;
        }
    }
    return probe;
}

/// Returns whether a table may be called. While calls to the store fail, only one table is called and the others wait for its success.
bool canCall(const State &state, TableKind kind)
{
    const ReplicatedTable &table = tableOf(state, kind);
    return table.m_isWatched && (table.m_watcher.m_failures == 0 || probeTable(state) == kind);
}

/// Applies the backoff of a failed call to the other tables whose calls fail, or makes the calls of all tables due when the store has recovered.
void alignOtherWatchers(State &state, const Store::TableWatcher &watcher, std::uint32_t failuresBefore, TimePoint now)
{
    for (ReplicatedTable &table : state.m_tables) {
        Store::TableWatcher &other = table.m_watcher;
        if (watcher.m_failures > 0 && other.m_failures > 0) {
            other.m_backoff = std::max(other.m_backoff, watcher.m_backoff);
            other.m_nextAt = std::max(other.m_nextAt, watcher.m_nextAt);
        } else if (failuresBefore > 0 && watcher.m_failures == 0) {
            other.m_nextAt = std::min(other.m_nextAt, now);
        }
    }
}

void recordOutcome(State &state, ReplicatedTable &table, std::uint32_t failuresBefore, const Store::Result &result, Actions &actions)
{
    const Store::TableWatcher &watcher = table.m_watcher;
    if (watcher.m_failures > 0) {
        Reporting::count(state.m_counters, "store_calls_failed");
    }
    if (failuresBefore == 0 && watcher.m_failures == 1) {
        log(actions, LogLine("store-lost", Severity::Warning).with("table", watcher.m_table).with("reason", reasonOf(result)));
    }
    if (failuresBefore > 0 && watcher.m_failures == 0) {
        log(actions, LogLine("store-regained").with("table", watcher.m_table).with("failures", failuresBefore));
    }
}

void onTableWatched(State &state, TableKind kind, const Store::Result &result, TimePoint now, Actions &actions)
{
    ReplicatedTable &table = tableOf(state, kind);
    const std::uint32_t failuresBefore = table.m_watcher.m_failures;
    const WatchOutcome outcome = Store::applyResponse(table.m_watcher, result, state.m_storeClock, now);
    recordOutcome(state, table, failuresBefore, result, actions);
    alignOtherWatchers(state, table.m_watcher, failuresBefore, now);
    if (Fleet::applyStoreUpdate(table.m_replica, table.m_watcher, outcome)) {
        onTableChanged(state, kind, now, actions);
        propagateChanges(state, kind, now);
    }
    const bool isEmptyTable = kind == TableKind::Configuration && state.m_source.m_hasOperatorTable && !state.m_catalogue && table.m_replica.m_confirmedAt;
    if (isEmptyTable) {
        applyConfiguration(state, now, actions); // The table has no rows yet.
    }
    const bool hasJustFailed = failuresBefore == 0 && table.m_watcher.m_failures > 0;
    sendConfirmation(state, hasJustFailed, now);
}

}

ReplicatedTable &tableOf(State &state, TableKind kind)
{
    return state.m_tables[static_cast<std::size_t>(kind)];
}

const ReplicatedTable &tableOf(const State &state, TableKind kind)
{
    return state.m_tables[static_cast<std::size_t>(kind)];
}

void onTableChanged(State &state, TableKind kind, TimePoint now, Actions &actions)
{
    switch (kind) {
    case TableKind::Configuration:
        return applyConfiguration(state, now, actions);
    case TableKind::Servers:
        return applyServerRows(state, now, actions);
    case TableKind::Hosts:
        return applyMembership(state, now, actions);
    }
}

void startCall(State &state, const RunningCall &running, Store::Call call, Actions &actions)
{
    const StoreCallId id = ++state.m_lastCall;
    state.m_calls.emplace(id, running);
    Reporting::count(state.m_counters, "store_calls");
    if (running.m_purpose == CallPurpose::Watch) {
        log(actions, LogLine("store-call", Severity::Debug).with("table", tableOf(state, running.m_table).m_watcher.m_table));
    }
    actions.emplace_back(CallStore{id, std::move(call)});
}

void onStoreResponded(State &state, const StoreResponded &response, TimePoint now, Actions &actions)
{
    const auto call = state.m_calls.find(response.m_call);
    if (call == state.m_calls.end()) {
        return;
    }
    const RunningCall running = call->second;
    state.m_calls.erase(call);
    if (const auto era = Store::eraOf(response.m_result)) {
        observeStoreEra(state, *era, now, actions);
    }
    switch (running.m_purpose) {
    case CallPurpose::Watch:
        return onTableWatched(state, running.m_table, response.m_result, now, actions);
    case CallPurpose::Register:
    case CallPurpose::Unregister:
        return onRegistrationCompleted(state, running.m_purpose, response.m_result, now, actions);
    case CallPurpose::Edit:
        return onEditCompleted(state, running.m_subject, response.m_result, now, actions);
    case CallPurpose::Claim:
        return onClaimCallCompleted(state, running.m_subject, response.m_result, now, actions);
    case CallPurpose::StoreLevels:
        return onLevelsStored(state, response.m_result);
    case CallPurpose::ReadLevels:
        return onLevelsRead(state, running.m_subject, response.m_result, actions);
    }
}

void callStore(State &state, TimePoint now, Actions &actions)
{
    for (const TableKind kind : AllTables) {
        updateWatching(state, tableOf(state, kind), kind, now);
    }
    for (const TableKind kind : AllTables) {
        ReplicatedTable &table = tableOf(state, kind);
        auto call = canCall(state, kind) ? Store::nextCall(table.m_watcher, now) : std::nullopt;
        if (call) {
            startCall(state, {CallPurpose::Watch, kind}, std::move(*call), actions);
        }
    }
}

TimePoint nextStoreCallAt(const State &state)
{
    TimePoint next = TimePoint::max();
    for (const TableKind kind : AllTables) {
        const ReplicatedTable &table = tableOf(state, kind);
        if (canCall(state, kind)) {
            next = std::min(next, Store::nextCallAt(table.m_watcher));
        } else if (!table.m_isWatched && table.m_replica.m_confirmedAt) {
            next = std::min(next, *table.m_replica.m_confirmedAt + staleAgeOf(state, kind) + Duration(1000));
        }
    }
    return next;
}

std::int64_t configurationVersion(const State &state)
{
    return state.m_catalogue ? static_cast<std::int64_t>(state.m_catalogue->m_version) : 0;
}

std::optional<Duration> configurationAge(const State &state, TimePoint now)
{
    return state.m_catalogue ? confirmationAge(tableOf(state, TableKind::Configuration).m_replica, now) : std::nullopt;
}

bool mayServeWorkspaces(const State &state, TimePoint now)
{
    const auto age = configurationAge(state, now);
    return (age && *age <= state.m_settings.m_freshness.m_maxAgeForWorkspaces) || hasQuorum(state, now);
}

bool canRejectUnknown(const State &state, TimePoint now)
{
    const auto age = configurationAge(state, now);
    return (age && *age <= state.m_settings.m_freshness.m_maxAgeForRejection) || hasQuorum(state, now);
}

}
