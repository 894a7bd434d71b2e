#include "relay.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <deque>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;

namespace {

const std::string Get = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// What happens next to the connections of a relay.
enum class Step : std::uint8_t {
    Connect,
    SendRequest,
    SendPart, ///< The caller sends the first bytes of a request.
    SendSurplus, ///< The caller sends more than the relay buffers behind a request.
    SendPipelined,
    Read,
    EndSending,
    Disconnect,
    Respond,
    RespondPartly,
    RespondAtLength, ///< The server sends more than the relay buffers for a caller that doesn't read.
    DisconnectServer,
    Pause,
    CloseIdle,
    Last,
};

/// Callers and servers of a relay, driven step by step. Nothing here waits for the other end without a short limit.
class Actors
{
public:
    explicit Actors(Relay &relay, const RawListener &server) : m_relay(relay), m_server(server)
    {
    }

    void perform(Step step, std::size_t number)
    {
        if (step == Step::Connect || m_callers.empty()) {
            m_callers.push_back(std::make_unique<RawSocket>(m_relay.address()));
        }
        const std::size_t index = number % m_callers.size();
        const RawSocket &caller = *m_callers[index];
        switch (step) {
        case Step::SendRequest:
            return sendWithoutWait(caller, Get);
        case Step::SendPart:
            return sendWithoutWait(caller, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
        case Step::SendSurplus:
            return sendWithoutWait(caller, Get + std::string(8192 + number, 'x'));
        case Step::SendPipelined:
            for (int i = 0; i < 200; ++i) {
                sendWithoutWait(caller, Get);
            }
            return;
        case Step::Read:
            caller.receiveSome(ShortWait);
            return;
        case Step::EndSending:
            return caller.endSending();
        case Step::Disconnect:
            m_callers.erase(m_callers.begin() + static_cast<std::ptrdiff_t>(index));
            return;
        case Step::Respond:
            return respond(number, Ok);
        case Step::RespondPartly:
            return respond(number, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nabc");
        case Step::RespondAtLength:
            return respond(number, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + std::string(200000, 'x'));
        case Step::DisconnectServer:
            if (!m_servers.empty()) {
                m_servers.pop_front();
            }
            return;
        case Step::Pause:
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            return;
        case Step::CloseIdle:
            return m_relay.post([](Loop::CallerListener &listener) { listener.closeIdleConnections(); });
        case Step::Connect:
        case Step::Last:
            return;
        }
    }

private:
    static constexpr int ShortWait = 2; // ms

    static void sendWithoutWait(const RawSocket &socket, const std::string &bytes)
    {
        ::send(socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    void respond(std::size_t number, const std::string &response)
    {
        const int accepted = m_server.accept(ShortWait);
        if (accepted >= 0) {
            m_servers.push_back(std::make_unique<RawSocket>(accepted));
        }
        if (!m_servers.empty()) {
            sendWithoutWait(*m_servers[number % m_servers.size()], response);
        }
    }

    Relay &m_relay;
    const RawListener &m_server;
    std::vector<std::unique_ptr<RawSocket>> m_callers;
    std::deque<std::unique_ptr<RawSocket>> m_servers;
};

/// Sends a request on a new connection and answers it at the server. Returns what the caller receives.
std::string exchangeOnce(const Relay &relay, const RawListener &server)
{
    const RawSocket caller(relay.address());
    caller.send("GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    for (int descriptor = server.accept(); descriptor >= 0; descriptor = server.accept()) {
        const RawSocket connection(descriptor);
        if (connection.receiveSome().starts_with("GET /last ")) {
            connection.send(Ok);
            return caller.receiveAll();
        }
    }
    return {};
}

}

// Guards against connections that end while they are in use, or live on after their end: the sanitizers see both.
TEST_CASE("reads, writes, pauses, closes and late responses in any order leave the relay working")
{
    const bool holds = rc::check("steps on several connections", [] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Step::Last)), rc::gen::inRange<std::size_t>(0, 64)));
        const RawListener server;
        Relay relay(Relay::callerSettings(), server.address());
        {
            Actors actors(relay, server);
            for (const auto &[step, number] : steps) {
                actors.perform(static_cast<Step>(step), number);
            }
            if (steps.size() % 2 == 0) {
                return; // The relay is destroyed while connections are in use.
            }
        }
        RC_ASSERT(exchangeOnce(relay, server).ends_with("ok"));
        RC_ASSERT(relay.m_exceptions == 0U);
    });
    CHECK(holds);
}

// review/2: with 4 KB or more behind a waiting request, nothing was read, and the connection was destroyed while its request ran.
TEST_CASE("regression: bytes behind a waiting request ended the process")
{
    const RawListener server;
    Relay relay(Relay::callerSettings(), server.address());
    const RawSocket caller(relay.address());
    caller.send(Get + std::string(8192, 'x'));
    const RawSocket connection(server.accept());
    REQUIRE(connection.receiveUntil("\r\n\r\n").starts_with("GET /a "));
    relay.post([](Loop::CallerListener & /*listener*/) {});
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    connection.send(Ok);
    CHECK(caller.receiveUntil("ok").ends_with("ok"));
}

TEST_CASE("an exception closes only the connection that caused it")
{
    const RawListener server;
    Relay relay(Relay::callerSettings(), server.address());
    const RawSocket other(relay.address());
    relay.m_failsOnRequest = true;
    const RawSocket caller(relay.address());
    caller.send(Get);
    CHECK(caller.receiveAll().empty());
    while (relay.m_exceptions == 0) { // Reported after the connection is closed.
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    other.send(Get);
    const RawSocket connection(server.accept());
    connection.receiveUntil("\r\n\r\n");
    connection.send(Ok);
    CHECK(other.receiveUntil("ok").ends_with("ok"));
}
