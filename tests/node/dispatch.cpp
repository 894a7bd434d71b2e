#include "../fakes/fakefleet.h"

#include <ragwortrelay/workspaces/authentication.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using Configuration::RowKind;
using Dispatch::AttemptFailure;
using Dispatch::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Three hosts before four servers, and the runs of each idempotency key.
struct Bench {
    using Event = std::pair<Duration, Node::Event>;

    explicit Bench(std::uint64_t seed) : m_fleet(seed)
    {
        m_fleet.m_backend = [this](const HostId &host, const Node::StartAttempt &start, TimePoint) { return run(host, start); };
        for (const char *host : {"h1", "h2", "h3"}) {
            m_fleet.startHost(host, "d1");
        }
        Node::EditTable table{"c1", "operator", {}};
        table.m_rows.push_back(Fakes::rowEdit(RowKind::Service, "booking", {}));
        for (const char *server : {"b1", "b2", "b3", "b4"}) {
            table.m_rows.push_back(
                Fakes::rowEdit(RowKind::Server, server, {{"service", "booking"}, {"address", "127.0.0.1:1"}, {"domain", "d1"}, {"slots", "100"}}));
        }
        table.m_rows.push_back(Fakes::rowEdit(RowKind::Route, "lookup", {{"method", "GET"}, {"path", "/"}, {"service", "booking"}}));
        table.m_rows.push_back(Fakes::rowEdit(RowKind::Route, "book", {{"method", "POST"}, {"path", "/"}, {"service", "booking"}, {"idempotent", "no"}}));
        table.m_rows.push_back(Fakes::rowEdit(RowKind::Workspace, "w1", {{"rate", "100000"}, {"burst", "100000"}}));
        table.m_rows.push_back(Fakes::rowEdit(RowKind::Key, "k1", {{"workspace", "w1"}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "secret")}}));
        m_fleet.run(seconds(5));
        m_fleet.command("h1", table);
        m_fleet.run(seconds(10));
    }

    Event run(const HostId &host, const Node::StartAttempt &start)
    {
        const Node::RequestArrived &request = m_requests[start.m_exchange];
        ++m_runs[request.m_idempotencyKey + request.m_target];
        const auto fault = m_faults.find(request.m_target);
        if (fault != m_faults.end()) {
            return fault->second(host, start);
        }
        Node::AttemptAnswered answer{start.m_attempt, 200, true, false, {}, {}};
        if (!start.m_idempotent) {
            answer.m_stored = Dispatch::StoredAnswer{200, {{"A", "b"}}, "run " + std::to_string(start.m_exchange)};
        }
        return {m_work, answer};
    }

    Node::ExchangeId send(const std::string &host, const std::string &target, const std::string &key = {})
    {
        Node::RequestArrived request;
        request.m_method = key.empty() ? "GET" : "POST";
        request.m_path = target;
        request.m_target = target;
        request.m_authorization = "Bearer k1.secret";
        request.m_idempotencyKey = key;
        m_requests[m_requests.size() + 1] = request;
        return m_fleet.request(host, request);
    }

    [[nodiscard]] const Fakes::CallerAnswer &answerTo(Node::ExchangeId exchange) const
    {
        for (const Fakes::CallerAnswer &answer : m_fleet.m_answers) {
            if (answer.m_exchange == exchange) {
                return answer;
            }
        }
        throw std::runtime_error("no answer");
    }

    Duration m_work = milliseconds(50);
    std::map<Node::ExchangeId, Node::RequestArrived> m_requests;
    std::map<std::string, int> m_runs; ///< By key and target.
    std::map<std::string, std::function<Event(const HostId &, const Node::StartAttempt &)>> m_faults; ///< By target.
    Fakes::FakeFleet m_fleet;
};

}

TEST_CASE("requests that aren't idempotent")
{
    Bench bench(1);

    SECTION("a resend to another host gets the stored answer and runs nothing")
    {
        bench.send("h1", "/book", "key");
        bench.m_fleet.run(seconds(2));
        const auto second = bench.send("h2", "/book", "key");
        bench.m_fleet.run(seconds(2));
        REQUIRE(bench.answerTo(second).m_replayed);
        CHECK(bench.answerTo(second).m_replayed->m_body == "run 1");
        CHECK(bench.m_runs.at("key/book") == 1);
    }

    SECTION("the answer is kept for a caller that went away")
    {
        const auto first = bench.send("h1", "/book", "key");
        bench.m_fleet.run(milliseconds(30));
        bench.m_fleet.deliver(HostId("h1"), Node::CallerGone{first});
        bench.m_fleet.run(seconds(2));
        const auto second = bench.send("h3", "/book", "key");
        bench.m_fleet.run(seconds(2));
        CHECK(bench.answerTo(second).m_replayed);
        CHECK(bench.m_runs.at("key/book") == 1);
    }

    SECTION("a host that dies with a run leaves it unknown, and nobody runs it again")
    {
        bench.send("h1", "/book", "key");
        bench.m_fleet.run(milliseconds(30));
        bench.m_fleet.killHost("h1");
        const auto second = bench.send("h2", "/book", "key");
        bench.m_fleet.run(seconds(15));
        CHECK(bench.answerTo(second).m_problem.m_outcome == Outcome::Unknown);
        CHECK(bench.m_runs.at("key/book") == 1);
    }

    SECTION("a connection that breaks after the request was sent is not retried and is told as unknown, also later")
    {
        bench.m_faults["/book"] = [](const HostId &, const Node::StartAttempt &start) {
            return Bench::Event(milliseconds(5), Node::AttemptFailed{start.m_attempt, AttemptFailure::Broken, true});
        };
        for (const char *host : {"h1", "h2"}) {
            const auto exchange = bench.send(host, "/book", "key");
            bench.m_fleet.run(seconds(2));
            CHECK(bench.answerTo(exchange).m_problem.m_id == ErrorId::RequestOutcomeUnknown);
        }
        CHECK(bench.m_runs.at("key/book") == 1);
    }

    SECTION("with the table down they are refused as not run, and run after it is back")
    {
        bench.m_fleet.m_platformMode = Fakes::PlatformMode::Down;
        const auto first = bench.send("h1", "/book", "key");
        bench.m_fleet.run(seconds(10));
        CHECK(bench.answerTo(first).m_problem.m_id == ErrorId::RequestClaimUnavailable);
        CHECK(bench.answerTo(first).m_problem.m_outcome == Outcome::NotRun);
        CHECK(bench.answerTo(first).m_problem.m_retryAfter);
        bench.m_fleet.m_platformMode = Fakes::PlatformMode::Up;
        bench.m_fleet.run(seconds(10));
        CHECK(bench.m_runs.empty());
        const auto second = bench.send("h2", "/book", "key");
        bench.m_fleet.run(seconds(5));
        CHECK(bench.answerTo(second).m_forwarded);
        CHECK(bench.m_runs.at("key/book") == 1);
    }
}

