#include <ragwortrelay/configuration/storedtable.h>
#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>
#include <cctype>

namespace RagwortRelay::Host::detail {

namespace {

using Configuration::EditTable;
using Fleet::TableKind;
using Reporting::LogLine;

constexpr std::size_t MaxRunningEdits = 1000; ///< Edits that run at a time.
constexpr std::size_t MaxChangeIdLength = 64; ///< In characters.
constexpr Duration RetryInterval = std::chrono::milliseconds(250);

/// Interval between two checks whether an edit is in force.
constexpr Duration RolloutCheckInterval = std::chrono::milliseconds(20);

/// Time that an edit waits on a host that isn't in touch with most of the hosts yet because it or another one has just started.
constexpr Duration QuorumTimeout = std::chrono::seconds(3);

/// Time that an edit waits for a row that it refers to and that this host doesn't know yet.
constexpr Duration MissingRowTimeout = std::chrono::seconds(1);

bool isChangeId(const std::string &text)
{
    const auto allowed = [](unsigned char character) { return std::isalnum(character) != 0 || character == '-' || character == '_'; };
    return !text.empty() && text.size() <= MaxChangeIdLength && std::ranges::all_of(text, allowed);
}

void sendReply(Actions &actions, Operators::CommandId call, Operators::Reply reply)
{
    actions.emplace_back(ReplyToOperator{call, std::move(reply)});
}

void finishEdit(State &state, Operators::CommandId call, const EditTable &edit, const Operators::Reply &reply, Actions &actions)
{
    const auto *committed = std::get_if<Operators::EditCommitted>(&reply);
    log(actions,
        LogLine("edit-answered")
            .with("change", edit.m_changeId)
            .with("author", edit.m_author)
            .with("rows", static_cast<std::int64_t>(edit.m_rows.size()))
            .with("version", committed == nullptr ? 0 : static_cast<std::int64_t>(committed->m_version)));
    state.m_edits.erase(call);
    sendReply(actions, call, reply);
}

/// Returns the faults of an edit that are independent of the content of the table.
Findings checkForm(const EditTable &edit)
{
    Findings findings;
    if (!isChangeId(edit.m_changeId)) {
        findings.push_back({{"edit", 0, 0}, ErrorId::TableUnreadable, "the change id must have 1 to 64 letters, digits, '-' or '_'"});
    }
    if (edit.m_rows.size() > Configuration::MaxRowsPerEdit) {
        const std::string limit = std::to_string(Configuration::MaxRowsPerEdit);
        findings.push_back({{"edit", 0, 0}, ErrorId::TableUnreadable, "an edit writes " + limit + " rows at most"});
    }
    return findings;
}

/// Returns whether an edit expects a version of an earlier era, which may stand for another content of its row by now.
bool expectsEarlierEra(const State &state, const EditTable &edit)
{
    return std::ranges::any_of(edit.m_rows, [&](const Configuration::RowEdit &row) {
        return row.m_baseVersion > 0 && Store::eraOf(row.m_baseVersion) < state.m_storeEra.value_or(0);
    });
}

/// Answers an edit that expects versions of an earlier era with the present rows; nothing was written.
void refuseEarlierEra(State &state, Operators::CommandId call, TimePoint now, Actions &actions)
{
    RunningEdit &running = state.m_edits.at(call);
    if (!isOfStoreEra(state, tableOf(state, TableKind::Configuration).m_replica.m_version)) {
        running.m_retryAt = now + RetryInterval; // The table of the present era has yet to be read.
        return;
    }
    Operators::EditConflict conflict;
    for (const Configuration::RowEdit &row : running.m_edit.m_rows) {
        const auto stored = state.m_operatorTable.m_rows.find(row.m_key);
        const bool isPresent = stored != state.m_operatorTable.m_rows.end();
        conflict.m_storedRows.push_back(isPresent ? stored->second : Configuration::Row{row.m_key, 0, {}, true});
    }
    const EditTable edit = running.m_edit;
    finishEdit(state, call, edit, conflict, actions);
}

/// Replies to an edit of which a restore of the store may have taken the effect.
void finishAsRestored(State &state, Operators::CommandId call, Actions &actions)
{
    const EditTable edit = state.m_edits.at(call).m_edit;
    const Operators::EditOutcomeUnknown outcome{"the store was restored from an older copy meanwhile; look at the rows before you repeat the edit", true};
    finishEdit(state, call, edit, outcome, actions);
}

/// Replies to a durable edit once it is in force on most hosts and on all hosts that send heartbeats to the leader.
void awaitRollout(State &state, Operators::CommandId call, TimePoint now, Actions &actions)
{
    RunningEdit &running = state.m_edits.at(call);
    if (!isOfStoreEra(state, running.m_committed)) {
        return finishAsRestored(state, call, actions);
    }
    const bool isInForce = tableOf(state, TableKind::Configuration).m_replica.m_changed >= running.m_committed;
    if (isInForce && hasQuorum(state, now) && state.m_minConfigurationVersion >= running.m_committed) {
        const EditTable edit = running.m_edit;
        return finishEdit(state, call, edit, Operators::EditCommitted{running.m_committed}, actions);
    }
    Fleet::expediteHeartbeat(state.m_leadership, now); // Its reply brings the present state of the rollout.
    running.m_retryAt = now + RolloutCheckInterval;
}

/// Gives up an edit on a host that isn't in touch with most of the hosts, unless the fleet is still forming.
void awaitQuorum(State &state, Operators::CommandId call, TimePoint now, Actions &actions)
{
    RunningEdit &running = state.m_edits.at(call);
    const bool isForming = !state.m_hasHadQuorum || now - state.m_membershipChangedAt < QuorumTimeout;
    if (isForming && now - running.m_arrivedAt < QuorumTimeout) {
        running.m_retryAt = now + RetryInterval;
        return;
    }
    const EditTable edit = running.m_edit;
    finishEdit(state, call, edit, Operators::EditOutcomeUnknown{"this host isn't in touch with most of the hosts", false}, actions);
}

/// Checks an edit against this host's copy of the table and sends it to the store.
void tryEdit(State &state, Operators::CommandId call, TimePoint now, Actions &actions)
{
    RunningEdit &running = state.m_edits.at(call);
    running.m_retryAt.reset();
    if (running.m_committed > 0) {
        return awaitRollout(state, call, now, actions);
    }
    if (expectsEarlierEra(state, running.m_edit)) {
        return running.m_mayBeCommitted ? finishAsRestored(state, call, actions) : refuseEarlierEra(state, call, now, actions);
    }
    if (!hasQuorum(state, now) && !running.m_mayBeCommitted) {
        return awaitQuorum(state, call, now, actions);
    }
    const Findings findings = Configuration::checkChange(state.m_operatorTable, {}, Configuration::changeOf(running.m_edit, 0));
    const bool mayBeOutdated = std::ranges::any_of(findings, [](const Finding &finding) { return finding.m_id == ErrorId::TableBrokenReference; });
    if (mayBeOutdated && now - running.m_arrivedAt < MissingRowTimeout) {
        running.m_retryAt = now + RetryInterval;
        return;
    }
    if (!findings.empty() && !running.m_mayBeCommitted) {
        const EditTable edit = running.m_edit;
        return finishEdit(state, call, edit, Operators::EditRejected{findings}, actions);
    }
    startCall(state, {CallPurpose::Edit, {}, call}, Configuration::transactionOf(running.m_edit), actions);
}

void startEdit(State &state, Operators::CommandId call, const EditTable &edit, TimePoint now, Actions &actions)
{
    const Findings findings = checkForm(edit);
    if (!findings.empty()) {
        return sendReply(actions, call, Operators::EditRejected{findings});
    }
    if (edit.m_rows.empty()) {
        return sendReply(actions, call, Operators::EditCommitted{tableOf(state, TableKind::Configuration).m_replica.m_changed});
    }
    const bool isAccepted = state.m_source.m_hasOperatorTable && state.m_edits.size() < MaxRunningEdits;
    if (!isAccepted) {
        const char *reason = state.m_source.m_hasOperatorTable ? "too many edits wait on this host" : "the platform's operator writes the configuration";
        return sendReply(actions, call, Operators::EditOutcomeUnknown{reason, false});
    }
    state.m_edits.emplace(call, RunningEdit{edit, now, 0, {}, false});
    tryEdit(state, call, now, actions);
}

Operators::RolloutShown rolloutOf(const State &state, std::uint64_t version)
{
    Operators::RolloutShown rollout;
    rollout.m_version = version;
    rollout.m_isInForce = state.m_catalogue && isOfStoreEra(state, version) && tableOf(state, TableKind::Configuration).m_replica.m_changed >= version;
    rollout.m_minConfigurationVersion = state.m_minConfigurationVersion;
    rollout.m_reachableHosts = state.m_reachableHosts;
    rollout.m_hosts = static_cast<std::uint32_t>(std::max<std::size_t>(1, state.m_membership.size()));
    return rollout;
}

std::vector<Operators::ServerShown> serversOf(const State &state, TimePoint now)
{
    std::vector<Operators::ServerShown> servers;
    const Health::SuspicionSettings &settings = state.m_settings.m_scheduling.m_selection.m_suspicion;
    for (const auto &[id, known] : state.m_scheduler.m_registry.m_servers) {
        Operators::ServerShown shown;
        shown.m_server = id;
        shown.m_service = known.m_server.m_service;
        shown.m_isDraining = Scheduling::isDraining(known, now);
        shown.m_isEvacuated = known.m_isEvacuated;
        shown.m_unhealthyProbability = Health::unhealthyProbability(settings, known.m_suspicion, state.m_settings.m_host, state.m_settings.m_domain, now);
        shown.m_running = static_cast<std::uint32_t>(known.m_running.size());
        servers.push_back(std::move(shown));
    }
    return servers;
}

std::vector<Operators::EvacuationShown> evacuationsOf(const State &state)
{
    std::vector<Operators::EvacuationShown> evacuations;
    const Scheduling::ServerRegistry &registry = state.m_scheduler.m_registry;
    for (const FailureDomainId &domain : registry.m_evacuatedDomains) {
        Operators::EvacuationShown shown{domain, 0, 0};
        for (const auto &[id, known] : registry.m_servers) {
            const bool isInDomain = known.m_server.m_domain == domain;
            shown.m_servers += isInDomain ? 1 : 0;
            shown.m_running += isInDomain ? static_cast<std::uint32_t>(known.m_running.size()) : 0;
        }
        evacuations.push_back(std::move(shown));
    }
    return evacuations;
}

Operators::StatusShown statusOf(const State &state, TimePoint now)
{
    Operators::StatusShown status;
    status.m_host = state.m_settings.m_host.text();
    status.m_leader = state.m_leadership.m_leader.text();
    status.m_version = tableOf(state, TableKind::Configuration).m_replica.m_changed;
    status.m_age = configurationAge(state, now);
    status.m_ready = state.m_ready;
    status.m_requestsInFlight = state.m_exchanges.size();
    status.m_rollout = rolloutOf(state, status.m_version);
    status.m_evacuations = evacuationsOf(state);
    status.m_servers = serversOf(state, now);
    return status;
}

}

void onOperatorCommand(State &state, const OperatorCommandReceived &received, TimePoint now, Actions &actions)
{
    if (const auto *edit = std::get_if<EditTable>(&received.m_command)) {
        return startEdit(state, received.m_call, *edit, now, actions);
    }
    if (const auto *rollout = std::get_if<Operators::ShowRollout>(&received.m_command)) {
        Fleet::expediteHeartbeat(state.m_leadership, now); // Its reply brings the present state of the rollout for the next command.
        return sendReply(actions, received.m_call, rolloutOf(state, rollout->m_version));
    }
    if (std::holds_alternative<Operators::ShowTable>(received.m_command)) {
        return sendReply(actions, received.m_call, Operators::TableShown{state.m_operatorTable});
    }
    if (std::holds_alternative<Operators::ShowBurn>(received.m_command)) {
        return startBurnReport(state, received.m_call, actions);
    }
    if (const auto *explain = std::get_if<Operators::ExplainRequest>(&received.m_command)) {
        return sendReply(actions, received.m_call, explainRequest(state, received.m_call, *explain, now));
    }
    sendReply(actions, received.m_call, statusOf(state, now));
}

void onEditCompleted(State &state, Operators::CommandId call, const Store::Result &result, TimePoint now, Actions &actions)
{
    const auto found = state.m_edits.find(call);
    if (found == state.m_edits.end()) {
        return;
    }
    RunningEdit &running = found->second;
    const EditTable edit = running.m_edit;
    if (const auto *committed = std::get_if<Store::Committed>(&result)) {
        running.m_committed = committed->m_version;
        running.m_mayBeCommitted = true;
        if (expectsEarlierEra(state, edit)) {
            return finishAsRestored(state, call, actions); // The versions that it expected may have stood for other rows.
        }
        return awaitRollout(state, call, now, actions);
    }
    if (const auto *conflict = std::get_if<Store::Conflict>(&result)) {
        const Configuration::ConflictDetails details = Configuration::readConflict(edit, *conflict);
        if (details.m_isAlreadyApplied) {
            running.m_committed = details.m_version;
            running.m_mayBeCommitted = true;
            return awaitRollout(state, call, now, actions);
        }
        return finishEdit(state, call, edit, Operators::EditConflict{details.m_stored}, actions);
    }
    running.m_mayBeCommitted = running.m_mayBeCommitted || std::holds_alternative<Store::NoResponse>(result);
    running.m_retryAt = now + RetryInterval;
}

void tickEdits(State &state, TimePoint now, Actions &actions)
{
    std::vector<Operators::CommandId> due;
    for (const auto &[call, running] : state.m_edits) {
        if (running.m_retryAt && *running.m_retryAt <= now) {
            due.push_back(call);
        }
    }
    for (const Operators::CommandId call : due) {
        const RunningEdit running = state.m_edits.at(call);
        if (now - running.m_arrivedAt < state.m_settings.m_editLimit) {
            tryEdit(state, call, now, actions);
        } else {
            const char *reason = running.m_committed > 0 ? "the change is not known to be in force on most hosts" : "the store gave no usable answer in time";
            const Operators::EditOutcomeUnknown outcomeUnknown{reason, running.m_mayBeCommitted};
            finishEdit(state, call, running.m_edit, outcomeUnknown, actions);
        }
    }
}

TimePoint nextEditsAt(const State &state)
{
    TimePoint next = TimePoint::max();
    for (const auto &[call, running] : state.m_edits) {
        next = running.m_retryAt ? std::min(next, *running.m_retryAt) : next;
    }
    return next;
}

}
