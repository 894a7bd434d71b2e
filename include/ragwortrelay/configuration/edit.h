#pragma once

#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/core/error.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace RagwortRelay::Configuration {

/// Requested content of a row, with the row version that the edit is based on (0 for a new row).
struct RowEdit {
    RowKey m_key;
    std::uint64_t m_baseVersion = 0;
    Cells m_cells;
    bool m_erase = false;

    friend bool operator==(const RowEdit &, const RowEdit &) = default;
};

/// An atomic edit of rows: all are written or none. Edits with the same change id are applied at most once.
struct EditTable {
    std::string m_changeId;
    std::string m_author;
    std::vector<RowEdit> m_rows;

    friend bool operator==(const EditTable &, const EditTable &) = default;
};

/// Rows written by earlier edits of the same transaction.
using Overlay = std::map<RowKey, Row>;

/// Returns the row with the overlay applied, or nullptr if it is absent or erased.
const Row *findRow(const Table &table, const Overlay &overlay, const RowKey &key);

/// Returns the current content of the rows whose version differs from the edit's base version. An absent row has version 0 and no cells.
std::vector<Row> conflictsOf(const Table &table, const Overlay &overlay, const EditTable &edit);

/// Returns the change that an edit makes at the given version.
Change changeOf(const EditTable &edit, std::uint64_t version);

/// Returns the errors of a change in cells, columns and references between rows, including references from rows that it doesn't write.
/// The time it takes grows with the rows written, or with the whole table when a service or a workspace is erased.
Findings checkChange(const Table &table, const Overlay &overlay, const Change &change);

}
