#include "../fakes/faketables.h"

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::uint64_t versionOn(const FakeWorld &world, const HostId &host)
{
    return world.state(host).m_catalogue->m_version;
}

bool knowsAsLeaving(const FakeWorld &world, const HostId &host, const std::string &server)
{
    return world.state(host).m_scheduler.m_registry.m_servers.at(ServerId(server)).m_server.m_use == Configuration::ServerUse::Draining;
}

void drain(FakeWorld &world, const std::string &server)
{
    world.m_store.write("servers", server, nlohmann::json{{"service", "desk"}, {"leaving", true}}.dump(), world.m_now);
}

}

TEST_CASE("hosts of a fleet")
{
    FakeWorld world(7);
    settle(world, 12, 4);

    SECTION("they find one lead and are ready")
    {
        CHECK_FALSE(world.leader().isEmpty());
        CHECK(std::ranges::all_of(world.m_hosts, [&](const auto &host) { return world.m_ready[host.first]; }));
    }
    SECTION("only the lead follows the store")
    {
        const auto before = world.m_store.calls();
        world.run(seconds(10));
        CHECK(world.m_store.calls() == before); // Feeds aside, nobody reads or writes.
        for (const auto &[id, state] : world.m_hosts) {
            CHECK(state.m_tables[0].m_isRead == (id == world.leader()));
        }
    }
    SECTION("a change of the configuration is everywhere at once")
    {
        writeConfiguration(world, 2);
        world.run(milliseconds(100));
        for (const auto &[id, state] : world.m_hosts) {
            CHECK(versionOn(world, id) == 2);
        }
    }
    SECTION("a change is everywhere within two seconds though a third of the messages are lost")
    {
        world.m_lossChance = 0.3;
        writeConfiguration(world, 2);
        world.run(seconds(2));
        for (const auto &[id, state] : world.m_hosts) {
            CHECK(versionOn(world, id) == 2);
        }
    }
    SECTION("another host leads when the lead dies")
    {
        const HostId leader = world.leader();
        world.kill(leader);
        world.run(seconds(3));
        CHECK_FALSE(world.leader().isEmpty());
        CHECK(world.leader() != leader);
        writeConfiguration(world, 2);
        world.run(milliseconds(200));
        CHECK(versionOn(world, world.follower()) == 2);
    }
    SECTION("a lead that returns follows the one that took over")
    {
        const HostId leader = world.leader();
        world.kill(leader);
        world.run(seconds(3));
        const HostId successor = world.leader();
        world.start(leader.text(), "d1");
        world.run(seconds(3));
        CHECK(world.leader() == successor);
    }
    SECTION("all are killed")
    {
        std::vector<HostId> hosts;
        for (const auto &[id, state] : world.m_hosts) {
            hosts.push_back(id);
        }
        for (const HostId &host : hosts) {
            world.kill(host);
        }
        world.run(seconds(1));
        for (const HostId &host : hosts) {
            world.start(host.text(), "d1");
        }
        world.run(seconds(3));
        CHECK_FALSE(world.leader().isEmpty());
        CHECK(std::ranges::all_of(world.m_hosts, [&](const auto &host) { return world.m_ready[host.first]; }));
    }
}

TEST_CASE("parts of the limits")
{
    FakeWorld world(3);
    settle(world, 10, 4);
    world.run(seconds(2));

    SECTION("the lead has all of them")
    {
        CHECK(world.state(world.leader()).m_scheduler.m_share == Approx(1.0));
    }
    SECTION("they never add up to more than all and half of what is lent, whoever leads")
    {
        const HostId leader = world.leader();
        for (const auto &[id, state] : world.m_hosts) {
            const bool isAside = id != leader && (id.text() == "h1" || id.text() == "h2" || id.text() == "h3");
            if (isAside) {
                for (const auto &[other, ignored] : world.m_hosts) {
                    world.m_cuts.insert({id, other});
                    world.m_cuts.insert({other, id});
                }
            }
        }
        for (int i = 0; i < 100; ++i) {
            world.run(milliseconds(100));
            double leads = 0.0;
            for (const auto &[id, state] : world.m_hosts) {
                leads += Fleet::isLeader(state.m_leadership) ? Fleet::shareOf(state.m_leadership, world.m_now) : 0.0;
            }
            CHECK(leads <= 1.0 + 3 * 0.05 + 1e-9);
        }
        CHECK(world.state(leader).m_scheduler.m_share == Approx(0.7).margin(0.11));
    }
    SECTION("a new lead has half of them at once, and all when the lease has run out")
    {
        world.run(milliseconds(GENERATE(0, 250, 500, 750))); // Whenever the lead was heard of last.
        world.kill(world.leader());
        world.run(milliseconds(1500));
        const HostId leader = world.leader();
        REQUIRE_FALSE(leader.isEmpty());
        CHECK(Fleet::shareOf(world.state(leader).m_leadership, world.m_now) >= 0.4);
        world.run(milliseconds(2500));
        CHECK(Fleet::shareOf(world.state(leader).m_leadership, world.m_now) >= 0.89); // The dead host's part is missing.
    }
}

TEST_CASE("regression: hosts register before anything was ever written to the store")
{
    // A store without any transaction has version 0, which was taken for a table that was not read yet.
    FakeWorld world(1);
    world.m_source = fakeSource();
    world.startMany(3);
    world.run(milliseconds(900));
    for (const auto &[id, state] : world.m_hosts) {
        CHECK(state.m_membership.size() == 3);
    }
}

