#include <ragwortrelay/configuration/storedtable.h>
#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>
#include <cctype>

namespace RagwortRelay::Host::detail {

namespace {

using Configuration::EditTable;
using Fleet::TableKind;
using Reporting::LogLine;

constexpr std::size_t MostEdits = 1000; ///< At a time.
constexpr std::size_t LongestChangeId = 64; ///< Characters.
constexpr Duration RetryInterval = std::chrono::milliseconds(250);

/// Between two looks at whether an edit is in force.
constexpr Duration SpreadInterval = std::chrono::milliseconds(20);

/// For so long an edit waits on a host that hasn't found most of the others yet, when it or one of them has just started.
constexpr Duration PatienceForMost = std::chrono::seconds(3);

/// For so long an edit that refers to a row which this host doesn't know waits for changes of the row.
constexpr Duration PatienceForRows = std::chrono::seconds(1);

bool isChangeId(const std::string &text)
{
    const auto allowed = [](unsigned char letter) { return std::isalnum(letter) != 0 || letter == '-' || letter == '_'; };
    return !text.empty() && text.size() <= LongestChangeId && std::ranges::all_of(text, allowed);
}

void response(Actions &actions, Operators::CommandId call, Operators::Reply reply)
{
    actions.emplace_back(ReplyToOperator{call, std::move(reply)});
}

void answerEdit(State &state, Operators::CommandId call, const EditTable &edit, const Operators::Reply &reply, Actions &actions)
{
    const auto *done = std::get_if<Operators::EditCommitted>(&reply);
    log(actions,
        LogLine("edit-answered")
            .with("change", edit.m_changeId)
            .with("author", edit.m_author)
            .with("rows", static_cast<std::int64_t>(edit.m_rows.size()))
            .with("version", done == nullptr ? 0 : static_cast<std::int64_t>(done->m_version)));
    state.m_edits.erase(call);
    response(actions, call, reply);
}

/// Returns what is wrong with an edit whatever the table holds.
Findings findingsOfForm(const EditTable &edit)
{
    Findings findings;
    if (!isChangeId(edit.m_changeId)) {
        findings.push_back({{"edit", 0, 0}, ErrorId::TableUnreadable, "the change id must have 1 to 64 letters, digits, '-' or '_'"});
    }
    if (edit.m_rows.size() > Configuration::MaxRowsPerEdit) {
        const std::string most = std::to_string(Configuration::MaxRowsPerEdit);
        findings.push_back({{"edit", 0, 0}, ErrorId::TableUnreadable, "an edit writes " + most + " rows at most"});
    }
    return findings;
}

/// Answers a durable edit once it is in force on most hosts and on all that the leader hears.
void awaitSpread(State &state, Operators::CommandId call, TimePoint now, Actions &actions)
{
    RunningEdit &running = state.m_edits.at(call);
    const bool isInForce = tableOf(state, TableKind::Configuration).m_replica.m_changed >= running.m_committed;
    if (isInForce && hasQuorum(state, now) && state.m_minConfigurationVersion >= running.m_committed) {
        const EditTable edit = running.m_edit;
        return answerEdit(state, call, edit, Operators::EditCommitted{running.m_committed}, actions);
    }
    Fleet::expediteHeartbeat(state.m_leadership, now); // Brings its newest word.
    running.m_retryAt = now + SpreadInterval;
}

/// Gives up an edit of a host that isn't in touch with most of the others, unless the hosts are just finding one another.
void awaitMost(State &state, Operators::CommandId call, TimePoint now, Actions &actions)
{
    RunningEdit &running = state.m_edits.at(call);
    const bool isSettling = !state.m_hasHadQuorum || now - state.m_membershipChangedAt < PatienceForMost;
    if (isSettling && now - running.m_arrivedAt < PatienceForMost) {
        running.m_retryAt = now + RetryInterval;
        return;
    }
    const EditTable edit = running.m_edit;
    answerEdit(state, call, edit, Operators::EditOutcomeUnknown{"this host isn't in touch with most of the hosts", false}, actions);
}

/// Checks an edit by the table as this host has it, and sends it to the store.
void tryEdit(State &state, Operators::CommandId call, TimePoint now, Actions &actions)
{
    RunningEdit &running = state.m_edits.at(call);
    running.m_retryAt.reset();
    if (running.m_committed > 0) {
        return awaitSpread(state, call, now, actions);
    }
    if (!hasQuorum(state, now) && !running.m_mayBeCommitted) {
        return awaitMost(state, call, now, actions);
    }
    const Findings findings = Configuration::checkChange(state.m_ownTable, {}, Configuration::changeOf(running.m_edit, 0));
    const bool mayBeNews = std::ranges::any_of(findings, [](const Finding &finding) { return finding.m_id == ErrorId::TableBrokenReference; });
    if (mayBeNews && now - running.m_arrivedAt < PatienceForRows) {
        running.m_retryAt = now + RetryInterval;
        return;
    }
    if (!findings.empty() && !running.m_mayBeCommitted) {
        const EditTable edit = running.m_edit;
        return answerEdit(state, call, edit, Operators::EditRejected{findings}, actions);
    }
    startCall(state, {CallPurpose::Edit, {}, call}, Configuration::transactionOf(running.m_edit), actions);
}

void startEdit(State &state, Operators::CommandId call, const EditTable &edit, TimePoint now, Actions &actions)
{
    const Findings findings = findingsOfForm(edit);
    if (!findings.empty()) {
        return response(actions, call, Operators::EditRejected{findings});
    }
    if (edit.m_rows.empty()) {
        return response(actions, call, Operators::EditCommitted{tableOf(state, TableKind::Configuration).m_replica.m_changed});
    }
    const bool isTaken = state.m_source.m_hasOwnTable && state.m_edits.size() < MostEdits;
    if (!isTaken) {
        const char *reason = state.m_source.m_hasOwnTable ? "too many edits wait on this host" : "the platform's operator writes the configuration";
        return response(actions, call, Operators::EditOutcomeUnknown{reason, false});
    }
    state.m_edits.emplace(call, RunningEdit{edit, now, 0, {}, false});
    tryEdit(state, call, now, actions);
}

Operators::RolloutShown spreadOf(const State &state, std::uint64_t version)
{
    Operators::RolloutShown spread;
    spread.m_version = version;
    spread.m_isInForce = state.m_catalogue && tableOf(state, TableKind::Configuration).m_replica.m_changed >= version;
    spread.m_minConfigurationVersion = state.m_minConfigurationVersion;
    spread.m_reachableHosts = state.m_reachableHosts;
    spread.m_hosts = static_cast<std::uint32_t>(std::max<std::size_t>(1, state.m_membership.size()));
    return spread;
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
        shown.m_unhealthyProbability = Health::unhealthyProbability(settings, known.m_suspicion, state.m_settings.m_host, state.m_settings.m_domain, now);
        shown.m_running = static_cast<std::uint32_t>(known.m_running.size());
        servers.push_back(std::move(shown));
    }
    return servers;
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
    status.m_rollout = spreadOf(state, status.m_version);
    status.m_servers = serversOf(state, now);
    return status;
}

}

