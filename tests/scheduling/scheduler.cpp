#include <ragwortrelay/scheduling/scheduler.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Desk("desk");
const WorkspaceId Hotel("hotel");
const Requester Self{HostId("h1"), FailureDomainId("d1")};

/// Scheduler for a service of one server with the given number of slots, and for one workspace with a rate limit in requests a second.
class SingleServerScheduler
{
public:
    SingleServerScheduler(std::uint32_t slots, std::uint32_t rate)
    {
        Configuration::Server server;
        server.m_id = ServerId("s1");
        server.m_service = Desk;
        server.m_address = "10.0.0.1:80";
        server.m_domain = Self.m_domain;
        server.m_slots = slots;
        setServer(m_scheduler.m_registry, server, m_now);
        Configuration::Catalogue catalogue;
        Configuration::Workspace workspace;
        workspace.m_id = Hotel;
        workspace.m_rate = rate;
        workspace.m_burst = 1;
        catalogue.m_workspaces[Hotel] = workspace;
        setCatalogue(m_scheduler, catalogue, m_now);
        m_now += seconds(1); // Fills the bucket.
    }

    std::optional<PlacementReply> requestPlacement(Duration objective = seconds(2), std::uint32_t priority = 0)
    {
        PlacementRequest placement;
        placement.m_number = ++m_lastNumber;
        placement.m_service = Desk;
        placement.m_workspace = Hotel;
        placement.m_timeLeft = seconds(3);
        placement.m_objectiveLeft = objective;
        placement.m_priority = priority;
        return Scheduling::placement(m_scheduler, placement, Self, m_random, m_now);
    }

    std::vector<AddressedReply> serveAfter(Duration delay)
    {
        m_now += delay;
        return serve(m_scheduler, m_random, m_now);
    }

    void finishAttempt(std::uint64_t number)
    {
        finish(m_scheduler, {number, ServerId("s1"), AttemptEnd::Succeeded, milliseconds(100), 0, 0, false}, Self, m_now);
    }

    Scheduler m_scheduler;
    std::uint64_t m_lastNumber = 0;
    TimePoint m_now{seconds(100)};

private:
    RandomGenerator m_random{1};
};

}

TEST_CASE("placement of a workspace without a token")
{
    SingleServerScheduler scheduling(50, 10);
    REQUIRE(scheduling.requestPlacement()->m_server);

    SECTION("waits for a token that becomes available soon")
    {
        CHECK_FALSE(scheduling.requestPlacement());
        CHECK(isQueued(scheduling.m_scheduler, {Self.m_host, 2}));
        CHECK(scheduling.serveAfter(milliseconds(60)).empty());
        const auto responses = scheduling.serveAfter(milliseconds(60));
        REQUIRE(responses.size() == 1);
        CHECK(responses.front().m_response.m_number == 2);
        CHECK(responses.front().m_response.m_server);
    }
    SECTION("is refused if the wait would exceed its bound")
    {
        std::size_t waiting = 0;
        while (!scheduling.requestPlacement()) {
            ++waiting;
        }
        CHECK(waiting == 4); // 400 ms at 10 requests a second.
        const auto refused = scheduling.requestPlacement();
        REQUIRE(refused);
        CHECK(refused->m_reason == RefusalReason::OverLimit);
        CHECK(scheduling.m_scheduler.m_registry.m_services.at(Desk).m_failures == 2.0); // Else a service that refuses many leaves servers unused.
    }
    SECTION("is refused if it would miss its latency objective")
    {
        const auto refused = scheduling.requestPlacement(milliseconds(200));
        REQUIRE(refused);
        CHECK(refused->m_reason == RefusalReason::OverLimit);
    }
    SECTION("does not exceed the rate by waiting")
    {
        std::size_t granted = 0;
        for (int i = 0; i < 500; ++i) {
            const auto response = scheduling.requestPlacement();
            granted += response && response->m_server ? 1 : 0;
            for (const AddressedReply &answered : scheduling.serveAfter(milliseconds(20))) {
                granted += answered.m_response.m_server ? 1 : 0;
                scheduling.finishAttempt(answered.m_response.m_number);
            }
        }
        CHECK(granted <= 101); // 10 s at 10 requests a second, and the burst.
        CHECK(granted >= 99);
    }
    SECTION("regression: a more urgent one got its token after less urgent ones of its workspace")
    {
        CHECK_FALSE(scheduling.requestPlacement(seconds(2), 1)); // Number 2.
        CHECK_FALSE(scheduling.requestPlacement(seconds(2), 1));
        CHECK_FALSE(scheduling.requestPlacement(seconds(2), 0)); // Number 4.
        CHECK_FALSE(scheduling.requestPlacement(seconds(2), 0));
        std::vector<std::uint64_t> order;
        for (int i = 0; i < 50; ++i) {
            for (const AddressedReply &reply : scheduling.serveAfter(milliseconds(20))) {
                order.push_back(reply.m_response.m_number);
            }
        }
        CHECK(order == std::vector<std::uint64_t>{4, 5, 2, 3});
    }
    SECTION("takes no token after it was cancelled")
    {
        CHECK_FALSE(scheduling.requestPlacement());
        cancel(scheduling.m_scheduler, {Self.m_host, 2});
        CHECK(scheduling.serveAfter(seconds(1)).empty());
        CHECK(scheduling.requestPlacement()->m_server);
    }
    SECTION("is placed without a token after the limit is removed")
    {
        CHECK_FALSE(scheduling.requestPlacement());
        setCatalogue(scheduling.m_scheduler, {}, scheduling.m_now);
        CHECK(scheduling.serveAfter(milliseconds(30)).size() == 1);
    }
}

