#pragma once

#include <ragwortrelay/configuration/edit.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/answer.h>
#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/node/peermessage.h>
#include <ragwortrelay/platform/table.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace RagwortRelay::Node {

/// Number of a caller's request on this host; never used again by the process.
using ExchangeId = std::uint64_t;

/// Number of an attempt at a backend server on this host; never used again by the process.
using AttemptId = std::uint64_t;

/// Number of a call to the platform on this host.
using PlatformCallId = std::uint64_t;

/// Number of an operator's command on this host.
using OperatorCallId = std::uint64_t;

/// A caller's request is there, with its whole body.
struct RequestArrived {
    ExchangeId m_exchange = 0;
    std::string m_method;
    std::string m_path; ///< Without the query.
    std::string m_target; ///< Path and query.
    std::string m_authorization; ///< Value of the header, empty for none.
    std::string m_idempotencyKey; ///< Value of the header, empty for none.
    std::string m_bodyDigest; ///< Lower-case hexadecimal SHA-256 of the body.
    std::optional<Duration> m_callerDeadline; ///< That the caller gives the request, shorter than the route's.

    friend bool operator==(const RequestArrived &, const RequestArrived &) = default;
};

/// The caller closed its connection before its answer was complete.
struct CallerGone {
    ExchangeId m_exchange = 0;

    friend bool operator==(const CallerGone &, const CallerGone &) = default;
};

/// Load that a backend server reported with an answer.
struct LoadReport {
    std::uint32_t m_busySlots = 0;
    bool m_draining = false;

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// A backend server answered; either the whole answer is there or its first part fills the buffer.
struct AttemptAnswered {
    AttemptId m_attempt = 0;
    std::uint16_t m_status = 0;
    bool m_whole = false;
    bool m_notRun = false; ///< The server says that it shed the request unrun.
    std::optional<LoadReport> m_load;
    std::optional<Dispatch::StoredAnswer> m_stored; ///< Whole answer to a request that isn't idempotent, unless it is too large to be kept.

    friend bool operator==(const AttemptAnswered &, const AttemptAnswered &) = default;
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
    bool m_whole = true;

    friend bool operator==(const AttemptEnded &, const AttemptEnded &) = default;
};

/// The platform answered a call.
struct PlatformAnswered {
    PlatformCallId m_call = 0;
    Platform::Result m_result;

    friend bool operator==(const PlatformAnswered &, const PlatformAnswered &) = default;
};

/// A message of another host arrived. The peer streams have checked that the sender belongs to the fleet.
struct PeerSpoke {
    HostId m_from;
    Membership::Incarnation m_incarnation = 0;
    PeerMessage m_message;

    friend bool operator==(const PeerSpoke &, const PeerSpoke &) = default;
};

/// Asks for the whole table.
struct ShowTable {
    friend bool operator==(const ShowTable &, const ShowTable &) = default;
};

using Configuration::EditTable;
using Configuration::RowEdit;

/// Asks on which hosts a version is in force.
struct ShowSpread {
    std::uint64_t m_version = 0;

    friend bool operator==(const ShowSpread &, const ShowSpread &) = default;
};

/// Asks what this host knows of itself and of the fleet.
struct ShowStatus {
    friend bool operator==(const ShowStatus &, const ShowStatus &) = default;
};

/// Asks for all counters and histograms of this host.
struct ShowMetrics {
    friend bool operator==(const ShowMetrics &, const ShowMetrics &) = default;
};

/// Asks for the service-level burn over all hosts.
struct ShowBurn {
    friend bool operator==(const ShowBurn &, const ShowBurn &) = default;
};

using OperatorCommand = std::variant<ShowTable, EditTable, ShowStatus, ShowMetrics, ShowBurn, ShowSpread>;

/// An operator's command arrived.
struct OperatorAsked {
    OperatorCallId m_call = 0;
    OperatorCommand m_command;

    friend bool operator==(const OperatorAsked &, const OperatorAsked &) = default;
};

/// The process was told to stop.
struct StopAsked {
    friend bool operator==(const StopAsked &, const StopAsked &) = default;
};

/// Time went on.
struct Ticked {
    std::int64_t m_wallSeconds = 0; ///< Seconds since 1970 by the wall clock, for reports only.

    friend bool operator==(const Ticked &, const Ticked &) = default;
};

using Event =
    std::variant<RequestArrived, CallerGone, AttemptAnswered, AttemptFailed, AttemptEnded, PlatformAnswered, PeerSpoke, OperatorAsked, StopAsked, Ticked>;

}
