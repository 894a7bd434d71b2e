#include "../fakes/faketables.h"

#include <ragwortrelay/operators/codec.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using Operators::CommandRefused;
using Operators::ExplainRequest;
using Operators::RequestExplained;
using Scheduling::ServerExclusion;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ExplainRequest explainOf(const std::string &target)
{
    ExplainRequest request;
    request.m_target = target;
    return request;
}

RequestExplained explain(FleetSimulation &simulation, const HostId &host, const ExplainRequest &request)
{
    const auto *explained = simulation.replyTo<RequestExplained>(simulation.command(host, request));
    REQUIRE(explained != nullptr);
    return *explained;
}

Error refusalOf(FleetSimulation &simulation, const ExplainRequest &request)
{
    const auto *refused = simulation.replyTo<CommandRefused>(simulation.command(simulation.leader(), request));
    REQUIRE(refused != nullptr);
    return refused->m_error;
}

/// Starts a fleet with the workspaces w1 and w2, whose keys are their names.
void startFleet(FleetSimulation &simulation)
{
    simulation.m_source = fakeSource();
    writeConfiguration(simulation, 1, {workspace("w1", 100, 50), workspace("w2", 100, 50)});
    writeServers(simulation, 9);
    simulation.startHosts(3);
    simulation.run(seconds(4));
}

}

// A follower's own tokens and queue were taken for those of the fleet.
TEST_CASE("a follower's explanation names the leader that decides")
{
    FleetSimulation simulation(3);
    startFleet(simulation);
    const RequestExplained own = explain(simulation, simulation.leader(), explainOf("/look/1?a=b"));
    CHECK(own.m_leader.isEmpty());
    CHECK_FALSE(own.m_asksLeader);
    CHECK(own.m_route.m_name == "/look");
    CHECK(own.m_services.at(0).m_placement.m_server);

    const RequestExplained followed = explain(simulation, simulation.follower(), explainOf("/look/1"));
    CHECK(followed.m_leader == simulation.leader());
    CHECK(followed.m_asksLeader);

    const auto encoded = Operators::encodeReply(followed);
    CHECK(encoded.m_body.find(R"("ownParts":["limit","retryBudget","queue","running"])") != std::string::npos);
    const auto text = Operators::formatExplanation(encoded.m_body);
    REQUIRE(text);
    CHECK(text->find("are its own, not those of leader " + simulation.leader().text()) != std::string::npos);
    CHECK(text->find(followed.m_services.at(0).m_placement.m_server->text()) != std::string::npos);
}

// An explanation that takes a token or draws from the host's generator changes the requests that it is about.
TEST_CASE("an explanation changes nothing on the host")
{
    FleetSimulation simulation(4);
    startFleet(simulation);
    for (int i = 0; i < 40; ++i) {
        simulation.request(HostId("h" + std::to_string(i % 3 + 1)), "/keyed/" + std::to_string(i), "w1");
    }
    simulation.run(milliseconds(20));
    for (const HostId &host : {simulation.leader(), simulation.follower()}) {
        simulation.deliver(host, Host::TimerExpired{}); // Work that is due now isn't done by the commands.
        const Host::State before = simulation.state(host);
        const std::size_t attempts = simulation.m_receivedAttempts.size();
        const auto datagrams = simulation.m_datagrams;
        ExplainRequest request = explainOf("/keyed/x");
        request.m_workspace = WorkspaceId("w1");
        explain(simulation, host, request);
        request.m_tried = {ServerId("s1")};
        explain(simulation, host, request);
        const Host::State &after = simulation.state(host);
        CHECK(after.m_random == before.m_random);
        CHECK(after.m_scheduler.m_buckets == before.m_scheduler.m_buckets);
        CHECK(after.m_scheduler.m_budgets == before.m_scheduler.m_budgets);
        CHECK(after.m_scheduler.m_selections == before.m_scheduler.m_selections);
        CHECK(after.m_scheduler.m_granted.size() == before.m_scheduler.m_granted.size());
        CHECK(after.m_lastPlacement == before.m_lastPlacement);
        CHECK(simulation.m_receivedAttempts.size() == attempts);
        CHECK(simulation.m_datagrams == datagrams);
    }
}

