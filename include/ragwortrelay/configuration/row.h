#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace RagwortRelay::Configuration {

/// Kind of a row of the operators' table.
enum class RowKind : std::uint8_t {
    Service,
    Server,
    Route,
    Workspace,
    Key,
    Evacuation, ///< Evacuation of the failure domain that the row is named after.
};

/// Identity of a row.
struct RowKey {
    RowKind m_kind{};
    std::string m_name;

    friend auto operator<=>(const RowKey &, const RowKey &) = default;
    friend bool operator==(const RowKey &, const RowKey &) = default;
};

/// Cells of a row by column name; an absent cell has the default of its column.
using Cells = std::map<std::string, std::string>;

/// One row as stored. `m_version` is the version of the configuration that last wrote it; an erased row has the version that erased it.
struct Row {
    RowKey m_key;
    std::uint64_t m_version = 0;
    Cells m_cells;
    bool m_erased = false;

    friend bool operator==(const Row &, const Row &) = default;
};

/// Returns the name of a kind as it is written in table files.
std::string toString(RowKind kind);

/// Returns the kind with the given name; the second member is false if there is none.
std::pair<RowKind, bool> rowKindFrom(const std::string &text);

}
