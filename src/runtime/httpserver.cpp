#include <ragwortrelay/detail/runtime/httpserver.h>

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdexcept>

namespace RagwortRelay::Runtime::detail {

namespace {

/// Splits `IP:PORT`. Precondition: the settings check took it.
std::pair<std::string, std::uint16_t> splitAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return {address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

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

}

std::vector<std::pair<std::string, std::string>> headersOf(MHD_Connection *connection)
{
    std::vector<std::pair<std::string, std::string>> headers;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, &headers);
    return headers;
}

HttpServer::HttpServer(std::string listen, Callbacks callbacks) : m_listen(std::move(listen)), m_callbacks(std::move(callbacks))
{
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::start(const char *threadName)
{
    constexpr unsigned IdleTimeoutSeconds = 75;
    constexpr std::size_t ConnectionMemory = 64U << 10U; // bytes; bounds the headers of a request
    const auto [ip, port] = splitAddress(m_listen);
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &socketAddress.sin_addr);
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
                                port,
                                nullptr,
                                nullptr,
                                m_callbacks.m_onRequest,
                                m_callbacks.m_context,
                                MHD_OPTION_SOCK_ADDR,
                                &socketAddress,
                                MHD_OPTION_NOTIFY_COMPLETED,
                                m_callbacks.m_onCompleted,
                                m_callbacks.m_context,
                                MHD_OPTION_URI_LOG_CALLBACK,
                                m_callbacks.m_onUri,
                                m_callbacks.m_context,
                                MHD_OPTION_UNESCAPE_CALLBACK,
                                keepEscapes,
                                nullptr,
                                MHD_OPTION_CONNECTION_TIMEOUT,
                                IdleTimeoutSeconds,
                                MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                ConnectionMemory,
                                MHD_OPTION_END);
    if (m_daemon == nullptr) {
        throw std::runtime_error("can't listen on " + m_listen);
    }
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), threadName);
}

void HttpServer::run()
{
    constexpr int LongestWaitMilliseconds = 1000;
    const int daemonDescriptor = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    while (!m_stopping.load()) {
        MHD_UNSIGNED_LONG_LONG timeout = LongestWaitMilliseconds;
        const bool hasTimeout = MHD_get_timeout(m_daemon, &timeout) == MHD_YES;
        const int wait = hasTimeout ? static_cast<int>(std::min<MHD_UNSIGNED_LONG_LONG>(timeout, LongestWaitMilliseconds)) : LongestWaitMilliseconds;
        pollfd descriptors[] = {{daemonDescriptor, POLLIN, 0}, {m_wakeup.descriptor(), POLLIN, 0}};
        poll(descriptors, 2, wait);
        m_wakeup.clear();
        m_callbacks.m_onWake();
        MHD_run(m_daemon);
    }
}

void HttpServer::stop()
{
    m_stopping.store(true);
    wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    if (m_daemon != nullptr) {
        // libmicrohttpd requires that no connection is suspended when the daemon stops.
        m_callbacks.m_onStop();
        MHD_run(m_daemon);
        MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
    }
}

void HttpServer::wake()
{
    m_wakeup.notify();
}

std::string HttpServer::address() const
{
    const auto port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return splitAddress(m_listen).first + ':' + std::to_string(port);
}

}
