#pragma once

#include <ragwortrelay/configuration/edit.h>
#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/store/store.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// Representation of the operators' table in the store, with one stored row for each row.
namespace RagwortRelay::Configuration {

/// Name of the store's table that holds the operators' table.
inline constexpr const char *ConfigurationTableName = "ragwortrelay-table";

/// Maximum number of rows that one edit writes; the store accepts no more in one transaction.
inline constexpr std::size_t MaxRowsPerEdit = 50;

/// Returns the name of the stored row for a row of the table. Thread-safe, like all functions here.
std::string storedRowName(const RowKey &key);

/// Reads a stored row, erased or not; returns nothing if it is unreadable.
std::optional<Row> readStoredRow(const Store::Row &stored);

/// Parses the name of a stored row; returns nothing if it names no row of the table.
std::optional<RowKey> readStoredName(const std::string &name);

/// Applies changed stored rows to a table. An unreadable stored row leaves the row of the table unchanged.
/// Not thread-safe for one table.
void updateTable(Table &table, const std::vector<const Store::Row *> &changed);

/// Returns the transaction that applies an edit on condition that its rows still have their base versions.
/// Precondition: the edit has MaxRowsPerEdit rows at most.
Store::Transaction transactionOf(const EditTable &edit);

/// Details of a store conflict that concern the edit.
struct ConflictDetails {
    bool m_isAlreadyApplied = false; ///< The store holds the result of this edit.
    std::uint64_t m_version = 0; ///< Highest stored version of the rows; the version of the edit if it is already applied.
    std::vector<Row> m_stored; ///< Stored rows that differ from the edit's base versions; an absent row is erased and has version 0.

    friend bool operator==(const ConflictDetails &, const ConflictDetails &) = default;
};

/// Compares an edit with the stored rows that a conflict reports.
ConflictDetails readConflict(const EditTable &edit, const Store::Conflict &conflict);

}
