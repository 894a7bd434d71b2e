#pragma once

#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/core/error.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace RagwortRelay::Configuration {

/// Row as an operator wants it, with the version that the edit was based on (0 for a new row).
struct RowEdit {
    RowKey m_key;
    std::uint64_t m_baseVersion = 0;
    Cells m_cells;
    bool m_erase = false;

    friend bool operator==(const RowEdit &, const RowEdit &) = default;
};

/// Writes rows, all or none. An edit with the same change id is applied at most once.
struct EditTable {
    std::string m_changeId;
    std::string m_author;
    std::vector<RowEdit> m_rows;

    friend bool operator==(const EditTable &, const EditTable &) = default;
};

/// Rows that earlier edits of the same transaction write.
using Overlay = std::map<RowKey, Row>;

/// Returns a row as it stands after the overlay, or nullptr when there is none or it is erased.
const Row *findRow(const Table &table, const Overlay &overlay, const RowKey &key);

/// Returns the rows as they stand that changed since the edit was made. A row that is absent has the version 0 and no cells.
std::vector<Row> conflictsOf(const Table &table, const Overlay &overlay, const EditTable &edit);

/// Makes the change that an edit amounts to.
Change changeOf(const EditTable &edit, std::uint64_t version);

/// Returns what is wrong with a change: cells, columns, and references between rows, also those of rows that it doesn't write.
/// Takes time in the order of the rows written, and of the whole table when a service or a workspace is erased.
Findings checkChange(const Table &table, const Overlay &overlay, const Change &change);

}
