#include <ragwortrelay/balancing/balancer.h>
#include <ragwortrelay/balancing/subset.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace RagwortRelay;
using namespace RagwortRelay::Balancing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start{seconds(100)};
const ServiceId Booking("booking");

Configuration::Catalogue catalogueOf(std::size_t servers, std::uint32_t slots)
{
    Configuration::Catalogue catalogue;
    catalogue.m_version = 1;
    for (std::size_t i = 0; i < servers; ++i) {
        Configuration::Server server;
        server.m_id = ServerId("s" + std::to_string(i));
        server.m_service = Booking;
        server.m_domain = FailureDomainId("d" + std::to_string(i % 3));
        server.m_slots = slots;
        catalogue.m_servers[server.m_id] = server;
        catalogue.m_serversOf[Booking].push_back(server.m_id);
    }
    return catalogue;
}

struct Fixture {
    Configuration::Catalogue m_catalogue = catalogueOf(6, 2);
    Balancer m_balancer;
    BalancerSettings m_settings;
    RandomGenerator m_random{1};
    std::set<ServerId> m_excluded;
    std::map<ServerId, Standing> m_standings;

    tl::expected<ServerId, PickFailure> pick(TimePoint now)
    {
        const PickQuery query{HostId("h1"), 48, Booking, &m_excluded, &m_standings};
        return pickServer(m_balancer, m_settings, m_catalogue, query, now, m_random);
    }

    std::map<ServerId, int> pickOften(int times, TimePoint now)
    {
        std::map<ServerId, int> picked;
        for (int i = 0; i < times; ++i) {
            ++picked[pick(now).value()];
        }
        return picked;
    }
};

}

TEST_CASE("balancer")
{
    Fixture fixture;
    const ServerId first("s0");
    const Configuration::Server &server = fixture.m_catalogue.m_servers.at(first);

    SECTION("weights decide among idle servers")
    {
        fixture.m_catalogue.m_servers.at(first).m_weight = 5.0;
        const int picked = fixture.pickOften(1000, Start)[first];
        CHECK(picked > 400);
        CHECK(picked < 600);
    }

    SECTION("a server that shed is left out for a while")
    {
        noteShed(fixture.m_balancer, fixture.m_settings, server, Start);
        CHECK(fixture.pickOften(200, Start + milliseconds(1)).count(first) == 0);
        CHECK(fixture.pickOften(2000, Start + seconds(10)).count(first) == 1);
    }

    SECTION("a draining server gets nothing until it reports otherwise")
    {
        noteReport(fixture.m_balancer, fixture.m_settings, server, 0, true, Start);
        CHECK(fixture.pickOften(200, Start + seconds(50)).count(first) == 0);
    }

    SECTION("a cold server gets a small part at first")
    {
        noteCold(fixture.m_balancer, fixture.m_settings, first, Start);
        const int atFirst = fixture.pickOften(2000, Start + milliseconds(1))[first];
        const int inTheEnd = fixture.pickOften(2000, Start + milliseconds(9900))[first];
        CHECK(atFirst < 80);
        CHECK(inTheEnd > 200);
    }

    SECTION("an avoided server is the last choice but not none")
    {
        fixture.m_standings[first] = Standing::Avoided;
        CHECK(fixture.pickOften(200, Start).count(first) == 0);
        for (int i = 1; i < 6; ++i) {
            fixture.m_standings[ServerId("s" + std::to_string(i))] = Standing::Barred;
        }
        CHECK(fixture.pick(Start) == first);
    }
}

TEST_CASE("balancer against the list of servers that may be picked")
{
    const bool holds = rc::check("a pick is allowed, and there is one whenever a server is free", [] {
        Fixture fixture;
        fixture.m_random.seed(*rc::gen::arbitrary<std::uint64_t>());
        std::vector<ServerId> allowed;
        bool anyInUse = false;
        for (auto &[id, server] : fixture.m_catalogue.m_servers) {
            const int state = *rc::gen::inRange(0, 8);
            server.m_use = state == 1 ? Configuration::ServerUse::Leaving : Configuration::ServerUse::Active;
            server.m_weight = state == 2 ? 0.0 : 1.0;
            if (state == 3) {
                fixture.m_standings[id] = Standing::Barred;
            } else if (state == 4) {
                fixture.m_excluded.insert(id);
            } else if (state == 5) {
                startAttempt(fixture.m_balancer, id);
                startAttempt(fixture.m_balancer, id);
            } else if (state == 6) {
                noteShed(fixture.m_balancer, fixture.m_settings, server, Start);
            } else if (state == 7) {
                fixture.m_standings[id] = Standing::Avoided;
            }
            anyInUse = anyInUse || state == 0 || state >= 5;
            if (state == 0 || state == 7) {
                allowed.push_back(id);
            }
        }
        const auto picked = fixture.pick(Start);
        if (picked) {
            RC_ASSERT(std::find(allowed.begin(), allowed.end(), *picked) != allowed.end());
        } else {
            RC_ASSERT(allowed.empty());
            RC_ASSERT((picked.error() == PickFailure::AllBusy) == anyInUse);
        }
    });
    CHECK(holds);
}

TEST_CASE("subsets of servers")
{
    SECTION("today's fleets use every server")
    {
        CHECK(subsetSize(48, 10, 300) == 10);
    }

    SECTION("no server gets more connections than the limit at 470 hosts")
    {
        for (const std::size_t servers : {3, 6, 27, 60}) {
            const Configuration::Catalogue catalogue = catalogueOf(servers, 4);
            const std::size_t subset = subsetSize(470, servers, 300);
            std::map<ServerId, int> connections;
            for (int host = 0; host < 470; ++host) {
                const auto order = orderServers(catalogue, Booking, HostId("host" + std::to_string(host)));
                REQUIRE(order.size() == servers);
                for (std::size_t i = 0; i < subset; ++i) {
                    ++connections[order[i]];
                }
            }
            for (const auto &[server, count] : connections) {
                CHECK(count <= 300);
            }
        }
    }

    SECTION("a retry finds another server when the subset holds only one")
    {
        Fixture fixture;
        fixture.m_catalogue = catalogueOf(3, 2);
        PickQuery query{HostId("h1"), 470, Booking, &fixture.m_excluded, &fixture.m_standings};
        const auto first = pickServer(fixture.m_balancer, fixture.m_settings, fixture.m_catalogue, query, Start, fixture.m_random);
        REQUIRE(first);
        fixture.m_excluded.insert(*first);
        const auto second = pickServer(fixture.m_balancer, fixture.m_settings, fixture.m_catalogue, query, Start, fixture.m_random);
        REQUIRE(second);
        CHECK(*second != *first);
    }

    SECTION("the first servers stand in different failure domains")
    {
        const Configuration::Catalogue catalogue = catalogueOf(9, 2);
        const auto order = orderServers(catalogue, Booking, HostId("h1"));
        std::set<FailureDomainId> domains;
        for (int i = 0; i < 3; ++i) {
            domains.insert(catalogue.m_servers.at(order[i]).m_domain);
        }
        CHECK(domains.size() == 3);
    }
}
