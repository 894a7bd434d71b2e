#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/reporting/logline.h>

#include <string>
#include <variant>
#include <vector>

namespace RagwortRelay::Host {

/// Connections that an attempt may use.
enum class ConnectionUse : std::uint8_t {
    Any, ///< Any idle connection, or a new one.
    RecentlyUsed, ///< Recently used idle connection, or a new one: a request that may run only once must not be lost to a dead connection.
};

/// Sends the request of an exchange to a backend server. Its result arrives as AttemptResponded or AttemptFailed.
struct StartAttempt {
    ExchangeId m_exchange = 0;
    AttemptId m_attempt = 0;
    ServerId m_server;
    std::string m_address;
    WorkspaceId m_workspace;
    ConnectionUse m_use = ConnectionUse::Any;
    Duration m_timeLeft{};

    friend bool operator==(const StartAttempt &, const StartAttempt &) = default;
};

/// Ends an attempt whose response is no longer needed.
struct CancelAttempt {
    AttemptId m_attempt = 0;
    bool m_letsServerFinish = false; ///< The server may finish the request, and the connection stays open for reuse.

    friend bool operator==(const CancelAttempt &, const CancelAttempt &) = default;
};

/// Forwards the response of an attempt to the caller.
struct ForwardResponse {
    ExchangeId m_exchange = 0;
    AttemptId m_attempt = 0;

    friend bool operator==(const ForwardResponse &, const ForwardResponse &) = default;
};

/// Sends the caller the stored response of an earlier request with the same idempotency key.
struct ReplayResponse {
    ExchangeId m_exchange = 0;
    Dispatch::StoredResponse m_response;

    friend bool operator==(const ReplayResponse &, const ReplayResponse &) = default;
};

/// Sends the caller a problem that the proxy itself reports instead of a response of a server.
struct SendProblem {
    ExchangeId m_exchange = 0;
    Dispatch::Problem m_problem;

    friend bool operator==(const SendProblem &, const SendProblem &) = default;
};

/// Sends the reply to an operator's command.
struct ReplyToOperator {
    Operators::CommandId m_call = 0;
    Operators::Reply m_reply;

    friend bool operator==(const ReplyToOperator &, const ReplyToOperator &) = default;
};

/// Starts a call to the store.
struct CallStore {
    StoreCallId m_call = 0;
    Store::Call m_request;

    friend bool operator==(const CallStore &, const CallStore &) = default;
};

/// Sends messages to another host. Delivery isn't guaranteed.
struct SendDatagram {
    std::string m_address; ///< `IP:PORT` of the receiver.
    Fleet::Datagram m_datagram;

    friend bool operator==(const SendDatagram &, const SendDatagram &) = default;
};

/// Sets the shared secret that authenticates messages between hosts of the fleet.
struct SetPeerSecret {
    std::string m_secret; ///< Secret as raw bytes.

    friend bool operator==(const SetPeerSecret &, const SetPeerSecret &) = default;
};

/// Closes the idle connections to a server that is gone or was replaced by another one.
struct CloseIdleConnections {
    ServerId m_server;

    friend bool operator==(const CloseIdleConnections &, const CloseIdleConnections &) = default;
};

/// Sets whether the load balancer sends requests to this host.
struct SetReadiness {
    bool m_ready = false;

    friend bool operator==(const SetReadiness &, const SetReadiness &) = default;
};

/// Sets the limits on what callers may send, with immediate effect.
struct SetCallerLimits {
    Configuration::CallerLimits m_limits;

    friend bool operator==(const SetCallerLimits &, const SetCallerLimits &) = default;
};

/// Starts to drain callers: from now on responses close their connections, so that callers reconnect to other hosts.
struct DrainCallers {
    friend bool operator==(const DrainCallers &, const DrainCallers &) = default;
};

/// Closes the connections of callers on which no request is being read or served.
struct CloseIdleCallers {
    friend bool operator==(const CloseIdleCallers &, const CloseIdleCallers &) = default;
};

/// Writes one line to the log.
struct Log {
    Reporting::LogLine m_line;

    friend bool operator==(const Log &, const Log &) = default;
};

/// Lets the process exit; no work is left, or the time limit for stopping has passed.
struct Exit {
    Duration m_timeLeft{}; ///< Time until the limit for stopping, in which responses may still be written to their callers.

    friend bool operator==(const Exit &, const Exit &) = default;
};

/// Effect that handle() asks its caller to perform.
using Action = std::variant<StartAttempt,
                            CancelAttempt,
                            ForwardResponse,
                            ReplayResponse,
                            SendProblem,
                            ReplyToOperator,
                            CallStore,
                            SendDatagram,
                            SetPeerSecret,
                            CloseIdleConnections,
                            SetReadiness,
                            SetCallerLimits,
                            DrainCallers,
                            CloseIdleCallers,
                            Log,
                            Exit>;

/// Actions in the order in which they are to be performed.
using Actions = std::vector<Action>;

}
