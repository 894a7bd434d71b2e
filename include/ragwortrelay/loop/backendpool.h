#pragma once

#include <ragwortrelay/host/action.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/http/headerscheme.h>
#include <ragwortrelay/loop/asio.h>
#include <ragwortrelay/loop/clientconnection.h>
#include <ragwortrelay/loop/responsestream.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace RagwortRelay::Loop {

/// A caller's request with its whole body.
struct CallerRequest {
    Http::RequestHead m_head;
    Http::RequestMetadata m_metadata;
    std::shared_ptr<const std::string> m_body;
};

/// How backend servers are reached.
struct BackendSettings {
    std::string m_authority; ///< PEM file of the authorities that servers' certificates must be of; empty for plain connections.
    Duration m_connectTimeout{std::chrono::milliseconds(250)};
    std::size_t m_maxIdleConnections = 512; ///< Idle connections that are kept, to all servers together.
    Duration m_freshFor{std::chrono::milliseconds(1000)}; ///< A connection that was idle for less counts as fresh.
    Duration m_idleMargin{std::chrono::milliseconds(1000)}; ///< Kept before the end of the idle time that a server allows.
    Duration m_idleUnstated{std::chrono::milliseconds(300)}; ///< A connection of which the server states no idle time is kept so long.
    std::size_t m_holdAtMost = 64U << 10U; ///< Bytes of an answer that are held until it is whole.
    TcpTimeouts m_tcpTimeouts{700, 1, 1, 2};
};

/// Connections to backend servers, and the attempts that run on them. Used by one thread.
class BackendPool
{
public:
    using EventHandler = std::function<void(const Host::Event &)>;

    /// Throws boost::system::system_error when the file of the authorities can't be used.
    BackendPool(asio::io_context &context, const BackendSettings &settings, const Http::HeaderScheme &headerScheme, EventHandler handler);

    /// Starts an attempt.
    void start(const Host::StartAttempt &attempt, const CallerRequest &request);

    /// Ends an attempt of which no event is wanted any more; one that is unknown changes nothing.
    void cancel(const Host::CancelAttempt &cancelled);

    /// Gives the answer of an attempt out; nothing for one that is unknown.
    [[nodiscard]] std::shared_ptr<ResponseStream> responseOf(Host::AttemptId attempt);

    /// Closes the idle connections to a server.
    void dropConnections(const ServerId &server);

    /// Returns how many connections were opened.
    [[nodiscard]] std::uint64_t opened() const;

private:
    struct Attempt {
        ServerId m_server;
        std::string m_attemptId; ///< That the server must echo; empty for none.
        std::shared_ptr<ClientConnection> m_connection;
        std::shared_ptr<ResponseStream> m_stream;
        Http::ResponseMetadata m_metadata;
        bool m_hasHead = false;
        bool m_isReported = false; ///< The answer was reported before it was whole.
        bool m_isWanted = true;
        bool m_isKept = false; ///< Its answer is kept for an idempotency key.
    };

    struct IdleConnection {
        std::shared_ptr<ClientConnection> m_connection;
        TimePoint m_since;
        TimePoint m_until;
    };

    [[nodiscard]] std::shared_ptr<ClientConnection> takeIdle(const ServerId &server, Host::ConnectionUse use, TimePoint now);
    void abandon(Host::AttemptId attempt);
    void onResponse(Host::AttemptId id, ResponseEvent event);
    void onProgress(Host::AttemptId id, Attempt &attempt);
    bool takeHead(Host::AttemptId id, Attempt &attempt);
    void onWhole(Host::AttemptId id);
    void onFailed(Host::AttemptId id);
    void keep(const ServerId &server, const std::shared_ptr<ClientConnection> &connection, const Http::ResponseHead &head);
    void dropLongestIdle();
    void reportAnswer(Host::AttemptId id, const Attempt &attempt, bool whole);

    asio::io_context &m_context;
    BackendSettings m_settings;
    Http::HeaderScheme m_headerScheme;
    EventHandler m_handler;
    TlsContext m_tls;
    std::unordered_map<Host::AttemptId, Attempt> m_attempts;
    std::unordered_map<Host::AttemptId, std::shared_ptr<ResponseStream>> m_responses; ///< Whole answers that were not given out yet.
    std::map<ServerId, std::vector<IdleConnection>> m_idle;
    std::uint64_t m_opened = 0;
};

}
