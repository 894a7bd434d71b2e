#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/configuration/edit.h>

#include <algorithm>
#include <set>
#include <utility>

namespace RagwortRelay::Configuration {

namespace {

/// Returns the row that a row refers to, by kind and name; an empty name for none.
RowKey referenceOf(const Row &row)
{
    const bool toWorkspace = row.m_key.m_kind == RowKind::Key;
    const bool toService = row.m_key.m_kind == RowKind::Server || row.m_key.m_kind == RowKind::Route;
    if (!toWorkspace && !toService) {
        return {};
    }
    const auto cell = row.m_cells.find(toWorkspace ? "workspace" : "service");
    return {toWorkspace ? RowKind::Workspace : RowKind::Service, cell == row.m_cells.end() ? "" : cell->second};
}

/// A withdrawn key may outlive its workspace.
bool needsReference(const Row &row)
{
    const auto withdrawn = row.m_cells.find("withdrawn");
    return !row.m_erased && !(row.m_key.m_kind == RowKind::Key && withdrawn != row.m_cells.end() && withdrawn->second == "yes");
}

std::string nameOf(const RowKey &key)
{
    return toString(key.m_kind) + '/' + key.m_name;
}

void reportBroken(const Row &row, const RowKey &reference, Findings &findings)
{
    const std::string message = "refers to " + nameOf(reference) + ", which isn't in the table";
    findings.push_back({{nameOf(row.m_key), 0, 0}, ErrorId::TableBrokenReference, message});
}

void checkOwnReferences(const Table &table, const Overlay &overlay, const Change &change, Findings &findings)
{
    for (const Row &row : change.m_rows) {
        const RowKey reference = referenceOf(row);
        if (needsReference(row) && !reference.m_name.empty() && findRow(table, overlay, reference) == nullptr) {
            reportBroken(row, reference, findings);
        }
    }
}

/// Reports rows that refer to a row which the change erases.
void checkErased(const Table &table, const Overlay &overlay, const Change &change, Findings &findings)
{
    std::set<RowKey> erased;
    for (const Row &row : change.m_rows) {
        const bool isReferred = row.m_key.m_kind == RowKind::Service || row.m_key.m_kind == RowKind::Workspace;
        if (row.m_erased && isReferred) {
            erased.insert(row.m_key);
        }
    }
    if (erased.empty()) {
        return;
    }
    const auto check = [&](const Row &row) {
        if (needsReference(row) && erased.contains(referenceOf(row))) {
            reportBroken(row, referenceOf(row), findings);
        }
    };
    std::set<RowKey> written;
    for (const Row &row : change.m_rows) {
        written.insert(row.m_key);
    }
    for (const auto &[key, row] : table.m_rows) {
        if (!overlay.contains(key) && !written.contains(key)) {
            check(row);
        }
    }
    for (const auto &[key, row] : overlay) {
        if (!written.contains(key)) {
            check(row);
        }
    }
}

}

const Row *findRow(const Table &table, const Overlay &overlay, const RowKey &key)
{
    const auto changed = overlay.find(key);
    if (changed != overlay.end()) {
        return changed->second.m_erased ? nullptr : &changed->second;
    }
    const auto stored = table.m_rows.find(key);
    return stored == table.m_rows.end() || stored->second.m_erased ? nullptr : &stored->second;
}

std::vector<Row> conflictsOf(const Table &table, const Overlay &overlay, const EditTable &edit)
{
    std::vector<Row> conflicts;
    for (const RowEdit &wanted : edit.m_rows) {
        const Row *row = findRow(table, overlay, wanted.m_key);
        const std::uint64_t version = row == nullptr ? 0 : row->m_version;
        if (version != wanted.m_baseVersion) {
            conflicts.push_back(row == nullptr ? Row{wanted.m_key, 0, {}, true} : *row);
        }
    }
    return conflicts;
}

Change changeOf(const EditTable &edit, std::uint64_t version)
{
    Change change;
    change.m_version = version;
    change.m_changeId = edit.m_changeId;
    change.m_author = edit.m_author;
    for (const RowEdit &row : edit.m_rows) {
        change.m_rows.push_back({row.m_key, version, row.m_erase ? Cells{} : row.m_cells, row.m_erase});
    }
    return change;
}

Findings checkChange(const Table &table, const Overlay &overlay, const Change &change)
{
    Findings findings;
    Table written;
    Overlay after = overlay;
    for (const Row &row : change.m_rows) {
        if (!written.m_rows.emplace(row.m_key, row).second) {
            findings.push_back({{nameOf(row.m_key), 0, 0}, ErrorId::TableBadCell, "the row stands twice in the edit"});
        }
        if (row.m_key.m_name.empty()) {
            findings.push_back({{nameOf(row.m_key), 0, 0}, ErrorId::TableBadCell, "the row has no name"});
        }
        after.insert_or_assign(row.m_key, row);
    }
    buildCatalogue(written, findings);
    checkOwnReferences(table, after, change, findings);
    checkErased(table, overlay, change, findings);
    return findings;
}

}
