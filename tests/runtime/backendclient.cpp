#include "rawsocket.h"

#include <ragwortrelay/runtime/backendclient.h>
#include <ragwortrelay/runtime/wakeup.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;

namespace {

/// Server that answers `/warm` and keeps the connection, and does as told with all other requests that it has read.
class RawServer
{
public:
    explicit RawServer(std::string answer) : m_answer(std::move(answer)), m_thread([this] { run(); })
    {
    }

    ~RawServer()
    {
        m_stopping.store(true);
        m_thread.join();
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] std::string address() const
    {
        return m_listener.address();
    }

    std::atomic<int> m_connections{0};
    std::atomic<int> m_others{0}; ///< Requests that were read, but for `/warm`.

private:
    void run()
    {
        constexpr int StepMilliseconds = 5;
        std::vector<std::unique_ptr<RawSocket>> connections;
        while (!m_stopping.load()) {
            const int descriptor = m_listener.accept(StepMilliseconds);
            if (descriptor >= 0) {
                ++m_connections;
                connections.push_back(std::make_unique<RawSocket>(descriptor));
            }
            std::erase_if(connections, [this](const auto &connection) { return serve(*connection); });
        }
    }

    /// Returns whether the connection is to be closed.
    bool serve(const RawSocket &connection)
    {
        const std::string request = connection.receiveSome(1);
        if (request.empty()) {
            return false;
        }
        if (request.find(" /warm ") != std::string::npos) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            return false;
        }
        ++m_others;
        connection.send(m_answer);
        return true;
    }

    RawListener m_listener;
    std::string m_answer;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

/// Sends requests and waits for what becomes of them.
class Sender
{
public:
    Sender() : m_ring(64, [this] { m_wakeup.notify(); }), m_client({}, m_ring, [](Node::AttemptId) {})
    {
        m_client.start();
    }

    Node::Event send(const std::string &address, const std::string &method, const std::string &target, bool idempotent)
    {
        auto request = std::make_shared<Runtime::CallerRequest>();
        request->m_method = method;
        request->m_target = target;
        m_client.orders().push(
            Runtime::SendRequest{++m_attempt, address, idempotent, std::chrono::seconds(20), request, std::make_shared<Runtime::AnswerStream>()});
        std::optional<Node::Event> event;
        while (!event) {
            pollfd descriptor{m_wakeup.descriptor(), POLLIN, 0};
            poll(&descriptor, 1, 1000);
            m_wakeup.clear();
            m_ring.drain([&](Runtime::DecisionInput &&input) { event = input.m_event; });
        }
        return *event;
    }

private:
    Runtime::Wakeup m_wakeup;
    Runtime::DecisionRing m_ring;
    Runtime::BackendClient m_client;
    Node::AttemptId m_attempt = 0;
};

}

TEST_CASE("libcurl's own repetition on a connection that was kept open")
{
    const RawServer server(""); // Reads the request and closes.
    Sender sender;
    REQUIRE(std::holds_alternative<Node::AttemptAnswered>(sender.send(server.address(), "GET", "/warm", true)));

    SECTION("never sends a request that isn't idempotent a second time")
    {
        const Node::Event event = sender.send(server.address(), "POST", "/book", false);
        REQUIRE(std::holds_alternative<Node::AttemptFailed>(event));
        CHECK(std::get<Node::AttemptFailed>(event).m_sent);
        CHECK(std::get<Node::AttemptFailed>(event).m_failure == Dispatch::AttemptFailure::Broken);
        // All that libcurl sends for the request it has sent by now; the server may still be reading it.
        sender.send(server.address(), "GET", "/warm", true);
        CHECK(server.m_others == 1);
    }

    SECTION("sends an idempotent one again")
    {
        sender.send(server.address(), "GET", "/lookup", true);
        CHECK(server.m_others == 2);
        CHECK(server.m_connections == 2);
    }
}

TEST_CASE("an answer that ends with its connection can't be known to be whole")
{
    const RawServer server("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of an ans");
    Sender sender;
    const Node::Event event = sender.send(server.address(), "GET", "/a", true);
    REQUIRE(std::holds_alternative<Node::AttemptFailed>(event));
    CHECK(std::get<Node::AttemptFailed>(event).m_failure != Dispatch::AttemptFailure::Broken);
}

TEST_CASE("not-run of a backend server counts on a 503 only")
{
    for (const auto &[status, counts] : std::map<std::string, bool>{{"503 Busy", true}, {"200 OK", false}, {"500 Failed", false}}) {
        const RawServer server("HTTP/1.1 " + status + "\r\nRagwortrelay-Outcome: not-run\r\nContent-Length: 2\r\n\r\nok");
        Sender sender;
        const Node::Event event = sender.send(server.address(), "POST", "/book", false);
        REQUIRE(std::holds_alternative<Node::AttemptAnswered>(event));
        CHECK(std::get<Node::AttemptAnswered>(event).m_notRun == counts);
        CHECK(std::get<Node::AttemptAnswered>(event).m_stored);
    }
}
