#include "../fakes/fakefleet.h"

#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/membership/membership.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using Membership::SeatKey;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const Membership::MembershipState &stateOf(const Fakes::FakeFleet &fleet, const std::string &host)
{
    return fleet.m_nodes.at(HostId(host)).m_membership;
}

std::size_t shardsOf(const Membership::Roster &roster, const SeatKey &key)
{
    return static_cast<std::size_t>(
        std::count_if(roster.m_holders.begin(), roster.m_holders.end(), [&key](const auto &holder) { return holder.second == key; }));
}

Membership::Roster rosterOf(std::size_t hosts, std::size_t domains)
{
    Membership::Roster roster;
    for (std::size_t i = 0; i < hosts; ++i) {
        const SeatKey key{HostId("h" + std::to_string(i)), 1};
        roster.m_seats[key] = {key, FailureDomainId("d" + std::to_string(i % domains)), "", 0};
    }
    return roster;
}

}

TEST_CASE("roster")
{
    Fakes::FakeFleet fleet(7);
    for (int i = 0; i < 6; ++i) {
        fleet.startHost("h" + std::to_string(i), "d" + std::to_string(i % 3));
    }
    fleet.run(seconds(10));

    SECTION("every host gets a seat, and all know the same roster")
    {
        for (const auto &[host, node] : fleet.m_nodes) {
            CHECK(node.m_membership.m_roster == stateOf(fleet, "h0").m_roster);
            CHECK(Membership::mayUseShards(node.m_membership, fleet.m_now));
            CHECK(Membership::liveHosts(node.m_membership, fleet.m_now).size() == 6);
            CHECK(Membership::reachesMajority(node.m_membership, fleet.m_now));
        }
        CHECK(Membership::rosterSize(stateOf(fleet, "h0")) == 6);
        CHECK(stateOf(fleet, "h0").m_roster.m_holders.size() == Membership::ShardCount);
    }

    SECTION("a host that stops gives up its seat and hands its shards on")
    {
        fleet.deliver(HostId("h2"), Node::StopAsked{});
        fleet.run(seconds(10));
        CHECK(fleet.m_exited.contains(HostId("h2")));
        CHECK(Membership::rosterSize(stateOf(fleet, "h0")) == 5);
        CHECK(stateOf(fleet, "h0").m_roster.m_holders.size() == Membership::ShardCount);
    }

    SECTION("the seat of a dead host stays until the platform's list says that its life is over")
    {
        for (int i = 0; i < 6; ++i) {
            fleet.m_platform.m_targets.push_back({"", "host", "h" + std::to_string(i), "1", false});
        }
        fleet.run(seconds(60));
        fleet.killHost("h1");
        fleet.run(minutes(5));
        CHECK(Membership::rosterSize(stateOf(fleet, "h0")) == 6);
        CHECK(Membership::liveHosts(stateOf(fleet, "h0"), fleet.m_now).size() == 5);

        fleet.m_platform.m_targets[1].m_incarnation = "2";
        fleet.startHost("h1", "d1", 2);
        fleet.run(minutes(3));
        CHECK_FALSE(stateOf(fleet, "h0").m_roster.m_seats.contains({HostId("h1"), 1}));
        CHECK(stateOf(fleet, "h0").m_roster.m_seats.contains({HostId("h1"), 2}));
        CHECK(shardsOf(stateOf(fleet, "h0").m_roster, {HostId("h1"), 1}) == 0);
        CHECK(stateOf(fleet, "h0").m_roster.m_holders.size() == Membership::ShardCount);
    }

    SECTION("a list that never named a host doesn't end its seat, nor does silence with the store down")
    {
        fleet.pauseHost("h1");
        fleet.m_platformMode = Fakes::PlatformMode::Down;
        fleet.run(hours(2));
        fleet.m_platformMode = Fakes::PlatformMode::Up;
        fleet.run(minutes(5));
        CHECK(stateOf(fleet, "h0").m_roster.m_seats.contains({HostId("h1"), 1}));
        fleet.resumeHost("h1");
        fleet.run(seconds(10));
        CHECK(Membership::mayUseShards(stateOf(fleet, "h1"), fleet.m_now));
    }
}

