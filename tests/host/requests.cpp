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

    SECTION("a response is forwarded")
    {
        const auto id = simulation.request(One, "/look/1");
        simulation.run(seconds(1));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
        CHECK(simulation.m_receivedAttempts.size() == 1);
    }
    SECTION("a request without a matching route is refused with status 404")
    {
        const auto id = simulation.request(One, "/nothing");
        CHECK(simulation.m_responses.at(id).m_problem.m_status == 404);
    }
    SECTION("an idempotent request is retried on another server after a broken connection")
    {
        simulation.m_server = [&](const ServedAttempt &attempt) {
            const bool isFirst = simulation.m_receivedAttempts.size() == 1;
            return std::pair(Duration(milliseconds(10)),
                             isFirst ? FleetSimulation::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::Broken, true)
                                     : FleetSimulation::responded(attempt.m_start.m_attempt, 200));
        };
        const auto id = simulation.request(One, "/look/1");
        simulation.run(seconds(1));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
        CHECK(simulation.m_receivedAttempts.size() == 2);
        CHECK(simulation.m_receivedAttempts[0].m_start.m_server != simulation.m_receivedAttempts[1].m_start.m_server);
    }
    SECTION("a non-idempotent request isn't retried after a broken connection")
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
    SECTION("a non-idempotent request is retried when nothing of it was sent")
    {
        simulation.m_server = [&](const ServedAttempt &attempt) {
            const bool isFirst = simulation.m_receivedAttempts.size() == 1;
            return std::pair(Duration(milliseconds(10)),
                             isFirst ? FleetSimulation::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::ConnectRefused, false)
                                     : FleetSimulation::responded(attempt.m_start.m_attempt, 200));
        };
        const auto id = simulation.request(One, "/book/1");
        simulation.run(seconds(1));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
        CHECK(simulation.m_receivedAttempts.size() == 2);
    }
    SECTION("a request that every server sheds is refused as not run")
    {
        simulation.m_server = [](const ServedAttempt &attempt) {
            return std::pair(Duration(milliseconds(2)), FleetSimulation::responded(attempt.m_start.m_attempt, 503, true));
        };
        const auto id = simulation.request(One, "/book/1");
        simulation.run(seconds(2));
        CHECK(simulation.m_responses.at(id).m_problem.m_status == 503);
        CHECK(simulation.m_responses.at(id).m_problem.m_outcome == Dispatch::Outcome::NotRun);
        CHECK(simulation.m_receivedAttempts.size() == 2); // Maximum number of attempts of the route.
    }
    SECTION("a request to a server that never responds ends with status 504 at its deadline")
    {
        simulation.m_server = [](const ServedAttempt &) { return std::pair(Duration(0), std::optional<Host::Event>()); };
        const TimePoint sentAt = simulation.m_now;
        const auto id = simulation.request(One, "/book/1");
        simulation.run(seconds(3));
        CHECK(simulation.m_responses.at(id).m_problem.m_status == 504);
        CHECK(simulation.m_responses.at(id).m_at - sentAt <= milliseconds(1250));
        CHECK(simulation.m_responses.at(id).m_at - sentAt >= milliseconds(1000));
    }
    SECTION("the failed response of a server is forwarded when the retry fails, too")
    {
        simulation.m_server = [](const ServedAttempt &attempt) {
            return std::pair(Duration(milliseconds(10)), FleetSimulation::responded(attempt.m_start.m_attempt, 500));
        };
        const auto id = simulation.request(One, "/look/1");
        simulation.run(seconds(2));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
        CHECK(simulation.m_receivedAttempts.size() == 2);
    }
    SECTION("an idempotent request is hedged when its first attempt is slow")
    {
        simulation.m_server = [&](const ServedAttempt &attempt) {
            const bool isFirst = simulation.m_receivedAttempts.size() == 1;
            return std::pair(Duration(isFirst ? milliseconds(900) : milliseconds(50)), FleetSimulation::responded(attempt.m_start.m_attempt, 200));
        };
        const TimePoint sentAt = simulation.m_now;
        const auto id = simulation.request(One, "/look/1");
        simulation.run(seconds(2));
        CHECK(simulation.m_receivedAttempts.size() == 2);
        CHECK(simulation.m_responses.at(id).m_at - sentAt < milliseconds(600));
    }
}

