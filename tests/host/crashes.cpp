#include "../fakes/owntable.h"

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using Dispatch::AttemptFailure;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Three hosts before four servers. A request to /crash takes all that run on its server with it; the others take 100 ms.
struct CrashingFleet {
    explicit CrashingFleet(std::uint64_t seed) : m_world(seed)
    {
        m_world.m_server = [this](const ServedAttempt &attempt) { return serve(attempt); };
        startOperatorTableFleet(m_world, 3, 4);
    }

    std::pair<Duration, std::optional<Host::Event>> serve(const ServedAttempt &attempt)
    {
        const HostId host = attempt.m_host;
        const ServerId server = attempt.m_start.m_server;
        const Host::AttemptId id = attempt.m_start.m_attempt;
        m_running[server].emplace(host, id);
        if (m_world.m_requests.at(attempt.m_start.m_exchange).m_target == "/crash" && m_crashes) {
            ++m_crashRuns;
            m_world.at(milliseconds(3), [this, server] { crash(server); });
        } else {
            m_world.at(milliseconds(100), [this, server, host, id] { response(server, host, id); });
        }
        return {Duration(0), std::nullopt};
    }

    void crash(const ServerId &server)
    {
        for (const auto &[host, attempt] : std::exchange(m_running[server], {})) {
            m_world.deliver(host, Host::AttemptFailed{attempt, AttemptFailure::Broken, true});
        }
    }

    void response(const ServerId &server, const HostId &host, Host::AttemptId attempt)
    {
        if (m_running[server].erase({host, attempt}) > 0) {
            m_world.deliver(host, *FleetSimulation::answered(attempt, 200));
        }
    }

    [[nodiscard]] bool isQuarantined(Host::ExchangeId request) const
    {
        return m_world.m_responses.at(request).m_problem.m_id == ErrorId::RequestQuarantined;
    }

    FleetSimulation m_world;
    std::map<ServerId, std::set<std::pair<HostId, Host::AttemptId>>> m_running;
    bool m_crashes = true;
    int m_crashRuns = 0;
};

}

TEST_CASE("requests that crash servers")
{
    CrashingFleet fleet(3);
    FleetSimulation &simulation = fleet.m_world;
    const auto sendCrash = [&](const char *host) {
        const auto id = simulation.request(HostId(host), "/crash", OwnKey, 7);
        simulation.run(seconds(3));
        return id;
    };

    SECTION("resent to other hosts it is refused after two or three servers, and the innocent requests beside it are answered")
    {
        std::vector<Host::ExchangeId> innocents;
        int refused = 0;
        for (int round = 0; round < 8; ++round) {
            for (const char *host : {"h1", "h2", "h3"}) {
                for (int i = 0; i < 3; ++i) {
                    innocents.push_back(simulation.request(HostId(host), "/page" + std::to_string(round) + host + std::to_string(i), OwnKey));
                }
            }
            simulation.run(milliseconds(10));
            refused += fleet.isQuarantined(sendCrash(round % 2 == 0 ? "h1" : "h2")) ? 1 : 0;
        }
        CHECK(fleet.m_crashRuns <= 3);
        CHECK(refused >= 7);
        for (const Host::ExchangeId exchange : innocents) {
            CHECK_FALSE(fleet.isQuarantined(exchange));
            CHECK(simulation.m_responses.at(exchange).m_isForwarded);
        }
    }

    SECTION("it is refused on all hosts after the leader has died too")
    {
        sendCrash("h1");
        sendCrash("h2");
        const int runs = fleet.m_crashRuns;
        const HostId leader = simulation.leader();
        simulation.kill(leader);
        simulation.run(seconds(4));
        for (const char *host : {"h1", "h2", "h3"}) {
            if (HostId(host) != leader) {
                CHECK(fleet.isQuarantined(sendCrash(host)));
            }
        }
        CHECK(fleet.m_crashRuns == runs);
    }

    SECTION("the refusal ends after its time")
    {
        sendCrash("h1");
        sendCrash("h1");
        const int runs = fleet.m_crashRuns;
        sendCrash("h3");
        simulation.run(std::chrono::minutes(11));
        CHECK(fleet.m_crashRuns == runs);
        fleet.m_crashes = false;
        CHECK(simulation.m_responses.at(sendCrash("h3")).m_isForwarded);
    }
}
