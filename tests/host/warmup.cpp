#include "../fakes/faketables.h"

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A cold server that is cheaper than busy warm ones got as many requests as it has slots for, and servers that were taken back got all requests at once.

namespace {

constexpr int Hosts = 3;
constexpr double ColdRate = 6.7;
constexpr std::size_t MaxPerSecond = 18; // 6.7 x 1.5 + 8
constexpr Duration RequestInterval = milliseconds(3);

/// Writes a server of the service desk.
void writeServer(FleetSimulation &simulation, const std::string &name, unsigned slots, const std::string &domain, Duration warmup)
{
    const auto warmupMs = std::chrono::duration_cast<milliseconds>(warmup).count();
    const nlohmann::json server{{"service", "desk"}, {"slots", slots}, {"domain", domain}, {"warmup_ms", warmupMs}};
    simulation.m_store.write("servers", name, server.dump(), simulation.m_now);
}

void sendRequests(FleetSimulation &simulation, Duration duration)
{
    const int count = static_cast<int>(duration / RequestInterval);
    for (int i = 0; i < count; ++i) {
        const HostId host("h" + std::to_string(i % Hosts + 1));
        if (simulation.m_hosts.contains(host)) {
            simulation.request(host, "/look/" + std::to_string(i));
        }
        simulation.run(RequestInterval);
    }
}

/// Returns the greatest number of attempts at a server within any one second from a point in time.
std::size_t maxWithinSecond(const FleetSimulation &simulation, const std::string &server, TimePoint from)
{
    std::vector<TimePoint> starts;
    for (const ServedAttempt &attempt : simulation.m_receivedAttempts) {
        if (attempt.m_start.m_server == ServerId(server) && attempt.m_at >= from) {
            starts.push_back(attempt.m_at);
        }
    }
    std::size_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first) {
        most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, starts.end(), *first + seconds(1)) - first));
    }
    return most;
}

/// Starts a fleet with the small server s1 and the large server s2.
void startFleet(FleetSimulation &simulation)
{
    simulation.m_source = fakeSource();
    simulation.m_configure = [](Host::HostSettings &settings) { settings.m_scheduling.m_selection.m_warmupBounds = Scheduling::WarmupBounds{1.5, 8.0}; };
    writeConfiguration(simulation, 1, nlohmann::json::array(), ColdRate);
    writeServer(simulation, "s1", 2, "d1", {});
    writeServer(simulation, "s2", 100, "d1", {});
    simulation.startHosts(Hosts);
    simulation.run(seconds(4));
}

}

TEST_CASE("a server that becomes cold while it runs gets no more than its bound from all hosts together")
{
    FleetSimulation simulation(5);
    startFleet(simulation);
    sendRequests(simulation, seconds(2));
    CHECK(maxWithinSecond(simulation, "s2", simulation.m_now - seconds(2)) > MaxPerSecond);
    writeServer(simulation, "s2", 100, "d1", seconds(12));
    sendRequests(simulation, milliseconds(1000)); // Attempts before the row was known don't count.
    const TimePoint coldAt = simulation.m_now;

    SECTION("with a stable leader")
    {
        sendRequests(simulation, seconds(8));
    }
    SECTION("when the leader changes in mid-second")
    {
        sendRequests(simulation, milliseconds(2400));
        simulation.kill(simulation.leader());
        sendRequests(simulation, seconds(5));
    }
    SECTION("when all hosts decide alone")
    {
        for (const auto &[from, fromState] : simulation.m_hosts) {
            for (const auto &[to, toState] : simulation.m_hosts) {
                simulation.m_partitions.insert({from, to});
            }
        }
        sendRequests(simulation, seconds(8));
    }
    CHECK(maxWithinSecond(simulation, "s2", coldAt) <= MaxPerSecond);
    CHECK(maxWithinSecond(simulation, "s2", coldAt) > 0);
}

TEST_CASE("servers of a failure domain that is taken back get a growing share of the requests")
{
    constexpr int Servers = 30;
    FleetSimulation simulation(5);
    startStableFleet(simulation, Hosts, Servers); // Ten servers in each failure domain, and no limit for cold ones.
    simulation.m_store.write("configuration", "evacuate/d1", "{}", simulation.m_now);
    sendRequests(simulation, seconds(5));
    simulation.m_store.erase("configuration", "evacuate/d1", simulation.m_now);
    simulation.run(milliseconds(20));
    const TimePoint restoredAt = simulation.m_now;
    sendRequests(simulation, seconds(6));
    const auto attemptsBetween = [&](Duration from, Duration until) {
        return std::ranges::count_if(simulation.m_receivedAttempts, [&](const ServedAttempt &attempt) {
            const int number = std::stoi(attempt.m_start.m_server.text().substr(1));
            return number % 3 == 1 && attempt.m_at >= restoredAt + from && attempt.m_at < restoredAt + until;
        });
    };
    const auto first = attemptsBetween(milliseconds(0), milliseconds(500));
    const auto last = attemptsBetween(milliseconds(5000), milliseconds(5500));
    CHECK(first > 0);
    CHECK(last > 30); // Of 167 requests, a third of the servers.
    CHECK(first * 3 < last);
}
