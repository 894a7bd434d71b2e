#include "../fakes/faketables.h"

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Rows that evacuate a failure domain had no effect: servers of the domain went on getting first attempts, retries and trial requests.

namespace {

constexpr int Hosts = 4;
constexpr int Servers = 9; // s1, s4 and s7 are in d1.
constexpr Duration EvacuationTime = seconds(5);
constexpr Duration RequestInterval = milliseconds(10);

void evacuate(FleetSimulation &simulation, const std::string &domain)
{
    simulation.m_store.write("configuration", "evacuate/" + domain, "{}", simulation.m_now);
}

void takeBack(FleetSimulation &simulation, const std::string &domain)
{
    simulation.m_store.erase("configuration", "evacuate/" + domain, simulation.m_now);
}

/// Sends requests to all hosts in turn; every third one may run only once.
void sendRequests(FleetSimulation &simulation, Duration duration)
{
    const int count = static_cast<int>(duration / RequestInterval);
    for (int i = 0; i < count; ++i) {
        const HostId host("h" + std::to_string(i % Hosts + 1));
        if (simulation.m_hosts.contains(host)) {
            simulation.request(host, (i % 3 == 0 ? "/book/" : "/look/") + std::to_string(i));
        }
        simulation.run(RequestInterval);
    }
}

std::size_t attemptsInDomain(const FleetSimulation &simulation, const std::set<std::string> &servers, TimePoint from)
{
    return static_cast<std::size_t>(std::ranges::count_if(simulation.m_receivedAttempts, [&](const ServedAttempt &attempt) {
        return servers.contains(attempt.m_start.m_server.text()) && attempt.m_at >= from;
    }));
}

std::size_t attemptsInFirstDomain(const FleetSimulation &simulation, TimePoint from)
{
    return attemptsInDomain(simulation, {"s1", "s4", "s7"}, from);
}

std::size_t countLines(const FleetSimulation &simulation, const std::string &event)
{
    return static_cast<std::size_t>(std::ranges::count_if(simulation.m_log, [&](const auto &line) { return line.second.m_event == event; }));
}

/// Returns the problems that hosts have reported since a point in time.
std::vector<Dispatch::Problem> problemsSince(const FleetSimulation &simulation, TimePoint from)
{
    std::vector<Dispatch::Problem> problems;
    for (const auto &[id, response] : simulation.m_responses) {
        if (!response.m_isForwarded && response.m_at >= from) {
            problems.push_back(response.m_problem);
        }
    }
    return problems;
}

}

TEST_CASE("an evacuated failure domain gets no attempts")
{
    FleetSimulation simulation(5);
    startStableFleet(simulation, Hosts, Servers);

    SECTION("from hosts that read the store, nor from one that only hears the leader")
    {
        simulation.m_storeModes[simulation.follower()] = StoreMode::Refusing;
        simulation.run(seconds(2));
        evacuate(simulation, "d1");
        sendRequests(simulation, EvacuationTime);
        const TimePoint evacuatedAt = simulation.m_now;
        sendRequests(simulation, seconds(5));
        CHECK(attemptsInFirstDomain(simulation, evacuatedAt) == 0);
        CHECK(countLines(simulation, "domain-evacuated") == Hosts);
        CHECK(problemsSince(simulation, evacuatedAt).empty());
    }
    SECTION("from a new leader, nor after a new configuration version")
    {
        evacuate(simulation, "d1");
        sendRequests(simulation, EvacuationTime);
        const TimePoint evacuatedAt = simulation.m_now;
        simulation.kill(simulation.leader());
        sendRequests(simulation, seconds(3));
        writeConfiguration(simulation, 2);
        sendRequests(simulation, seconds(3));
        CHECK(attemptsInFirstDomain(simulation, evacuatedAt) == 0);
    }
    SECTION("from hosts that decide alone")
    {
        evacuate(simulation, "d1");
        simulation.run(EvacuationTime);
        for (const auto &[from, fromState] : simulation.m_hosts) {
            for (const auto &[to, toState] : simulation.m_hosts) {
                simulation.m_partitions.insert({from, to});
            }
        }
        const TimePoint evacuatedAt = simulation.m_now;
        sendRequests(simulation, seconds(5));
        CHECK(attemptsInFirstDomain(simulation, evacuatedAt) == 0);
        CHECK(attemptsInDomain(simulation, {"s2", "s3"}, evacuatedAt) > 0);
    }
    SECTION("for retries, hedges and trials while its other servers fail or are slow")
    {
        evacuate(simulation, "d1");
        sendRequests(simulation, EvacuationTime);
        const TimePoint evacuatedAt = simulation.m_now;
        simulation.m_server = [](const ServedAttempt &attempt) {
            const bool isHealthy = attempt.m_start.m_server == ServerId("s2") || attempt.m_start.m_server == ServerId("s3");
            const auto status = static_cast<std::uint16_t>(isHealthy ? 200 : 500);
            return std::pair(Duration(milliseconds(isHealthy ? 400 : 20)), FleetSimulation::responded(attempt.m_start.m_attempt, status));
        };
        sendRequests(simulation, seconds(6));
        CHECK(attemptsInFirstDomain(simulation, evacuatedAt) == 0);
    }
    SECTION("until it is taken back")
    {
        evacuate(simulation, "d1");
        sendRequests(simulation, EvacuationTime);
        takeBack(simulation, "d1");
        simulation.run(seconds(2));
        const TimePoint restoredAt = simulation.m_now;
        sendRequests(simulation, seconds(8));
        CHECK(countLines(simulation, "domain-restored") == Hosts);
        CHECK(attemptsInFirstDomain(simulation, restoredAt) > 0);
    }
    SECTION("when the row comes with a configuration that can't be read")
    {
        const auto updateCatalogue = [](Configuration::Catalogue &, const Host::ChangedRows &) -> tl::expected<bool, Error> {
            return tl::unexpected(Error{ErrorId::PlatformBadAnswer, "unreadable"});
        };
        for (auto &[id, state] : simulation.m_hosts) {
            state.m_source.m_updateCatalogue = updateCatalogue;
        }
        evacuate(simulation, "d1");
        sendRequests(simulation, EvacuationTime);
        const TimePoint evacuatedAt = simulation.m_now;
        sendRequests(simulation, seconds(2));
        CHECK(attemptsInFirstDomain(simulation, evacuatedAt) == 0);
    }
}

