#include "../fakes/faketables.h"
#include "../fakes/owntable.h"

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const HostId One("h1");

}

TEST_CASE("requests on one host")
{
    FakeWorld world(1);
    settle(world, 1, 3);

    SECTION("an answer is passed on")
    {
        const auto id = world.request(One, "/look/1");
        world.run(seconds(1));
        CHECK(world.m_responses.at(id).m_isForwarded);
        CHECK(world.m_served.size() == 1);
    }
    SECTION("a path without a route")
    {
        const auto id = world.request(One, "/nothing");
        CHECK(world.m_responses.at(id).m_problem.m_status == 404);
    }
    SECTION("an idempotent request is sent again after a broken connection")
    {
        world.m_server = [&](const ServedAttempt &attempt) {
            const bool isFirst = world.m_served.size() == 1;
            return std::pair(Duration(milliseconds(10)),
                             isFirst ? FakeWorld::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::Broken, true)
                                     : FakeWorld::answered(attempt.m_start.m_attempt, 200));
        };
        const auto id = world.request(One, "/look/1");
        world.run(seconds(1));
        CHECK(world.m_responses.at(id).m_isForwarded);
        CHECK(world.m_served.size() == 2);
        CHECK(world.m_served[0].m_start.m_server != world.m_served[1].m_start.m_server);
    }
    SECTION("a request that may run only once isn't sent again after a broken connection")
    {
        world.m_server = [](const ServedAttempt &attempt) {
            return std::pair(Duration(milliseconds(10)), FakeWorld::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::Broken, true));
        };
        const auto id = world.request(One, "/book/1");
        world.run(seconds(2));
        CHECK(world.m_served.size() == 1);
        CHECK(world.m_responses.at(id).m_problem.m_status == 502);
        CHECK(world.m_responses.at(id).m_problem.m_outcome == Dispatch::Outcome::Unknown);
    }
    SECTION("a request that may run only once is sent again when nothing of it was sent")
    {
        world.m_server = [&](const ServedAttempt &attempt) {
            const bool isFirst = world.m_served.size() == 1;
            return std::pair(Duration(milliseconds(10)),
                             isFirst ? FakeWorld::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::ConnectRefused, false)
                                     : FakeWorld::answered(attempt.m_start.m_attempt, 200));
        };
        const auto id = world.request(One, "/book/1");
        world.run(seconds(1));
        CHECK(world.m_responses.at(id).m_isForwarded);
        CHECK(world.m_served.size() == 2);
    }
    SECTION("a request that every server sheds is refused as not run")
    {
        world.m_server = [](const ServedAttempt &attempt) {
            return std::pair(Duration(milliseconds(2)), FakeWorld::answered(attempt.m_start.m_attempt, 503, true));
        };
        const auto id = world.request(One, "/book/1");
        world.run(seconds(2));
        CHECK(world.m_responses.at(id).m_problem.m_status == 503);
        CHECK(world.m_responses.at(id).m_problem.m_outcome == Dispatch::Outcome::NotRun);
        CHECK(world.m_served.size() == 2); // As many servers as the route allows.
    }
    SECTION("a server that never answers")
    {
        world.m_server = [](const ServedAttempt &) { return std::pair(Duration(0), std::optional<Host::Event>()); };
        const TimePoint sentAt = world.m_now;
        const auto id = world.request(One, "/book/1");
        world.run(seconds(3));
        CHECK(world.m_responses.at(id).m_problem.m_status == 504);
        CHECK(world.m_responses.at(id).m_at - sentAt <= milliseconds(1250));
        CHECK(world.m_responses.at(id).m_at - sentAt >= milliseconds(1000));
    }
    SECTION("the failure that a server answers is passed on when no other server does better")
    {
        world.m_server = [](const ServedAttempt &attempt) {
            return std::pair(Duration(milliseconds(10)), FakeWorld::answered(attempt.m_start.m_attempt, 500));
        };
        const auto id = world.request(One, "/look/1");
        world.run(seconds(2));
        CHECK(world.m_responses.at(id).m_isForwarded);
        CHECK(world.m_served.size() == 2);
    }
    SECTION("a slow answer to an idempotent request is hedged")
    {
        world.m_server = [&](const ServedAttempt &attempt) {
            const bool isFirst = world.m_served.size() == 1;
            return std::pair(Duration(isFirst ? milliseconds(900) : milliseconds(50)), FakeWorld::answered(attempt.m_start.m_attempt, 200));
        };
        const TimePoint sentAt = world.m_now;
        const auto id = world.request(One, "/look/1");
        world.run(seconds(2));
        CHECK(world.m_served.size() == 2);
        CHECK(world.m_responses.at(id).m_at - sentAt < milliseconds(600));
    }
}

