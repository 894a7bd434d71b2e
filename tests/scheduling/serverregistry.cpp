#include <ragwortrelay/scheduling/serverregistry.h>

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <set>

using namespace RagwortRelay;
using namespace RagwortRelay::Scheduling;
using std::chrono::milliseconds;

namespace {

const ServiceId Desk("desk");
const Requester Self{HostId("h1"), FailureDomainId("d1")};

std::map<ServerId, Configuration::Server> serversOf(int count)
{
    std::map<ServerId, Configuration::Server> servers;
    for (int i = 1; i <= count; ++i) {
        Configuration::Server server;
        server.m_id = ServerId("s" + std::to_string(i));
        server.m_service = Desk;
        server.m_address = "10.0.0." + std::to_string(i) + ":80";
        server.m_domain = FailureDomainId("d1");
        server.m_slots = 2;
        servers.emplace(server.m_id, server);
    }
    return servers;
}

void setServers(ServerRegistry &registry, int count, TimePoint now)
{
    for (const auto &[id, server] : serversOf(count)) {
        setServer(registry, server, now);
    }
}

PlacementRequest placementOf(std::uint64_t number, bool idempotent)
{
    PlacementRequest placement;
    placement.m_number = number;
    placement.m_service = Desk;
    placement.m_idempotent = idempotent;
    return placement;
}

AttemptReport reportOf(std::uint64_t number, const ServerId &server, AttemptEnd end)
{
    return {number, server, end, milliseconds(100), 0, 0, false};
}

/// Selects a server for a placement, starts its attempt and ends it at once. Returns the server.
ServerId serveOne(ServerRegistry &registry,
                  const ServerSelectionSettings &settings,
                  const PlacementRequest &placement,
                  const Requester &requester,
                  AttemptEnd end,
                  RandomGenerator &random,
                  TimePoint now)
{
    const auto server = selectServer(registry, settings, placement, requester, random, now);
    REQUIRE(server);
    startAttempt(registry, settings, placement, *server, requester, now);
    endAttempt(registry, settings, reportOf(placement.m_number, *server, end), requester, now);
    return *server;
}

/// Returns how many servers got a request within the last two seconds.
std::ptrdiff_t countRecentlyUsed(const std::map<ServerId, TimePoint> &lastUsed, TimePoint now)
{
    return std::ranges::count_if(lastUsed, [&](const auto &entry) { return now - entry.second < std::chrono::seconds(2); });
}

/// Sequential requests to one service.
struct RequestSeries {
    int m_servers;
    std::uint64_t m_requests;
    Duration m_interval; ///< Time between the starts of two requests.
    bool m_idempotent;
};

/// Returns the smallest number of servers that got a request within any two seconds, not counting the first 400 requests.
/// @param end returns how the request with a number ends on a server
std::size_t minServersUsed(const RequestSeries &series, const std::function<AttemptReport(std::uint64_t, const ServerId &)> &end)
{
    ServerRegistry registry;
    const ServerSelectionSettings settings;
    RandomGenerator random(1);
    TimePoint now{std::chrono::seconds(100)};
    setServers(registry, series.m_servers, now);
    std::map<ServerId, TimePoint> lastUsed;
    auto minUsed = static_cast<std::size_t>(series.m_servers);
    for (std::uint64_t i = 1; i <= series.m_requests; ++i) {
        now += series.m_interval;
        const auto server = selectServer(registry, settings, placementOf(i, series.m_idempotent), Self, random, now);
        REQUIRE(server);
        startAttempt(registry, settings, placementOf(i, series.m_idempotent), *server, Self, now);
        endAttempt(registry, settings, end(i, *server), Self, now);
        lastUsed[*server] = now;
        if (i > 400) {
            minUsed = std::min(minUsed, static_cast<std::size_t>(countRecentlyUsed(lastUsed, now)));
        }
    }
    return minUsed;
}

}

