#include "../fakes/faketables.h"

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::uint64_t versionOn(const FleetSimulation &simulation, const HostId &host)
{
    return simulation.state(host).m_catalogue->m_version;
}

bool knowsAsLeaving(const FleetSimulation &simulation, const HostId &host, const std::string &server)
{
    return simulation.state(host).m_scheduler.m_registry.m_servers.at(ServerId(server)).m_server.m_use == Configuration::ServerUse::Draining;
}

void drain(FleetSimulation &simulation, const std::string &server)
{
    simulation.m_store.write("servers", server, nlohmann::json{{"service", "desk"}, {"leaving", true}}.dump(), simulation.m_now);
}

}

TEST_CASE("hosts of a fleet")
{
    FleetSimulation simulation(7);
    startStableFleet(simulation, 12, 4);

    SECTION("they find one leader and are ready")
    {
        CHECK_FALSE(simulation.leader().isEmpty());
        CHECK(std::ranges::all_of(simulation.m_hosts, [&](const auto &host) { return simulation.m_ready[host.first]; }));
    }
    SECTION("only the leader follows the store")
    {
        const auto before = simulation.m_store.calls();
        simulation.run(seconds(10));
        CHECK(simulation.m_store.calls() == before); // Feeds aside, nobody reads or writes.
        for (const auto &[id, state] : simulation.m_hosts) {
            CHECK(state.m_tables[0].m_isRead == (id == simulation.leader()));
        }
    }
    SECTION("a change of the configuration is everywhere at once")
    {
        writeConfiguration(simulation, 2);
        simulation.run(milliseconds(100));
        for (const auto &[id, state] : simulation.m_hosts) {
            CHECK(versionOn(simulation, id) == 2);
        }
    }
    SECTION("a change is everywhere within two seconds though a third of the messages are lost")
    {
        simulation.m_lossChance = 0.3;
        writeConfiguration(simulation, 2);
        simulation.run(seconds(2));
        for (const auto &[id, state] : simulation.m_hosts) {
            CHECK(versionOn(simulation, id) == 2);
        }
    }
    SECTION("another host leads when the leader dies")
    {
        const HostId leader = simulation.leader();
        simulation.kill(leader);
        simulation.run(seconds(3));
        CHECK_FALSE(simulation.leader().isEmpty());
        CHECK(simulation.leader() != leader);
        writeConfiguration(simulation, 2);
        simulation.run(milliseconds(200));
        CHECK(versionOn(simulation, simulation.follower()) == 2);
    }
    SECTION("a leader that returns follows the one that took over")
    {
        const HostId leader = simulation.leader();
        simulation.kill(leader);
        simulation.run(seconds(3));
        const HostId successor = simulation.leader();
        simulation.start(leader.text(), "d1");
        simulation.run(seconds(3));
        CHECK(simulation.leader() == successor);
    }
    SECTION("all are killed")
    {
        std::vector<HostId> hosts;
        for (const auto &[id, state] : simulation.m_hosts) {
            hosts.push_back(id);
        }
        for (const HostId &host : hosts) {
            simulation.kill(host);
        }
        simulation.run(seconds(1));
        for (const HostId &host : hosts) {
            simulation.start(host.text(), "d1");
        }
        simulation.run(seconds(3));
        CHECK_FALSE(simulation.leader().isEmpty());
        CHECK(std::ranges::all_of(simulation.m_hosts, [&](const auto &host) { return simulation.m_ready[host.first]; }));
    }
}

