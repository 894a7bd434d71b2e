#include "../fakes/owntable.h"

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Returns the log lines of an event, with the hosts that wrote them.
std::vector<std::pair<HostId, Reporting::LogLine>> linesOf(const FleetSimulation &simulation, const std::string &event)
{
    std::vector<std::pair<HostId, Reporting::LogLine>> lines;
    for (const auto &[host, line] : simulation.m_log) {
        if (line.m_event == event) {
            lines.emplace_back(host, line);
        }
    }
    return lines;
}

/// Returns the value of a field of a log line; empty if there is no such field.
std::string fieldOf(const Reporting::LogLine &line, const std::string &name)
{
    for (const auto &[field, value] : line.m_fields) {
        if (field == name) {
            return value;
        }
    }
    return {};
}

/// Sends rounds of requests 30 ms apart, each with two requests through each of three hosts.
void sendRounds(FleetSimulation &simulation, int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < 6; ++i) {
            simulation.request(HostId("h" + std::to_string(i % 3 + 1)), "/page" + std::to_string(round) + '-' + std::to_string(i), OwnKey);
        }
        simulation.run(milliseconds(30));
    }
}

}

TEST_CASE("log lines about suspected servers")
{
    FleetSimulation simulation(11);
    bool isFailing = true;
    const ServerId failing("b2");
    simulation.m_server = [&](const ServedAttempt &attempt) {
        const bool fails = isFailing && attempt.m_start.m_server == failing;
        return std::pair(Duration(milliseconds(20)), FleetSimulation::responded(attempt.m_start.m_attempt, fails ? 500 : 200));
    };
    startOperatorTableFleet(simulation, 3, 4);

    SECTION("a failing server is logged as suspected once, by the leader, and as trusted after it recovers")
    {
        sendRounds(simulation, 60);
        const auto suspected = linesOf(simulation, "server-suspected");
        REQUIRE(suspected.size() == 1);
        CHECK(suspected.front().first == simulation.leader());
        CHECK(fieldOf(suspected.front().second, "server") == "b2");
        CHECK(std::stoi(fieldOf(suspected.front().second, "sickness_per_mille")) > 300);
        CHECK(linesOf(simulation, "server-trusted").empty());
        isFailing = false;
        sendRounds(simulation, 300);
        CHECK(linesOf(simulation, "server-trusted").size() == 1);
        CHECK(linesOf(simulation, "server-suspected").size() == 1);
    }

    SECTION("healthy servers aren't logged as suspected")
    {
        isFailing = false;
        sendRounds(simulation, 60);
        CHECK(linesOf(simulation, "server-suspected").empty());
    }
}

TEST_CASE("log lines link a refused request to the placement that was denied")
{
    FleetSimulation simulation(12);
    startOperatorTableFleet(simulation, 3, 1);
    simulation.command(HostId("h1"), limitEdit(simulation, "limit", "1", "1"));
    simulation.run(seconds(6));
    const HostId requester = simulation.follower();
    for (int i = 0; i < 6; ++i) {
        simulation.request(requester, "/page", OwnKey);
    }
    simulation.run(seconds(1));

    const auto refused = linesOf(simulation, "request-refused");
    REQUIRE(refused.size() >= 4);
    const Reporting::LogLine &line = refused.front().second;
    CHECK_FALSE(fieldOf(line, "request").empty());
    CHECK(fieldOf(line, "error") == "RW0304");
    CHECK(fieldOf(line, "reason") == "over-limit");
    CHECK(fieldOf(line, "denied_by") == simulation.leader().text());

    const auto denied = linesOf(simulation, "placement-refused");
    REQUIRE(denied.size() == 1); // Similar refusals within a short time share one line.
    CHECK(denied.front().first == simulation.leader());
    CHECK(fieldOf(denied.front().second, "placement") == fieldOf(line, "placement"));
    CHECK(fieldOf(denied.front().second, "for") == requester.text());
    CHECK(std::stoi(fieldOf(denied.front().second, "tokens_per_mille")) < 1000);
}
