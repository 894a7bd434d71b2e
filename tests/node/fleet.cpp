#include "../fakes/fakefleet.h"

#include <ragwortrelay/workspaces/authentication.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using Configuration::RowKind;
using std::chrono::seconds;

namespace {

Node::EditTable smallTable()
{
    return {"c1",
            "operator",
            {Fakes::rowEdit(RowKind::Service, "booking", {}),
             Fakes::rowEdit(RowKind::Server, "b1", {{"service", "booking"}, {"address", "127.0.0.1:1"}, {"domain", "d1"}}),
             Fakes::rowEdit(RowKind::Route, "lookup", {{"method", "GET"}, {"path", "/"}, {"service", "booking"}}),
             Fakes::rowEdit(RowKind::Workspace, "w1", {{"rate", "1000"}, {"burst", "1000"}}),
             Fakes::rowEdit(RowKind::Key, "k1", {{"workspace", "w1"}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "secret")}})}};
}

Node::RequestArrived lookup()
{
    Node::RequestArrived request;
    request.m_method = "GET";
    request.m_path = "/a";
    request.m_target = "/a";
    request.m_authorization = "Bearer k1.secret";
    return request;
}

}

TEST_CASE("fleet")
{
    Fakes::FakeFleet fleet(1);
    fleet.startHost("h1", "d1");
    fleet.startHost("h2", "d2");
    const auto call = fleet.command("h1", smallTable());
    fleet.run(seconds(5));
    REQUIRE(std::holds_alternative<Node::EditDone>(fleet.m_operatorReplies.at(call)));

    SECTION("an edit through one host is in force on all")
    {
        for (const auto &[host, node] : fleet.m_nodes) {
            CHECK(node.m_table.m_version == 1);
        }
    }

    SECTION("a request is answered by a backend server")
    {
        fleet.request("h2", lookup());
        fleet.run(seconds(1));
        REQUIRE(fleet.m_answers.size() == 1);
        CHECK(fleet.m_answers[0].m_forwarded);
    }
}