TEST_CASE("regression: a retry while a hedge waits for its server")
{
    // The draw of the hedge stayed behind, and its answer ended the process.
    FakeWorld world(1);
    settle(world, 2, 2);
    const HostId leader = world.leader();
    const HostId other = leader == One ? HostId("h2") : One;
    world.m_server = [&](const ServedAttempt &attempt) {
        const bool isFirst = world.m_served.size() == 1;
        return std::pair(Duration(milliseconds(isFirst ? 303 : 5)), FakeWorld::answered(attempt.m_start.m_attempt, isFirst ? 500 : 200));
    };
    const auto id = world.request(other, "/look/1");
    // The hedge is asked for 300 ms after the first attempt has started, 2 ms after the request; the answer to its draw is lost.
    world.at(milliseconds(303), [&] { world.m_cuts.insert({leader, other}); });
    world.at(Duration(304'500), [&] { world.m_cuts.clear(); });
    world.run(seconds(3));
    CHECK(world.m_responses.at(id).m_isForwarded);
    CHECK(world.m_served.size() == 2);
    CHECK(world.state(other).m_placements.empty());
}

TEST_CASE("regression: requests without an answer held the slots of their server for ever")
{
    // A server that answered again got nothing for as long as the connections of earlier requests were open.
    FakeWorld world(21);
    settle(world, 3, 1);
    const HostId leader = world.leader();
    const HostId asking = GENERATE(0, 1) == 0 ? leader : world.follower();
    world.m_server = [](const ServedAttempt &) { return std::pair(Duration(0), std::optional<Host::Event>()); };
    world.request(asking, "/book/1");
    world.request(asking, "/book/2");
    world.run(milliseconds(1100));
    CHECK(world.state(asking).m_attempts.size() == 2); // They may still be answered, which would tell that the server is well.
    world.run(milliseconds(400));
    CHECK(world.state(asking).m_attempts.empty());
    CHECK(world.state(leader).m_scheduler.m_registry.m_servers.at(ServerId("s1")).m_running.empty());
    CHECK(world.state(leader).m_scheduler.m_granted.empty());
}

TEST_CASE("a request that may run only once ends well after its caller has gone")
{
    FakeWorld world(21);
    settle(world, 1, 1);
    world.m_server = [](const ServedAttempt &attempt) { return std::pair(Duration(milliseconds(900)), FakeWorld::answered(attempt.m_start.m_attempt, 200)); };
    const auto id = world.request(One, "/book/1");
    world.run(milliseconds(100));
    world.deliver(One, Host::CallerDisconnected{id});
    world.run(milliseconds(700));
    CHECK(world.state(One).m_attempts.size() == 1);
    world.run(milliseconds(200));
    CHECK(world.state(One).m_attempts.empty());
    CHECK(world.state(One).m_counters.at("attempts{end=\"succeeded\"}") == 1);
}

TEST_CASE("regression: each request of a workspace over its limit asked the lead, which got too much to do")
{
    FakeWorld world(21);
    startOwnFleet(world, 3, 2);
    world.command(HostId("h1"), limitEdit(world, "limit", "2", "2"));
    world.run(seconds(5));
    const HostId asking = world.follower();
    const auto before = world.m_datagrams[{asking, world.leader()}];
    for (int i = 0; i < 1000; ++i) {
        world.request(asking, "/page" + std::to_string(i), OwnKey);
        world.run(milliseconds(2));
    }
    CHECK(world.m_datagrams[{asking, world.leader()}] - before < 60);
    CHECK(world.countAnswers(429) > 900);
    CHECK(world.countAnswers(0) >= 4); // Two seconds of its rate: what the host denies by itself takes nothing from the workspace.

    world.run(seconds(2));
    const auto later = world.request(asking, "/later", OwnKey);
    world.run(seconds(1));
    CHECK(world.m_responses.at(later).m_isForwarded);
}

TEST_CASE("regression: a host pressed a lead that didn't answer at the same pace")
{
    FakeWorld world(21);
    settle(world, 3, 2);
    world.run(seconds(2));
    const HostId asking = world.follower();
    world.m_cuts.insert({world.leader(), asking});
    const auto before = world.m_datagrams[{asking, world.leader()}];
    const auto id = world.request(asking, "/look");
    world.run(milliseconds(39));
    CHECK(world.m_datagrams[{asking, world.leader()}] - before <= 2); // Once more for a datagram that was lost; then it decides alone.
    world.run(milliseconds(300));
    CHECK(world.m_responses.at(id).m_isForwarded);
}
