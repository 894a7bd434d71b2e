#include <ragwortrelay/fleet/tablereplica.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <limits>

using namespace RagwortRelay;
using namespace RagwortRelay::Fleet;

namespace {

Store::Row liveRow(const std::string &name, std::uint64_t version, const std::string &value)
{
    return {{"t", {}, name}, value, version, false};
}

Store::Row erasedRow(const std::string &name, std::uint64_t version)
{
    return {{"t", {}, name}, {}, version, true};
}

/// Transfers the delta that one replica lacks from another one without loss.
void synchronize(const TableReplica &from, TableReplica &to)
{
    for (const DeltaPart &part : deltaFor(from, TableKind::Servers, replicaPosition(to, TimePoint{}))) {
        applyDelta(to, part);
    }
}

/// Returns the values of the rows that aren't erased, by name.
std::map<std::string, std::string> liveRows(const TableReplica &table)
{
    std::map<std::string, std::string> content;
    for (const auto &[name, known] : table.m_rows) {
        if (!known.m_erased) {
            content[name] = known.m_value;
        }
    }
    return content;
}

TableReplica replicaWithRows(std::uint64_t rows)
{
    TableReplica table;
    for (std::uint64_t i = 1; i <= rows; ++i) {
        applyRow(table, liveRow("r" + std::to_string(i), i, "v"));
    }
    table.m_version = rows;
    return table;
}

}