TEST_CASE("parts of the limits")
{
    FleetSimulation simulation(3);
    startStableFleet(simulation, 10, 4);
    simulation.run(seconds(2));

    SECTION("the leader has all of them")
    {
        CHECK(simulation.state(simulation.leader()).m_scheduler.m_share == Approx(1.0));
    }
    SECTION("they never add up to more than all and half of what is lent, whoever leads")
    {
        const HostId leader = simulation.leader();
        for (const auto &[id, state] : simulation.m_hosts) {
            const bool isAside = id != leader && (id.text() == "h1" || id.text() == "h2" || id.text() == "h3");
            if (isAside) {
                for (const auto &[other, ignored] : simulation.m_hosts) {
                    simulation.m_partitions.insert({id, other});
                    simulation.m_partitions.insert({other, id});
                }
            }
        }
        for (int i = 0; i < 100; ++i) {
            simulation.run(milliseconds(100));
            double leads = 0.0;
            for (const auto &[id, state] : simulation.m_hosts) {
                leads += Fleet::isLeader(state.m_leadership) ? Fleet::shareOf(state.m_leadership, simulation.m_now) : 0.0;
            }
            CHECK(leads <= 1.0 + 3 * 0.05 + 1e-9);
        }
        CHECK(simulation.state(leader).m_scheduler.m_share == Approx(0.7).margin(0.11));
    }
    SECTION("a new leader has half of them at once, and all when the lease has run out")
    {
        simulation.run(milliseconds(GENERATE(0, 250, 500, 750))); // Whenever the leader was heard of last.
        simulation.kill(simulation.leader());
        simulation.run(milliseconds(1500));
        const HostId leader = simulation.leader();
        REQUIRE_FALSE(leader.isEmpty());
        CHECK(Fleet::shareOf(simulation.state(leader).m_leadership, simulation.m_now) >= 0.4);
        simulation.run(milliseconds(2500));
        CHECK(Fleet::shareOf(simulation.state(leader).m_leadership, simulation.m_now) >= 0.89); // The dead host's part is missing.
    }
}

TEST_CASE("regression: hosts register before anything was ever written to the store")
{
    // A store without any transaction has version 0, which was taken for a table that was not read yet.
    FleetSimulation simulation(1);
    simulation.m_source = fakeSource();
    simulation.startHosts(3);
    simulation.run(milliseconds(900));
    for (const auto &[id, state] : simulation.m_hosts) {
        CHECK(state.m_membership.size() == 3);
    }
}

TEST_CASE("regression: a leaving server while the store refuses the leader")
{
    // Nobody else followed the servers, so that they got requests for longer than they may.
    FleetSimulation simulation(5);
    startStableFleet(simulation, 12, 4);
    const HostId leader = simulation.leader();
    const StoreMode mode = GENERATE(StoreMode::Refusing, StoreMode::Silent);
    simulation.m_storeModes[leader] = mode;
    simulation.run(milliseconds(GENERATE(0, 400, 850)));
    drain(simulation, "s2");
    simulation.run(milliseconds(1800));
    for (const auto &[id, state] : simulation.m_hosts) {
        CHECK(knowsAsLeaving(simulation, id, "s2"));
    }
}

TEST_CASE("regression: a configuration while the store is silent for a third of the hosts")
{
    // The first readers that the leader asked were cut off too, and it waited for them too long.
    FleetSimulation simulation(GENERATE(1, 2, 3, 4, 5, 6, 7, 8));
    startStableFleet(simulation, 12, 4);
    const HostId leader = simulation.leader();
    simulation.m_storeModes[leader] = StoreMode::Silent;
    std::size_t cut = 1;
    for (const HostId &host : simulation.state(leader).m_leadership.m_ranking) { // The worst case: those that are asked first.
        if (cut < 4 && host != leader) {
            simulation.m_storeModes[host] = StoreMode::Silent;
            ++cut;
        }
    }
    writeConfiguration(simulation, 2);
    simulation.run(milliseconds(1900));
    for (const auto &[id, state] : simulation.m_hosts) {
        CHECK(versionOn(simulation, id) == 2);
    }
}

TEST_CASE("regression: hosts that start together followed each table until they had found their leader")
{
    constexpr int Hosts = 12;
    FleetSimulation simulation(5);
    simulation.m_source = fakeSource();
    simulation.startHosts(Hosts);
    simulation.run(milliseconds(300));
    writeConfiguration(simulation, 1);
    writeServers(simulation, 4);
    simulation.run(seconds(3));
    std::uint64_t calls = 0;
    for (const auto &[id, state] : simulation.m_hosts) {
        CHECK(versionOn(simulation, id) == 1);
        CHECK(simulation.m_ready[id]);
        const auto reads = state.m_counters.at("store_calls");
        calls += id == simulation.leader() ? 0 : reads;
    }
    CHECK(calls <= 6 * (Hosts - 1)); // Three tables, the host record, the secret, and once more.
}

