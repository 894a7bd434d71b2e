#include "../fakes/fakestore.h"

#include <ragwortrelay/fleet/tablereplica.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace RagwortRelay;
using namespace RagwortRelay::Store;
using Fakes::FakeStore;
using std::chrono::milliseconds;

namespace {

/// A watcher of a fake store, and the rows that it has read.
struct Watched {
    FakeStore m_store;
    TableWatcher m_watcher;
    ClockOffset m_clock;
    Fleet::TableReplica m_replica;
    TimePoint m_now{std::chrono::hours(1)};

    Watched()
    {
        m_watcher.m_table = "t";
        m_watcher.m_settings.m_wait = milliseconds(0);
    }

    /// Makes calls until the watcher has seen all changes.
    void readAll()
    {
        for (int i = 0; i < 6; ++i) {
            m_now += std::chrono::seconds(1);
            if (const auto call = nextCall(m_watcher, m_now)) {
                m_store.call(*call, m_now, [&](const Result &result) { apply(result); });
            }
        }
    }

    void apply(const Result &result)
    {
        const WatchOutcome outcome = applyResponse(m_watcher, result, m_clock, m_now);
        Fleet::applyStoreUpdate(m_replica, m_watcher, outcome);
    }

    void write(const std::string &name, const std::string &value)
    {
        m_store.write("t", name, value, m_now);
    }

    [[nodiscard]] std::map<std::string, std::string> rows() const
    {
        std::map<std::string, std::string> rows;
        for (const auto &[name, row] : m_replica.m_rows) {
            if (!row.m_erased) {
                rows[name] = row.m_value;
            }
        }
        return rows;
    }
};

}

TEST_CASE("table watcher of a store that is restored from an older copy")
{
    Watched watched;
    watched.write("a", "1");
    watched.m_store.copy();
    watched.write("a", "2");
    watched.write("lost", "1");
    watched.readAll();
    REQUIRE(watched.rows() == std::map<std::string, std::string>{{"a", "2"}, {"lost", "1"}});
    watched.m_store.restore();

    // Failed before versions had eras: rows with smaller versions were ignored forever.
    SECTION("its version is ahead of the store's, which answers with 410")
    {
        watched.readAll();
        CHECK(watched.rows() == std::map<std::string, std::string>{{"a", "1"}});
    }

    // Failed before versions had eras: the feed told only what was written after the same number.
    SECTION("its version was assigned again, so that the feed answers as if nothing had been lost")
    {
        for (const char *name : {"b", "c", "d"}) {
            watched.write(name, "new");
        }
        watched.readAll();
        CHECK(watched.rows() == std::map<std::string, std::string>{{"a", "1"}, {"b", "new"}, {"c", "new"}, {"d", "new"}});
    }

    SECTION("a late response of the earlier era is not taken over")
    {
        watched.readAll();
        REQUIRE(nextCall(watched.m_watcher, watched.m_now));
        watched.apply(RowsRead{{{{"t", {}, "a"}, "2", 2, false}}, false, 90, {}});
        CHECK(watched.rows() == std::map<std::string, std::string>{{"a", "1"}});
        CHECK(watched.m_watcher.m_failures == 1);
    }
}

TEST_CASE("a full read during which the era changes starts anew")
{
    TableWatcher watcher;
    ClockOffset clock;
    TimePoint now{std::chrono::hours(1)};
    REQUIRE(nextCall(watcher, now));
    applyResponse(watcher, RowsRead{{{{"t", {}, "a"}, "old", 5, false}}, true, 8, {}}, clock, now);
    REQUIRE(nextCall(watcher, now));
    CHECK(applyResponse(watcher, RowsRead{{{{"t", {}, "b"}, "new", makeVersion(1, 2), false}}, false, makeVersion(1, 3), {}}, clock, now)
          == WatchOutcome::Unchanged);
    CHECK(watcher.m_needsFullRead);
    const auto again = nextCall(watcher, now);
    REQUIRE(again);
    CHECK(std::get<ReadRows>(*again).m_from.empty());
}

TEST_CASE("a watcher has the rows of its store after any writes, copies and restores")
{
    rc::prop("random writes, erasures, copies, restores and calls", [](const std::vector<std::uint8_t> &steps) {
        Watched watched;
        for (const std::uint8_t step : steps) {
            const std::string name = "r" + std::to_string(step % 5);
            switch (step / 5 % 8) {
            case 0:
                watched.m_store.copy();
                break;
            case 1:
                watched.m_store.restore();
                break;
            case 2:
                watched.m_store.erase("t", name, watched.m_now);
                break;
            case 3:
                watched.readAll();
                break;
            default:
                watched.write(name, std::to_string(step));
            }
        }
        watched.readAll();
        std::map<std::string, std::string> expected;
        watched.m_store.call(ReadRows{"t"}, watched.m_now, [&](const Result &result) {
            for (const Row &row : std::get<RowsRead>(result).m_rows) {
                expected[row.m_key.m_name] = row.m_value;
            }
        });
        RC_ASSERT(watched.rows() == expected);
    });
}
