#pragma once

#include <ragwortrelay/configuration/freshness.h>
#include <ragwortrelay/node/event.h>
#include <ragwortrelay/reporting/burn.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace RagwortRelay::Node {

/// Sends the request of an exchange to a backend server.
struct StartAttempt {
    ExchangeId m_exchange = 0;
    AttemptId m_attempt = 0;
    ServerId m_server;
    std::string m_address;
    bool m_idempotent = true;
    Duration m_timeLeft{};

    friend bool operator==(const StartAttempt &, const StartAttempt &) = default;
};

/// Ends an attempt whose answer nobody wants.
struct CancelAttempt {
    AttemptId m_attempt = 0;

    friend bool operator==(const CancelAttempt &, const CancelAttempt &) = default;
};

/// Gives the answer of an attempt to the caller.
struct ForwardAnswer {
    ExchangeId m_exchange = 0;
    AttemptId m_attempt = 0;

    friend bool operator==(const ForwardAnswer &, const ForwardAnswer &) = default;
};

/// Gives the caller the stored answer of an earlier request with the same idempotency key.
struct ReplayAnswer {
    ExchangeId m_exchange = 0;
    Dispatch::StoredAnswer m_answer;

    friend bool operator==(const ReplayAnswer &, const ReplayAnswer &) = default;
};

/// Answers the caller with a refusal of the proxy.
struct AnswerProblem {
    ExchangeId m_exchange = 0;
    Dispatch::Problem m_problem;

    friend bool operator==(const AnswerProblem &, const AnswerProblem &) = default;
};

/// Calls the platform.
struct CallPlatform {
    PlatformCallId m_call = 0;
    Platform::Call m_request;

    friend bool operator==(const CallPlatform &, const CallPlatform &) = default;
};

/// Sends a message to another host. It may get lost, late, twice or out of order.
struct SendPeer {
    HostId m_host;
    std::string m_address; ///< `IP:PORT`
    PeerMessage m_message;

    friend bool operator==(const SendPeer &, const SendPeer &) = default;
};

/// The table as this host has it.
struct TableShown {
    Configuration::Table m_table;

    friend bool operator==(const TableShown &, const TableShown &) = default;
};

/// The edit is durable.
struct EditDone {
    std::uint64_t m_version = 0;

    friend bool operator==(const EditDone &, const EditDone &) = default;
};

/// Rows that changed since the version that the edit was based on; nothing was written.
struct EditConflict {
    std::vector<Configuration::Row> m_storedRows;

    friend bool operator==(const EditConflict &, const EditConflict &) = default;
};

/// The edit was refused; nothing was written.
struct EditRefused {
    Findings m_findings;

    friend bool operator==(const EditRefused &, const EditRefused &) = default;
};

/// The edit was given up. It may be sent again with the same change id, to any host, and is applied at most once.
struct EditUnresolved {
    std::string m_reason;
    bool m_mayBeWritten = true; ///< Otherwise nothing was written.

    friend bool operator==(const EditUnresolved &, const EditUnresolved &) = default;
};

/// Version that is in force on a host of the roster, as far as the answering host knows.
struct HostVersion {
    HostId m_host;
    std::uint64_t m_version = 0; ///< 0 when it was never heard.
    std::optional<Duration> m_heardAgo; ///< Empty when it was never heard.

    friend bool operator==(const HostVersion &, const HostVersion &) = default;
};

/// Where a version is in force. It is accepted once it is on more than half of the roster.
struct SpreadShown {
    std::uint64_t m_version = 0; ///< That was asked for.
    bool m_accepted = false;
    std::vector<HostVersion> m_hosts;

    friend bool operator==(const SpreadShown &, const SpreadShown &) = default;
};

/// What a host knows of itself.
struct StatusShown {
    std::string m_host;
    std::uint64_t m_version = 0;
    bool m_ready = false;
    std::uint64_t m_requestsInFlight = 0;
    Configuration::Freshness m_freshness{}; ///< Of the configuration.
    std::vector<HostVersion> m_hosts; ///< Versions of the configuration, host by host.

    friend bool operator==(const StatusShown &, const StatusShown &) = default;
};

/// Counters and histograms in the Prometheus text format.
struct MetricsShown {
    std::string m_text;

    friend bool operator==(const MetricsShown &, const MetricsShown &) = default;
};

/// Service-level burn over all hosts.
struct BurnShown {
    Reporting::BurnReport m_report;

    friend bool operator==(const BurnShown &, const BurnShown &) = default;
};

using OperatorReply = std::variant<TableShown, EditDone, EditConflict, EditRefused, EditUnresolved, StatusShown, MetricsShown, BurnShown, SpreadShown>;

/// Answers an operator's command.
struct AnswerOperator {
    OperatorCallId m_call = 0;
    OperatorReply m_reply;

    friend bool operator==(const AnswerOperator &, const AnswerOperator &) = default;
};

/// Tells the balancer whether to send requests to this host.
struct SetReadiness {
    bool m_ready = false;

    friend bool operator==(const SetReadiness &, const SetReadiness &) = default;
};

/// Writes a log line about a change of state.
struct LogChange {
    std::string m_text;

    friend bool operator==(const LogChange &, const LogChange &) = default;
};

/// All work is done; the process may exit.
struct Exit {
    friend bool operator==(const Exit &, const Exit &) = default;
};

using Action = std::
    variant<StartAttempt, CancelAttempt, ForwardAnswer, ReplayAnswer, AnswerProblem, CallPlatform, SendPeer, AnswerOperator, SetReadiness, LogChange, Exit>;

using Actions = std::vector<Action>;

}
