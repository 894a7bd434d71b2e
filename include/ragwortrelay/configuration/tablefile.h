#pragma once

#include <ragwortrelay/configuration/edit.h>
#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/core/error.h>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace RagwortRelay::Configuration {

/// One row of a table file with its place.
struct FileRow {
    Place m_place;
    Row m_row; ///< m_version is the version that the file was based on.
    bool m_edited = true; ///< The cells are others than those that the file was written with.

    friend bool operator==(const FileRow &, const FileRow &) = default;
};

/// A table file: cells separated by commas, or by semicolons when the first line has no comma. The first line names the columns,
/// among them `kind` and `name`. The column `version` tells on which version of a row the file is based, and a hash of its cells
/// then: so a row that nobody has edited in the file is no conflict when another operator changes it meanwhile.
struct TableFile {
    std::vector<FileRow> m_rows;

    friend bool operator==(const TableFile &, const TableFile &) = default;
};

/// Writes the rows that aren't erased as a table file. Keys are left out: they are given and withdrawn, not edited. Thread-safe.
std::string writeTableFile(const Table &table);

/// Reads and checks a table file: its form, and the cells of each row by themselves.
/// @param fileName name that stands in the findings
/// @return the rows, or all findings in the order of their places
/// Thread-safe.
tl::expected<TableFile, Findings> readTableFile(const std::string &text, const std::string &fileName);

/// Checks a table file that stands for a whole table: also the references between its rows. Thread-safe.
Findings checkWholeTable(const TableFile &file);

/// Returns the edits that bring the edited rows of a file into a table; rows that don't differ are left out, rows that only the
/// table has stay. An edit has the version of the file as its base. Thread-safe.
std::vector<RowEdit> editsOf(const TableFile &file, const Table &table);

/// Puts the findings of a host, whose places are rows, at the places of these rows in the file. Thread-safe.
Findings placeFindings(const Findings &findings, const TableFile &file);

}
