#include <ragwortrelay/configuration/edit.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Configuration;

namespace {

Row makeRow(RowKind kind, const std::string &name, const Cells &cells, std::uint64_t version = 1)
{
    return {{kind, name}, version, cells, false};
}

Table makeTable()
{
    Table table;
    table.m_version = 5;
    for (const Row &row : {makeRow(RowKind::Service, "booking", {}),
                           makeRow(RowKind::Server, "b1", {{"service", "booking"}, {"address", "127.0.0.1:1"}, {"domain", "d"}}),
                           makeRow(RowKind::Workspace, "w1", {{"rate", "5"}}, 4),
                           makeRow(RowKind::Key, "k1", {{"workspace", "w1"}, {"salt", "s"}, {"digest", "d"}})}) {
        table.m_rows.emplace(row.m_key, row);
    }
    return table;
}

std::vector<ErrorId> idsOf(const Findings &findings)
{
    std::vector<ErrorId> ids;
    for (const Finding &finding : findings) {
        ids.push_back(finding.m_id);
    }
    return ids;
}

}

TEST_CASE("edit")
{
    const Table table = makeTable();

    SECTION("a row that changed since the base version is reported as a conflict with its stored content")
    {
        const EditTable stale{"c", "o", {{{RowKind::Workspace, "w1"}, 3, {{"rate", "7"}}, false}}};
        const auto conflicts = conflictsOf(table, {}, stale);
        REQUIRE(conflicts.size() == 1);
        CHECK(conflicts[0] == table.m_rows.at({RowKind::Workspace, "w1"}));
    }

    SECTION("a row written earlier in the same transaction is a conflict")
    {
        const EditTable first{"c", "o", {{{RowKind::Workspace, "w1"}, 4, {{"rate", "7"}}, false}}};
        CHECK(conflictsOf(table, {}, first).empty());
        const Row written = changeOf(first, 6).m_rows.front();
        CHECK(conflictsOf(table, {{written.m_key, written}}, first).size() == 1);
    }

    SECTION("broken references and invalid cells are reported together")
    {
        const EditTable edit{"c",
                             "o",
                             {{{RowKind::Server, "b2"}, 0, {{"service", "bokking"}, {"address", "127.0.0.1:2"}, {"domain", "d"}}, false},
                              {{RowKind::Route, "r"}, 0, {{"path", "/"}, {"service", "gone"}, {"deadline_ms", "-1"}}, false}}};
        const auto ids = idsOf(checkChange(table, {}, changeOf(edit, 6)));
        CHECK(std::count(ids.begin(), ids.end(), ErrorId::TableBrokenReference) == 2);
        CHECK(std::count(ids.begin(), ids.end(), ErrorId::TableBadCell) == 1);
    }

    SECTION("a service can be erased only together with its servers")
    {
        EditTable edit{"c", "o", {{{RowKind::Service, "booking"}, 1, {}, true}}};
        CHECK(idsOf(checkChange(table, {}, changeOf(edit, 6))) == std::vector{ErrorId::TableBrokenReference});
        edit.m_rows.push_back({{RowKind::Server, "b1"}, 1, {}, true});
        CHECK(checkChange(table, {}, changeOf(edit, 6)).empty());
    }

    SECTION("a workspace can be erased once its keys are withdrawn")
    {
        const EditTable erase{"c", "o", {{{RowKind::Workspace, "w1"}, 4, {}, true}}};
        CHECK(checkChange(table, {}, changeOf(erase, 6)).size() == 1);
        Row key = table.m_rows.at({RowKind::Key, "k1"});
        key.m_cells["withdrawn"] = "yes";
        CHECK(checkChange(table, {{key.m_key, key}}, changeOf(erase, 6)).empty());
    }
}
