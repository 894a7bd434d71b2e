#include <ragwortrelay/balancing/requestqueue.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace RagwortRelay;
using namespace RagwortRelay::Balancing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{seconds(100)};

QueuedRequest request(std::uint64_t id, const std::string &workspace, double weight = 1.0)
{
    return {id, WorkspaceId(workspace), weight, Start + seconds(10)};
}

/// Plain list of requests; the naive version of the queue's bookkeeping.
using PlainList = std::vector<QueuedRequest>;

std::size_t countOf(const PlainList &list, const WorkspaceId &workspace)
{
    return static_cast<std::size_t>(std::count_if(list.begin(), list.end(), [&](const QueuedRequest &entry) { return entry.m_workspace == workspace; }));
}

/// Returns the oldest request of a workspace.
std::uint64_t firstOf(const PlainList &list, const WorkspaceId &workspace)
{
    return std::find_if(list.begin(), list.end(), [&](const QueuedRequest &entry) { return entry.m_workspace == workspace; })->m_id;
}

}

TEST_CASE("request queue")
{
    RequestQueue queue;
    QueueSettings settings;

    SECTION("a workspace at many times the load of another does not delay it")
    {
        for (std::uint64_t id = 1; id <= 30; ++id) {
            REQUIRE(enqueue(queue, settings, request(id, "large"), Start));
        }
        takeTurn(queue, Start);
        takeTurn(queue, Start);
        REQUIRE(enqueue(queue, settings, request(100, "small"), Start));
        CHECK(nextTurn(queue) == 100);
    }

    SECTION("turns follow the weights")
    {
        for (std::uint64_t id = 1; id <= 30; ++id) {
            REQUIRE(enqueue(queue, settings, request(id, "a", 3.0), Start));
            REQUIRE(enqueue(queue, settings, request(100 + id, "b", 1.0), Start));
        }
        int turnsOfA = 0;
        for (int turn = 0; turn < 20; ++turn) {
            turnsOfA += *nextTurn(queue) < 100 ? 1 : 0;
            takeTurn(queue, Start);
        }
        CHECK(turnsOfA == 15);
    }

    SECTION("a turn in vain costs nothing")
    {
        REQUIRE(enqueue(queue, settings, request(1, "a"), Start));
        REQUIRE(enqueue(queue, settings, request(2, "b"), Start));
        takeTurn(queue, Start);
        enqueueAgain(queue, request(1, "a"));
        CHECK(nextTurn(queue) == 1);
    }

    SECTION("refuses what would come too late")
    {
        for (std::uint64_t id = 1; id <= 20; ++id) {
            REQUIRE(enqueue(queue, settings, request(id, "a"), Start));
        }
        for (int turn = 0; turn < 10; ++turn) {
            takeTurn(queue, Start + milliseconds(400) * turn);
        }
        CHECK(enqueue(queue, settings, request(50, "a"), Start + seconds(4)) == tl::make_unexpected(QueueRefusal::TooLate));
        CHECK(enqueue(queue, settings, request(51, "b"), Start + seconds(4)));
    }
}

TEST_CASE("request queue against a plain list")
{
    const bool holds = rc::check("bounds, order within a workspace and fair turns", [] {
        RequestQueue queue;
        QueueSettings settings{4, 9, seconds(1000)};
        PlainList list;
        std::uint64_t lastId = 0;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 4)));
        for (const auto &[kind, number] : steps) {
            const WorkspaceId workspace("w" + std::to_string(number));
            if (kind < 5) {
                const QueuedRequest added{++lastId, workspace, 1.0 + number, Start + seconds(lastId % 7 == 0 ? 1 : 100)};
                const bool fits = countOf(list, workspace) < settings.m_perWorkspace && list.size() < settings.m_perService;
                RC_ASSERT(enqueue(queue, settings, added, Start).has_value() == fits);
                if (fits) {
                    list.push_back(added);
                }
            } else if (kind < 8 && !list.empty()) {
                const auto next = nextTurn(queue);
                RC_ASSERT(next.has_value());
                const auto entry = std::find_if(list.begin(), list.end(), [&](const QueuedRequest &queued) { return queued.m_id == *next; });
                RC_ASSERT(entry != list.end());
                RC_ASSERT(firstOf(list, entry->m_workspace) == *next);
                takeTurn(queue, Start);
                if (kind == 7) {
                    enqueueAgain(queue, *entry);
                    RC_ASSERT(nextTurn(queue) == next);
                } else {
                    list.erase(entry);
                }
            } else if (kind == 8 && !list.empty()) {
                const QueuedRequest removed = list[static_cast<std::size_t>(number) % list.size()];
                RC_ASSERT(removeRequest(queue, removed.m_workspace, removed.m_id));
                std::erase(list, removed);
            } else if (kind == 9) {
                const std::vector<std::uint64_t> expired = expire(queue, Start + seconds(1));
                const std::size_t before = list.size();
                std::erase_if(list, [](const QueuedRequest &queued) { return queued.m_startBefore <= Start + seconds(1); });
                RC_ASSERT(expired.size() == before - list.size());
            }
            RC_ASSERT(queue.m_size == list.size());
        }
    });
    CHECK(holds);
}