TEST_CASE("slots of placements that their host no longer names")
{
    SingleServerScheduler single(1, 1000);
    const auto first = single.requestPlacement();
    REQUIRE((first && first->m_server));
    single.m_now += milliseconds(50);
    REQUIRE_FALSE(single.requestPlacement()); // It waits for the slot.
    const TimePoint later = single.m_now + milliseconds(1);

    SECTION("become free")
    {
        reconcile(single.m_scheduler, Self.m_host, {}, later);
        CHECK(single.m_scheduler.m_granted.empty());
        CHECK(single.serveAfter(milliseconds(50)).size() == 1);
    }
    SECTION("stay in use while the host names them, for other hosts, and if they were granted later")
    {
        reconcile(single.m_scheduler, Self.m_host, {first->m_number}, later);
        reconcile(single.m_scheduler, HostId("h2"), {}, later);
        reconcile(single.m_scheduler, Self.m_host, {}, single.m_now - milliseconds(50));
        CHECK(single.m_scheduler.m_granted.size() == 1);
        CHECK(single.serveAfter(milliseconds(50)).empty());
    }
}

TEST_CASE("regression: a queue is checked after its interval or a freed slot, not at each event")
{
    // Checking all waiting placements at each event delayed the replies of the leader.
    SingleServerScheduler scheduling(1, 1'000'000);
    REQUIRE(scheduling.requestPlacement()->m_server);
    CHECK_FALSE(scheduling.requestPlacement());
    CHECK_FALSE(scheduling.requestPlacement());
    CHECK(scheduling.serveAfter(milliseconds(1)).empty());
    const TimePoint next = nextServeAt(scheduling.m_scheduler);
    CHECK(next > scheduling.m_now);
    CHECK(next <= scheduling.m_now + milliseconds(20));

    scheduling.m_scheduler.m_registry.m_servers.at(ServerId("s1")).m_server.m_slots = 2; // The queue isn't notified.
    CHECK(scheduling.serveAfter(milliseconds(1)).empty());
    CHECK(scheduling.serveAfter(milliseconds(20)).size() == 1);

    scheduling.finishAttempt(1);
    CHECK(scheduling.serveAfter(milliseconds(1)).size() == 1);
}
