#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/configuration/tablefile.h>
#include <ragwortrelay/core/hash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <csv.h>
#include <memory>
#include <optional>
#include <set>

namespace RagwortRelay::Configuration {

namespace {

constexpr RowKind FileKinds[] = {RowKind::Service, RowKind::Server, RowKind::Route, RowKind::Workspace};

bool isInFiles(RowKind kind)
{
    return std::ranges::find(FileKinds, kind) != std::end(FileKinds);
}

constexpr const char *KindColumn = "kind";
constexpr const char *NameColumn = "name";
constexpr const char *VersionColumn = "version";

/// A cell and the place of its first character.
struct PlacedCell {
    std::string m_text;
    Place m_place;
};

using Line = std::vector<PlacedCell>;

/// Splits CSV text into lines of cells. Not thread-safe.
class CsvSplitter
{
public:
    explicit CsvSplitter(std::string fileName) : m_fileName(std::move(fileName)), m_cellStart{m_fileName, 1, 1}, m_currentPlace{m_fileName, 1, 1}
    {
        csv_init(&m_parser, CSV_STRICT | CSV_STRICT_FINI);
    }

    ~CsvSplitter()
    {
        csv_free(&m_parser);
    }

    CsvSplitter(const CsvSplitter &) = delete;
    CsvSplitter &operator=(const CsvSplitter &) = delete;

    /// Returns the lines up to the first CSV syntax error, which is reported.
    std::vector<Line> split(const std::string &text, Findings &findings)
    {
        if (text.substr(0, text.find('\n')).find(',') == std::string::npos) {
            csv_set_delim(&m_parser, ';');
        }
        // Parses one character at a time because the parser reports no places.
        for (const char character : text) {
            m_currentPlace = m_place;
            advance(character);
            if (csv_parse(&m_parser, &character, 1, onCell, onLine, this) != 1) {
                findings.push_back({m_currentPlace, ErrorId::TableUnreadable, csv_strerror(csv_error(&m_parser))});
                return m_lines;
            }
            if (m_hasCellEnded) {
                m_cellStart = m_place;
                m_hasCellEnded = false;
            }
        }
        if (csv_fini(&m_parser, onCell, onLine, this) != 0) {
            findings.push_back({m_place, ErrorId::TableUnreadable, "the file ends inside a quoted cell"});
        }
        return m_lines;
    }

private:
    static void onCell(void *text, std::size_t size, void *context)
    {
        auto *splitter = static_cast<CsvSplitter *>(context);
        splitter->m_line.push_back({std::string(static_cast<const char *>(text), size), splitter->m_cellStart});
        splitter->m_hasCellEnded = true;
    }

    static void onLine(int /*character*/, void *context)
    {
        auto *splitter = static_cast<CsvSplitter *>(context);
        splitter->m_lines.push_back(std::move(splitter->m_line));
        splitter->m_line.clear();
        splitter->m_hasCellEnded = true;
    }

    void advance(char character)
    {
        if (character == '\n') {
            ++m_place.m_line;
            m_place.m_column = 1;
            // The line feed of a CR LF pair and empty lines lie outside of cells.
            m_hasCellEnded = m_hasCellEnded || m_line.empty();
            return;
        }
        ++m_place.m_column;
    }

