#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace StandIn {

/// Full name of a row: its table, part and key.
using RowName = std::tuple<std::string, std::string, std::string>;

/// Row of a table. Deleted rows are kept so that feeds can report the deletion.
struct StoredRow {
    RowName m_name;
    std::string m_value; ///< Value in base64, as the client sent it.
    std::uint64_t m_version = 0;
    bool m_isDeleted = false;
};

/// Condition of a transaction: the version that a row must have.
struct Condition {
    RowName m_name;
    std::uint64_t m_version = 0; ///< Expected version of the row; 0 if it must not exist.
};

/// In-memory rows of the store's stand-in. All versions come from one counter. Not thread-safe.
class Rows
{
public:
    /// Returns the version of a row, or 0 if it does not exist.
    [[nodiscard]] std::uint64_t versionOf(const RowName &name) const;

    /// Returns whether all conditions hold.
    [[nodiscard]] bool holds(const std::vector<Condition> &conditions) const;

    /// Writes and deletes rows in one transaction and returns its version.
    std::uint64_t apply(const std::vector<std::pair<RowName, std::string>> &writes, const std::vector<RowName> &deletions);

    /// Returns a row, or nullopt if it does not exist.
    [[nodiscard]] std::optional<StoredRow> find(const RowName &name) const;

    /// Returns the rows of a part in the key range [from, below).
    /// @param below exclusive upper bound; empty for no bound
    /// @param limit maximum number of rows that are returned
    [[nodiscard]] std::vector<StoredRow>
    range(const std::string &table, const std::string &part, const std::string &from, const std::string &below, std::size_t limit) const;

    /// Returns the rows of a table that changed after a version, in the order of their changes, or nullopt if that history was discarded.
    /// Linear in the number of these rows.
    [[nodiscard]] std::optional<std::vector<StoredRow>> changes(const std::string &table, std::uint64_t after) const;

    [[nodiscard]] std::set<std::string> partsOf(const std::string &table) const;

    /// Discards the history of changes up to the present version.
    void discardHistory();

    [[nodiscard]] std::uint64_t version() const;

private:
    void set(const RowName &name, const std::string &value, bool isDeleted);

    std::map<RowName, StoredRow> m_rows;
    std::map<std::string, std::set<std::pair<std::uint64_t, RowName>>> m_namesByVersion; ///< Row names of each table, ordered by version.
    std::uint64_t m_version = 0;
    std::uint64_t m_discardedVersion = 0;
};

}
