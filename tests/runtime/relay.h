#pragma once

#include "rawsocket.h"

#include <ragwortrelay/runtime/backendclient.h>
#include <ragwortrelay/runtime/callerfront.h>
#include <ragwortrelay/runtime/wakeup.h>

#include <atomic>
#include <map>
#include <poll.h>
#include <thread>
#include <type_traits>

namespace RagwortRelay::Fakes {

/// Caller front and backend client, with a duty between them that sends each request to one server and forwards each answer.
class Relay
{
public:
    explicit Relay(const Settings::CallerSettings &callers, const std::string &server, const Settings::BackendSettings &backends = {})
        : m_server(server)
        , m_ring(4096, [this] { m_wakeup.notify(); })
        , m_front(callers, m_ring, [this](Node::AttemptId attempt) { m_client.orders().push(Runtime::SpaceReady{attempt}); })
        , m_client(backends, m_ring, [this](Node::AttemptId attempt) { m_front.orders().push(Runtime::BytesReady{attempt}); })
    {
        m_front.start();
        m_client.start();
        m_thread = std::thread([this] { run(); });
    }

    ~Relay()
    {
        m_front.stop();
        m_client.stop();
        m_stopping.store(true);
        m_wakeup.notify();
        m_thread.join();
    }

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    static Settings::CallerSettings callerSettings()
    {
        Settings::CallerSettings settings;
        settings.m_listen = "127.0.0.1:0";
        return settings;
    }

    [[nodiscard]] std::string address() const
    {
        return m_front.address();
    }

    Runtime::CallerFront &front()
    {
        return m_front;
    }

    std::atomic<std::uint64_t> m_requests{0};
    std::atomic<std::uint64_t> m_callersGone{0};
    std::atomic<Duration> m_timeLeft{std::chrono::seconds(30)};

private:
    void run()
    {
        while (!m_stopping.load()) {
            pollfd descriptor{m_wakeup.descriptor(), POLLIN, 0};
            poll(&descriptor, 1, 1000);
            m_wakeup.clear();
            m_ring.drain([this](Runtime::DecisionInput &&input) { std::visit([&](const auto &event) { handle(event, input); }, input.m_event); });
        }
    }

    template<typename Event> void handle(const Event &event, Runtime::DecisionInput &input)
    {
        // An attempt has the number of its exchange.
        if constexpr (std::is_same_v<Event, Node::RequestArrived>) {
            ++m_requests;
            auto stream = std::make_shared<Runtime::AnswerStream>();
            m_streams[event.m_exchange] = stream;
            m_client.orders().push(Runtime::SendRequest{event.m_exchange, m_server, true, m_timeLeft.load(), std::move(input.m_request), stream});
        } else if constexpr (std::is_same_v<Event, Node::AttemptAnswered>) {
            m_front.orders().push(Runtime::SendAnswer{event.m_attempt, event.m_attempt, m_streams[event.m_attempt]});
        } else if constexpr (std::is_same_v<Event, Node::AttemptFailed>) {
            const Dispatch::Problem problem{502, ErrorId::RequestUpstreamFailed, Dispatch::Outcome::Unknown, Dispatch::toString(event.m_failure), {}};
            m_front.orders().push(Runtime::SendProblem{event.m_attempt, problem});
        } else if constexpr (std::is_same_v<Event, Node::CallerGone>) {
            ++m_callersGone;
            m_client.orders().push(Runtime::CancelRequest{event.m_exchange});
        }
    }

    std::string m_server;
    Runtime::Wakeup m_wakeup;
    Runtime::DecisionRing m_ring;
    Runtime::CallerFront m_front;
    Runtime::BackendClient m_client;
    std::map<Node::AttemptId, std::shared_ptr<Runtime::AnswerStream>> m_streams;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

}