    csv_parser m_parser{};
    std::string m_fileName;
    Place m_place{m_fileName, 1, 1}; ///< Place of the next character.
    Place m_cellStart; ///< Place of the first character of the current cell.
    Place m_currentPlace; ///< Place of the current character.
    bool m_hasCellEnded = false;
    Line m_line;
    std::vector<Line> m_lines;
};

/// Column names of a file in order, with the positions of the fixed columns.
struct Header {
    std::vector<std::string> m_columns;
    std::size_t m_kind = 0;
    std::size_t m_name = 0;
    std::optional<std::size_t> m_version;
};

std::set<std::string> allColumns()
{
    std::set<std::string> columns{KindColumn, NameColumn, VersionColumn};
    for (const RowKind kind : FileKinds) {
        columns.merge(columnsOf(kind));
    }
    return columns;
}

std::optional<Header> readHeader(const Line &line, Findings &findings)
{
    const std::set<std::string> known = allColumns();
    const std::size_t initialFindingCount = findings.size();
    Header header;
    std::set<std::string> seen;
    for (const PlacedCell &cell : line) {
        if (!known.contains(cell.m_text)) {
            findings.push_back({cell.m_place, ErrorId::TableUnknownColumn, unknownColumn(cell.m_text, known)});
        } else if (!seen.insert(cell.m_text).second) {
            findings.push_back({cell.m_place, ErrorId::TableUnknownColumn, "column '" + cell.m_text + "' appears twice"});
        }
        if (cell.m_text == KindColumn) {
            header.m_kind = header.m_columns.size();
        } else if (cell.m_text == NameColumn) {
            header.m_name = header.m_columns.size();
        } else if (cell.m_text == VersionColumn) {
            header.m_version = header.m_columns.size();
        }
        header.m_columns.push_back(cell.m_text);
    }
    for (const char *requiredColumn : {KindColumn, NameColumn}) {
        if (!seen.contains(requiredColumn)) {
            findings.push_back({line.front().m_place, ErrorId::TableUnknownColumn, std::string("column '") + requiredColumn + "' is missing"});
        }
    }
    return findings.size() == initialFindingCount ? std::optional(header) : std::nullopt;
}

std::optional<RowKind> readKind(const PlacedCell &cell, Findings &findings)
{
    const auto [kind, known] = rowKindFrom(cell.m_text);
    if (known && isInFiles(kind)) {
        return kind;
    }
    const char *const reason = kind == RowKind::Key ? "keys are given and withdrawn by the key commands" : "evacuations are set and erased as single rows";
    const std::string message = known ? reason : "'" + cell.m_text + "' is no kind of row";
    findings.push_back({cell.m_place, ErrorId::TableBadCell, message});
    return std::nullopt;
}

/// Version that a row of a file is based on, with the fingerprint of its cells at that version.
struct BaseVersion {
    std::uint64_t m_version = 0;
    std::string m_fingerprint; ///< Fingerprint of the cells; empty if the file has none.
};

/// Hashes the cells of a row. The hash in a file tells which of its rows were edited.
std::string fingerprintOf(const Cells &cells)
{
    std::string text;
    for (const auto &[column, value] : cells) {
        text += std::to_string(column.size()) + ':' + column + std::to_string(value.size()) + ':' + value;
    }
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(hashOf(text)));
    return digits;
}

/// Parses `vVERSION-FINGERPRINT` or a plain number. The letter prevents spreadsheet programs from converting it to a number or a date.
BaseVersion readVersion(const PlacedCell &cell, Findings &findings)
{
    BaseVersion base;
    const std::string &text = cell.m_text;
    const char *begin = text.data() + (text.starts_with('v') ? 1 : 0);
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(begin, end, base.m_version);
    const bool hasFingerprint = result.ec == std::errc() && result.ptr != end && *result.ptr == '-';
    if (hasFingerprint) {
        base.m_fingerprint = std::string(result.ptr + 1, end);
    } else if (!text.empty() && (result.ec != std::errc() || result.ptr != end)) {
        findings.push_back({cell.m_place, ErrorId::TableBadCell, "'" + text + "' is not a version"});
    }
    return base;
}

/// Parses one line. Empty cells are absent from the row.
std::optional<FileRow> readRow(const Line &line, const Header &header, Findings &findings)
{
    if (line.size() > header.m_columns.size()) {
        findings.push_back({line[header.m_columns.size()].m_place, ErrorId::TableUnreadable, "more cells than columns"});
        return std::nullopt;
    }
    if (line.size() <= std::max(header.m_kind, header.m_name)) {
        findings.push_back({line.front().m_place, ErrorId::TableUnreadable, "the line has no kind or no name"});
        return std::nullopt;
    }
    const auto kind = readKind(line[header.m_kind], findings);
    BaseVersion base;
    FileRow row;
    row.m_place = line.front().m_place;
    row.m_row.m_key = {kind.value_or(RowKind::Service), line[header.m_name].m_text};
    if (row.m_row.m_key.m_name.empty()) {
        findings.push_back({line[header.m_name].m_place, ErrorId::TableBadCell, "the row has no name"});
    }
    for (std::size_t i = 0; i < line.size(); ++i) {
        const bool isCell = i != header.m_kind && i != header.m_name && i != header.m_version;
        if (i == header.m_version) {
            base = readVersion(line[i], findings);
        } else if (isCell && !line[i].m_text.empty()) {
            row.m_row.m_cells[header.m_columns[i]] = line[i].m_text;
        }
    }
    row.m_row.m_version = base.m_version;
    row.m_isEdited = base.m_fingerprint != fingerprintOf(row.m_row.m_cells);
    return kind ? std::optional(row) : std::nullopt;
}

/// Returns the place of the cell that a message names as "column NAME: ..." or "unknown column 'NAME'", or else that of the row.
Place placeOf(const std::string &message, const Line &line, const Header &header)
{
    for (std::size_t i = 0; i < line.size(); ++i) {
        const std::string &column = header.m_columns[i];
        if (message.starts_with("column " + column + ":") || message.starts_with("unknown column '" + column + "'")) {
            return line[i].m_place;
        }
    }
    return line.front().m_place;
}

void checkCells(const FileRow &row, const Line &line, const Header &header, Findings &findings)
{
    Table table;
    table.m_rows[row.m_row.m_key] = row.m_row;
    Findings found;
    buildCatalogue(table, found);
    for (Finding &finding : found) {
        finding.m_place = placeOf(finding.m_message, line, header);
        findings.push_back(finding);
    }
}

std::string quoteCell(const std::string &text)
{
    // Spaces at either end of a cell are lost without quotes.
    const bool isPlain = text.find_first_of(",\"\r\n \t") == std::string::npos;
    if (isPlain) {
        return text;
    }
    std::string out = "\"";
    for (const char character : text) {
        out += character == '"' ? "\"\"" : std::string(1, character);
    }
    return out + '"';
}

void sortFindings(Findings &findings)
{
    std::stable_sort(findings.begin(), findings.end(), [](const Finding &left, const Finding &right) { return left.m_place < right.m_place; });
}

EditTable editWritingAllRows(const TableFile &file)
{
    EditTable edit;
    for (const FileRow &row : file.m_rows) {
        edit.m_rows.push_back({row.m_row.m_key, 0, row.m_row.m_cells, false});
    }
    return edit;
}

}

