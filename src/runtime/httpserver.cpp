#include <ragwortrelay/detail/runtime/httpserver.h>
#include <ragwortrelay/detail/runtime/socketaddress.h>
#include <ragwortrelay/runtime/decisionduty.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <pthread.h>
#include <sstream>
#include <stdexcept>
#include <sys/epoll.h>
#include <unistd.h>

namespace RagwortRelay::Runtime::detail {

namespace {

constexpr Duration CheckInterval = std::chrono::milliseconds(250); ///< Between two looks for overdue connections.

std::size_t keepEscapes(void * /*context*/, MHD_Connection * /*connection*/, char *text)
{
    return std::char_traits<char>::length(text);
}

MHD_Result addHeader(void *context, MHD_ValueKind /*kind*/, const char *name, const char *value)
{
    auto *headers = static_cast<std::vector<std::pair<std::string, std::string>> *>(context);
    headers->emplace_back(name, value == nullptr ? "" : value);
    return MHD_YES;
}

void watch(int epoll, int descriptor, std::uint32_t events, void *data)
{
    epoll_event event{};
    event.events = events;
    event.data.ptr = data;
    epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event);
}

}

std::vector<std::pair<std::string, std::string>> headersOf(MHD_Connection *connection)
{
    std::vector<std::pair<std::string, std::string>> headers;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, &headers);
    return headers;
}

std::string readFile(const std::string &fileName)
{
    const std::ifstream file(fileName);
    if (!file) {
        throw std::runtime_error("can't read " + fileName);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

HttpServer::HttpServer(std::string listen, Callbacks callbacks, HttpServerLimits limits)
    : m_listen(std::move(listen)), m_callbacks(std::move(callbacks)), m_limits(std::move(limits))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::start(const char *threadName)
{
    const int listener = openListener(m_listen);
    m_address = withPort(m_listen, localPort(listener));
    const bool usesTls = !m_limits.m_certificate.empty();
    const auto idleSeconds = static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(m_limits.m_idleTimeout).count());
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
    std::vector<MHD_OptionItem> options;
    if (usesTls) {
        flags |= MHD_USE_TLS;
        options.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, m_limits.m_certificate.data()});
        options.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, m_limits.m_key.data()});
    }
    options.push_back({MHD_OPTION_END, 0, nullptr});
    m_daemon = MHD_start_daemon(flags,
                                0,
                                nullptr,
                                nullptr,
                                m_callbacks.m_onRequest,
                                m_callbacks.m_context,
                                MHD_OPTION_LISTEN_SOCKET,
                                listener,
                                MHD_OPTION_NOTIFY_COMPLETED,
                                m_callbacks.m_onCompleted,
                                m_callbacks.m_context,
                                MHD_OPTION_NOTIFY_CONNECTION,
                                onConnection,
                                this,
                                MHD_OPTION_URI_LOG_CALLBACK,
                                m_callbacks.m_onUri,
                                m_callbacks.m_context,
                                MHD_OPTION_UNESCAPE_CALLBACK,
                                keepEscapes,
                                nullptr,
                                MHD_OPTION_CONNECTION_TIMEOUT,
                                idleSeconds,
                                MHD_OPTION_CONNECTION_LIMIT,
                                m_limits.m_connections,
                                MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                m_limits.m_connectionMemory,
                                MHD_OPTION_STRICT_FOR_CLIENT,
                                1,
                                MHD_OPTION_ARRAY,
                                options.data(),
                                MHD_OPTION_END);
    if (m_daemon == nullptr) {
        close(listener);
        throw std::runtime_error("can't serve HTTP on " + m_listen);
    }
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    watch(m_epoll, MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, EPOLLIN, nullptr);
    watch(m_epoll, m_wakeup.descriptor(), EPOLLIN, &m_wakeup);
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), threadName);
}

void HttpServer::run()
{
    while (!isFinished()) {
        wait();
        m_callbacks.m_onWake();
        MHD_run(m_daemon);
        if (currentTime() >= m_nextCheck) {
            breakOverdue();
            m_nextCheck = currentTime() + CheckInterval;
        }
    }
}

