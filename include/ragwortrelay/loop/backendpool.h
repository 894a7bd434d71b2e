#pragma once

#include <ragwortrelay/host/action.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/http/headerscheme.h>
#include <ragwortrelay/loop/asio.h>
#include <ragwortrelay/loop/clientconnection.h>
#include <ragwortrelay/loop/heldbody.h>
#include <ragwortrelay/loop/responsestream.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace RagwortRelay::Loop {

/// Request of a caller with its complete body.
struct CallerRequest {
    Http::RequestHead m_head;
    Http::RequestMetadata m_metadata;
    std::shared_ptr<const std::string> m_body;
    std::shared_ptr<HeldBody> m_heldBody; ///< Accounts for the memory of m_body.
};

/// Settings of the connections to backend servers.
struct BackendSettings {
    std::string m_authority; ///< PEM file of the authorities that may sign the servers' certificates; empty for plain connections.
    Duration m_connectTimeout{std::chrono::milliseconds(250)}; ///< Time limit for connecting, with the TLS handshake.
    std::size_t m_maxIdleConnections = 512; ///< Maximum number of idle connections to all servers together.
    Duration m_recentUseLimit{std::chrono::milliseconds(1000)}; ///< Idle time from which a connection no longer counts as recently used.
    Duration m_idleTimeoutMargin{std::chrono::milliseconds(1000)}; ///< Safety margin before the idle timeout that a server announces.
    Duration m_defaultIdleTimeout{std::chrono::milliseconds(300)}; ///< Idle timeout that is assumed if a server announces none.
    std::size_t m_maxBufferedBytes = 64U << 10U; ///< Buffered body bytes at which an incomplete response is reported and reading pauses.
    TcpTimeouts m_tcpTimeouts{700, 1, 1, 2};
};

/// Pool of connections to backend servers that runs the attempts of requests on them. Not thread-safe; used by one thread.
class BackendPool
{
public:
    using EventHandler = std::function<void(const Host::Event &)>;

    /// Creates a pool without connections.
    /// Throws boost::system::system_error when the authority file can't be used.
    BackendPool(asio::io_context &context, const BackendSettings &settings, const Http::HeaderScheme &headerScheme, EventHandler handler);

    /// Closes all connections without reporting their attempts.
    ~BackendPool();
    BackendPool(const BackendPool &) = delete;
    BackendPool &operator=(const BackendPool &) = delete;

    /// Starts an attempt, on an idle connection if one is suitable, else on a new one.
    void start(const Host::StartAttempt &action, const CallerRequest &request);

    /// Cancels an attempt. It reports no further event, unless the server may finish the request. An unknown attempt is ignored.
    void cancel(const Host::CancelAttempt &action);

    /// Returns the response of an attempt and, if it is complete, releases it from the pool; returns null for an unknown attempt.
    [[nodiscard]] std::shared_ptr<ResponseStream> responseOf(Host::AttemptId attempt);

    /// Closes all idle connections to a server.
    void dropConnections(const ServerId &server);

    /// Returns the number of connections that were opened since the pool was created.
    [[nodiscard]] std::uint64_t opened() const;

private:
    struct Attempt {
        ServerId m_server;
        std::string m_attemptId; ///< Attempt id that the server must echo; empty for none.
        std::shared_ptr<ClientConnection> m_connection;
        std::shared_ptr<ResponseStream> m_stream;
        Http::ResponseMetadata m_metadata;
        TimePoint m_deadline; ///< Deadline of the request.
        std::shared_ptr<asio::steady_timer> m_deadlineTimer; ///< Ends a streamed response; null for one that ends by itself.
        bool m_hasHead = false;
        bool m_isReported = false; ///< The response was reported before it was complete.
        bool m_isWanted = true; ///< The attempt was not cancelled.
        bool m_hasIdempotencyKey = false; ///< A complete response that isn't too large is reported with its content, to be stored.
    };

    struct IdleConnection {
        std::shared_ptr<ClientConnection> m_connection;
        TimePoint m_idleSince;
        TimePoint m_usableUntil;
    };

    [[nodiscard]] std::shared_ptr<ClientConnection> takeIdleConnection(const ServerId &server, Host::ConnectionUse use, TimePoint now);
    void abandon(Host::AttemptId attempt);
    /// Ends an attempt to free the body of its request.
    void freeBody(Host::AttemptId attempt);
    void onResponse(Host::AttemptId id, ResponseEvent event);
    void onProgress(Host::AttemptId id, Attempt &attempt);
    static bool belongsToOtherAttempt(Host::AttemptId id, const Attempt &attempt);
    bool processHead(Host::AttemptId id, Attempt &attempt);
    void onResponseComplete(Host::AttemptId id);
    void onResponseFailed(Host::AttemptId id);
    /// Ends a response of unknown length at the deadline of its request, as it may have no end.
    void limitDuration(Host::AttemptId id, Attempt &attempt);

    /// Keeps the connection of a complete response for other requests, or closes it.
    void releaseConnection(const Attempt &attempt);
    void enforceIdleLimit();
    void reportResponse(Host::AttemptId id, const Attempt &attempt, bool isWhole);

    asio::io_context &m_context;
    BackendSettings m_settings;
    Http::HeaderScheme m_headerScheme;
    EventHandler m_handler;
    TlsContext m_tls;
    std::unordered_map<Host::AttemptId, Attempt> m_attempts;
    std::unordered_map<Host::AttemptId, std::shared_ptr<ResponseStream>> m_responses; ///< Complete responses that responseOf() has not released yet.
    std::map<ServerId, std::vector<IdleConnection>> m_idle;
    std::uint64_t m_opened = 0;
};

}
