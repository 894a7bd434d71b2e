#include "../fakes/fakestore.h"

#include <ragwortrelay/fleet/tablereplica.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>

using namespace RagwortRelay;
using namespace RagwortRelay::Fleet;

namespace {

/// Versions of the rows that exist, by name.
using Content = std::map<std::string, Store::Version>;

/// A host with one table, whose consumer notes the rows that it is told of.
struct Node {
    Store::TableWatcher m_watcher;
    Store::ClockOffset m_clock;
    TableReplica m_replica;
    Content m_consumed;

    Node()
    {
        m_watcher.m_table = "t";
    }

    void consume()
    {
        const TableChanges changes = takeChanges(m_replica);
        for (const Store::Row *row : changes.m_rows) {
            if (row->m_erased) {
                m_consumed.erase(row->m_key.m_name);
            } else {
                m_consumed[row->m_key.m_name] = row->m_version;
            }
        }
    }
};

/// A store, what its table contained at each version, and hosts that read it in small pages and tell one another.
struct History {
    Fakes::FakeStore m_store;
    std::map<Store::Version, Content> m_contents;
    std::array<Node, 3> m_nodes;
    TimePoint m_now{std::chrono::hours(1)};

    Store::RowsRead wholeTable()
    {
        Store::RowsRead read;
        m_store.call(Store::ReadRows{"t", {}, {}, {}, 100'000}, m_now, [&](const Store::Result &result) { read = std::get<Store::RowsRead>(result); });
        return read;
    }

    /// Notes what the table contains now.
    void record()
    {
        const Store::RowsRead read = wholeTable();
        Content &content = m_contents[read.m_version];
        content.clear();
        for (const Store::Row &row : read.m_rows) {
            content[row.m_key.m_name] = row.m_version;
        }
    }

    /// Makes the next call of a node's watcher to the store: a page of a full read, or a call for the changes.
    void readStore(Node &node)
    {
        m_now += std::chrono::seconds(1);
        resume(node.m_watcher, node.m_replica);
        auto call = Store::nextCall(node.m_watcher, m_now);
        if (!call) {
            return;
        }
        if (auto *read = std::get_if<Store::ReadRows>(&*call)) {
            read->m_limit = 3;
        } else {
            std::get<Store::WatchTable>(*call).m_wait = {};
        }
        m_store.call(*call, m_now, [&](const Store::Result &result) {
            const auto outcome = Store::applyResponse(node.m_watcher, result, node.m_clock, m_now);
            applyStoreUpdate(node.m_replica, node.m_watcher, outcome);
            node.consume();
        });
    }

    void sendDelta(const Node &from, Node &to)
    {
        for (const DeltaPart &part : deltaFor(from.m_replica, TableKind::Servers, replicaPosition(to.m_replica, m_now))) {
            applyDelta(to.m_replica, part);
        }
        to.consume();
    }

    void confirm(const Node &from, Node &to)
    {
        applyConfirmation(to.m_replica, replicaPosition(from.m_replica, m_now), m_now);
    }

    /// Checks that a node and its consumer have each row as it was at the version that the node claims, or as it became later.
    void check(const Node &node)
    {
        const TableReplica &table = node.m_replica;
        Content rows;
        for (const auto &[name, row] : table.m_rows) {
            if (!row.m_erased) {
                rows[name] = row.m_version;
            }
        }
        RC_ASSERT(node.m_consumed == rows);
        RC_ASSERT(table.m_changed <= table.m_version);
        if (table.m_version == 0) {
            return;
        }
        const Content &expected = m_contents.at(table.m_version);
        for (const auto &[name, version] : rows) {
            const auto known = expected.find(name);
            RC_ASSERT(version > table.m_version || (known != expected.end() && known->second == version));
        }
        for (const auto &[name, version] : expected) {
            RC_ASSERT(rows.contains(name) || isChangedAfter(name, version, table.m_version));
        }
    }

    /// Returns whether a row of one version was written or erased in the history after another version.
    [[nodiscard]] bool isChangedAfter(const std::string &name, Store::Version rowVersion, Store::Version version) const
    {
        for (auto content = m_contents.upper_bound(version); content != m_contents.end() && Store::eraOf(content->first) == Store::eraOf(version); ++content) {
            const auto row = content->second.find(name);
            if (row == content->second.end() || row->second != rowVersion) {
                return true;
            }
        }
        return false;
    }
};

void changeStore(History &history, std::uint32_t kind, std::uint32_t number)
{
    Fakes::FakeStore &store = history.m_store;
    switch (kind) {
    case 0:
        store.compactHistory();
        break;
    case 1:
        store.copy();
        break;
    case 2:
        store.restore();
        break;
    case 3:
        store.write("other table", "r", "v", history.m_now);
        break;
    case 4:
    case 5:
        store.erase("t", "r" + std::to_string(number), history.m_now);
        break;
    default:
        store.write("t", "r" + std::to_string(number), "v", history.m_now);
    }
    history.record();
}

void step(History &history, std::uint32_t random)
{
    const std::uint32_t number = random / 64 % 12;
    Node &node = history.m_nodes.at(random / 1024 % 3);
    Node &other = history.m_nodes.at((random / 1024 + 1 + random / 4096 % 2) % 3);
    const std::uint32_t kind = random % 64;
    if (kind < 24) {
        return changeStore(history, kind % 12, number);
    }
    if (kind < 44) {
        return history.readStore(node);
    }
    if (kind < 54) {
        return history.sendDelta(node, other);
    }
    if (kind < 62) {
        return history.confirm(node, other);
    }
    node = Node(); // The host restarts.
}

}

// Guards against versions that aren't true for all rows, so that the replica, its consumer or another host misses a change for good.
TEST_CASE("what a replica claims to know is true for every row, and its consumer has it")
{
    rc::prop("random writes, pages, feeds, lost histories, restores, restarts, deltas and confirmations", [] {
        History history;
        history.record();
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(300, rc::gen::arbitrary<std::uint32_t>());
        for (const std::uint32_t random : steps) {
            step(history, random);
            std::ranges::for_each(history.m_nodes, [&](const Node &node) { history.check(node); });
        }
        for (Node &node : history.m_nodes) {
            for (int i = 0; i < 20; ++i) {
                history.readStore(node);
            }
            RC_ASSERT(node.m_consumed == history.m_contents.rbegin()->second);
        }
    });
}

// Guards against erased rows that are no longer retained before the consumer has heard of them, which keeps servers in use that have gone.
TEST_CASE("a consumer hears of all rows that were erased at once")
{
    constexpr int Rows = 1500;
    const bool isHistoryLost = GENERATE(false, true);
    History history;
    for (int i = 0; i < Rows; ++i) {
        history.m_store.write("t", "r" + std::to_string(i), "v", history.m_now);
    }
    Node &node = history.m_nodes.front();
    Node &follower = history.m_nodes.back();
    for (int i = 0; i < Rows; ++i) {
        history.readStore(node);
    }
    history.sendDelta(node, follower);
    REQUIRE(follower.m_consumed.size() == Rows);
    for (int i = 1; i < Rows; ++i) {
        history.m_store.erase("t", "r" + std::to_string(i), history.m_now);
    }
    if (isHistoryLost) {
        history.m_store.compactHistory();
    }
    history.readStore(node);
    history.readStore(node);
    history.sendDelta(node, follower);
    CHECK(node.m_consumed.size() == 1);
    CHECK(follower.m_consumed.size() == 1);
    CHECK(node.m_replica.m_erased.size() <= 512);
    CHECK(node.m_replica.m_droppedRows.empty());
}