void onOperatorCommand(State &state, const OperatorCommandReceived &asked, TimePoint now, Actions &actions)
{
    if (const auto *edit = std::get_if<EditTable>(&asked.m_command)) {
        return startEdit(state, asked.m_call, *edit, now, actions);
    }
    if (const auto *spread = std::get_if<Operators::ShowRollout>(&asked.m_command)) {
        Fleet::expediteHeartbeat(state.m_leadership, now); // Brings its newest word for the next question.
        return response(actions, asked.m_call, spreadOf(state, spread->m_version));
    }
    if (std::holds_alternative<Operators::ShowTable>(asked.m_command)) {
        return response(actions, asked.m_call, Operators::TableShown{state.m_ownTable});
    }
    if (std::holds_alternative<Operators::ShowBurn>(asked.m_command)) {
        return startBurnReport(state, asked.m_call, actions);
    }
    response(actions, asked.m_call, statusOf(state, now));
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
        return awaitSpread(state, call, now, actions);
    }
    if (const auto *conflict = std::get_if<Store::Conflict>(&result)) {
        const Configuration::ConflictDetails view = Configuration::readConflict(edit, *conflict);
        if (view.m_isAlreadyApplied) {
            running.m_committed = view.m_version;
            running.m_mayBeCommitted = true;
            return awaitSpread(state, call, now, actions);
        }
        return answerEdit(state, call, edit, Operators::EditConflict{view.m_stored}, actions);
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
            const Operators::EditOutcomeUnknown unresolved{reason, running.m_mayBeCommitted};
            answerEdit(state, call, running.m_edit, unresolved, actions);
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