TEST_CASE("regression: a leaving server while the store refuses the lead")
{
    // Nobody else followed the servers, so that they got requests for longer than they may.
    FakeWorld world(5);
    settle(world, 12, 4);
    const HostId leader = world.leader();
    const StoreMode mode = GENERATE(StoreMode::Refusing, StoreMode::Silent);
    world.m_storeModes[leader] = mode;
    world.run(milliseconds(GENERATE(0, 400, 850)));
    drain(world, "s2");
    world.run(milliseconds(1800));
    for (const auto &[id, state] : world.m_hosts) {
        CHECK(knowsAsLeaving(world, id, "s2"));
    }
}

TEST_CASE("regression: a configuration while the store is silent for a third of the hosts")
{
    // The first readers that the lead asked were cut off too, and it waited for them too long.
    FakeWorld world(GENERATE(1, 2, 3, 4, 5, 6, 7, 8));
    settle(world, 12, 4);
    const HostId leader = world.leader();
    world.m_storeModes[leader] = StoreMode::Silent;
    std::size_t cut = 1;
    for (const HostId &host : world.state(leader).m_leadership.m_ranking) { // The worst case: those that are asked first.
        if (cut < 4 && host != leader) {
            world.m_storeModes[host] = StoreMode::Silent;
            ++cut;
        }
    }
    writeConfiguration(world, 2);
    world.run(milliseconds(1900));
    for (const auto &[id, state] : world.m_hosts) {
        CHECK(versionOn(world, id) == 2);
    }
}

TEST_CASE("regression: hosts that start together followed each table until they had found their lead")
{
    constexpr int Hosts = 12;
    FakeWorld world(5);
    world.m_source = fakeSource();
    world.startMany(Hosts);
    world.run(milliseconds(300));
    writeConfiguration(world, 1);
    writeServers(world, 4);
    world.run(seconds(3));
    std::uint64_t calls = 0;
    for (const auto &[id, state] : world.m_hosts) {
        CHECK(versionOn(world, id) == 1);
        CHECK(world.m_ready[id]);
        const auto reads = state.m_counters.at("store_calls");
        calls += id == world.leader() ? 0 : reads;
    }
    CHECK(calls <= 6 * (Hosts - 1)); // Three tables, the seat, the secret, and once more.
}

TEST_CASE("regression: each host asked a store that was down for each table by itself")
{
    // Calls cost the users money, also those that fail.
    constexpr std::uint64_t MostCallsASecond = 2; // Of one host.
    constexpr int DownFor = 8;
    FakeWorld world(5);
    settle(world, 12, 4);
    world.run(seconds(2));
    const auto callsOf = [&](const HostId &host) { return world.state(host).m_counters.at("store_calls"); };
    std::map<HostId, std::uint64_t> before;
    for (const auto &[id, state] : world.m_hosts) {
        before[id] = callsOf(id);
        world.m_storeModes[id] = StoreMode::Refusing;
    }
    world.run(seconds(DownFor));
    for (const auto &[id, state] : world.m_hosts) {
        CHECK(callsOf(id) - before[id] <= MostCallsASecond * DownFor);
        world.m_storeModes[id] = StoreMode::Serving;
    }
    writeConfiguration(world, 2);
    drain(world, "s2");
    world.run(seconds(1));
    for (const auto &[id, state] : world.m_hosts) {
        CHECK(versionOn(world, id) == 2);
        CHECK(knowsAsLeaving(world, id, "s2"));
        CHECK(world.m_ready[id]);
    }
}

TEST_CASE("configurations that are too old")
{
    FakeWorld world(9);
    settle(world, 6, 4);
    writeConfiguration(world, 2, nlohmann::json::array({workspace("hotel", 100, 100)}));
    world.run(seconds(1));
    const HostId host = world.follower();

    SECTION("a request of a workspace runs while the store is down for a moment")
    {
        for (const auto &[id, state] : world.m_hosts) {
            world.m_storeModes[id] = StoreMode::Silent;
        }
        world.run(seconds(3));
        const auto id = world.request(host, "/keyed/1", "hotel");
        world.run(milliseconds(300));
        CHECK(world.m_responses.at(id).m_isForwarded);
    }
    SECTION("none runs when the store was down for longer than a withdrawn key may work")
    {
        for (const auto &[id, state] : world.m_hosts) {
            world.m_storeModes[id] = StoreMode::Silent;
        }
        world.run(seconds(5));
        const auto id = world.request(host, "/keyed/1", "hotel");
        world.run(milliseconds(300));
        CHECK(world.m_responses.at(id).m_problem.m_status == 503);
        CHECK_FALSE(world.m_ready[host]);
    }
    SECTION("a host that the store refuses goes on as long as others are served")
    {
        world.m_storeModes[host] = StoreMode::Silent;
        world.run(seconds(20));
        const auto id = world.request(host, "/keyed/1", "hotel");
        world.run(milliseconds(300));
        CHECK(world.m_responses.at(id).m_isForwarded);
    }
    SECTION("a withdrawn key is refused on a host that is cut off from everything")
    {
        world.m_storeModes[host] = StoreMode::Silent;
        for (const auto &[other, state] : world.m_hosts) {
            world.m_cuts.insert({host, other});
            world.m_cuts.insert({other, host});
        }
        const TimePoint withdrawnAt = world.m_now;
        writeConfiguration(world, 3, nlohmann::json::array({{{"name", "hotel"}}}));
        for (int i = 0; i < 80; ++i) {
            world.run(milliseconds(100));
            world.request(host, "/keyed/1", "hotel");
        }
        world.run(seconds(1));
        for (const ServedAttempt &served : world.m_served) {
            CHECK(served.m_at - withdrawnAt < seconds(5));
        }
        CHECK(world.countAnswers(401) == 0); // It can't know.
    }
    SECTION("an unknown key is refused at once on a host that is up to date")
    {
        const auto id = world.request(host, "/keyed/1", "nobody");
        CHECK(world.m_responses.at(id).m_problem.m_status == 401);
    }
}
