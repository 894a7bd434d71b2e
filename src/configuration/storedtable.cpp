#include <ragwortrelay/configuration/storedtable.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace RagwortRelay::Configuration {

namespace {

using Json = nlohmann::json;

/// A stored row with the change id of the edit that wrote it, which isn't part of the table.
struct StoredRow {
    Row m_row;
    std::string m_changeId;
};

std::string encodeRow(const RowEdit &row, const EditTable &edit)
{
    return Json{{"cells", row.m_cells}, {"change", edit.m_changeId}, {"author", edit.m_author}}.dump();
}

std::optional<StoredRow> decodeRow(const Store::Row &stored)
{
    const auto key = readStoredName(stored.m_key.m_name);
    const Json json = Json::parse(stored.m_value, nullptr, false);
    if (!key || !json.is_object()) {
        return std::nullopt;
    }
    try {
        return StoredRow{{*key, stored.m_version, json.at("cells").get<Cells>(), false}, json.value("change", "")};
    } catch (const Json::exception &) {
        return std::nullopt; // Hosts of this release write no such value.
    }
}

const Store::Row *findStoredRow(const Store::Conflict &conflict, const std::string &name)
{
    const auto found = std::ranges::find_if(conflict.m_rows, [&](const Store::Row &row) { return row.m_key.m_name == name && !row.m_erased; });
    return found == conflict.m_rows.end() ? nullptr : &*found;
}

}

std::string storedRowName(const RowKey &key)
{
    return toString(key.m_kind) + '/' + key.m_name;
}

std::optional<RowKey> readStoredName(const std::string &name)
{
    const std::size_t slash = name.find('/');
    const auto [kind, known] = rowKindFrom(name.substr(0, slash));
    return known && slash != std::string::npos ? std::optional(RowKey{kind, name.substr(slash + 1)}) : std::nullopt;
}

std::optional<Row> readStoredRow(const Store::Row &stored)
{
    if (stored.m_erased) {
        const auto key = readStoredName(stored.m_key.m_name);
        return key ? std::optional(Row{*key, stored.m_version, {}, true}) : std::nullopt;
    }
    const auto row = decodeRow(stored);
    return row ? std::optional(row->m_row) : std::nullopt;
}

void updateTable(Table &table, const std::vector<const Store::Row *> &changed)
{
    for (const Store::Row *stored : changed) {
        table.m_version = std::max(table.m_version, stored->m_version);
        const auto row = readStoredRow(*stored);
        if (row && row->m_erased) {
            table.m_rows.erase(row->m_key);
        } else if (row) {
            table.m_rows[row->m_key] = *row;
        }
    }
}

Store::Transaction transactionOf(const EditTable &edit)
{
    Store::Transaction transaction;
    for (const RowEdit &row : edit.m_rows) {
        const Store::RowKey key{ConfigurationTableName, {}, storedRowName(row.m_key)};
        transaction.m_expected.push_back({key, row.m_baseVersion});
        if (row.m_erase) {
            transaction.m_erased.push_back(key);
        } else {
            transaction.m_writes.push_back({key, encodeRow(row, edit)});
        }
    }
    return transaction;
}

ConflictDetails readConflict(const EditTable &edit, const Store::Conflict &conflict)
{
    ConflictDetails details;
    details.m_isAlreadyApplied = true;
    for (const RowEdit &rowEdit : edit.m_rows) {
        const Store::Row *stored = findStoredRow(conflict, storedRowName(rowEdit.m_key));
        const auto row = stored == nullptr ? std::nullopt : decodeRow(*stored);
        const bool isWrittenByEdit = rowEdit.m_erase ? stored == nullptr : row && row->m_changeId == edit.m_changeId;
        details.m_isAlreadyApplied = details.m_isAlreadyApplied && isWrittenByEdit;
        details.m_version = std::max(details.m_version, stored == nullptr ? 0 : stored->m_version);
        const std::uint64_t version = stored == nullptr ? 0 : stored->m_version;
        if (version != rowEdit.m_baseVersion) {
            details.m_stored.push_back(row ? row->m_row : Row{rowEdit.m_key, version, {}, stored == nullptr});
        }
    }
    return details;
}

}