std::string writeTableFile(const Table &table)
{
    std::set<std::string> columns = allColumns();
    for (const auto &[key, row] : table.m_rows) {
        for (const auto &[column, value] : row.m_cells) {
            if (isInFiles(key.m_kind)) {
                columns.insert(column);
            }
        }
    }
    for (const char *fixed : {KindColumn, NameColumn, VersionColumn}) {
        columns.erase(fixed);
    }
    std::string text = std::string(KindColumn) + ',' + NameColumn + ',' + VersionColumn;
    for (const std::string &column : columns) {
        text += ',' + column;
    }
    text += '\n';
    for (const auto &[key, row] : table.m_rows) {
        if (row.m_erased || !isInFiles(key.m_kind)) {
            continue;
        }
        text += toString(key.m_kind) + ',' + quoteCell(key.m_name) + ",v" + std::to_string(row.m_version) + '-' + fingerprintOf(row.m_cells);
        for (const std::string &column : columns) {
            const auto cell = row.m_cells.find(column);
            text += ',' + (cell == row.m_cells.end() ? std::string() : quoteCell(cell->second));
        }
        text += '\n';
    }
    return text;
}

tl::expected<TableFile, Findings> readTableFile(const std::string &text, const std::string &fileName)
{
    Findings findings;
    CsvSplitter splitter(fileName);
    const std::string byteOrderMark = "\xEF\xBB\xBF";
    const std::vector<Line> lines = splitter.split(text.starts_with(byteOrderMark) ? text.substr(byteOrderMark.size()) : text, findings);
    if (lines.empty()) {
        findings.push_back({{fileName, 1, 1}, ErrorId::TableUnreadable, "the file has no line with the names of the columns"});
        return tl::unexpected(findings);
    }
    const auto header = readHeader(lines.front(), findings);
    if (!header) {
        return tl::unexpected(findings);
    }
    TableFile file;
    std::map<RowKey, Place> seen;
    for (std::size_t i = 1; i < lines.size(); ++i) {
        const auto row = readRow(lines[i], *header, findings);
        if (!row) {
            continue;
        }
        const auto [first, isNew] = seen.emplace(row->m_row.m_key, row->m_place);
        if (!isNew) {
            const std::string message = "the row appears twice; first in line " + std::to_string(first->second.m_line);
            findings.push_back({row->m_place, ErrorId::TableBadCell, message});
            continue;
        }
        checkCells(*row, lines[i], *header, findings);
        file.m_rows.push_back(*row);
    }
    if (findings.empty()) {
        return file;
    }
    sortFindings(findings);
    return tl::unexpected(findings);
}

Findings checkWholeTable(const TableFile &file)
{
    return placeFindings(checkChange({}, {}, changeOf(editWritingAllRows(file), 1)), file);
}

std::vector<RowEdit> editsOf(const TableFile &file, const Table &table)
{
    std::vector<RowEdit> edits;
    for (const FileRow &fileRow : file.m_rows) {
        const Row *stored = findRow(table, {}, fileRow.m_row.m_key);
        if (!fileRow.m_isEdited) {
            continue;
        }
        if (stored == nullptr || stored->m_cells != fileRow.m_row.m_cells) {
            edits.push_back({fileRow.m_row.m_key, fileRow.m_row.m_version, fileRow.m_row.m_cells, false});
        }
    }
    return edits;
}

Findings placeFindings(const Findings &findings, const TableFile &file)
{
    std::map<std::string, Place> places;
    for (const FileRow &row : file.m_rows) {
        places.emplace(toString(row.m_row.m_key.m_kind) + '/' + row.m_row.m_key.m_name, row.m_place);
    }
    Findings placed = findings;
    for (Finding &finding : placed) {
        const auto place = places.find(finding.m_place.m_file);
        if (place != places.end()) {
            finding.m_message = finding.m_place.m_file + ": " + finding.m_message;
            finding.m_place = place->second;
        }
    }
    sortFindings(placed);
    return placed;
}

}
