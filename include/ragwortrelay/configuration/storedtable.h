#pragma once

#include <ragwortrelay/configuration/edit.h>
#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/store/store.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// The operators' table as it lies in the store: one row of the store for each of its rows.
namespace RagwortRelay::Configuration {

/// Table of the store that the operators' table lies in.
inline constexpr const char *ConfigurationTableName = "ragwortrelay-table";

/// Rows that one edit writes at most; the store takes no more in one transaction.
inline constexpr std::size_t MaxRowsPerEdit = 50;

/// Returns the name of the stored row for a row of the table. Thread-safe, like all functions here.
std::string storedName(const RowKey &key);

/// Reads a stored row, or one that was erased; nothing when it can't be read.
std::optional<Row> readStoredRow(const Store::Row &stored);

/// Reads the name of a stored row; nothing when it names no row of the table.
std::optional<RowKey> readStoredName(const std::string &name);

/// Brings a table up to date with stored rows that have changed; one that can't be read leaves its row as it was.
/// Not thread-safe on one table.
void updateTable(Table &table, const std::vector<const Store::Row *> &changed);

/// Returns the transaction that makes an edit, if the rows are still as it is based on.
/// Precondition: the edit has MaxRowsPerEdit rows at most.
Store::Transaction transactionOf(const EditTable &edit);

/// What a refused transaction tells about its edit.
struct ConflictDetails {
    bool m_isAlreadyApplied = false; ///< The edit itself is what stands in the store.
    std::uint64_t m_version = 0; ///< That it made then.
    std::vector<Row> m_stored; ///< Rows that are others than it is based on; one that is gone has the version 0 and is erased.

    friend bool operator==(const ConflictDetails &, const ConflictDetails &) = default;
};

/// Reads what stands in the way of an edit.
ConflictDetails readConflict(const EditTable &edit, const Store::Conflict &conflict);

}