TEST_CASE("regression: a retry replaces the pending placement of a hedge")
{
    // The placement of the hedge wasn't cancelled, and the reply to it crashed the process.
    FleetSimulation simulation(1);
    startStableFleet(simulation, 2, 2);
    const HostId leader = simulation.leader();
    const HostId other = leader == One ? HostId("h2") : One;
    simulation.m_server = [&](const ServedAttempt &attempt) {
        const bool isFirst = simulation.m_receivedAttempts.size() == 1;
        return std::pair(Duration(milliseconds(isFirst ? 303 : 5)), FleetSimulation::responded(attempt.m_start.m_attempt, isFirst ? 500 : 200));
    };
    const auto id = simulation.request(other, "/look/1");
    // The first attempt starts 2 ms after the request, and the placement of the hedge is requested 300 ms later. The reply to that placement is lost.
    simulation.at(milliseconds(303), [&] { simulation.m_partitions.insert({leader, other}); });
    simulation.at(Duration(304'500), [&] { simulation.m_partitions.clear(); });
    simulation.run(seconds(3));
    CHECK(simulation.m_responses.at(id).m_isForwarded);
    CHECK(simulation.m_receivedAttempts.size() == 2);
    CHECK(simulation.state(other).m_placements.empty());
}

TEST_CASE("regression: requests without a response free the slots of their server")
{
    // Requests without a response held the slots of their server for as long as their connections were open, so that a server that had recovered got no
    // requests.
    FleetSimulation simulation(21);
    startStableFleet(simulation, 3, 1);
    const HostId leader = simulation.leader();
    const HostId requester = GENERATE(0, 1) == 0 ? leader : simulation.follower();
    simulation.m_server = [](const ServedAttempt &) { return std::pair(Duration(0), std::optional<Host::Event>()); };
    simulation.request(requester, "/book/1");
    simulation.request(requester, "/book/2");
    simulation.run(milliseconds(1100));
    CHECK(simulation.state(requester).m_attempts.size() == 2); // A late response would still show that the server is healthy.
    simulation.run(milliseconds(400));
    CHECK(simulation.state(requester).m_attempts.empty());
    CHECK(simulation.state(leader).m_scheduler.m_registry.m_servers.at(ServerId("s1")).m_running.empty());
    CHECK(simulation.state(leader).m_scheduler.m_granted.empty());
}

TEST_CASE("a non-idempotent attempt runs to its end after its caller has disconnected")
{
    FleetSimulation simulation(21);
    startStableFleet(simulation, 1, 1);
    simulation.m_server = [](const ServedAttempt &attempt) {
        return std::pair(Duration(milliseconds(900)), FleetSimulation::responded(attempt.m_start.m_attempt, 200));
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

TEST_CASE("regression: a host refuses requests of a workspace over its limit without asking the leader for each")
{
    // A placement request for each request overloaded the leader.
    FleetSimulation simulation(21);
    startOperatorTableFleet(simulation, 3, 2);
    simulation.command(HostId("h1"), limitEdit(simulation, "limit", "2", "2"));
    simulation.run(seconds(5));
    const HostId requester = simulation.follower();
    const auto before = simulation.m_datagrams[{requester, simulation.leader()}];
    for (int i = 0; i < 1000; ++i) {
        simulation.request(requester, "/page" + std::to_string(i), OwnKey);
        simulation.run(milliseconds(2));
    }
    CHECK(simulation.m_datagrams[{requester, simulation.leader()}] - before < 60);
    CHECK(simulation.countAnswers(429) > 900);
    CHECK(simulation.countAnswers(0) >= 4); // The tokens of two seconds: requests that the host refuses by itself take no token of the workspace.

    simulation.run(seconds(2));
    const auto later = simulation.request(requester, "/later", OwnKey);
    simulation.run(seconds(1));
    CHECK(simulation.m_responses.at(later).m_isForwarded);
}

TEST_CASE("regression: a host backs off from a leader that doesn't reply")
{
    // Placement requests resent at a constant interval added to the load of a leader that was slow already.
    FleetSimulation simulation(21);
    startStableFleet(simulation, 3, 2);
    simulation.run(seconds(2));
    const HostId requester = simulation.follower();
    simulation.m_partitions.insert({simulation.leader(), requester});
    const auto before = simulation.m_datagrams[{requester, simulation.leader()}];
    const auto id = simulation.request(requester, "/look");
    simulation.run(milliseconds(39));
    // The host resends once in case that the datagram was lost, then decides by itself.
    CHECK(simulation.m_datagrams[{requester, simulation.leader()}] - before <= 2);
    simulation.run(milliseconds(300));
    CHECK(simulation.m_responses.at(id).m_isForwarded);
}

// Guards against a fleet whose leader answers every question after its asker has decided alone, with a small part of each limit.
TEST_CASE("regression: no host used the replies of a leader that was slow")
{
    constexpr int Hosts = 10;
    constexpr int RequestsPerSecond = 40;
    FleetSimulation simulation(5);
    simulation.m_source = fakeSource();
    writeConfiguration(simulation, 1, nlohmann::json::array({workspace("w1", RequestsPerSecond * 5 / 4, RequestsPerSecond)}));
    writeServers(simulation, 20);
    simulation.startHosts(Hosts);
    simulation.run(seconds(4));
    simulation.m_peerDelay = milliseconds(40); // 80 ms from a request to its reply.
    const auto send = [&](int count) {
        std::vector<Host::ExchangeId> ids;
        for (int i = 0; i < count; ++i) {
            ids.push_back(simulation.request(HostId("h" + std::to_string(i % Hosts + 1)), "/keyed/" + std::to_string(i), "w1"));
            simulation.run(Duration(seconds(1)) / RequestsPerSecond);
        }
        return ids;
    };
    send(4 * RequestsPerSecond); // The hosts learn the reply time.
    const std::size_t first = simulation.m_receivedAttempts.size();
    const auto ids = send(4 * RequestsPerSecond);
    simulation.run(seconds(1));
    const auto isServed = [&](Host::ExchangeId id) { return simulation.m_responses.contains(id) && simulation.m_responses.at(id).m_isForwarded; };
    CHECK(std::ranges::count_if(ids, isServed) >= static_cast<std::ptrdiff_t>(0.95 * 4 * RequestsPerSecond));
    CHECK(simulation.m_receivedAttempts.size() > first);
}

TEST_CASE("regression: a response that arrived while the host was suspended is forwarded although the deadline is over")
{
    // The timer of the deadline was handled before the response was read.
    FleetSimulation simulation(21);
    startStableFleet(simulation, 1, 1);
    simulation.m_server = [](const ServedAttempt &) { return std::pair(Duration(0), std::optional<Host::Event>()); };
    const auto id = simulation.request(One, "/book/1");
    simulation.run(milliseconds(100));
    Host::State &state = simulation.m_hosts.at(One);
    const TimePoint resumedAt = simulation.m_now + seconds(4);
    const auto isProblem = [](const Host::Action &action) { return std::holds_alternative<Host::SendProblem>(action); };
    const Host::Actions expired = Host::handle(state, Host::TimerExpired{}, resumedAt);
    CHECK(std::ranges::none_of(expired, isProblem));
    const auto response = FleetSimulation::responded(simulation.m_receivedAttempts.front().m_start.m_attempt, 200);
    const Host::Actions actions = Host::handle(state, *response, resumedAt + milliseconds(1));
    const Host::ForwardResponse forwarded{id, simulation.m_receivedAttempts.front().m_start.m_attempt};
    CHECK(std::ranges::find(actions, Host::Action(forwarded)) != actions.end());
}

// Guards against a 504 in place of a response that is there, whichever the event loop handles first, and however late it handles the deadline.
TEST_CASE("regression: a host that was woken shortly after a deadline gave up a request although its response had arrived")
{
    FleetSimulation simulation(21);
    startStableFleet(simulation, 1, 1);
    simulation.m_server = [](const ServedAttempt &) { return std::pair(Duration(0), std::optional<Host::Event>()); };
    const auto id = simulation.request(One, "/book/1");
    simulation.run(milliseconds(100));
    Host::State &state = simulation.m_hosts.at(One);
    const Host::AttemptId attempt = simulation.m_receivedAttempts.front().m_start.m_attempt;
    const TimePoint wokenAt =
        state.m_exchanges.at(id).m_deadline + state.m_settings.m_responseGrace + GENERATE(Duration(0), milliseconds(5), milliseconds(300));
    const Host::Event timer = Host::TimerExpired{};
    const Host::Event response = *FleetSimulation::responded(attempt, 200);
    const bool isTimerFirst = GENERATE(true, false);
    Host::Actions actions = Host::handle(state, isTimerFirst ? timer : response, wokenAt);
    const Host::Actions later = Host::handle(state, isTimerFirst ? response : timer, wokenAt);
    actions.insert(actions.end(), later.begin(), later.end());
    CHECK(std::ranges::find(actions, Host::Action(Host::ForwardResponse{id, attempt})) != actions.end());
    CHECK(std::ranges::none_of(actions, [](const Host::Action &action) { return std::holds_alternative<Host::SendProblem>(action); }));
}

TEST_CASE("a request without a response ends soon after its host was suspended beyond the deadline")
{
    FleetSimulation simulation(21);
    startStableFleet(simulation, 1, 1);
    simulation.m_server = [](const ServedAttempt &) { return std::pair(Duration(0), std::optional<Host::Event>()); };
    simulation.request(One, "/book/1");
    simulation.run(milliseconds(100));
    Host::State &state = simulation.m_hosts.at(One);
    const TimePoint resumedAt = simulation.m_now + seconds(4);
    Host::handle(state, Host::TimerExpired{}, resumedAt);
    const Host::Actions actions = Host::handle(state, Host::TimerExpired{}, resumedAt + milliseconds(100));
    CHECK(std::ranges::any_of(actions, [](const Host::Action &action) { return std::holds_alternative<Host::SendProblem>(action); }));
}
