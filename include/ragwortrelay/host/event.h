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

/// Number of a caller's request on this host; never used again by the process.
using ExchangeId = std::uint64_t;

/// Number of an attempt at a backend server on this host; never used again by the process.
using AttemptId = std::uint64_t;

/// Number of a call to the store on this host.
using StoreCallId = std::uint64_t;

/// A caller's request is there, with its whole body.
struct RequestArrived {
    ExchangeId m_exchange = 0;
    std::string m_method;
    Http::RequestMetadata m_metadata;
    std::uint64_t m_bodyDigest = 0; ///< Hash of the body.
    std::string m_bodySha; ///< SHA-256 of the body in hexadecimal digits, of a request with an idempotency key.
    std::string m_target; ///< Path and query.

    friend bool operator==(const RequestArrived &, const RequestArrived &) = default;
};

/// A request was refused before it was read whole; its caller has been answered.
struct RequestReadFailed {
    Dispatch::Problem m_problem;

    friend bool operator==(const RequestReadFailed &, const RequestReadFailed &) = default;
};

/// The caller closed its connection before its answer was complete.
struct CallerDisconnected {
    ExchangeId m_exchange = 0;

    friend bool operator==(const CallerDisconnected &, const CallerDisconnected &) = default;
};

/// A backend server answered; either the whole answer is there or its first part fills the buffer.
struct AttemptResponded {
    AttemptId m_attempt = 0;
    std::uint16_t m_status = 0;
    Http::ResponseMetadata m_metadata;
    bool m_isComplete = false;
    std::optional<Dispatch::StoredResponse> m_stored; ///< Whole answer to a request with an idempotency key, unless it is too large to be kept.

    friend bool operator==(const AttemptResponded &, const AttemptResponded &) = default;
};

/// An attempt failed before it was answered.
struct AttemptFailed {
    AttemptId m_attempt = 0;
    Dispatch::AttemptFailure m_failure{};
    bool m_sent = true; ///< At least one byte of the request may have been sent.

    friend bool operator==(const AttemptFailed &, const AttemptFailed &) = default;
};

/// The rest of a long answer has come to its end, or was cut short.
struct AttemptEnded {
    AttemptId m_attempt = 0;
    bool m_isComplete = true;
    bool m_callerAborted = false; ///< The caller left; the server isn't to blame.

    friend bool operator==(const AttemptEnded &, const AttemptEnded &) = default;
};

/// A backend server announced that it closes its connections.
struct ServerClosing {
    ServerId m_server;

    friend bool operator==(const ServerClosing &, const ServerClosing &) = default;
};

/// The store answered a call.
struct StoreResponded {
    StoreCallId m_call = 0;
    Store::Result m_result;

    friend bool operator==(const StoreResponded &, const StoreResponded &) = default;
};

/// Messages of another host arrived. The socket has checked that the sender belongs to the fleet.
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

/// The settings were read anew. What can't change while the process runs stays as it is.
struct SettingsChanged {
    HostSettings m_settings;

    friend bool operator==(const SettingsChanged &, const SettingsChanged &) = default;
};

/// The process was told to stop.
struct StopRequested {
    friend bool operator==(const StopRequested &, const StopRequested &) = default;
};

/// Time went on.
struct TimerExpired {
    std::int64_t m_wallSeconds = 0; ///< Since 1970 by the wall clock, for reports only.

    friend bool operator==(const TimerExpired &, const TimerExpired &) = default;
};

using Event = std::variant<RequestArrived,
                           RequestReadFailed,
                           CallerDisconnected,
                           AttemptResponded,
                           AttemptFailed,
                           AttemptEnded,
                           ServerClosing,
                           StoreResponded,
                           PeerDatagramReceived,
                           OperatorCommandReceived,
                           SettingsChanged,
                           StopRequested,
                           TimerExpired>;

}
