#include <ragwortrelay/configuration/catalogue.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace RagwortRelay;
using Configuration::Row;
using Configuration::RowKind;

namespace {

/// Generates a row from few names and values, some of them invalid, so that changes often write the same rows.
Row generateRow(std::uint64_t version)
{
    const auto kind = *rc::gen::element(RowKind::Service, RowKind::Server, RowKind::Route, RowKind::Workspace, RowKind::Key, RowKind::Evacuation);
    Row row{{kind, *rc::gen::element<std::string>("a", "b", "c")}, version, {}, *rc::gen::weightedElement<bool>({{3, false}, {1, true}})};
    for (const std::string &column : Configuration::columnsOf(kind)) {
        const auto value = *rc::gen::element<std::string>("", "a", "b", "1", "yes", "no", "/p", "/p/q");
        if (!value.empty() && !row.m_erased) {
            row.m_cells[column] = value;
        }
    }
    return row;
}

}

TEST_CASE("catalogue")
{
    SECTION("an updated catalogue equals one built from the whole table")
    {
        CHECK(rc::check("updateCatalogue", [] {
            Configuration::Table table;
            Configuration::Catalogue catalogue;
            const auto changes = *rc::gen::inRange<std::uint64_t>(1, 12);
            for (std::uint64_t version = 1; version <= changes; ++version) {
                Configuration::Change change{version, "c", "o", {}};
                const auto rows = *rc::gen::inRange(1, 4);
                std::set<Configuration::RowKey> written;
                for (int i = 0; i < rows; ++i) {
                    const Row row = generateRow(version);
                    if (written.insert(row.m_key).second) {
                        change.m_rows.push_back(row);
                    }
                }
                table.m_version = version;
                for (const Row &row : change.m_rows) {
                    table.m_rows[row.m_key] = row;
                }
                Configuration::updateCatalogue(catalogue, change);
                Findings findings;
                RC_ASSERT(catalogue == Configuration::buildCatalogue(table, findings));
            }
        }));
    }

    SECTION("an unknown column is reported with the most similar known column, and its row is kept")
    {
        Configuration::Table table;
        table.m_rows[{RowKind::Workspace, "w"}] = {{RowKind::Workspace, "w"}, 1, {{"burts", "5"}}, false};
        Findings findings;
        const auto catalogue = Configuration::buildCatalogue(table, findings);
        REQUIRE(findings.size() == 1);
        CHECK(findings[0].m_id == ErrorId::TableUnknownColumn);
        CHECK(findings[0].m_message == "unknown column 'burts'; did you mean 'burst'?");
        CHECK(catalogue.m_workspaces.contains(WorkspaceId("w")));
    }
}
