#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/configuration/edit.h>

#include <algorithm>
#include <set>
#include <utility>

namespace RagwortRelay::Configuration {

namespace {

/// Returns the key of the row that a row refers to; the name is empty if there is none.
RowKey referenceOf(const Row &row)
{
    const bool refersToWorkspace = row.m_key.m_kind == RowKind::Key;
    const bool refersToService = row.m_key.m_kind == RowKind::Server || row.m_key.m_kind == RowKind::Route;
    if (!refersToWorkspace && !refersToService) {
        return {};
    }
    const auto cell = row.m_cells.find(refersToWorkspace ? "workspace" : "service");
    return {refersToWorkspace ? RowKind::Workspace : RowKind::Service, cell == row.m_cells.end() ? "" : cell->second};
}

/// Tells whether the row that a row refers to must exist. The workspace of a withdrawn key may be erased.
bool mustResolveReference(const Row &row)
{
    const auto withdrawn = row.m_cells.find("withdrawn");
    return !row.m_erased && !(row.m_key.m_kind == RowKind::Key && withdrawn != row.m_cells.end() && withdrawn->second == "yes");
}

std::string nameOf(const RowKey &key)
{
    return toString(key.m_kind) + '/' + key.m_name;
}

void reportBrokenReference(const Row &row, const RowKey &reference, Findings &findings)
{
    const std::string message = "refers to " + nameOf(reference) + ", which isn't in the table";
    findings.push_back({{nameOf(row.m_key), 0, 0}, ErrorId::TableBrokenReference, message});
}

void checkReferencesOfWrittenRows(const Table &table, const Overlay &overlay, const Change &change, Findings &findings)
{
    for (const Row &row : change.m_rows) {
        const RowKey reference = referenceOf(row);
        if (mustResolveReference(row) && !reference.m_name.empty() && findRow(table, overlay, reference) == nullptr) {
            reportBrokenReference(row, reference, findings);
        }
    }
}

/// Reports rows outside the change that refer to a row which the change erases.
void checkReferencesToErasedRows(const Table &table, const Overlay &overlay, const Change &change, Findings &findings)
{
    std::set<RowKey> erased;
    for (const Row &row : change.m_rows) {
        const bool canBeReferenced = row.m_key.m_kind == RowKind::Service || row.m_key.m_kind == RowKind::Workspace;
        if (row.m_erased && canBeReferenced) {
            erased.insert(row.m_key);
        }
    }
    if (erased.empty()) {
        return;
    }
    const auto checkRow = [&](const Row &row) {
        if (mustResolveReference(row) && erased.contains(referenceOf(row))) {
            reportBrokenReference(row, referenceOf(row), findings);
        }
    };
    std::set<RowKey> written;
    for (const Row &row : change.m_rows) {
        written.insert(row.m_key);
    }
    for (const auto &[key, row] : table.m_rows) {
        if (!overlay.contains(key) && !written.contains(key)) {
            checkRow(row);
        }
    }
    for (const auto &[key, row] : overlay) {
        if (!written.contains(key)) {
            checkRow(row);
        }
    }
}

}

const Row *findRow(const Table &table, const Overlay &overlay, const RowKey &key)
{
    const auto overlaid = overlay.find(key);
    if (overlaid != overlay.end()) {
        return overlaid->second.m_erased ? nullptr : &overlaid->second;
    }
    const auto stored = table.m_rows.find(key);
    return stored == table.m_rows.end() || stored->second.m_erased ? nullptr : &stored->second;
}

std::vector<Row> conflictsOf(const Table &table, const Overlay &overlay, const EditTable &edit)
{
    std::vector<Row> conflicts;
    for (const RowEdit &rowEdit : edit.m_rows) {
        const Row *row = findRow(table, overlay, rowEdit.m_key);
        const std::uint64_t version = row == nullptr ? 0 : row->m_version;
        if (version != rowEdit.m_baseVersion) {
            conflicts.push_back(row == nullptr ? Row{rowEdit.m_key, 0, {}, true} : *row);
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
    Overlay overlayWithChange = overlay;
    for (const Row &row : change.m_rows) {
        if (!written.m_rows.emplace(row.m_key, row).second) {
            findings.push_back({{nameOf(row.m_key), 0, 0}, ErrorId::TableBadCell, "the row stands twice in the edit"});
        }
        if (row.m_key.m_name.empty()) {
            findings.push_back({{nameOf(row.m_key), 0, 0}, ErrorId::TableBadCell, "the row has no name"});
        }
        overlayWithChange.insert_or_assign(row.m_key, row);
    }
    buildCatalogue(written, findings);
    checkReferencesOfWrittenRows(table, overlayWithChange, change, findings);
    checkReferencesToErasedRows(table, overlay, change, findings);
    return findings;
}

}
