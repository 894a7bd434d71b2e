#include "../fakes/fakefleet.h"

#include <ragwortrelay/workspaces/authentication.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace RagwortRelay;
using Configuration::RowKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One host before one server with two slots; requests take 100 ms.
struct SmallFleet {
    SmallFleet()
    {
        m_fleet.m_backend = [this](const HostId &, const Node::StartAttempt &start, TimePoint) -> std::pair<Duration, Node::Event> {
            if (m_sheds) {
                return {milliseconds(1), Node::AttemptAnswered{start.m_attempt, 503, true, true, {}}};
            }
            return {milliseconds(100), Node::AttemptAnswered{start.m_attempt, 200, true, false, {}}};
        };
        m_fleet.startHost("h1", "d1");
        Node::EditTable edit{"c1",
                             "operator",
                             {Fakes::rowEdit(RowKind::Service, "booking", {}),
                              Fakes::rowEdit(RowKind::Server, "s1", {{"service", "booking"}, {"address", "127.0.0.1:1"}, {"domain", "d1"}, {"slots", "2"}}),
                              Fakes::rowEdit(RowKind::Route, "lookup", {{"method", "GET"}, {"path", "/"}, {"service", "booking"}})}};
        for (const std::string name : {"large", "small"}) {
            edit.m_rows.push_back(Fakes::rowEdit(RowKind::Workspace, name, {{"rate", "100000"}, {"burst", "100000"}}));
            edit.m_rows.push_back(
                Fakes::rowEdit(RowKind::Key, "k" + name, {{"workspace", name}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "secret")}}));
        }
        m_fleet.command("h1", edit);
        m_fleet.run(seconds(10));
    }

    Node::ExchangeId request(const std::string &workspace)
    {
        Node::RequestArrived request;
        request.m_method = "GET";
        request.m_path = "/a";
        request.m_target = "/a";
        request.m_authorization = "Bearer k" + workspace + ".secret";
        return m_fleet.request("h1", request);
    }

    const Fakes::CallerAnswer *answerTo(Node::ExchangeId id)
    {
        const auto found =
            std::find_if(m_fleet.m_answers.begin(), m_fleet.m_answers.end(), [id](const Fakes::CallerAnswer &answer) { return answer.m_exchange == id; });
        return found == m_fleet.m_answers.end() ? nullptr : &*found;
    }

    const Balancing::RequestQueue &queue()
    {
        return m_fleet.m_nodes.at(HostId("h1")).m_placement.m_queues.at(ServiceId("booking"));
    }

    Fakes::FakeFleet m_fleet{1};
    bool m_sheds = false;
};

}

TEST_CASE("requests without a slot")
{
    SmallFleet small;

    SECTION("wait and are run as slots become free, without more attempts")
    {
        std::vector<Node::ExchangeId> ids;
        for (int i = 0; i < 10; ++i) {
            ids.push_back(small.request("large"));
        }
        small.m_fleet.run(seconds(2));
        for (const Node::ExchangeId id : ids) {
            REQUIRE(small.answerTo(id) != nullptr);
            CHECK(small.answerTo(id)->m_forwarded);
        }
        CHECK(small.m_fleet.m_attempts.size() == 10);
    }

    SECTION("of a small workspace pass those of one that floods the host")
    {
        for (int i = 0; i < 100; ++i) {
            small.request("large");
        }
        const Node::ExchangeId id = small.request("small");
        const TimePoint asked = small.m_fleet.m_now;
        small.m_fleet.run(seconds(3));
        REQUIRE(small.answerTo(id) != nullptr);
        CHECK(small.answerTo(id)->m_forwarded);
        CHECK(small.answerTo(id)->m_at - asked <= milliseconds(320));
    }

    SECTION("are refused as not run, with a time to wait, when the queue is full or their time is over")
    {
        for (int i = 0; i < 100; ++i) {
            small.request("large");
        }
        small.m_fleet.run(seconds(3));
        REQUIRE(small.m_fleet.m_answers.size() == 100);
        int refused = 0;
        for (const Fakes::CallerAnswer &answer : small.m_fleet.m_answers) {
            if (!answer.m_forwarded) {
                ++refused;
                CHECK(answer.m_problem.m_id == ErrorId::RequestOverload);
                CHECK(answer.m_problem.m_status == 503);
                CHECK(answer.m_problem.m_outcome == Dispatch::Outcome::NotRun);
                CHECK(answer.m_problem.m_retryAfter.has_value());
            }
        }
        CHECK(refused >= 70);
        CHECK(small.m_fleet.m_attempts.size() == static_cast<std::size_t>(100 - refused));
        CHECK(small.queue().m_size == 0);
    }

    SECTION("leave the queue when their caller is gone")
    {
        for (int i = 0; i < 4; ++i) {
            small.request("large");
        }
        const Node::ExchangeId id = small.request("large");
        small.m_fleet.deliver(HostId("h1"), Node::CallerGone{id});
        CHECK(small.queue().m_size == 2);
        small.m_fleet.run(seconds(1));
        CHECK(small.m_fleet.m_attempts.size() == 4);
    }

    SECTION("wait also while the server sheds all, and are run once it doesn't")
    {
        small.m_sheds = true;
        const Node::ExchangeId id = small.request("small");
        small.m_fleet.run(milliseconds(400));
        CHECK(small.answerTo(id) == nullptr);
        CHECK(small.m_fleet.m_attempts.size() < 20);
        small.m_sheds = false;
        small.m_fleet.run(milliseconds(300));
        REQUIRE(small.answerTo(id) != nullptr);
        CHECK(small.answerTo(id)->m_forwarded);
    }
}
