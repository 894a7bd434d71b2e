#pragma once

#include <microhttpd.h>

#include <arpa/inet.h>
#include <csignal>
#include <cstdint>
#include <functional>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace StandIn {

/// Request as a stand-in sees it.
struct Request {
    std::string m_method;
    std::string m_path;
    std::string m_body;
    MHD_Connection *m_connection = nullptr;

    /// Returns the value of a header, empty for none.
    [[nodiscard]] std::string header(const char *name) const
    {
        const char *value = MHD_lookup_connection_value(m_connection, MHD_HEADER_KIND, name);
        return value == nullptr ? "" : value;
    }

    /// Returns the value of a query argument, empty for none.
    [[nodiscard]] std::string argument(const char *name) const
    {
        const char *value = MHD_lookup_connection_value(m_connection, MHD_GET_ARGUMENT_KIND, name);
        return value == nullptr ? "" : value;
    }
};

/// Answer of a stand-in.
struct Answer {
    unsigned m_status = 200;
    std::string m_body;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::size_t m_cutAt = std::string::npos; ///< Breaks the connection after so many bytes of the body.
    bool m_broken = false; ///< Breaks the connection without an answer.
};

using Handler = std::function<Answer(const Request &)>;

/// HTTP server with a thread for each connection, so that a handler may sleep.
class Server
{
public:
    Server(std::uint16_t port, Handler handler) : m_handler(std::move(handler))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
                                    port,
                                    nullptr,
                                    nullptr,
                                    onRequest,
                                    this,
                                    MHD_OPTION_SOCK_ADDR,
                                    &address,
                                    MHD_OPTION_END);
        if (m_daemon == nullptr) {
            throw std::runtime_error("can't listen on port " + std::to_string(port));
        }
    }

    ~Server()
    {
        MHD_stop_daemon(m_daemon);
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Returns the port that it listens on.
    [[nodiscard]] std::uint16_t port() const
    {
        return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    }

private:
    /// Body that ends before its announced length.
    struct CutBody {
        std::string m_text;
        std::size_t m_cutAt = 0;
    };

    static ssize_t readCutBody(void *context, std::uint64_t position, char *buffer, size_t size)
    {
        const auto *body = static_cast<CutBody *>(context);
        if (position >= body->m_cutAt) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        return static_cast<ssize_t>(body->m_text.copy(buffer, std::min(size, body->m_cutAt - position), position));
    }

    static void freeCutBody(void *context)
    {
        delete static_cast<CutBody *>(context);
    }

    static MHD_Response *makeResponse(const Answer &answer)
    {
        constexpr std::size_t BlockSize = 4096;
        if (answer.m_cutAt < answer.m_body.size()) {
            auto *body = new CutBody{answer.m_body, answer.m_cutAt};
            return MHD_create_response_from_callback(answer.m_body.size(), BlockSize, readCutBody, body, freeCutBody);
        }
        std::string copy = answer.m_body;
        return MHD_create_response_from_buffer(copy.size(), copy.data(), MHD_RESPMEM_MUST_COPY);
    }

    static MHD_Result onRequest(void *context,
                                MHD_Connection *connection,
                                const char *url,
                                const char *method,
                                const char * /*version*/,
                                const char *upload,
                                size_t *uploadSize,
                                void **state)
    {
        auto *request = static_cast<Request *>(*state);
        if (request == nullptr) {
            *state = new Request{method, url, "", connection};
            return MHD_YES;
        }
        if (*uploadSize > 0) {
            request->m_body.append(upload, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        const std::unique_ptr<Request> owned(request);
        *state = nullptr;
        const Answer answer = static_cast<Server *>(context)->m_handler(*owned);
        if (answer.m_broken) {
            return MHD_NO;
        }
        MHD_Response *response = makeResponse(answer);
        for (const auto &[name, value] : answer.m_headers) {
            MHD_add_response_header(response, name.c_str(), value.c_str());
        }
        const MHD_Result result = MHD_queue_response(connection, answer.m_status, response);
        MHD_destroy_response(response);
        return result;
    }

    Handler m_handler;
    MHD_Daemon *m_daemon = nullptr;
};

/// Prints the port and waits for SIGTERM or SIGINT.
inline void printPortAndWait(const Server &server, const sigset_t &signals)
{
    std::cout << "listening 127.0.0.1:" << server.port() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
}

/// Blocks SIGTERM and SIGINT for all threads that start later.
inline sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Returns the port of the first argument, or 0 to let the kernel choose.
inline std::uint16_t portFrom(int argc, char **argv)
{
    return argc > 1 ? static_cast<std::uint16_t>(std::stoul(argv[1])) : 0;
}

}
