#pragma once

#include <ragwortrelay/configuration/edit.h>
#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/core/error.h>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace RagwortRelay::Configuration {

/// One row of a table file, with its place in the file.
struct FileRow {
    Place m_place;
    Row m_row; ///< Content of the row; m_version is the version that the file is based on.
    bool m_isEdited = true; ///< The cells differ from those that the file was written with.

    friend bool operator==(const FileRow &, const FileRow &) = default;
};

/// A table file in CSV format, separated by commas, or by semicolons if the first line has no comma. The first line names the columns,
/// among them `kind` and `name`. The column `version` holds the version of the row that the file is based on, and a hash of its cells
/// at that version. The hash identifies rows that are unedited in the file; they cause no conflict if another operator changes them meanwhile.
struct TableFile {
    std::vector<FileRow> m_rows;

    friend bool operator==(const TableFile &, const TableFile &) = default;
};

/// Writes the rows that aren't erased as a table file. Keys and evacuations are left out: keys are given and withdrawn,
/// and a file that was written during an evacuation must not start it again. Thread-safe.
std::string writeTableFile(const Table &table);

/// Reads a table file and checks its format and the cells of each row, but no references.
/// @param fileName name of the file for the findings
/// @return the rows, or all findings sorted by place
/// Thread-safe.
tl::expected<TableFile, Findings> readTableFile(const std::string &text, const std::string &fileName);

/// Checks a table file as a complete table, including the references between its rows. Thread-safe.
Findings checkWholeTable(const TableFile &file);

/// Returns the edits that write the edited rows of a file to a table. Rows that don't differ are left out, and rows that only the
/// table has are kept. The base version of an edit is the version in the file. Thread-safe.
std::vector<RowEdit> editsOf(const TableFile &file, const Table &table);

/// Replaces the places of findings that name rows, as a host reports them, by the places of these rows in the file. Thread-safe.
Findings placeFindings(const Findings &findings, const TableFile &file);

}