// Bad input was answered as if it were a request that goes nowhere.
TEST_CASE("bad input of an explanation gives an error of its own")
{
    FleetSimulation simulation(5);
    startFleet(simulation);
    ExplainRequest request = explainOf("/keyed/1");
    SECTION("no route")
    {
        CHECK(refusalOf(simulation, explainOf("/none")).m_id == ErrorId::RequestNoRoute);
    }
    SECTION("malformed path, method or body")
    {
        CHECK(refusalOf(simulation, explainOf("look")).m_id == ErrorId::RequestMalformed);
        CHECK(refusalOf(simulation, explainOf("/look/../book")).m_id == ErrorId::RequestMalformed);
        request.m_method = "get it";
        CHECK(refusalOf(simulation, request).m_id == ErrorId::RequestMalformed);
        CHECK_FALSE(Operators::decodeCommand("POST", "/ragwortrelay/explain", R"({"target":7})"));
    }
    SECTION("unknown workspace, also on a route that needs none")
    {
        request.m_workspace = WorkspaceId("w3");
        CHECK(refusalOf(simulation, request).m_id == ErrorId::TableUnknownRow);
        request.m_target = "/look/1";
        CHECK(refusalOf(simulation, request).m_id == ErrorId::TableUnknownRow);
    }
    SECTION("no or another workspace's key")
    {
        CHECK(refusalOf(simulation, request).m_id == ErrorId::RequestUnauthenticated);
        request.m_key = "w3";
        CHECK(refusalOf(simulation, request).m_id == ErrorId::RequestUnauthenticated);
        request.m_key = "w1";
        CHECK(explain(simulation, simulation.leader(), request).m_workspace == WorkspaceId("w1"));
        request.m_workspace = WorkspaceId("w2");
        CHECK(refusalOf(simulation, request).m_id == ErrorId::RequestUnauthenticated);
    }
    SECTION("unknown failure domain or server")
    {
        request = explainOf("/look/1");
        request.m_domain = FailureDomainId("d9");
        CHECK(refusalOf(simulation, request).m_id == ErrorId::TableUnknownRow);
        request.m_domain = FailureDomainId("d2");
        CHECK(explain(simulation, simulation.leader(), request).m_domain == FailureDomainId("d2"));
        request.m_tried = {ServerId("s99")};
        CHECK(refusalOf(simulation, request).m_id == ErrorId::TableUnknownRow);
    }
    const Error error{ErrorId::RequestNoRoute, "no route for this request"};
    CHECK(Operators::decodeRefusal(Operators::encodeReply(CommandRefused{error}).m_body) == error);
}

// A server that had asked for a pause looked like one that the request had tried.
TEST_CASE("an explanation tells paused servers from tried ones")
{
    FleetSimulation simulation(6);
    startFleet(simulation);
    const HostId leader = simulation.leader();
    Host::State &state = simulation.m_hosts.at(leader);
    Scheduling::startPause(state.m_pauses, state.m_scheduler.m_registry, ServerId("s2"), seconds(5), simulation.m_now);
    ExplainRequest request = explainOf("/look/1");
    request.m_tried = {ServerId("s1")};
    CHECK(Operators::decodeCommand("POST", "/ragwortrelay/explain", Operators::encodeExplainRequest(request)) == Operators::Command(request));
    const RequestExplained explained = explain(simulation, leader, request);
    CHECK(explained.m_isRetry);
    for (const Scheduling::ServerExplanation &server : explained.m_services.at(0).m_placement.m_selection.m_servers) {
        const bool isTried = server.m_server == ServerId("s1");
        const bool isPaused = server.m_server == ServerId("s2");
        const std::vector expected{isTried ? ServerExclusion::Excluded : ServerExclusion::Paused};
        CHECK(server.m_exclusions == (isTried || isPaused ? expected : std::vector<ServerExclusion>()));
    }
}
