// Parses arbitrary text as a table file. An accepted file must be unchanged after it is written and read again.

#include <ragwortrelay/configuration/tablefile.h>

#include <cstdint>
#include <cstdlib>

using namespace RagwortRelay;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto file = Configuration::readTableFile(text, "t.csv");
    if (!file) {
        return file.error().empty() ? (std::abort(), 0) : 0;
    }
    Configuration::checkWholeTable(*file);
    Configuration::Table table;
    for (const Configuration::FileRow &row : file->m_rows) {
        table.m_rows[row.m_row.m_key] = row.m_row;
    }
    const auto again = Configuration::readTableFile(Configuration::writeTableFile(table), "t.csv");
    if (!again || !Configuration::editsOf(*again, table).empty() || again->m_rows.size() != table.m_rows.size()) {
        std::abort();
    }
    return 0;
}