void HttpServer::wait()
{
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    constexpr auto LongestWait = static_cast<MHD_UNSIGNED_LONG_LONG>(std::chrono::duration_cast<std::chrono::milliseconds>(CheckInterval).count());
    const bool hasTimeout = MHD_get_timeout(m_daemon, &timeout) == MHD_YES;
    const int milliseconds = static_cast<int>(hasTimeout ? std::min(timeout, LongestWait) : LongestWait);
    std::array<epoll_event, 64> events{};
    const int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), milliseconds);
    for (int i = 0; i < count; ++i) {
        void *source = events.at(static_cast<std::size_t>(i)).data.ptr;
        if (source == &m_wakeup) {
            m_wakeup.clear();
            continue;
        }
        auto *connection = static_cast<Connection *>(source);
        // One of the same round may have resumed it or broken it already.
        const bool isWatched = connection != nullptr && m_connections.contains(connection) && connection->m_suspendedRequest != nullptr;
        if (isWatched) {
            m_callbacks.m_onHangUp(connection->m_suspendedRequest);
        }
    }
}

bool HttpServer::isFinished()
{
    if (!m_stopping.load()) {
        return false;
    }
    if (!m_isQuiesced) {
        m_isQuiesced = true;
        const int listener = MHD_quiesce_daemon(m_daemon);
        if (listener >= 0) {
            close(listener);
        }
    }
    return m_callbacks.m_isIdle() || currentTime() >= m_finishBy;
}

void HttpServer::breakOverdue()
{
    const TimePoint now = currentTime();
    for (Connection *connection : m_connections) {
        if (now >= connection->m_breakAt) {
            connection->m_breakAt = TimePoint::max();
            shutdown(connection->m_descriptor, SHUT_RDWR); // libmicrohttpd notices and cleans up.
        }
    }
}

void HttpServer::stop(Duration finishLimit)
{
    if (m_thread.joinable()) {
        m_finishBy = currentTime() + finishLimit;
        m_stopping.store(true);
        wake();
        m_thread.join();
    }
    if (m_daemon != nullptr) {
        // libmicrohttpd requires that no connection is suspended when the daemon stops.
        m_callbacks.m_onStop();
        MHD_run(m_daemon);
        MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
        close(m_epoll);
    }
}

void HttpServer::wake()
{
    m_wakeup.notify();
}

HttpServer::Connection *HttpServer::connectionOf(MHD_Connection *connection)
{
    return static_cast<Connection *>(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
}

void HttpServer::onConnection(void *context, MHD_Connection *connection, void **state, MHD_ConnectionNotificationCode code)
{
    auto *server = static_cast<HttpServer *>(context);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const int descriptor = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        auto owned = std::make_unique<Connection>(Connection{descriptor, currentTime() + server->m_limits.m_headerTimeout, nullptr});
        server->m_connections.insert(owned.get());
        *state = owned.release();
        return;
    }
    const std::unique_ptr<Connection> owned(static_cast<Connection *>(*state));
    server->m_connections.erase(owned.get());
    *state = nullptr;
}

void HttpServer::suspend(MHD_Connection *connection, void *request)
{
    Connection *own = connectionOf(connection);
    own->m_suspendedRequest = request;
    if (request != nullptr) {
        watch(m_epoll, own->m_descriptor, EPOLLRDHUP, own);
    }
    MHD_suspend_connection(connection);
}

void HttpServer::resume(MHD_Connection *connection)
{
    Connection *own = connectionOf(connection);
    if (own->m_suspendedRequest != nullptr) {
        own->m_suspendedRequest = nullptr;
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, own->m_descriptor, nullptr);
    }
    MHD_resume_connection(connection);
}

void HttpServer::setTimeLimit(MHD_Connection *connection, Duration limit)
{
    connectionOf(connection)->m_breakAt = currentTime() + limit;
}

void HttpServer::removeTimeLimit(MHD_Connection *connection)
{
    connectionOf(connection)->m_breakAt = TimePoint::max();
}

}