TEST_CASE("server selection")
{
    ServerRegistry registry;
    const ServerSelectionSettings settings;
    RandomGenerator random(1);
    TimePoint now{std::chrono::seconds(100)};
    setServers(registry, 4, now);

    SECTION("prefers an idle server to one that runs a request")
    {
        const auto first = selectServer(registry, settings, placementOf(1, true), Self, random, now);
        REQUIRE(first);
        startAttempt(registry, settings, placementOf(1, true), *first, Self, now);
        for (std::uint64_t i = 2; i <= 4; ++i) {
            const auto next = selectServer(registry, settings, placementOf(i, true), Self, random, now);
            REQUIRE(next);
            CHECK(registry.m_servers.at(*next).m_running.empty());
            startAttempt(registry, settings, placementOf(i, true), *next, Self, now);
        }
    }
    SECTION("reports that all servers are busy if none has a free slot")
    {
        for (std::uint64_t i = 1; i <= 8; ++i) {
            startAttempt(registry, settings, placementOf(i, true), *selectServer(registry, settings, placementOf(i, true), Self, random, now), Self, now);
        }
        CHECK(selectServer(registry, settings, placementOf(9, true), Self, random, now).error() == SelectionFailure::AllBusy);
    }
    SECTION("reports that there is no server for an unknown service")
    {
        PlacementRequest placement = placementOf(1, true);
        placement.m_service = ServiceId("nothing");
        CHECK(selectServer(registry, settings, placement, Self, random, now).error() == SelectionFailure::NoServer);
    }
    SECTION("does not select a server that has just failed for a non-idempotent request")
    {
        startAttempt(registry, settings, placementOf(1, false), ServerId("s2"), Self, now);
        endAttempt(registry, settings, reportOf(1, ServerId("s2"), AttemptEnd::Broken), Self, now);
        for (std::uint64_t i = 2; i < 30; ++i) {
            CHECK(*selectServer(registry, settings, placementOf(i, false), Self, random, now) != ServerId("s2"));
        }
    }
    SECTION("does not avoid a server for other hosts if one host can't reach it")
    {
        startAttempt(registry, settings, placementOf(1, false), ServerId("s2"), Self, now);
        endAttempt(registry, settings, reportOf(1, ServerId("s2"), AttemptEnd::Unreachable), Self, now);
        now += std::chrono::seconds(3);
        const Requester other{HostId("h2"), FailureDomainId("d1")};
        const auto unhealthyProbability = [&](const Requester &requester) {
            return Health::unhealthyProbability(
                settings.m_suspicion, registry.m_servers.at(ServerId("s2")).m_suspicion, requester.m_host, requester.m_domain, now);
        };
        CHECK(unhealthyProbability(Self) > unhealthyProbability(other));
        CHECK(unhealthyProbability(other) < settings.m_avoidAbove);
    }
    SECTION("selects a server again some time after it was slow")
    {
        ServerSelectionSettings selectionSettings = settings;
        selectionSettings.m_unusedAfter = std::chrono::hours(24); // Selects no server for having been unused.
        selectionSettings.m_idempotentTrialInterval = std::chrono::hours(24);
        for (std::uint64_t i = 1; i <= 20; ++i) {
            AttemptReport slowReport = reportOf(2 * i, ServerId("s2"), AttemptEnd::Succeeded);
            slowReport.m_elapsed = milliseconds(900);
            endAttempt(registry, selectionSettings, slowReport, Self, now);
            endAttempt(registry, selectionSettings, reportOf(2 * i + 1, ServerId("s1"), AttemptEnd::Succeeded), Self, now);
        }
        const auto isSelected = [&] {
            for (std::uint64_t i = 100; i < 200; ++i) {
                if (*selectServer(registry, selectionSettings, placementOf(i, true), Self, random, now) == ServerId("s2")) {
                    return true;
                }
            }
            return false;
        };
        CHECK_FALSE(isSelected());
        now += std::chrono::seconds(30);
        CHECK(isSelected());
    }
    SECTION("does not select a draining server")
    {
        Configuration::Server server = serversOf(4).at(ServerId("s1"));
        server.m_use = Configuration::ServerUse::Draining;
        CHECK_FALSE(setServer(registry, server, now));
        for (std::uint64_t i = 1; i < 30; ++i) {
            CHECK(*selectServer(registry, settings, placementOf(i, true), Self, random, now) != ServerId("s1"));
        }
    }
    SECTION("keeps no suspicion of a server that restarts with the same id")
    {
        endAttempt(registry, settings, reportOf(1, ServerId("s2"), AttemptEnd::Broken), Self, now);
        Configuration::Server server = serversOf(4).at(ServerId("s2"));
        server.m_incarnation = 5;
        CHECK(setServer(registry, server, now));
        CHECK(registry.m_servers.at(ServerId("s2")).m_suspicion.m_byDomain.empty());
    }
}

