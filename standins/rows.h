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

/// Where a row lies.
using RowName = std::tuple<std::string, std::string, std::string>; ///< Table, part, key.

/// One row. Erased rows stay, for the feeds.
struct StoredRow {
    RowName m_name;
    std::string m_value; ///< As sent: base64.
    std::uint64_t m_version = 0;
    bool m_isErased = false;
};

/// Condition of a transaction.
struct Condition {
    RowName m_name;
    std::uint64_t m_version = 0; ///< 0 for no row.
};

/// Rows of the store's stand-in, with versions from one counter. Used by one thread.
class Rows
{
public:
    /// Returns the version of a row, 0 when there is none.
    [[nodiscard]] std::uint64_t versionOf(const RowName &name) const;

    /// Tells whether all conditions hold.
    [[nodiscard]] bool holds(const std::vector<Condition> &conditions) const;

    /// Writes and erases rows in one transaction; returns its version.
    std::uint64_t apply(const std::vector<std::pair<RowName, std::string>> &writes, const std::vector<RowName> &erased);

    /// Returns the row, or nothing.
    [[nodiscard]] std::optional<StoredRow> find(const RowName &name) const;

    /// Returns the rows of a part from one key to below another (empty for no bound).
    /// @param most rows that are returned
    [[nodiscard]] std::vector<StoredRow>
    range(const std::string &table, const std::string &part, const std::string &from, const std::string &below, std::size_t most) const;

    /// Returns the rows of a table that changed after a version, in the order of their changes; nothing when they are forgotten. Linear in
    /// these rows.
    [[nodiscard]] std::optional<std::vector<StoredRow>> changes(const std::string &table, std::uint64_t after) const;

    [[nodiscard]] std::set<std::string> partsOf(const std::string &table) const;

    /// Forgets which rows have changed until now.
    void forgetHistory();

    [[nodiscard]] std::uint64_t version() const;

private:
    void set(const RowName &name, const std::string &value, bool isErased);

    std::map<RowName, StoredRow> m_rows;
    std::map<std::string, std::set<std::pair<std::uint64_t, RowName>>> m_byVersion; ///< Names of the rows of each table by their versions.
    std::uint64_t m_version = 0;
    std::uint64_t m_forgotten = 0;
};

}