TEST_CASE("table replica")
{
    TableReplica leader = replicaWithRows(3);
    TableReplica follower;
    synchronize(leader, follower);
    REQUIRE(liveRows(follower) == liveRows(leader));

    SECTION("a delta transfers changed and erased rows")
    {
        applyRow(leader, liveRow("r1", 4, "new"));
        applyRow(leader, erasedRow("r2", 5));
        leader.m_version = 5;
        synchronize(leader, follower);
        CHECK(liveRows(follower) == std::map<std::string, std::string>{{"r1", "new"}, {"r3", "v"}});
        CHECK(changedSince(follower, 3).size() == 2);
    }

    SECTION("a row with an older version is ignored")
    {
        applyRow(leader, liveRow("r1", 4, "new"));
        CHECK_FALSE(applyRow(leader, liveRow("r1", 2, "old")));
        CHECK(liveRows(leader).at("r1") == "new");
    }

    SECTION("duplicated and reordered parts yield the leader's rows, and an outdated part is ignored")
    {
        for (std::uint64_t i = 0; i < 400; ++i) {
            applyRow(leader, liveRow("big" + std::to_string(i), 4 + i, std::to_string(i * 7919 + 104'729 * i)));
        }
        leader.m_version = 403;
        std::vector<DeltaPart> parts = deltaFor(leader, TableKind::Servers, replicaPosition(follower, TimePoint{}));
        REQUIRE(parts.size() > 1);
        for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
            applyDelta(follower, *part);
            applyDelta(follower, *part);
        }
        CHECK(liveRows(follower) == liveRows(leader));
        CHECK_FALSE(applyDelta(follower, parts.front()));
    }

    SECTION("a confirmation from another host applies only to the same state")
    {
        const TimePoint confirmedAt{std::chrono::seconds(9)};
        applyConfirmation(follower, replicaPosition(leader, TimePoint{}), confirmedAt);
        CHECK(follower.m_confirmedAt == confirmedAt);
        applyRow(leader, liveRow("r1", 4, "new"));
        leader.m_version = 4;
        applyConfirmation(follower, replicaPosition(leader, TimePoint{}), confirmedAt + std::chrono::seconds(1));
        CHECK(follower.m_confirmedAt == confirmedAt);
        CHECK(follower.m_version == 3);
    }
}

// Guards against memory for parts that another host only announces.
TEST_CASE("regression: a part of a delta with a far too large number of parts ended the process")
{
    TableReplica table = replicaWithRows(1);
    DeltaPart part{TableKind::Servers, 0, 2, 0, std::numeric_limits<std::uint32_t>::max(), "bytes"};
    CHECK_FALSE(applyDelta(table, part));
    CHECK(table.m_partialDelta.m_parts.empty());
}

TEST_CASE("regression: each change of a large table scanned all its rows for erased ones")
{
    TableReplica table = replicaWithRows(2000);
    TableReplica outdated = table;
    for (std::uint64_t i = 1; i <= 1500; ++i) {
        TableReplica updated = table;
        applyRow(updated, erasedRow("r" + std::to_string(i), 2000 + i));
        updated.m_version = 2000 + i;
        synchronize(updated, table);
    }
    CHECK(liveRows(table).size() == 500);
    CHECK(table.m_erased.size() <= 512);
    CHECK(table.m_rows.size() == 500 + table.m_erased.size());
    CHECK(table.m_byVersion.size() == table.m_rows.size());
    CHECK(table.m_compactedVersion > 0);
    synchronize(table, outdated); // Its version is older than the compacted one, so it gets the whole table.
    CHECK(liveRows(outdated) == liveRows(table));
}

TEST_CASE("replicas on two hosts are equal after any changes and message losses")
{
    rc::prop("random changes, some of their deltas lost, then one delta without loss", [](const std::vector<std::pair<std::uint8_t, bool>> &changes) {
        TableReplica leader = replicaWithRows(5);
        TableReplica follower;
        std::uint64_t version = 5;
        for (const auto &[number, isErased] : changes) {
            const std::string name = "r" + std::to_string(number % 9);
            ++version;
            applyRow(leader, isErased ? erasedRow(name, version) : liveRow(name, version, std::to_string(version)));
            leader.m_version = version;
            if (number % 3 != 0) {
                synchronize(leader, follower);
            }
        }
        synchronize(leader, follower);
        RC_ASSERT(liveRows(follower) == liveRows(leader));
    });
}

namespace {

constexpr Store::Version laterEra(std::uint64_t number)
{
    return Store::makeVersion(1, number);
}

/// Returns a replica that has read the whole table of a restored store.
TableReplica readInLaterEra(TableReplica table, const std::vector<Store::Row> &rows, std::uint64_t number)
{
    Store::TableWatcher watcher;
    watcher.m_changedRows = rows;
    watcher.m_isFullRead = true;
    watcher.m_needsFullRead = false;
    watcher.m_version = laterEra(number);
    applyStoreUpdate(table, watcher, Store::WatchOutcome::Changed);
    return table;
}

}

TEST_CASE("table replica after the store was restored from an older copy")
{
    const TableReplica before = replicaWithRows(9);
    const TableReplica leader = readInLaterEra(before, {liveRow("r1", laterEra(1), "v"), liveRow("r2", laterEra(4), "rewritten")}, 4);
    const std::map<std::string, std::string> expected{{"r1", "v"}, {"r2", "rewritten"}};

    SECTION("rows with smaller numbers are taken over, and those that the store has lost are erased")
    {
        CHECK(liveRows(leader) == expected);
        const auto changes = changedSince(leader, 9);
        CHECK(changes.size() == 9); // Consumers hear of each row, also of the seven that are gone.
    }

    SECTION("a host of the earlier era gets the whole table and loses rows that the leader never knew")
    {
        TableReplica follower = before;
        applyRow(follower, liveRow("unknown", 30, "lost"));
        follower.m_version = 30;
        synchronize(leader, follower);
        CHECK(liveRows(follower) == expected);
        CHECK(follower.m_version == laterEra(4));
    }

    SECTION("an empty table of the later era erases all rows of a host")
    {
        TableReplica follower = before;
        synchronize(readInLaterEra({}, {}, 3), follower);
        CHECK(liveRows(follower).empty());
    }

    SECTION("a host of the earlier era doesn't change one of the later era, and its confirmation doesn't count")
    {
        TableReplica other = leader;
        for (const DeltaPart &part : deltaFor(before, TableKind::Servers, {})) {
            CHECK_FALSE(applyDelta(other, part));
        }
        const auto confirmedAt = other.m_confirmedAt;
        applyConfirmation(other, replicaPosition(before, TimePoint{}), TimePoint(std::chrono::seconds(9)));
        CHECK(other.m_confirmedAt == confirmedAt);
        CHECK(liveRows(other) == expected);
        TableReplica late = before;
        applyConfirmation(late, replicaPosition(leader, TimePoint{}), TimePoint(std::chrono::seconds(9)));
        CHECK_FALSE(late.m_confirmedAt);
    }
}
