#include <ragwortrelay/fleet/tablereplica.h>

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
void bringOver(const TableReplica &from, TableReplica &to)
{
    for (const DeltaPart &part : deltaFor(from, TableKind::Servers, replicaPosition(to, TimePoint{}))) {
        applyDelta(to, part);
    }
}

/// Rows that are there, by name.
std::map<std::string, std::string> contentOf(const TableReplica &table)
{
    std::map<std::string, std::string> content;
    for (const auto &[name, known] : table.m_rows) {
        if (!known.m_erased) {
            content[name] = known.m_value;
        }
    }
    return content;
}

TableReplica tableWith(std::uint64_t rows)
{
    TableReplica table;
    for (std::uint64_t i = 1; i <= rows; ++i) {
        applyRow(table, row("r" + std::to_string(i), i, "v"));
    }
    table.m_version = rows;
    return table;
}

}

TEST_CASE("table that hosts keep one another up to date about")
{
    TableReplica leader = tableWith(3);
    TableReplica watcher;
    bringOver(leader, watcher);
    REQUIRE(contentOf(watcher) == contentOf(leader));

    SECTION("changes and erased rows are brought over")
    {
        applyRow(leader, row("r1", 4, "new"));
        applyRow(leader, erased("r2", 5));
        leader.m_version = 5;
        bringOver(leader, watcher);
        CHECK(contentOf(watcher) == std::map<std::string, std::string>{{"r1", "new"}, {"r3", "v"}});
        CHECK(changedSince(watcher, 3).size() == 2);
    }

    SECTION("a row of an older version changes nothing")
    {
        applyRow(leader, row("r1", 4, "new"));
        CHECK_FALSE(applyRow(leader, row("r1", 2, "old")));
        CHECK(contentOf(leader).at("r1") == "new");
    }

    SECTION("parts that come doubled, out of order or from an older state change nothing")
    {
        for (std::uint64_t i = 0; i < 400; ++i) {
            applyRow(leader, row("big" + std::to_string(i), 4 + i, std::to_string(i * 7919 + 104'729 * i)));
        }
        leader.m_version = 403;
        std::vector<DeltaPart> parts = deltaFor(leader, TableKind::Servers, replicaPosition(watcher, TimePoint{}));
        REQUIRE(parts.size() > 1);
        for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
            applyDelta(watcher, *part);
            applyDelta(watcher, *part);
        }
        CHECK(contentOf(watcher) == contentOf(leader));
        CHECK_FALSE(applyDelta(watcher, parts.front()));
    }

    SECTION("a table confirmed elsewhere is confirmed here only in the same state")
    {
        const TimePoint confirmed{std::chrono::seconds(9)};
        ReplicaPosition theirs = replicaPosition(leader, TimePoint{});
        applyConfirmation(watcher, theirs, confirmed);
        CHECK(watcher.m_confirmedAt == confirmed);
        theirs.m_version = theirs.m_changed = 4;
        applyConfirmation(watcher, theirs, confirmed + std::chrono::seconds(1));
        CHECK(watcher.m_confirmedAt == confirmed);
    }
}

TEST_CASE("regression: each change of a large table looked at all its rows for erased ones")
{
    TableReplica table = tableWith(2000);
    TableReplica behind = table;
    for (std::uint64_t i = 1; i <= 1500; ++i) {
        TableReplica news = table;
        applyRow(news, erased("r" + std::to_string(i), 2000 + i));
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
        TableReplica leader = tableWith(5);
        TableReplica watcher;
        std::uint64_t version = 5;
        for (const auto &[number, isErased] : changes) {
            const std::string name = "r" + std::to_string(number % 9);
            ++version;
            applyRow(leader, isErased ? erased(name, version) : row(name, version, std::to_string(version)));
            leader.m_version = version;
            if (number % 3 != 0) {
                bringOver(leader, watcher);
            }
        }
        bringOver(leader, watcher);
        RC_ASSERT(contentOf(watcher) == contentOf(leader));
    });
}
