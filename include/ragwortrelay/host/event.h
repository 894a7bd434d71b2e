#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/dispatch/storedresponse.h>
#include <ragwortrelay/fleet/messages.h>
#include <ragwortrelay/host/settings.h>
#include <ragwortrelay/http/headerscheme.h>
#include <ragwortrelay/operators/command.h>
#include <ragwortrelay/store/store.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace RagwortRelay::Host {

/// Number of a caller's request on this host. A process never reuses one.
using ExchangeId = std::uint64_t;

/// Number of an attempt at a backend server on this host. A process never reuses one.
using AttemptId = std::uint64_t;

/// Number of a call to the store on this host.
using StoreCallId = std::uint64_t;

/// A caller's request was received, with its whole body.
struct RequestArrived {
    ExchangeId m_exchange = 0;
    std::string m_method;
    Http::RequestMetadata m_metadata;
    std::uint64_t m_bodyDigest = 0; ///< Hash of the body.
    std::string m_bodySha; ///< SHA-256 of the body in hexadecimal digits; set only for requests with an idempotency key.
    std::string m_target; ///< Path and query.
    Duration m_waitedFor{}; ///< Time for which it waited behind earlier requests of its connection.
    std::uint64_t m_bodyBytes = 0; ///< Size of the body.

    friend bool operator==(const RequestArrived &, const RequestArrived &) = default;
};

/// A request was refused before it was read completely. The response to its caller has been sent already.
struct RequestReadFailed {
    Dispatch::Problem m_problem;

    friend bool operator==(const RequestReadFailed &, const RequestReadFailed &) = default;
};

/// The caller closed its connection before its response was complete.
struct CallerDisconnected {
    ExchangeId m_exchange = 0;

    friend bool operator==(const CallerDisconnected &, const CallerDisconnected &) = default;
};

/// A backend server responded: either the whole response was received, or its first part fills the buffer.
struct AttemptResponded {
    AttemptId m_attempt = 0;
    std::uint16_t m_status = 0;
    Http::ResponseMetadata m_metadata;
    bool m_isComplete = false; ///< The whole response was received.
    std::optional<Dispatch::StoredResponse> m_stored; ///< Whole response to a request with an idempotency key; empty when it is too large to be stored.

    friend bool operator==(const AttemptResponded &, const AttemptResponded &) = default;
};

/// An attempt failed before the server responded.
struct AttemptFailed {
    AttemptId m_attempt = 0;
    Dispatch::AttemptFailure m_failure{};
    bool m_sent = true; ///< At least one byte of the request may have been sent.

    friend bool operator==(const AttemptFailed &, const AttemptFailed &) = default;
};

/// The remainder of a long response was received, or was cut short. Follows AttemptResponded with m_isComplete unset.
struct AttemptEnded {
    AttemptId m_attempt = 0;
    bool m_isComplete = true; ///< The response was received to its end.
    bool m_callerAborted = false; ///< The caller disconnected; the end says nothing about the server.

    friend bool operator==(const AttemptEnded &, const AttemptEnded &) = default;
};

/// A response that belongs to an earlier request arrived during an attempt and was skipped. The attempt goes on.
struct ResponseSkipped {
    AttemptId m_attempt = 0;
    std::uint16_t m_status = 0;
    std::string m_attemptId; ///< Attempt id of the caller that the response bears; empty for none.
    std::string m_hostAttempt; ///< Attempt of a host that the response bears; empty for none.

    friend bool operator==(const ResponseSkipped &, const ResponseSkipped &) = default;
};

/// A backend server announced that it is about to close its connections.
struct ServerClosing {
    ServerId m_server;

    friend bool operator==(const ServerClosing &, const ServerClosing &) = default;
};

/// A call to the store has ended.
struct StoreResponded {
    StoreCallId m_call = 0;
    Store::Result m_result;

    friend bool operator==(const StoreResponded &, const StoreResponded &) = default;
};

/// A datagram of another host arrived. The socket has verified that the sender belongs to the fleet.
struct PeerDatagramReceived {
    std::string m_address; ///< `IP:PORT` of the sender.
    Fleet::Datagram m_datagram;

    friend bool operator==(const PeerDatagramReceived &, const PeerDatagramReceived &) = default;
};

/// An operator's command arrived.
struct OperatorCommandReceived {
    Operators::CommandId m_call = 0;
    Operators::Command m_command;

    friend bool operator==(const OperatorCommandReceived &, const OperatorCommandReceived &) = default;
};

/// The settings were reloaded. Settings that can't change while the process runs keep their values.
struct SettingsChanged {
    HostSettings m_settings;

    friend bool operator==(const SettingsChanged &, const SettingsChanged &) = default;
};

/// The process was asked to stop.
struct StopRequested {
    friend bool operator==(const StopRequested &, const StopRequested &) = default;
};

/// The time that nextTimerAt() returned has been reached. Also the first event of a host.
struct TimerExpired {
    std::int64_t m_wallSeconds = 0; ///< Wall clock time in seconds since 1970 (UTC); used only for reports.

    friend bool operator==(const TimerExpired &, const TimerExpired &) = default;
};

/// Input of handle().
using Event = std::variant<RequestArrived,
                           RequestReadFailed,
                           CallerDisconnected,
                           AttemptResponded,
                           AttemptFailed,
                           AttemptEnded,
                           ResponseSkipped,
                           ServerClosing,
                           StoreResponded,
                           PeerDatagramReceived,
                           OperatorCommandReceived,
                           SettingsChanged,
                           StopRequested,
                           TimerExpired>;

}