TEST_CASE("regression: each host asked a store that was down for each table by itself")
{
    // Calls cost the users money, also those that fail.
    constexpr std::uint64_t MostCallsASecond = 2; // Of one host.
    constexpr int DownFor = 8;
    FleetSimulation simulation(5);
    startStableFleet(simulation, 12, 4);
    simulation.run(seconds(2));
    const auto callsOf = [&](const HostId &host) { return simulation.state(host).m_counters.at("store_calls"); };
    std::map<HostId, std::uint64_t> before;
    for (const auto &[id, state] : simulation.m_hosts) {
        before[id] = callsOf(id);
        simulation.m_storeModes[id] = StoreMode::Refusing;
    }
    simulation.run(seconds(DownFor));
    for (const auto &[id, state] : simulation.m_hosts) {
        CHECK(callsOf(id) - before[id] <= MostCallsASecond * DownFor);
        simulation.m_storeModes[id] = StoreMode::Serving;
    }
    writeConfiguration(simulation, 2);
    drain(simulation, "s2");
    simulation.run(seconds(1));
    for (const auto &[id, state] : simulation.m_hosts) {
        CHECK(versionOn(simulation, id) == 2);
        CHECK(knowsAsLeaving(simulation, id, "s2"));
        CHECK(simulation.m_ready[id]);
    }
}

TEST_CASE("configurations that are too old")
{
    FleetSimulation simulation(9);
    startStableFleet(simulation, 6, 4);
    writeConfiguration(simulation, 2, nlohmann::json::array({workspace("hotel", 100, 100)}));
    simulation.run(seconds(1));
    const HostId host = simulation.follower();

    SECTION("a request of a workspace runs while the store is down for a moment")
    {
        for (const auto &[id, state] : simulation.m_hosts) {
            simulation.m_storeModes[id] = StoreMode::Silent;
        }
        simulation.run(seconds(3));
        const auto id = simulation.request(host, "/keyed/1", "hotel");
        simulation.run(milliseconds(300));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
    }
    SECTION("none runs when the store was down for longer than a withdrawn key may work")
    {
        for (const auto &[id, state] : simulation.m_hosts) {
            simulation.m_storeModes[id] = StoreMode::Silent;
        }
        simulation.run(seconds(5));
        const auto id = simulation.request(host, "/keyed/1", "hotel");
        simulation.run(milliseconds(300));
        CHECK(simulation.m_responses.at(id).m_problem.m_status == 503);
        CHECK_FALSE(simulation.m_ready[host]);
    }
    SECTION("a host that the store refuses goes on as long as others are served")
    {
        simulation.m_storeModes[host] = StoreMode::Silent;
        simulation.run(seconds(20));
        const auto id = simulation.request(host, "/keyed/1", "hotel");
        simulation.run(milliseconds(300));
        CHECK(simulation.m_responses.at(id).m_isForwarded);
    }
    SECTION("a withdrawn key is refused on a host that is cut off from everything")
    {
        simulation.m_storeModes[host] = StoreMode::Silent;
        for (const auto &[other, state] : simulation.m_hosts) {
            simulation.m_partitions.insert({host, other});
            simulation.m_partitions.insert({other, host});
        }
        const TimePoint withdrawnAt = simulation.m_now;
        writeConfiguration(simulation, 3, nlohmann::json::array({{{"name", "hotel"}}}));
        for (int i = 0; i < 80; ++i) {
            simulation.run(milliseconds(100));
            simulation.request(host, "/keyed/1", "hotel");
        }
        simulation.run(seconds(1));
        for (const ServedAttempt &served : simulation.m_receivedAttempts) {
            CHECK(served.m_at - withdrawnAt < seconds(5));
        }
        CHECK(simulation.countAnswers(401) == 0); // It can't know.
    }
    SECTION("an unknown key is refused at once on a host that is up to date")
    {
        const auto id = simulation.request(host, "/keyed/1", "nobody");
        CHECK(simulation.m_responses.at(id).m_problem.m_status == 401);
    }
}