TEST_CASE("regression: a failing service leaves few servers unused")
{
    // Servers that had failed got no requests for two seconds and more, even after they had recovered.
    constexpr int Servers = 18;
    const std::set<std::string> unhealthyServers{"s1", "s2", "s3", "s4", "s5", "s6", "s7"};
    const std::size_t minUsed = minServersUsed({Servers, 2000, milliseconds(25), false}, [&](std::uint64_t i, const ServerId &server) {
        const bool fails = unhealthyServers.contains(server.text()) || i % 12 == 0;
        return reportOf(i, server, fails ? AttemptEnd::Broken : AttemptEnd::Succeeded);
    });
    CHECK(static_cast<double>(minUsed) >= 0.7 * Servers);
}

TEST_CASE("regression: servers that had been slow get requests again")
{
    // Without failures, unused servers were not tracked. Refused requests and a power cut then made the service lose a tenth of its requests.
    constexpr int Servers = 12;
    const std::set<std::string> slowServers{"s1", "s2", "s3", "s4", "s5"};
    const std::size_t minUsed = minServersUsed({Servers, 1500, milliseconds(20), true}, [&](std::uint64_t i, const ServerId &server) {
        AttemptReport report = reportOf(i, server, AttemptEnd::Succeeded);
        report.m_elapsed = milliseconds(i < 400 && slowServers.contains(server.text()) ? 900 : 100);
        return report;
    });
    CHECK(static_cast<double>(minUsed) >= 0.7 * Servers);
}

TEST_CASE("regression: servers that hold an unanswered request count as unused")
{
    // Such servers got no other requests while they held one, which was longer than healthy servers may stay unused.
    constexpr int Servers = 12;
    constexpr int Holding = 4;
    ServerRegistry registry;
    const ServerSelectionSettings settings;
    RandomGenerator random(1);
    TimePoint now{std::chrono::seconds(100)};
    setServers(registry, Servers, now);
    for (int i = 1; i <= Holding; ++i) {
        startAttempt(
            registry, settings, placementOf(static_cast<std::uint64_t>(i), false), ServerId("s" + std::to_string(i)), {HostId("h2"), Self.m_domain}, now);
    }
    std::map<ServerId, TimePoint> lastUsed;
    for (std::uint64_t i = 1; i <= 400; ++i) {
        now += milliseconds(20);
        for (int held = 1; held <= Holding; ++held) { // The cost of slow servers directs all requests to the others.
            ServerState &state = registry.m_servers.at(ServerId("s" + std::to_string(held)));
            state.m_slowness = 5.0;
            state.m_slownessUpdatedAt = now;
        }
        const AttemptEnd end = i % 6 == 0 ? AttemptEnd::Broken : AttemptEnd::Succeeded;
        lastUsed[serveOne(registry, settings, placementOf(i, false), Self, end, random, now)] = now;
        if (i > 200) {
            CHECK(static_cast<double>(countRecentlyUsed(lastUsed, now)) >= 0.7 * Servers);
        }
    }
}

