#include "../fakes/fakefleet.h"

#include <ragwortrelay/workspaces/authentication.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace RagwortRelay;
using Configuration::RowKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Hosts = 6;
constexpr int Servers = 6;
const ServiceId Booking("booking");

/// Six hosts before six servers with two slots each, and requests at a steady rate on each host.
struct HealthFleet {
    explicit HealthFleet(std::uint64_t seed) : m_fleet(seed)
    {
        for (int i = 0; i < Hosts; ++i) {
            const std::string name = hostName(i);
            m_fleet.m_platform.m_targets.push_back({name, "host", name, "1", false});
        }
        for (int i = 0; i < Hosts; ++i) {
            m_fleet.startHost(hostName(i), "d" + std::to_string(i % 3));
        }
        m_fleet.m_backend = [this](const HostId &host, const Node::StartAttempt &start, TimePoint now) { return answer(host, start, now); };
        m_fleet.command(hostName(0), table());
        m_fleet.run(seconds(10));
    }

    static std::string hostName(int number)
    {
        return "h" + std::to_string(number);
    }

    static ServerId serverId(int number)
    {
        return ServerId("s" + std::to_string(number));
    }

    static Node::EditTable table()
    {
        Node::EditTable edit{"c1", "operator", {Fakes::rowEdit(RowKind::Service, "booking", {{"floor", "0.5"}})}};
        for (int i = 0; i < Servers; ++i) {
            edit.m_rows.push_back(
                Fakes::rowEdit(RowKind::Server,
                               serverId(i).text(),
                               {{"service", "booking"}, {"address", "127.0.0.1:1"}, {"domain", "d" + std::to_string(i % 3)}, {"slots", "2"}}));
        }
        edit.m_rows.push_back(Fakes::rowEdit(RowKind::Route, "lookup", {{"method", "GET"}, {"path", "/"}, {"service", "booking"}}));
        for (const std::string name : {"w1", "w2"}) {
            edit.m_rows.push_back(Fakes::rowEdit(RowKind::Workspace, name, {{"rate", "100000"}, {"burst", "100000"}}));
            edit.m_rows.push_back(
                Fakes::rowEdit(RowKind::Key, "k" + name, {{"workspace", name}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "secret")}}));
        }
        return edit;
    }

    std::pair<Duration, Node::Event> answer(const HostId &host, const Node::StartAttempt &start, TimePoint /*now*/)
    {
        ++m_attemptsAt[start.m_server];
        const auto fault = m_fault(host, start);
        if (fault) {
            return *fault;
        }
        return {milliseconds(10), Node::AttemptAnswered{start.m_attempt, 200, true, false, {}}};
    }

    void request(int host, const std::string &workspace, const std::string &target)
    {
        Node::RequestArrived request;
        request.m_method = "GET";
        request.m_path = target;
        request.m_target = target;
        request.m_authorization = "Bearer k" + workspace + ".secret";
        m_fleet.request(hostName(host), request);
    }

    /// Sends requests to all hosts for some time.
    void run(Duration duration)
    {
        const TimePoint end = m_fleet.m_now + duration;
        while (m_fleet.m_now < end) {
            for (int host = 0; host < Hosts; ++host) {
                const std::string workspace = m_number % 3 == 0 ? "w1" : "w2";
                request(host, workspace, "/" + std::to_string(++m_number));
            }
            m_fleet.run(milliseconds(50));
        }
    }

    /// Returns on how many hosts a server is barred.
    int barredOn(const ServerId &server)
    {
        int count = 0;
        for (const auto &[host, node] : m_fleet.m_nodes) {
            const auto following = node.m_health.m_following.find(Booking);
            if (following == node.m_health.m_following.end()) {
                continue;
            }
            const auto verdicts = Health::verdictsInForce(following->second, node.m_settings.m_health, m_fleet.m_now);
            count += std::any_of(verdicts.begin(), verdicts.end(), [&](const Health::ServerVerdict &verdict) {
                return verdict.m_server == server && (verdict.m_verdict == Health::Verdict::Ejected || verdict.m_verdict == Health::Verdict::Trial);
            });
        }
        return count;
    }

    int barredAnywhere()
    {
        int count = 0;
        for (int i = 0; i < Servers; ++i) {
            count += barredOn(serverId(i)) > 0 ? 1 : 0;
        }
        return count;
    }

    int attemptsDuring(const ServerId &server, Duration duration)
    {
        const int before = m_attemptsAt[server];
        run(duration);
        return m_attemptsAt[server] - before;
    }

    static std::pair<Duration, Node::Event> failed(const Node::StartAttempt &start)
    {
        return {milliseconds(10), Node::AttemptAnswered{start.m_attempt, 500, true, false, {}}};
    }

    Fakes::FakeFleet m_fleet;
    std::function<std::optional<std::pair<Duration, Node::Event>>(const HostId &, const Node::StartAttempt &)> m_fault =
        [](const HostId &, const Node::StartAttempt &) { return std::nullopt; };
    std::map<ServerId, int> m_attemptsAt;
    int m_number = 0;
};

}

