#include <ragwortrelay/configuration/storedform.h>
#include <ragwortrelay/detail/node/duties.h>

namespace RagwortRelay::Node::detail {

namespace {

/// Applies the changes of an answer in order; returns how many were new.
std::size_t applyChanges(Node &node, const Platform::ItemsRead &read)
{
    std::size_t applied = 0;
    for (const Platform::Item &item : read.m_items) {
        const auto change = Configuration::decodeChange(item.m_body);
        if (!change || !Configuration::applyChange(node.m_table, *change)) {
            break;
        }
        ++applied;
    }
    return applied;
}

void rebuildCatalogue(Node &node, TimePoint now, Actions &actions)
{
    Findings findings;
    node.m_catalogue = Configuration::buildCatalogue(node.m_table, findings);
    Balancing::noteCatalogue(node.m_balancer, node.m_settings.m_balancing, node.m_catalogue, now);
    actions.push_back(LogChange{"configuration version " + std::to_string(node.m_table.m_version) + " in force"});
}

void retryWaitingEdits(Node &node, Actions &actions)
{
    const auto edits = std::move(node.m_waitingEdits);
    node.m_waitingEdits.clear();
    for (const auto &[call, edit] : edits) {
        startEdit(node, call, edit, actions);
    }
}

/// Returns the stored rows that changed since the edit was made.
std::vector<Configuration::Row> conflictsOf(const Node &node, const EditTable &edit)
{
    std::vector<Configuration::Row> conflicts;
    for (const RowEdit &row : edit.m_rows) {
        const auto stored = node.m_table.m_rows.find(row.m_key);
        const bool exists = stored != node.m_table.m_rows.end();
        const std::uint64_t version = exists && !stored->second.m_erased ? stored->second.m_version : 0;
        if (version != row.m_baseVersion) {
            conflicts.push_back(exists ? stored->second : Configuration::Row{row.m_key, 0, {}, true});
        }
    }
    return conflicts;
}

Configuration::Change changeOf(const Node &node, const EditTable &edit)
{
    Configuration::Change change;
    change.m_version = node.m_table.m_version + 1;
    change.m_changeId = edit.m_changeId;
    change.m_author = edit.m_author;
    for (const RowEdit &row : edit.m_rows) {
        change.m_rows.push_back({row.m_key, change.m_version, row.m_cells, row.m_erase});
    }
    return change;
}

/// Returns what is wrong with the rows of a change.
Findings checkChange(const Configuration::Change &change)
{
    Configuration::Table table;
    for (const Configuration::Row &row : change.m_rows) {
        table.m_rows[row.m_key] = row;
    }
    Findings findings;
    Configuration::buildCatalogue(table, findings);
    return findings;
}

}

void pollConfiguration(Node &node, TimePoint now, Actions &actions)
{
    const bool isDue = !node.m_polledAt || now - *node.m_polledAt >= node.m_settings.m_pollInterval;
    if (node.m_pollRuns || !isDue) {
        return;
    }
    node.m_pollRuns = true;
    node.m_polledAt = now;
    callPlatform(node, Configuration::changesAfter(node.m_table.m_version), {PlatformPurpose::PollChanges, 0, {}, {}}, actions);
}

void onChangesRead(Node &node, const Platform::Result &result, TimePoint now, Actions &actions)
{
    node.m_pollRuns = false;
    const auto *read = std::get_if<Platform::ItemsRead>(&result);
    if (read == nullptr) {
        return;
    }
    if (applyChanges(node, *read) > 0) {
        rebuildCatalogue(node, now, actions);
    }
    if (read->m_more) {
        node.m_polledAt.reset();
        return pollConfiguration(node, now, actions);
    }
    retryWaitingEdits(node, actions);
}

void startEdit(Node &node, OperatorCallId call, const EditTable &edit, Actions &actions)
{
    const std::vector<Configuration::Row> conflicts = conflictsOf(node, edit);
    if (!conflicts.empty()) {
        actions.push_back(AnswerOperator{call, EditConflict{conflicts}});
        return;
    }
    const Configuration::Change change = changeOf(node, edit);
    const Findings findings = checkChange(change);
    if (!findings.empty()) {
        actions.push_back(AnswerOperator{call, EditRefused{findings}});
        return;
    }
    callPlatform(node, Configuration::appendTransaction(change), {PlatformPurpose::AppendChange, call, edit, change}, actions);
}

void onChangeAppended(Node &node, const PendingCall &call, const Platform::Result &result, TimePoint now, Actions &actions)
{
    if (std::holds_alternative<Platform::Written>(result)) {
        if (Configuration::applyChange(node.m_table, call.m_change)) {
            rebuildCatalogue(node, now, actions);
        }
        actions.push_back(AnswerOperator{call.m_operatorCall, EditDone{call.m_change.m_version}});
        return;
    }
    if (std::holds_alternative<Platform::Refused>(result)) {
        node.m_waitingEdits.emplace(call.m_operatorCall, call.m_edit);
        node.m_polledAt.reset();
        return pollConfiguration(node, now, actions);
    }
    const auto *unavailable = std::get_if<Platform::Unavailable>(&result);
    actions.push_back(AnswerOperator{call.m_operatorCall, EditUnresolved{unavailable != nullptr ? unavailable->m_reason : "unexpected answer"}});
}

}