TEST_CASE("regression: unhealthy servers lose non-idempotent requests at most every three seconds")
{
    // The evidence against them had decayed before they recovered, so each lost a request every other second.
    constexpr int Servers = 18;
    const std::set<std::string> unhealthyServers{"s1", "s2", "s3", "s4", "s5", "s6"};
    std::map<ServerId, std::vector<TimePoint>> failuresAt;
    TimePoint now{};
    minServersUsed({Servers, 2000, milliseconds(14), false}, [&](std::uint64_t i, const ServerId &server) {
        now += milliseconds(14);
        if (unhealthyServers.contains(server.text())) {
            failuresAt[server].push_back(now);
        }
        return reportOf(i, server, unhealthyServers.contains(server.text()) ? AttemptEnd::Broken : AttemptEnd::Succeeded);
    });
    const auto isTriedAgain = [](const auto &entry) { return entry.second.size() > 1; };
    CHECK(std::ranges::any_of(failuresAt, isTriedAgain)); // Otherwise recovery would go unnoticed.
    for (const auto &[server, failureTimes] : failuresAt) {
        for (std::size_t i = 1; i < failureTimes.size(); ++i) {
            CHECK(failureTimes[i] - failureTimes[i - 1] >= std::chrono::seconds(3));
        }
    }
}

TEST_CASE("regression: a service with few requests for each server uses most of its servers")
{
    // A service to which a route had just returned got 16 requests a second for 25 servers, and used 8 of them within two seconds.
    const std::size_t minUsed =
        minServersUsed({25, 1500, milliseconds(62), false}, [](std::uint64_t i, const ServerId &server) { return reportOf(i, server, AttemptEnd::Succeeded); });
    CHECK(static_cast<double>(minUsed) >= 0.7 * 25);
}

TEST_CASE("regression: a service that refuses many requests leaves few servers unused")
{
    // Only attempts were counted, so that a service that had to refuse requests didn't count as failing.
    constexpr int Servers = 12;
    ServerRegistry registry;
    const ServerSelectionSettings settings;
    RandomGenerator random(1);
    TimePoint now{std::chrono::seconds(100)};
    setServers(registry, Servers, now);
    std::map<ServerId, TimePoint> lastUsed;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        now += milliseconds(150); // Too few requests for the service to count as busy.
        for (const auto &[id, server] : serversOf(Servers)) {
            ServerState &state = registry.m_servers.at(id);
            state.m_slowness = id < ServerId("s4") ? 1.0 : 5.0;
            state.m_slownessUpdatedAt = now;
        }
        lastUsed[serveOne(registry, settings, placementOf(i, false), Self, AttemptEnd::Succeeded, random, now)] = now;
        recordRefusal(registry, settings, Desk, now);
        if (i > 50) {
            CHECK(static_cast<double>(countRecentlyUsed(lastUsed, now)) >= 0.7 * Servers);
        }
    }
}

TEST_CASE("servers to which a host has an idle connection")
{
    ServerRegistry registry;
    const ServerSelectionSettings settings;
    RandomGenerator random(1);
    TimePoint now{std::chrono::seconds(100)};
    setServers(registry, 8, now);
    startAttempt(registry, settings, placementOf(1, true), ServerId("s5"), Self, now);
    endAttempt(registry, settings, reportOf(1, ServerId("s5"), AttemptEnd::Succeeded), Self, now);
    const auto selectsConnected = [&](const Requester &requester, bool idempotent) {
        for (std::uint64_t i = 2; i < 40; ++i) {
            if (*selectServer(registry, settings, placementOf(i, idempotent), requester, random, now) != ServerId("s5")) {
                return false;
            }
        }
        return true;
    };

    SECTION("are preferred among servers that are otherwise equal")
    {
        CHECK(selectsConnected(Self, true));
        CHECK(selectsConnected(Self, false));
        CHECK_FALSE(selectsConnected({HostId("h2"), Self.m_domain}, true));
    }
    SECTION("aren't preferred for a non-idempotent request if the connection has been idle for long")
    {
        now += std::chrono::seconds(2);
        CHECK(selectsConnected(Self, true));
        CHECK_FALSE(selectsConnected(Self, false));
    }
    SECTION("aren't preferred while the connection is in use")
    {
        startAttempt(registry, settings, placementOf(50, true), ServerId("s5"), Self, now);
        CHECK_FALSE(selectsConnected(Self, true));
    }
    SECTION("are forgotten some time after their last use")
    {
        forgetIdleConnections(registry, settings, now + std::chrono::seconds(1));
        CHECK(registry.m_services.at(Desk).m_idleConnections.size() == 1);
        forgetIdleConnections(registry, settings, now + std::chrono::seconds(5));
        CHECK(registry.m_services.at(Desk).m_idleConnections.empty());
    }
    SECTION("aren't preferred if they look unhealthy")
    {
        endAttempt(registry, settings, reportOf(51, ServerId("s5"), AttemptEnd::Broken), {HostId("h2"), Self.m_domain}, now);
        for (std::uint64_t i = 2; i < 40; ++i) {
            CHECK(*selectServer(registry, settings, placementOf(i, false), Self, random, now) != ServerId("s5"));
        }
    }
}

