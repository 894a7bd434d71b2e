#pragma once

#include <ragwortrelay/core/error.h>
#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace RagwortRelay::Scheduling {

/// Identifies one placement of one host process. An id is never reused.
struct PlacementId {
    HostId m_host;
    std::uint64_t m_number = 0;

    friend auto operator<=>(const PlacementId &, const PlacementId &) = default;
    friend bool operator==(const PlacementId &, const PlacementId &) = default;
};

/// Purpose of an attempt.
enum class AttemptKind : std::uint8_t {
    First, ///< First attempt of a request; takes a token of the workspace's rate limit.
    Replacement, ///< Another attempt in place of one that never reached a server; not charged.
    Retry, ///< Another attempt after one that reached a server; charged to the retry budget.
    Hedge, ///< Another attempt beside a slow one; charged like Retry and never queued for a slot.
    Last = Hedge,
};

/// Request of a host for a backend server for one attempt.
struct PlacementRequest {
    std::uint64_t m_number = 0; ///< Number of the placement; unique within the host process.
    AttemptKind m_purpose = AttemptKind::First;
    ServiceId m_service;
    WorkspaceId m_workspace; ///< Workspace of the request; empty on routes without authentication.
    std::uint64_t m_fingerprint = 0; ///< Hash of the content that makes two requests the same.
    std::uint32_t m_priority = 0; ///< Priority class; 0 is served first.
    bool m_idempotent = true;
    Duration m_timeLeft{}; ///< Time until the deadline of the request.
    Duration m_objectiveLeft{}; ///< Time until the latency objective is missed; negative after that.
    std::vector<ServerId> m_excluded; ///< Servers that earlier attempts of the request have tried.
    std::uint64_t m_bodyBytes = 0; ///< Size of the request's body.
    Duration m_sentAt{}; ///< Time of sending by the sender's clock.
    Duration m_replyWait{}; ///< Time for which the sender waits for the reply before it decides by itself.

    friend bool operator==(const PlacementRequest &, const PlacementRequest &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_number,
                        self.m_purpose,
                        self.m_service,
                        self.m_workspace,
                        self.m_fingerprint,
                        self.m_priority,
                        self.m_idempotent,
                        self.m_timeLeft,
                        self.m_objectiveLeft,
                        self.m_excluded,
                        self.m_bodyBytes,
                        self.m_sentAt,
                        self.m_replyWait);
    }
};

/// Reason why a placement got no server.
enum class RefusalReason : std::uint8_t {
    OverLimit, ///< The workspace exceeds its rate limit.
    NoBudget, ///< The retry budget of the service is exhausted.
    NoServer, ///< No server of the service is usable.
    Overload, ///< No slot becomes free in time, or the queue is full.
    Quarantined, ///< The request is quarantined because it has crashed servers.
    Last = Quarantined,
};

/// Returns the name of a refusal reason for metrics and logs. Thread-safe.
std::string toString(RefusalReason reason);

/// Reply to a placement request: a server, or a refusal.
struct PlacementReply {
    std::uint64_t m_number = 0; ///< Number of the placement.
    std::optional<ServerId> m_server; ///< Granted server; empty for a refusal.
    std::string m_address; ///< Address of the granted server, `IP:PORT`.
    RefusalReason m_reason{}; ///< Reason of a refusal.
    Duration m_retryAfter{}; ///< Time after which a refused placement is likely to succeed.

    friend bool operator==(const PlacementReply &, const PlacementReply &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_number, self.m_server, self.m_address, self.m_reason, self.m_retryAfter);
    }
};

/// Result of an attempt, as far as scheduling distinguishes it.
enum class AttemptEnd : std::uint8_t {
    Succeeded,
    Failed, ///< The server responded with a failure.
    Shed, ///< The server rejected the request without running it.
    Misdirected, ///< The address belongs to another server now.
    NotListening, ///< The machine of the server refused the connection; nothing was sent.
    Unreachable, ///< No connection was established in time; nothing was sent.
    Broken, ///< The connection broke after the request was sent.
    MalformedResponse, ///< The response was invalid or incomplete.
    TimedOut, ///< No response arrived in time.
    Abandoned, ///< The host gave the attempt up for a reason of its own.
    Last = Abandoned,
};

/// Returns the name of an attempt end for metrics and logs. Thread-safe.
std::string toString(AttemptEnd end);

/// Announcement of a server process that it is leaving.
struct LeavingServer {
    ServerId m_server;
    std::uint64_t m_incarnation = 0; ///< Incarnation of the process; see Configuration::Server::m_incarnation.

    friend auto operator<=>(const LeavingServer &, const LeavingServer &) = default;
    friend bool operator==(const LeavingServer &, const LeavingServer &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_server, self.m_incarnation);
    }
};

/// Report of a host that the attempt of a placement has ended.
struct AttemptReport {
    std::uint64_t m_number = 0; ///< Number of the placement.
    ServerId m_server;
    AttemptEnd m_end{};
    Duration m_elapsed{}; ///< Time since the start of the attempt.
    std::uint32_t m_running = 0; ///< Requests running at the server, as reported by it.
    std::uint32_t m_waiting = 0; ///< Requests waiting at the server, as reported by it.
    bool m_hasLoad = false; ///< Whether the server reported its load.
    std::uint64_t m_fingerprint = 0; ///< Fingerprint of a request that succeeded or that may have crashed the server; otherwise 0.
    std::optional<std::uint64_t> m_leavingIncarnation; ///< Incarnation of a server that has announced that it is leaving; empty for others.

    friend bool operator==(const AttemptReport &, const AttemptReport &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_number,
                        self.m_server,
                        self.m_end,
                        self.m_elapsed,
                        self.m_running,
                        self.m_waiting,
                        self.m_hasLoad,
                        self.m_fingerprint,
                        self.m_leavingIncarnation);
    }
};

/// Returns the report of a granted placement whose server the host doesn't use. Thread-safe.
AttemptReport unusedPlacement(std::uint64_t number, const ServerId &server);

}
