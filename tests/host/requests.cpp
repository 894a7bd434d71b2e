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
    FleetSimulation simulation(1);
    startStableFleet(simulation, 1, 3);

    SECTION("an answer is passed on")
    {
        const auto id = simulation.request(One, "/look/1");
        simulation.run(seconds(1));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
        CHECK(simulation.m_receivedAttempts.size() == 1);
    }
    SECTION("a path without a route")
    {
        const auto id = simulation.request(One, "/nothing");
        CHECK(simulation.m_responses.at(id).m_problem.m_status == 404);
    }
    SECTION("an idempotent request is sent again after a broken connection")
    {
        simulation.m_server = [&](const ServedAttempt &attempt) {
            const bool isFirst = simulation.m_receivedAttempts.size() == 1;
            return std::pair(Duration(milliseconds(10)),
                             isFirst ? FleetSimulation::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::Broken, true)
                                     : FleetSimulation::answered(attempt.m_start.m_attempt, 200));
        };
        const auto id = simulation.request(One, "/look/1");
        simulation.run(seconds(1));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
        CHECK(simulation.m_receivedAttempts.size() == 2);
        CHECK(simulation.m_receivedAttempts[0].m_start.m_server != simulation.m_receivedAttempts[1].m_start.m_server);
    }
    SECTION("a request that may run only once isn't sent again after a broken connection")
    {
        simulation.m_server = [](const ServedAttempt &attempt) {
            return std::pair(Duration(milliseconds(10)), FleetSimulation::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::Broken, true));
        };
        const auto id = simulation.request(One, "/book/1");
        simulation.run(seconds(2));
        CHECK(simulation.m_receivedAttempts.size() == 1);
        CHECK(simulation.m_responses.at(id).m_problem.m_status == 502);
        CHECK(simulation.m_responses.at(id).m_problem.m_outcome == Dispatch::Outcome::Unknown);
    }
    SECTION("a request that may run only once is sent again when nothing of it was sent")
    {
        simulation.m_server = [&](const ServedAttempt &attempt) {
            const bool isFirst = simulation.m_receivedAttempts.size() == 1;
            return std::pair(Duration(milliseconds(10)),
                             isFirst ? FleetSimulation::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::ConnectRefused, false)
                                     : FleetSimulation::answered(attempt.m_start.m_attempt, 200));
        };
        const auto id = simulation.request(One, "/book/1");
        simulation.run(seconds(1));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
        CHECK(simulation.m_receivedAttempts.size() == 2);
    }
    SECTION("a request that every server sheds is refused as not run")
    {
        simulation.m_server = [](const ServedAttempt &attempt) {
            return std::pair(Duration(milliseconds(2)), FleetSimulation::answered(attempt.m_start.m_attempt, 503, true));
        };
        const auto id = simulation.request(One, "/book/1");
        simulation.run(seconds(2));
        CHECK(simulation.m_responses.at(id).m_problem.m_status == 503);
        CHECK(simulation.m_responses.at(id).m_problem.m_outcome == Dispatch::Outcome::NotRun);
        CHECK(simulation.m_receivedAttempts.size() == 2); // As many servers as the route allows.
    }
    SECTION("a server that never answers")
    {
        simulation.m_server = [](const ServedAttempt &) { return std::pair(Duration(0), std::optional<Host::Event>()); };
        const TimePoint sentAt = simulation.m_now;
        const auto id = simulation.request(One, "/book/1");
        simulation.run(seconds(3));
        CHECK(simulation.m_responses.at(id).m_problem.m_status == 504);
        CHECK(simulation.m_responses.at(id).m_at - sentAt <= milliseconds(1250));
        CHECK(simulation.m_responses.at(id).m_at - sentAt >= milliseconds(1000));
    }
    SECTION("the failure that a server answers is passed on when no other server does better")
    {
        simulation.m_server = [](const ServedAttempt &attempt) {
            return std::pair(Duration(milliseconds(10)), FleetSimulation::answered(attempt.m_start.m_attempt, 500));
        };
        const auto id = simulation.request(One, "/look/1");
        simulation.run(seconds(2));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
        CHECK(simulation.m_receivedAttempts.size() == 2);
    }
    SECTION("a slow answer to an idempotent request is hedged")
    {
        simulation.m_server = [&](const ServedAttempt &attempt) {
            const bool isFirst = simulation.m_receivedAttempts.size() == 1;
            return std::pair(Duration(isFirst ? milliseconds(900) : milliseconds(50)), FleetSimulation::answered(attempt.m_start.m_attempt, 200));
        };
        const TimePoint sentAt = simulation.m_now;
        const auto id = simulation.request(One, "/look/1");
        simulation.run(seconds(2));
        CHECK(simulation.m_receivedAttempts.size() == 2);
        CHECK(simulation.m_responses.at(id).m_at - sentAt < milliseconds(600));
    }
}