TEST_CASE("connection reuse leaves few servers of a busy service unused")
{
    // Without the check for unused servers, three or four of eight got all requests.
    const std::size_t minUsed =
        minServersUsed({8, 2000, milliseconds(40), true}, [&](std::uint64_t i, const ServerId &server) { return reportOf(i, server, AttemptEnd::Succeeded); });
    CHECK(static_cast<double>(minUsed) >= 0.7 * 8);
}

TEST_CASE("regression: connection reuse leaves no trusted server unused")
{
    // Up to a fifth of all servers could be unused at a time. When few servers were healthy, these were sometimes among them.
    constexpr int Servers = 12;
    ServerRegistry registry;
    const ServerSelectionSettings settings;
    RandomGenerator random(1);
    TimePoint now{std::chrono::seconds(100)};
    setServers(registry, Servers, now);
    std::map<ServerId, TimePoint> lastUsed;
    for (std::uint64_t i = 1; i <= 3000; ++i) {
        now += milliseconds(20);
        const Requester requester{HostId("h" + std::to_string(i % 3)), Self.m_domain};
        lastUsed[serveOne(registry, settings, placementOf(i, true), requester, AttemptEnd::Succeeded, random, now)] = now;
        if (i > 200) {
            CHECK(std::ranges::all_of(lastUsed, [&](const auto &entry) { return now - entry.second < std::chrono::seconds(2); }));
        }
    }
    CHECK(lastUsed.size() == Servers);
}

TEST_CASE("a service with few requests uses only the servers of the lowest cost")
{
    ServerRegistry registry;
    const ServerSelectionSettings settings;
    RandomGenerator random(1);
    TimePoint now{std::chrono::seconds(100)};
    constexpr int Servers = 12;
    for (auto &[id, server] : serversOf(Servers)) {
        server.m_domain = FailureDomainId(id < ServerId("s3") ? "d1" : "d2");
        setServer(registry, server, now);
    }
    for (std::uint64_t i = 1; i <= 100; ++i) {
        now += milliseconds(200);
        const ServerId server = serveOne(registry, settings, placementOf(i, true), Self, AttemptEnd::Succeeded, random, now);
        CHECK(registry.m_servers.at(server).m_server.m_domain == Self.m_domain);
    }
}

TEST_CASE("a sample of a large service isn't taken from evacuated servers alone")
{
    // Servers named after their failure domain stand side by side in the list: a run of it was evacuated as a whole, and requests were refused.
    ServerRegistry registry;
    const ServerSelectionSettings settings;
    RandomGenerator random(3);
    const TimePoint now{std::chrono::seconds(1000)};
    for (auto &[id, server] : serversOf(200)) {
        Configuration::Server named = server;
        named.m_domain = FailureDomainId(id.text() < "s2" ? "d1" : "d2");
        setServer(registry, named, now);
    }
    setEvacuatedDomains(registry, {FailureDomainId("d1")}, now);
    for (std::uint64_t i = 1; i <= 300; ++i) {
        const auto server = selectServer(registry, settings, placementOf(i, true), Self, random, now);
        REQUIRE(server);
        CHECK(registry.m_servers.at(*server).m_server.m_domain == FailureDomainId("d2"));
    }
    CHECK_FALSE(isServiceEvacuated(registry, Desk, now));
    setEvacuatedDomains(registry, {FailureDomainId("d1"), FailureDomainId("d2")}, now);
    CHECK(isServiceEvacuated(registry, Desk, now));
}
