#include <ragwortrelay/scheduling/scheduler.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace RagwortRelay;
using namespace RagwortRelay::Scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Desk("desk");
constexpr std::uint64_t Waiting = 512; // The bound of the queue.
constexpr std::uint64_t MaxSelectionsPerEvent = 8;

/// Service with servers of two failure domains. The ones of d1 are full and those of d2 are free; placements wait for which the free ones are no choice.
class BlockedQueue
{
public:
    explicit BlockedQueue(double pricePerKib)
    {
        m_scheduler.m_settings.m_selection.m_spillover.m_pricePerKib = pricePerKib;
        for (int i = 0; i < 40; ++i) {
            Configuration::Server server;
            server.m_id = ServerId("s" + std::to_string(i));
            server.m_service = Desk;
            server.m_address = "10.0.0.1:" + std::to_string(i + 1);
            server.m_domain = FailureDomainId(i % 2 == 0 ? "d1" : "d2");
            server.m_slots = i % 2 == 0 ? 2 : 1000;
            setServer(m_scheduler.m_registry, server, m_now);
            (i % 2 == 0 ? m_full : m_free).push_back(server.m_id);
        }
        for (int i = 0; i < 40; ++i) {
            REQUIRE(request("d1", m_free));
        }
        for (int i = 0; i < 200; ++i) {
            REQUIRE(request("d2", m_full));
        }
    }

    /// Requests a placement for a body of 100 KiB. Returns whether it was granted at once.
    bool request(const std::string &domain, const std::vector<ServerId> &excluded)
    {
        PlacementRequest placement;
        placement.m_number = ++m_lastNumber;
        placement.m_service = Desk;
        placement.m_timeLeft = seconds(100);
        placement.m_objectiveLeft = seconds(100);
        placement.m_excluded = excluded;
        placement.m_bodyBytes = 100 * 1024;
        const auto reply = Scheduling::placement(m_scheduler, placement, {HostId("h-" + domain), FailureDomainId(domain)}, m_random, m_now);
        return reply && reply->m_server;
    }

    /// Ends an attempt on a server that has free slots, and returns the number of selections that follow.
    std::uint64_t selectionsAfterEnd()
    {
        const std::uint64_t before = m_scheduler.m_selections;
        const auto isFree = [&](const auto &granted) { return granted.first.m_host == HostId("h-d2"); };
        const auto granted = std::ranges::find_if(m_scheduler.m_granted, isFree);
        const AttemptReport report{granted->first.m_number, granted->second.m_server, AttemptEnd::Succeeded, milliseconds(100), 0, 0, false};
        finish(m_scheduler, report, {HostId("h-d2"), FailureDomainId("d2")}, m_now);
        (void)serve(m_scheduler, m_random, m_now);
        return m_scheduler.m_selections - before;
    }

    Scheduler m_scheduler;
    std::vector<ServerId> m_full;
    std::vector<ServerId> m_free;
    TimePoint m_now{seconds(100)};

private:
    std::uint64_t m_lastNumber = 0;
    RandomGenerator m_random{1};
};

}

// Guards against a leader that falls behind because each end of an attempt tries servers for many placements in vain (8, and 64 with a price).
TEST_CASE("the selections for an event don't grow with the placements that wait in vain")
{
    const double price = GENERATE(0.0, 10.0);
    BlockedQueue blocked(price);
    for (std::uint64_t i = 0; i < Waiting; ++i) {
        CHECK_FALSE(blocked.request("d1", price > 0.0 ? std::vector<ServerId>() : blocked.m_free));
    }
    REQUIRE(blocked.m_scheduler.m_queues.at(Desk).m_size == Waiting);
    std::uint64_t total = 0;
    constexpr std::uint64_t Events = 100;
    for (std::uint64_t i = 0; i < Events; ++i) {
        blocked.m_now += milliseconds(1);
        const std::uint64_t selections = blocked.selectionsAfterEnd();
        CHECK(selections <= MaxSelectionsPerEvent);
        total += selections;
    }
    CHECK(total <= Events);
}

// Guards against placements of hosts that don't follow the leader yet, which wait for the next full check although they may use any server.
TEST_CASE("a freed slot unblocks the placements that may use it")
{
    PlacementQueue queue;
    const auto classIn = [](const std::string &domain) { return PlacementClass{FailureDomainId(domain), true, 0, {}}; };
    queue.m_blocked = {classIn("d1"), classIn("d2"), classIn("")};

    SECTION("with a price, those of its failure domain and of no known one")
    {
        noteFreedSlot(queue, ServerId("s1"), FailureDomainId("d1"), TimePoint(seconds(1)));
        CHECK(queue.m_blocked == std::set{classIn("d2")});
    }
    SECTION("without a price, all")
    {
        noteFreedSlot(queue, ServerId("s1"), std::nullopt, TimePoint(seconds(1)));
        CHECK(queue.m_blocked.empty());
    }
    CHECK(queue.m_freed == std::vector{ServerId("s1")});
}

// Guards against an order that depends on the grouping of the queue: a less urgent placement must not go first, nor one that fair queueing starts later.
TEST_CASE("the next placement of a queue is the one that a queue without classes would serve")
{
    CHECK(rc::check("order of a queue", [] {
        const TimePoint now(seconds(10));
        PlacementQueue queue;
        std::vector<std::tuple<std::uint32_t, bool, double>> expected;
        const auto count = *rc::gen::inRange(1, 40);
        for (int i = 0; i < count; ++i) {
            QueuedPlacement entry;
            entry.m_placement.m_number = static_cast<std::uint64_t>(i);
            entry.m_placement.m_priority = *rc::gen::inRange<std::uint32_t>(0, 3);
            entry.m_requester.m_domain = FailureDomainId("d" + std::to_string(*rc::gen::inRange(0, 4)));
            const bool missesObjective = *rc::gen::arbitrary<bool>();
            entry.m_objectiveDeadline = missesObjective ? now : now + seconds(1);
            entry.m_startTag = *rc::gen::inRange(0, 100);
            insert(queue, entry, false);
            expected.emplace_back(entry.m_placement.m_priority, missesObjective, entry.m_startTag);
        }
        std::ranges::sort(expected);
        for (const auto &next : expected) {
            const auto position = nextPlacement(queue, {}, milliseconds(100), now);
            RC_ASSERT(position);
            const QueuedPlacement &entry = *position->m_entry;
            RC_ASSERT(std::tuple(entry.m_placement.m_priority, entry.m_objectiveDeadline == now, entry.m_startTag) == next);
            erase(queue, *position);
        }
        RC_ASSERT(queue.m_size == 0U);
        RC_ASSERT(queue.m_placements.empty());
    }));
}
