#include <ragwortrelay/configuration/tablefile.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace RagwortRelay;
using namespace RagwortRelay::Configuration;

namespace {

std::vector<std::string> linesOf(const Findings &findings)
{
    std::vector<std::string> lines;
    for (const Finding &finding : findings) {
        lines.push_back(toString(finding));
    }
    return lines;
}

Table makeTable()
{
    Table table;
    table.m_version = 9;
    table.m_rows[{RowKind::Workspace, "w1"}] = {{RowKind::Workspace, "w1"}, 4, {{"rate", "5"}}, false};
    table.m_rows[{RowKind::Workspace, "w2"}] = {{RowKind::Workspace, "w2"}, 5, {{"rate", "6"}}, false};
    table.m_rows[{RowKind::Key, "k"}] = {{RowKind::Key, "k"}, 6, {{"workspace", "w1"}, {"salt", "s"}, {"digest", "d"}}, false};
    return table;
}

void replace(std::string &text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
}

}

TEST_CASE("table file")
{
    SECTION("all findings are reported with line and column")
    {
        const auto file = readTableFile("kind,name,rate,burst\nworkspace,w1,fast,5\nworkspce,w2,1,1\nworkspace,,1,1\nworkspace,\"w\n3\",1,-4\nkey,k,,\n"
                                        "workspace,w1,1,1,1\n",
                                        "t.csv");
        REQUIRE_FALSE(file);
        CHECK(linesOf(file.error())
              == std::vector<std::string>{"t.csv:2:14: error RW0202: column rate: 'fast' is not a number",
                                          "t.csv:3:1: error RW0202: 'workspce' is no kind of row",
                                          "t.csv:4:11: error RW0202: the row has no name",
                                          "t.csv:6:6: error RW0202: column burst: '-4' is out of range",
                                          "t.csv:7:1: error RW0202: keys are given and withdrawn by the key commands",
                                          "t.csv:8:18: error RW0201: more cells than columns"});
    }

    SECTION("a misspelt column is reported with the most similar known column")
    {
        const auto file = readTableFile("kind,name,wieght\n", "t.csv");
        REQUIRE_FALSE(file);
        CHECK(linesOf(file.error()) == std::vector<std::string>{"t.csv:1:11: error RW0203: unknown column 'wieght'; did you mean 'weight'?"});
    }

    SECTION("only edited rows yield edits, based on the version in the file")
    {
        std::string text = writeTableFile(makeTable());
        CHECK(text.find("digest") == std::string::npos);
        replace(text, ",5,", ",50,");
        const auto file = readTableFile(text, "t.csv");
        REQUIRE(file);
        Table table = makeTable();
        table.m_rows[{RowKind::Workspace, "w2"}].m_version = 8;
        table.m_rows[{RowKind::Workspace, "w2"}].m_cells["rate"] = "60";
        const RowEdit expected{{RowKind::Workspace, "w1"}, 4, {{"rate", "50"}}, false};
        CHECK(editsOf(*file, table) == std::vector<RowEdit>{expected});
    }

    SECTION("semicolons, a byte order mark and carriage returns from spreadsheet programs are accepted")
    {
        const auto file = readTableFile("\xEF\xBB\xBFkind;name;rate\r\nworkspace;w1;7\r\n\r\nworkspace;w2;x\r\n", "t.csv");
        REQUIRE_FALSE(file);
        CHECK(linesOf(file.error()) == std::vector<std::string>{"t.csv:4:14: error RW0202: column rate: 'x' is not a number"});
    }

    SECTION("references between rows are checked across the whole file")
    {
        const auto file = readTableFile("kind,name,service,path\nroute,r,gone,/\n", "t.csv");
        REQUIRE(file);
        const auto lines = linesOf(checkWholeTable(*file));
        REQUIRE(lines.size() == 1);
        CHECK(lines[0].starts_with("t.csv:2:1: error RW0204: route/r: refers to service/gone"));
    }

    SECTION("a written table file is read back unchanged, whatever the cells contain")
    {
        CHECK(rc::check("round trip", [] {
            const auto character = rc::gen::element('a', ',', '"', '\n', '\r', ' ', ';', '\t', '\'');
            const auto text = *rc::gen::nonEmpty(rc::gen::container<std::string>(character));
            Table table;
            const RowKey key{RowKind::Server, "n" + text};
            table.m_rows[key] = {key, 3, {{"service", text}, {"address", "127.0.0.1:1"}, {"domain", "a" + text}}, false};
            const auto file = readTableFile(writeTableFile(table), "t.csv");
            RC_ASSERT(file.has_value());
            RC_ASSERT(file->m_rows.size() == 1U);
            RC_ASSERT(file->m_rows[0].m_row == table.m_rows.at(key));
            RC_ASSERT(!file->m_rows[0].m_isEdited);
        }));
    }
}
