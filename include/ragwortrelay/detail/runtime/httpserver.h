#pragma once

#include <ragwortrelay/runtime/wakeup.h>

#include <microhttpd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace RagwortRelay::Runtime::detail {

/// libmicrohttpd daemon that runs on one thread of ours, which also drains a ring.
class HttpServer
{
public:
    /// Callbacks of libmicrohttpd, and what the thread does when woken.
    struct Callbacks {
        MHD_AccessHandlerCallback m_onRequest = nullptr;
        MHD_RequestCompletedCallback m_onCompleted = nullptr;
        void *(*m_onUri)(void *context, const char *uri, MHD_Connection *connection) = nullptr;
        void *m_context = nullptr;
        std::function<void()> m_onWake;
        std::function<void()> m_onStop; ///< Must resume all suspended connections.
    };

    HttpServer(std::string listen, Callbacks callbacks);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the port and starts the thread. Throws std::runtime_error when the port can't be had. Call once.
    void start(const char *threadName);

    /// Ends the thread and closes all connections. Thread-safe; idempotent.
    void stop();

    /// Makes the thread call m_onWake. Thread-safe.
    void wake();

    /// Returns the address that it listens on. Precondition: started.
    [[nodiscard]] std::string address() const;

private:
    void run();

    std::string m_listen;
    Callbacks m_callbacks;
    Wakeup m_wakeup;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

/// Returns all headers of a request.
std::vector<std::pair<std::string, std::string>> headersOf(MHD_Connection *connection);

}