TEST_CASE("grants that haven't started when the host learns of the evacuation aren't used")
{
    // The leader grants for longer than the host needs to learn of the evacuation: the host's check is the last one.
    FleetSimulation simulation(5);
    startStableFleet(simulation, Hosts, Servers);
    const HostId leader = simulation.leader();
    evacuate(simulation, "d1");
    simulation.run(EvacuationTime);
    const TimePoint evacuatedAt = simulation.m_now;
    Scheduling::setEvacuatedDomains(simulation.m_hosts.at(leader).m_scheduler.m_registry, {}, simulation.m_now);
    for (int i = 0; i < 100; ++i) {
        const HostId host("h" + std::to_string(i % Hosts + 1));
        if (host != leader) {
            simulation.request(host, "/look/" + std::to_string(i));
        }
        simulation.run(RequestInterval);
    }
    CHECK(attemptsInFirstDomain(simulation, evacuatedAt) == 0);
}

TEST_CASE("requests are refused at once as not run while all failure domains are evacuated")
{
    FleetSimulation simulation(5);
    startStableFleet(simulation, Hosts, Servers);
    simulation.m_server = [](const ServedAttempt &attempt) {
        return std::pair(Duration(milliseconds(500)), FleetSimulation::responded(attempt.m_start.m_attempt, 200));
    };
    sendRequests(simulation, seconds(1)); // Leaves placements in the queue.
    for (const char *domain : {"d0", "d1", "d2"}) {
        evacuate(simulation, domain);
    }
    simulation.run(seconds(1));
    CHECK(simulation.m_responses.size() == simulation.m_requests.size());
    const TimePoint evacuatedAt = simulation.m_now;
    const std::size_t before = simulation.m_receivedAttempts.size();
    sendRequests(simulation, seconds(2));
    simulation.run(milliseconds(100));
    CHECK(simulation.m_receivedAttempts.size() == before);
    const auto problems = problemsSince(simulation, evacuatedAt);
    CHECK(problems.size() == 200);
    CHECK(std::ranges::all_of(problems, [](const Dispatch::Problem &problem) {
        return problem.m_status == 503 && problem.m_outcome == Dispatch::Outcome::NotRun && problem.m_retryAfter > Duration(0);
    }));
    takeBack(simulation, "d0");
    simulation.run(seconds(1));
    sendRequests(simulation, seconds(1));
    CHECK(simulation.m_receivedAttempts.size() > before);
}

TEST_CASE("an unknown failure domain that is evacuated changes nothing")
{
    FleetSimulation simulation(5);
    startStableFleet(simulation, Hosts, Servers);
    evacuate(simulation, "d9");
    evacuate(simulation, "");
    simulation.run(seconds(1));
    sendRequests(simulation, seconds(2));
    simulation.run(seconds(1));
    CHECK(simulation.countAnswers(0) == simulation.m_requests.size());
}
