#include "../fakes/fakefleet.h"

#include <ragwortrelay/workspaces/authentication.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using Configuration::RowKind;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

Node::EditTable openService()
{
    return {"c1",
            "operator",
            {Fakes::rowEdit(RowKind::Service, "booking", {{"objective", "0.9"}}),
             Fakes::rowEdit(RowKind::Server, "b1", {{"service", "booking"}, {"address", "127.0.0.1:1"}, {"domain", "d1"}, {"slots", "100"}}),
             Fakes::rowEdit(RowKind::Route, "lookup", {{"method", "GET"}, {"path", "/"}, {"service", "booking"}, {"open", "yes"}})}};
}

Reporting::WindowBurn lastHour(Fakes::FakeFleet &fleet, const std::string &host, bool &complete)
{
    const auto call = fleet.command(host, Node::ShowBurn{});
    fleet.run(seconds(5));
    const auto &report = std::get<Node::BurnShown>(fleet.m_operatorReplies.at(call)).m_report;
    complete = report.m_complete;
    return report.m_services.at(0).m_windows.at(2);
}

}

TEST_CASE("service levels")
{
    Fakes::FakeFleet fleet(1);
    fleet.startHost("h1", "d1");
    fleet.startHost("h2", "d2");
    fleet.command("h1", openService());
    fleet.run(seconds(5));
    fleet.m_backend = [](const HostId &host, const Node::StartAttempt &start, TimePoint) {
        const std::uint16_t status = host == HostId("h1") ? 500 : 200;
        return std::pair<Duration, Node::Event>(std::chrono::milliseconds(5), Node::AttemptAnswered{start.m_attempt, status, true, false, {}});
    };
    Node::RequestArrived lookup;
    lookup.m_method = "GET";
    lookup.m_path = "/a";
    lookup.m_target = "/a";
    for (int i = 0; i < 10; ++i) {
        fleet.request("h1", lookup);
        fleet.request("h2", lookup);
        fleet.run(std::chrono::milliseconds(200));
    }
    fleet.run(seconds(70));
    bool complete = false;

    SECTION("the report counts the requests of all hosts once")
    {
        const Reporting::WindowBurn window = lastHour(fleet, "h2", complete);
        CHECK(complete);
        CHECK(window.m_requests == 20);
        CHECK(window.m_failed == 10);
        CHECK(window.m_burnRate == Approx(5.0));
    }

    SECTION("the records of a host outlast it")
    {
        fleet.killHost("h1");
        CHECK(lastHour(fleet, "h2", complete).m_requests == 20);
    }

    SECTION("a lost answer to a write neither doubles nor stops the records")
    {
        fleet.m_platformMode = Fakes::PlatformMode::LosesAnswers;
        fleet.run(minutes(3));
        fleet.m_platformMode = Fakes::PlatformMode::Up;
        fleet.run(minutes(2));
        fleet.killHost("h1");
        CHECK(lastHour(fleet, "h2", complete).m_requests == 20);
    }

    SECTION("without the platform's table the report tells that it is incomplete")
    {
        fleet.m_platformMode = Fakes::PlatformMode::Down;
        CHECK(lastHour(fleet, "h2", complete).m_requests == 10);
        CHECK_FALSE(complete);
    }
}
