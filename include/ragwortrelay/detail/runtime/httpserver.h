#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/runtime/wakeup.h>

#include <microhttpd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_set>
#include <vector>

namespace RagwortRelay::Runtime::detail {

/// What an HTTP server takes from its callers.
struct HttpServerLimits {
    std::size_t m_connectionMemory = 64U << 10U; ///< Bytes for the headers of a request and its answer.
    unsigned m_connections = 1024;
    Duration m_headerTimeout{std::chrono::seconds(30)}; ///< From the start of a connection to the end of its first header.
    Duration m_idleTimeout{std::chrono::seconds(75)}; ///< From an answer to the end of the header of the next request.
    std::string m_certificate; ///< Text in PEM form; empty for plain HTTP.
    std::string m_key; ///< Text in PEM form.
};

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
        std::function<void(void *request)> m_onHangUp; ///< The caller of a suspended request closed its connection.
        std::function<bool()> m_isIdle = [] { return true; }; ///< No request is open.
    };

    HttpServer(std::string listen, Callbacks callbacks, HttpServerLimits limits = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the port and starts the thread. Throws std::runtime_error when the port can't be had. Call once.
    void start(const char *threadName);

    /// Takes no new connections, waits until no request is open or the time is up, and ends the thread.
    /// Thread-safe; idempotent.
    void stop(Duration finishLimit = Duration(0));

    /// Makes the thread call m_onWake. Thread-safe.
    void wake();

    /// Returns the address that it listens on. Precondition: started. Thread-safe.
    [[nodiscard]] const std::string &address() const
    {
        return m_address;
    }

    // The following are for the callbacks, on the server's thread.

    /// Suspends a connection until resume().
    /// @param request given to m_onHangUp when the caller closes meanwhile; nullptr for no such watch
    void suspend(MHD_Connection *connection, void *request);

    /// Resumes a connection. Precondition: suspended.
    void resume(MHD_Connection *connection);

    /// Breaks the connection after a time, unless this is called again before.
    void setTimeLimit(MHD_Connection *connection, Duration limit);

    /// Lets the connection live as long as it likes.
    void removeTimeLimit(MHD_Connection *connection);

private:
    /// A connection of a caller.
    struct Connection {
        int m_descriptor = -1;
        TimePoint m_breakAt = TimePoint::max();
        void *m_suspendedRequest = nullptr; ///< That is watched.
    };

    void run();
    void wait();
    void breakOverdue();
    [[nodiscard]] bool isFinished();
    static Connection *connectionOf(MHD_Connection *connection);
    static void onConnection(void *context, MHD_Connection *connection, void **state, MHD_ConnectionNotificationCode code);

    std::string m_listen;
    Callbacks m_callbacks;
    HttpServerLimits m_limits;
    std::string m_address;
    Wakeup m_wakeup;
    MHD_Daemon *m_daemon = nullptr;
    int m_epoll = -1;
    std::unordered_set<Connection *> m_connections;
    TimePoint m_nextCheck;
    std::atomic<bool> m_stopping{false};
    TimePoint m_finishBy; ///< Set before m_stopping.
    bool m_isQuiesced = false;
    std::thread m_thread;
};

/// Returns all headers of a request.
std::vector<std::pair<std::string, std::string>> headersOf(MHD_Connection *connection);

/// Returns the content of a file. Throws std::runtime_error when it can't be read. Thread-safe.
std::string readFile(const std::string &fileName);

}
