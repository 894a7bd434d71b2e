#pragma once

#include "rawsocket.h"

#include <ragwortrelay/loop/backendpool.h>
#include <ragwortrelay/loop/callerlistener.h>
#include <ragwortrelay/loop/eventloop.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <type_traits>

namespace RagwortRelay::Fakes {

/// Caller listener and backend pool, connected so that each request goes to one server and each response to its caller.
class Relay
{
public:
    explicit Relay(const Loop::CallerListenerSettings &callers,
                   const std::string &server,
                   const Loop::BackendSettings &backends = backendSettings(),
                   const Http::HeaderScheme &headerScheme = Http::defaultHeaderScheme())
        : m_server(server)
        , m_listener(m_context, callers, headerScheme, [this](const Host::Event &event) { dispatch(event); })
        , m_pool(m_context, backends, headerScheme, [this](const Host::Event &event) { dispatch(event); })
    {
        m_listener.start();
        m_address = m_listener.address();
        m_thread = std::thread([this] { Loop::runEventLoop(m_context, [this](const std::exception &) { ++m_exceptions; }); });
    }

    ~Relay()
    {
        m_context.stop();
        m_thread.join();
    }

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    static Loop::CallerListenerSettings callerSettings()
    {
        Loop::CallerListenerSettings settings;
        settings.m_listen = "127.0.0.1:0";
        return settings;
    }

    static Loop::BackendSettings backendSettings()
    {
        Loop::BackendSettings settings;
        settings.m_connectTimeout = std::chrono::seconds(20);
        settings.m_tcpTimeouts = {};
        return settings;
    }

    [[nodiscard]] std::string address() const
    {
        return m_address;
    }

    /// Runs a task on the thread of the event loop.
    void post(std::function<void(Loop::CallerListener &)> task)
    {
        Loop::asio::post(m_context, [this, task = std::move(task)] { task(m_listener); });
    }

    std::atomic<std::uint64_t> m_requests{0};
    std::atomic<std::uint64_t> m_readFailures{0};
    std::atomic<std::uint64_t> m_exceptions{0};
    std::atomic<bool> m_failsOnRequest{false}; ///< The handler of the next request throws.
    std::atomic<std::uint64_t> m_callerDisconnects{0};
    std::atomic<std::uint64_t> m_skipped{0}; ///< Responses that belonged to an earlier request.
    std::atomic<std::int64_t> m_timeLeftMs{30'000};

private:
    void dispatch(const Host::Event &event)
    {
        std::visit([this](const auto &typed) { handle(typed); }, event);
    }

    // Attempts use the identifiers of their exchanges.

    void handle(const Host::RequestArrived &request)
    {
        ++m_requests;
        if (m_failsOnRequest.exchange(false)) {
            throw std::runtime_error("test");
        }
        Host::StartAttempt start;
        start.m_exchange = request.m_exchange;
        start.m_attempt = request.m_exchange;
        start.m_server = ServerId("server");
        start.m_address = m_server;
        start.m_timeLeft = std::chrono::milliseconds(m_timeLeftMs.load());
        m_pool.start(start, *m_listener.requestOf(request.m_exchange));
    }

    void handle(const Host::RequestReadFailed & /*event*/)
    {
        ++m_readFailures;
    }

    void handle(const Host::AttemptResponded &response)
    {
        m_listener.response(response.m_attempt, m_pool.responseOf(response.m_attempt));
    }

    void handle(const Host::AttemptFailed &failure)
    {
        m_listener.refuse(failure.m_attempt, {502, ErrorId::RequestUpstreamFailed, Dispatch::Outcome::Unknown, Dispatch::toString(failure.m_failure), {}});
    }

    void handle(const Host::ResponseSkipped & /*event*/)
    {
        ++m_skipped;
    }

    void handle(const Host::AttemptEnded &ended)
    {
        m_callerDisconnects += ended.m_callerAborted ? 1 : 0;
    }

    void handle(const Host::CallerDisconnected &gone)
    {
        ++m_callerDisconnects;
        m_pool.cancel({gone.m_exchange, false});
    }

    template<typename Other> void handle(const Other & /*event*/)
    {
    }

    std::string m_server;
    std::string m_address;
    Loop::asio::io_context m_context; // Like that of the product: a concurrency hint would change the order of handlers.
    Loop::CallerListener m_listener;
    Loop::BackendPool m_pool;
    std::thread m_thread;
};

}