TEST_CASE("health of servers over a fleet")
{
    HealthFleet fleet(1);
    fleet.run(seconds(10));
    const ServerId sick = HealthFleet::serverId(0);
    REQUIRE(fleet.barredAnywhere() == 0);

    SECTION("a server that fails its work is ejected on every host, and reinstated when it is well")
    {
        bool isSick = true;
        fleet.m_fault = [&](const HostId &, const Node::StartAttempt &start) {
            return isSick && start.m_server == sick ? std::optional(HealthFleet::failed(start)) : std::nullopt;
        };
        fleet.run(seconds(3));
        CHECK(fleet.barredOn(sick) == Hosts);
        CHECK(fleet.barredAnywhere() == 1);
        CHECK(fleet.attemptsDuring(sick, seconds(20)) < 20);
        isSick = false;
        fleet.run(seconds(60));
        CHECK(fleet.barredAnywhere() == 0);
        CHECK(fleet.attemptsDuring(sick, seconds(20)) > 200);
    }

    SECTION("a server much slower than its peers is ejected")
    {
        fleet.m_fault = [&](const HostId &, const Node::StartAttempt &start) {
            const Node::Event answer = Node::AttemptAnswered{start.m_attempt, 200, true, false, {}};
            return start.m_server == sick ? std::optional(std::pair<Duration, Node::Event>(milliseconds(300), answer)) : std::nullopt;
        };
        fleet.run(seconds(5));
        CHECK(fleet.barredOn(sick) == Hosts);
        CHECK(fleet.barredAnywhere() == 1);
    }

    SECTION("a service that is slow as a whole keeps its servers")
    {
        fleet.m_fault = [&](const HostId &, const Node::StartAttempt &start) {
            const Node::Event answer = Node::AttemptAnswered{start.m_attempt, 200, true, false, {}};
            return std::optional(std::pair<Duration, Node::Event>(milliseconds(150), answer));
        };
        fleet.run(seconds(30));
        CHECK(fleet.barredAnywhere() == 0);
    }

    SECTION("sick servers beyond the floor stay in use")
    {
        fleet.m_fault = [&](const HostId &, const Node::StartAttempt &start) {
            const bool fails = start.m_server != HealthFleet::serverId(4) && start.m_server != HealthFleet::serverId(5);
            return fails ? std::optional(HealthFleet::failed(start)) : std::nullopt;
        };
        for (int i = 0; i < 60; ++i) {
            fleet.run(milliseconds(500));
            REQUIRE(fleet.barredAnywhere() <= Servers / 2);
        }
    }

    SECTION("a partition between one host and one server ejects nothing")
    {
        fleet.m_fault = [&](const HostId &host, const Node::StartAttempt &start) {
            const Node::Event failure = Node::AttemptFailed{start.m_attempt, Dispatch::AttemptFailure::ConnectFailed, false};
            const bool isCut = host == HostId("h2") && start.m_server == sick;
            return isCut ? std::optional(std::pair<Duration, Node::Event>(milliseconds(1), failure)) : std::nullopt;
        };
        fleet.run(seconds(30));
        CHECK(fleet.barredAnywhere() == 0);
    }

    SECTION("a workspace whose requests fail everywhere ejects nothing")
    {
        fleet.m_fault = [&](const HostId &host, const Node::StartAttempt &start) {
            const auto exchange = fleet.m_fleet.m_nodes.at(host).m_exchanges.find(start.m_exchange);
            const bool isBad = exchange->second.m_workspace == WorkspaceId("w1");
            return isBad ? std::optional(HealthFleet::failed(start)) : std::nullopt;
        };
        fleet.run(seconds(30));
        CHECK(fleet.barredAnywhere() == 0);
    }

    SECTION("a server that sheds is not sick")
    {
        fleet.m_fault = [&](const HostId &, const Node::StartAttempt &start) {
            const Node::Event shed = Node::AttemptAnswered{start.m_attempt, 503, true, true, {}};
            return start.m_server == sick ? std::optional(std::pair<Duration, Node::Event>(milliseconds(1), shed)) : std::nullopt;
        };
        fleet.run(seconds(20));
        CHECK(fleet.barredAnywhere() == 0);
    }

    SECTION("a flapping server is out for longer each time")
    {
        fleet.m_fault = [&](const HostId &, const Node::StartAttempt &start) {
            const bool isSickNow = (fleet.m_fleet.m_now.time_since_epoch() / seconds(1)) % 20 < 10;
            return isSickNow && start.m_server == sick ? std::optional(HealthFleet::failed(start)) : std::nullopt;
        };
        fleet.run(seconds(100));
        const int early = fleet.attemptsDuring(sick, seconds(100));
        fleet.run(seconds(300));
        CHECK(fleet.attemptsDuring(sick, seconds(100)) <= early);
        CHECK(fleet.attemptsDuring(sick, seconds(100)) < 200);
    }

    SECTION("the ejection outlives its deciding host")
    {
        fleet.m_fault = [&](const HostId &, const Node::StartAttempt &start) {
            return start.m_server == sick ? std::optional(HealthFleet::failed(start)) : std::nullopt;
        };
        fleet.run(seconds(5));
        REQUIRE(fleet.barredOn(sick) == Hosts);
        HostId decider;
        for (const auto &[host, node] : fleet.m_fleet.m_nodes) {
            decider = node.m_health.m_deciding.contains(Booking) ? host : decider;
        }
        fleet.m_fleet.m_network.m_cuts.clear();
        for (int i = 0; i < Hosts; ++i) { // Nobody hears it any more, it hears all.
            fleet.m_fleet.m_network.m_cuts.insert({decider, HostId(HealthFleet::hostName(i))});
        }
        fleet.run(seconds(30));
        CHECK(fleet.barredOn(sick) >= Hosts - 1);
    }

    SECTION("a server on the platform's list of leaving ones gets no new work")
    {
        fleet.m_fleet.m_platform.m_targets.push_back({"127.0.0.1:1", "server", sick.text(), "1", true});
        fleet.run(seconds(3));
        CHECK(fleet.attemptsDuring(sick, seconds(20)) == 0);
    }

    SECTION("a server that reports to be draining to one host gets no new work of any")
    {
        fleet.m_fault = [&](const HostId &host, const Node::StartAttempt &start) {
            const Node::LoadReport load{0, host == HostId("h1")};
            const Node::Event answer = Node::AttemptAnswered{start.m_attempt, 200, true, false, load};
            return start.m_server == sick ? std::optional(std::pair<Duration, Node::Event>(milliseconds(10), answer)) : std::nullopt;
        };
        fleet.run(seconds(4));
        CHECK(fleet.attemptsDuring(sick, seconds(20)) == 0);
    }
}
