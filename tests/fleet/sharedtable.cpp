#include <ragwortrelay/fleet/sharedtable.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace RagwortRelay;
using namespace RagwortRelay::Fleet;

namespace {

Store::Row row(const std::string &name, std::uint64_t version, const std::string &value)
{
    return {{"t", {}, name}, value, version, false};
}

Store::Row erased(const std::string &name, std::uint64_t version)
{
    return {{"t", {}, name}, {}, version, true};
}

/// Brings what one table lacks over from another one, without loss.
void bringOver(const SharedTable &from, SharedTable &to)
{
    for (const NewsPart &part : newsFor(from, TableKind::Servers, standOf(to, TimePoint{}))) {
        takeNews(to, part);
    }
}

/// Rows that are there, by name.
std::map<std::string, std::string> contentOf(const SharedTable &table)
{
    std::map<std::string, std::string> content;
    for (const auto &[name, known] : table.m_rows) {
        if (!known.m_erased) {
            content[name] = known.m_value;
        }
    }
    return content;
}

SharedTable tableWith(std::uint64_t rows)
{
    SharedTable table;
    for (std::uint64_t i = 1; i <= rows; ++i) {
        takeRow(table, row("r" + std::to_string(i), i, "v"));
    }
    table.m_version = rows;
    return table;
}

}

TEST_CASE("table that hosts keep one another up to date about")
{
    SharedTable leader = tableWith(3);
    SharedTable watcher;
    bringOver(leader, watcher);
    REQUIRE(contentOf(watcher) == contentOf(leader));

    SECTION("changes and erased rows are brought over")
    {
        takeRow(leader, row("r1", 4, "new"));
        takeRow(leader, erased("r2", 5));
        leader.m_version = 5;
        bringOver(leader, watcher);
        CHECK(contentOf(watcher) == std::map<std::string, std::string>{{"r1", "new"}, {"r3", "v"}});
        CHECK(changedSince(watcher, 3).size() == 2);
    }

    SECTION("a row of an older version changes nothing")
    {
        takeRow(leader, row("r1", 4, "new"));
        CHECK_FALSE(takeRow(leader, row("r1", 2, "old")));
        CHECK(contentOf(leader).at("r1") == "new");
    }

    SECTION("parts that come doubled, out of order or from an older state change nothing")
    {
        for (std::uint64_t i = 0; i < 400; ++i) {
            takeRow(leader, row("big" + std::to_string(i), 4 + i, std::to_string(i * 7919 + 104'729 * i)));
        }
        leader.m_version = 403;
        std::vector<NewsPart> parts = newsFor(leader, TableKind::Servers, standOf(watcher, TimePoint{}));
        REQUIRE(parts.size() > 1);
        for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
            takeNews(watcher, *part);
            takeNews(watcher, *part);
        }
        CHECK(contentOf(watcher) == contentOf(leader));
        CHECK_FALSE(takeNews(watcher, parts.front()));
    }

    SECTION("a table confirmed elsewhere is confirmed here only in the same state")
    {
        const TimePoint confirmed{std::chrono::seconds(9)};
        TableStand theirs = standOf(leader, TimePoint{});
        takeConfirmation(watcher, theirs, confirmed);
        CHECK(watcher.m_confirmedAt == confirmed);
        theirs.m_version = theirs.m_changed = 4;
        takeConfirmation(watcher, theirs, confirmed + std::chrono::seconds(1));
        CHECK(watcher.m_confirmedAt == confirmed);
    }
}

TEST_CASE("regression: each change of a large table looked at all its rows for erased ones")
{
    SharedTable table = tableWith(2000);
    SharedTable behind = table;
    for (std::uint64_t i = 1; i <= 1500; ++i) {
        SharedTable news = table;
        takeRow(news, erased("r" + std::to_string(i), 2000 + i));
        news.m_version = 2000 + i;
        bringOver(news, table);
    }
    CHECK(contentOf(table).size() == 500);
    CHECK(table.m_erased.size() <= 512);
    CHECK(table.m_rows.size() == 500 + table.m_erased.size());
    CHECK(table.m_byVersion.size() == table.m_rows.size());
    CHECK(table.m_forgotten > 0);
    bringOver(table, behind); // Its state is older than what was forgotten: it gets the whole table.
    CHECK(contentOf(behind) == contentOf(table));
}

TEST_CASE("tables on two hosts are the same after any changes and losses")
{
    rc::prop("random changes, each message lost with some chance, then one without loss", [](const std::vector<std::pair<std::uint8_t, bool>> &changes) {
        SharedTable leader = tableWith(5);
        SharedTable watcher;
        std::uint64_t version = 5;
        for (const auto &[number, isErased] : changes) {
            const std::string name = "r" + std::to_string(number % 9);
            ++version;
            takeRow(leader, isErased ? erased(name, version) : row(name, version, std::to_string(version)));
            leader.m_version = version;
            if (number % 3 != 0) {
                bringOver(leader, watcher);
            }
        }
        bringOver(leader, watcher);
        RC_ASSERT(contentOf(watcher) == contentOf(leader));
    });
}
