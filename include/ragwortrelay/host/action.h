#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/reporting/logline.h>

#include <string>
#include <variant>
#include <vector>

namespace RagwortRelay::Host {

/// Which connections an attempt may go out on.
enum class ConnectionUse : std::uint8_t {
    Any, ///< One that was kept, or a new one.
    RecentlyUsed, ///< One that was used a moment ago, or a new one: a request that may run only once must not be lost to a dead connection.
};

/// Sends the request of an exchange to a backend server.
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

/// Ends an attempt whose answer nobody wants.
struct CancelAttempt {
    AttemptId m_attempt = 0;
    bool m_letsServerFinish = false; ///< The server finishes its work, and the connection is kept.

    friend bool operator==(const CancelAttempt &, const CancelAttempt &) = default;
};

/// Gives the answer of an attempt to the caller.
struct ForwardResponse {
    ExchangeId m_exchange = 0;
    AttemptId m_attempt = 0;

    friend bool operator==(const ForwardResponse &, const ForwardResponse &) = default;
};

/// Gives the caller the stored answer of an earlier request with the same idempotency key.
struct ReplayResponse {
    ExchangeId m_exchange = 0;
    Dispatch::StoredResponse m_response;

    friend bool operator==(const ReplayResponse &, const ReplayResponse &) = default;
};

/// Answers the caller with a refusal of the proxy.
struct SendProblem {
    ExchangeId m_exchange = 0;
    Dispatch::Problem m_problem;

    friend bool operator==(const SendProblem &, const SendProblem &) = default;
};

/// Answers an operator's command.
struct ReplyToOperator {
    Operators::CommandId m_call = 0;
    Operators::Reply m_reply;

    friend bool operator==(const ReplyToOperator &, const ReplyToOperator &) = default;
};

/// Calls the store.
struct CallStore {
    StoreCallId m_call = 0;
    Store::Call m_request;

    friend bool operator==(const CallStore &, const CallStore &) = default;
};

/// Sends messages to another host. They may get lost.
struct SendDatagram {
    std::string m_address; ///< `IP:PORT`
    Fleet::Datagram m_datagram;

    friend bool operator==(const SendDatagram &, const SendDatagram &) = default;
};

/// Sets the secret by which hosts of the fleet know one another's messages.
struct SetPeerSecret {
    std::string m_secret; ///< Bytes.

    friend bool operator==(const SetPeerSecret &, const SetPeerSecret &) = default;
};

/// Closes the idle connections to a server, which is gone or another one now.
struct CloseIdleConnections {
    ServerId m_server;

    friend bool operator==(const CloseIdleConnections &, const CloseIdleConnections &) = default;
};

/// Tells the balancer whether to send requests to this host.
struct SetReadiness {
    bool m_ready = false;

    friend bool operator==(const SetReadiness &, const SetReadiness &) = default;
};

/// Bounds what callers may send from now on.
struct SetCallerLimits {
    Configuration::CallerLimits m_limits;

    friend bool operator==(const SetCallerLimits &, const SetCallerLimits &) = default;
};

/// Makes callers go elsewhere: from now on answers close their connections.
struct DrainCallers {
    friend bool operator==(const DrainCallers &, const DrainCallers &) = default;
};

/// Writes a line to the log.
struct Log {
    Reporting::LogLine m_line;

    friend bool operator==(const Log &, const Log &) = default;
};

/// All work is done; the process may exit.
struct Exit {
    friend bool operator==(const Exit &, const Exit &) = default;
};

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
                            Log,
                            Exit>;

using Actions = std::vector<Action>;

}