TEST_CASE("retries")
{
    Bench bench(2);

    SECTION("a failing service gets few more attempts than requests")
    {
        bench.m_faults["/a"] = [](const HostId &, const Node::StartAttempt &start) {
            return Bench::Event(milliseconds(5), Node::AttemptAnswered{start.m_attempt, 500, true, false, {}, {}});
        };
        for (int i = 0; i < 300; ++i) {
            bench.send("h1", "/a");
            bench.m_fleet.run(milliseconds(20));
        }
        CHECK(bench.m_runs.at("/a") <= 300 * 1.2 + 5);
        CHECK(bench.m_runs.at("/a") > 330);
    }

    SECTION("a refusal after an attempt that was sent is not told as not run")
    {
        bench.m_faults["/a"] = [](const HostId &, const Node::StartAttempt &start) {
            return Bench::Event(milliseconds(5), Node::AttemptFailed{start.m_attempt, AttemptFailure::TimedOut, start.m_attempt == 1});
        };
        const auto exchange = bench.send("h1", "/a");
        bench.m_fleet.run(seconds(20));
        CHECK(bench.m_runs.at("/a") == 3);
        CHECK(bench.answerTo(exchange).m_problem.m_outcome == Outcome::Unknown);
    }
}

TEST_CASE("requests that crash servers", "[known-red]")
{
    Bench bench(3);
    std::map<ServerId, std::set<std::pair<HostId, Node::AttemptId>>> running;
    std::set<ServerId> crashed;
    const auto note = [&](const HostId &host, const Node::StartAttempt &start) { running[start.m_server].emplace(host, start.m_attempt); };
    // Takes all that run on its server with it.
    bench.m_faults["/crash"] = [&](const HostId &host, const Node::StartAttempt &start) {
        note(host, start);
        bench.m_fleet.at(milliseconds(3), [&, server = start.m_server] {
            crashed.insert(server);
            for (const auto &[on, attempt] : std::exchange(running[server], {})) {
                bench.m_fleet.deliver(on, Node::AttemptFailed{attempt, AttemptFailure::Broken, true});
            }
        });
        return Bench::Event(seconds(60), Node::AttemptFailed{start.m_attempt, AttemptFailure::TimedOut, true});
    };
    const auto runLong = [&](const HostId &host, const Node::StartAttempt &start) {
        note(host, start);
        bench.m_fleet.at(milliseconds(100), [&, server = start.m_server, host, attempt = start.m_attempt] { running[server].erase({host, attempt}); });
        return Bench::Event(milliseconds(100), Node::AttemptAnswered{start.m_attempt, 200, true, false, {}, {}});
    };
    std::vector<Node::ExchangeId> innocents;
    const auto sendInnocents = [&](int round) {
        for (const char *host : {"h1", "h2", "h3"}) {
            for (int i = 0; i < 3; ++i) {
                const std::string target = "/page" + std::to_string(round) + host + std::to_string(i);
                bench.m_faults[target] = runLong;
                innocents.push_back(bench.send(host, target));
            }
        }
        bench.m_fleet.run(milliseconds(10));
    };

    SECTION("resent to other hosts it is refused after two or three servers, and the innocent requests beside it are answered")
    {
        int refused = 0;
        for (int round = 0; round < 8; ++round) {
            sendInnocents(round);
            const auto exchange = bench.send(round % 2 == 0 ? "h1" : "h2", "/crash");
            bench.m_fleet.run(seconds(3));
            refused += bench.answerTo(exchange).m_problem.m_id == ErrorId::RequestQuarantined ? 1 : 0;
        }
        CHECK(bench.m_runs.at("/crash") <= 3);
        CHECK(refused >= 7);
        for (const Node::ExchangeId exchange : innocents) {
            CHECK(bench.answerTo(exchange).m_problem.m_id != ErrorId::RequestQuarantined);
            CHECK(bench.answerTo(exchange).m_forwarded);
        }
    }

    SECTION("the refusal ends after its time")
    {
        bench.send("h1", "/crash");
        bench.m_fleet.run(seconds(3));
        const int runs = bench.m_runs.at("/crash");
        bench.send("h3", "/crash");
        bench.m_fleet.run(std::chrono::minutes(11));
        CHECK(bench.m_runs.at("/crash") == runs);
        bench.m_faults.erase("/crash");
        const auto exchange = bench.send("h3", "/crash");
        bench.m_fleet.run(seconds(3));
        CHECK(bench.answerTo(exchange).m_forwarded);
    }
}