TEST_CASE("regression: a retry while a hedge waits for its server")
{
    // The placement of the hedge stayed behind, and its answer ended the process.
    FleetSimulation simulation(1);
    startStableFleet(simulation, 2, 2);
    const HostId leader = simulation.leader();
    const HostId other = leader == One ? HostId("h2") : One;
    simulation.m_server = [&](const ServedAttempt &attempt) {
        const bool isFirst = simulation.m_receivedAttempts.size() == 1;
        return std::pair(Duration(milliseconds(isFirst ? 303 : 5)), FleetSimulation::answered(attempt.m_start.m_attempt, isFirst ? 500 : 200));
    };
    const auto id = simulation.request(other, "/look/1");
    // The hedge is asked for 300 ms after the first attempt has started, 2 ms after the request; the answer to its placement is lost.
    simulation.at(milliseconds(303), [&] { simulation.m_partitions.insert({leader, other}); });
    simulation.at(Duration(304'500), [&] { simulation.m_partitions.clear(); });
    simulation.run(seconds(3));
    CHECK(simulation.m_responses.at(id).m_isForwarded);
    CHECK(simulation.m_receivedAttempts.size() == 2);
    CHECK(simulation.state(other).m_placements.empty());
}

TEST_CASE("regression: requests without an answer held the slots of their server for ever")
{
    // A server that answered again got nothing for as long as the connections of earlier requests were open.
    FleetSimulation simulation(21);
    startStableFleet(simulation, 3, 1);
    const HostId leader = simulation.leader();
    const HostId asking = GENERATE(0, 1) == 0 ? leader : simulation.follower();
    simulation.m_server = [](const ServedAttempt &) { return std::pair(Duration(0), std::optional<Host::Event>()); };
    simulation.request(asking, "/book/1");
    simulation.request(asking, "/book/2");
    simulation.run(milliseconds(1100));
    CHECK(simulation.state(asking).m_attempts.size() == 2); // They may still be answered, which would tell that the server is well.
    simulation.run(milliseconds(400));
    CHECK(simulation.state(asking).m_attempts.empty());
    CHECK(simulation.state(leader).m_scheduler.m_registry.m_servers.at(ServerId("s1")).m_running.empty());
    CHECK(simulation.state(leader).m_scheduler.m_granted.empty());
}

TEST_CASE("a request that may run only once ends well after its caller has gone")
{
    FleetSimulation simulation(21);
    startStableFleet(simulation, 1, 1);
    simulation.m_server = [](const ServedAttempt &attempt) {
        return std::pair(Duration(milliseconds(900)), FleetSimulation::answered(attempt.m_start.m_attempt, 200));
    };
    const auto id = simulation.request(One, "/book/1");
    simulation.run(milliseconds(100));
    simulation.deliver(One, Host::CallerDisconnected{id});
    simulation.run(milliseconds(700));
    CHECK(simulation.state(One).m_attempts.size() == 1);
    simulation.run(milliseconds(200));
    CHECK(simulation.state(One).m_attempts.empty());
    CHECK(simulation.state(One).m_counters.at("attempts{end=\"succeeded\"}") == 1);
}

TEST_CASE("regression: each request of a workspace over its limit asked the leader, which got too much to do")
{
    FleetSimulation simulation(21);
    startOperatorTableFleet(simulation, 3, 2);
    simulation.command(HostId("h1"), limitEdit(simulation, "limit", "2", "2"));
    simulation.run(seconds(5));
    const HostId asking = simulation.follower();
    const auto before = simulation.m_datagrams[{asking, simulation.leader()}];
    for (int i = 0; i < 1000; ++i) {
        simulation.request(asking, "/page" + std::to_string(i), OwnKey);
        simulation.run(milliseconds(2));
    }
    CHECK(simulation.m_datagrams[{asking, simulation.leader()}] - before < 60);
    CHECK(simulation.countAnswers(429) > 900);
    CHECK(simulation.countAnswers(0) >= 4); // Two seconds of its rate: what the host denies by itself takes nothing from the workspace.

    simulation.run(seconds(2));
    const auto later = simulation.request(asking, "/later", OwnKey);
    simulation.run(seconds(1));
    CHECK(simulation.m_responses.at(later).m_isForwarded);
}

TEST_CASE("regression: a host pressed a leader that didn't answer at the same pace")
{
    FleetSimulation simulation(21);
    startStableFleet(simulation, 3, 2);
    simulation.run(seconds(2));
    const HostId asking = simulation.follower();
    simulation.m_partitions.insert({simulation.leader(), asking});
    const auto before = simulation.m_datagrams[{asking, simulation.leader()}];
    const auto id = simulation.request(asking, "/look");
    simulation.run(milliseconds(39));
    CHECK(simulation.m_datagrams[{asking, simulation.leader()}] - before <= 2); // Once more for a datagram that was lost; then it decides alone.
    simulation.run(milliseconds(300));
    CHECK(simulation.m_responses.at(id).m_isForwarded);
}