TEST_CASE("a holder that can't confirm its seat stops using its shards before another may reclaim them")
{
    Fakes::FakeFleet fleet(9);
    fleet.m_tune = [](Node::NodeSettings &settings) { settings.m_seatHorizon = minutes(20); };
    for (int i = 0; i < 3; ++i) {
        fleet.startHost("h" + std::to_string(i), "d" + std::to_string(i));
    }
    fleet.run(seconds(10));
    fleet.m_network.m_cutFromPlatform.insert(HostId("h1"));
    fleet.m_network.m_cuts.insert({HostId("h1"), HostId("h0")});
    fleet.m_network.m_cuts.insert({HostId("h1"), HostId("h2")});
    const SeatKey key{HostId("h1"), 1};
    bool isReclaimed = false;
    while (!isReclaimed) {
        fleet.run(seconds(1));
        isReclaimed = !stateOf(fleet, "h0").m_roster.m_seats.contains(key);
        const bool bothUse = isReclaimed && Membership::mayUseShards(stateOf(fleet, "h1"), fleet.m_now);
        REQUIRE_FALSE(bothUse);
        REQUIRE(fleet.m_now < TimePoint(hours(2)));
    }
}

TEST_CASE("reachability")
{
    Fakes::FakeFleet fleet(8);
    for (int i = 0; i < 3; ++i) {
        fleet.startHost("h" + std::to_string(i), "d" + std::to_string(i));
    }
    fleet.run(seconds(10));
    const auto h0 = HostId("h0");
    const auto h1 = HostId("h1");

    SECTION("a cut in one direction is known on both sides")
    {
        fleet.m_network.m_cuts.insert({h0, h1});
        fleet.run(seconds(15));
        CHECK(Membership::hears(stateOf(fleet, "h0"), h1, fleet.m_now));
        CHECK_FALSE(Membership::reachesBothWays(stateOf(fleet, "h0"), h1, fleet.m_now));
        CHECK_FALSE(Membership::hears(stateOf(fleet, "h1"), h0, fleet.m_now));
        // h2 relays that h0 is alive.
        CHECK(Membership::liveHosts(stateOf(fleet, "h1"), fleet.m_now).size() == 3);
    }

    SECTION("a host cut off from all others reaches no majority")
    {
        for (const auto &other : {HostId("h1"), HostId("h2")}) {
            fleet.m_network.m_cuts.insert({other, h0});
        }
        fleet.run(seconds(15));
        CHECK_FALSE(Membership::reachesMajority(stateOf(fleet, "h0"), fleet.m_now));
        CHECK(Membership::reachesMajority(stateOf(fleet, "h1"), fleet.m_now));
    }
}

TEST_CASE("sparse peers")
{
    const Membership::Roster roster = rosterOf(470, 9);
    std::map<HostId, std::vector<HostId>> peers;
    for (const HostId &host : Membership::seatedHosts(roster)) {
        peers[host] = Membership::peersOf(roster, host);
    }
    std::size_t withinTwoHops = 0;
    for (const auto &[host, chosen] : peers) {
        CHECK(chosen.size() >= Membership::SparsePeers / 4);
        CHECK(chosen.size() <= 2 * Membership::SparsePeers);
        std::set<HostId> reached(chosen.begin(), chosen.end());
        for (const HostId &peer : chosen) {
            const std::vector<HostId> &back = peers[peer];
            CHECK(std::binary_search(back.begin(), back.end(), host));
            reached.insert(back.begin(), back.end());
        }
        withinTwoHops += reached.size() > 235 ? 1 : 0;
    }
    CHECK(withinTwoHops == 470);
}

TEST_CASE("stored form of the roster")
{
    Membership::Roster roster = rosterOf(3, 2);
    roster.m_version = 9;
    roster.m_holders[4] = {HostId("h1"), 1};
    CHECK(Membership::decodeRoster(Membership::encodeRoster(roster)).value() == roster);
    CHECK_FALSE(Membership::decodeRoster("{}"));
    CHECK(Membership::seatFrom("seat/a/b/7") == SeatKey{HostId("a/b"), 7});
    CHECK_FALSE(Membership::seatFrom("seat/a"));
    CHECK_FALSE(Membership::seatFrom("seat/a/7x"));
}
