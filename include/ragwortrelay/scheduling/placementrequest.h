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

/// Names one placement of one process of a host; never used again.
struct PlacementId {
    HostId m_host;
    std::uint64_t m_number = 0;

    friend auto operator<=>(const PlacementId &, const PlacementId &) = default;
    friend bool operator==(const PlacementId &, const PlacementId &) = default;
};

/// What an attempt is for.
enum class AttemptKind : std::uint8_t {
    First, ///< First attempt of a request; takes a token of the workspace's limit.
    Replacement, ///< A further attempt in place of one that never reached a server.
    Retry, ///< A further attempt after one that reached a server; takes from the retry budget.
    Hedge, ///< A further attempt beside one that is slow; as Again, and only where a slot is free.
    Last = Hedge,
};

/// Asks for a backend server for one attempt of a request.
struct PlacementRequest {
    std::uint64_t m_number = 0; ///< With the host, the id of the placement.
    AttemptKind m_purpose = AttemptKind::First;
    ServiceId m_service;
    WorkspaceId m_workspace; ///< Empty on open routes.
    std::uint64_t m_fingerprint = 0; ///< Hash of what makes two requests the same.
    std::uint32_t m_priority = 0; ///< 0 is served first.
    bool m_idempotent = true;
    Duration m_timeLeft{}; ///< Until the request must be answered.
    Duration m_objectiveLeft{}; ///< Until an answer counts less; negative when that is over.
    std::vector<ServerId> m_excluded; ///< Servers that were tried.

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
                        self.m_excluded);
    }
};

/// Why a placement got no server.
enum class RefusalReason : std::uint8_t {
    OverLimit, ///< The workspace is over its limit.
    NoBudget, ///< The retry budget of the service is used up.
    NoServer, ///< No server may be used.
    Overload, ///< No slot will be free in time.
    Quarantined, ///< The request has crashed servers.
    Last = Quarantined,
};

/// Returns the name of a reason for counters and logs. Thread-safe.
std::string toString(RefusalReason reason);

/// What became of a placement.
struct PlacementReply {
    std::uint64_t m_number = 0; ///< Of the placement.
    std::optional<ServerId> m_server; ///< To use; empty for a refusal.
    std::string m_address; ///< Of the server, `IP:PORT`.
    RefusalReason m_reason{}; ///< Of a refusal.
    Duration m_retryAfter{}; ///< Of a refusal: when the same placement is likely to succeed.

    friend bool operator==(const PlacementReply &, const PlacementReply &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_number, self.m_server, self.m_address, self.m_reason, self.m_retryAfter);
    }
};

/// How an attempt ended, as far as scheduling is concerned.
enum class AttemptEnd : std::uint8_t {
    Succeeded,
    Failed, ///< The server answered that it failed.
    Shed, ///< The server refused it unrun.
    Misdirected, ///< Another server has the address.
    NotListening, ///< The server's host refused the connection; nothing was sent.
    Unreachable, ///< No connection came about in time; nothing was sent.
    Broken, ///< The connection broke after the request was sent.
    MalformedResponse, ///< The answer was no answer, or was cut short.
    TimedOut, ///< No answer in time.
    Abandoned, ///< The host gave it up for a reason of its own.
    Last = Abandoned,
};

/// Returns the name of an end for counters and logs. Thread-safe.
std::string toString(AttemptEnd end);

/// Tells that the attempt of a placement has ended.
struct AttemptReport {
    std::uint64_t m_number = 0; ///< Of the placement.
    ServerId m_server;
    AttemptEnd m_end{};
    Duration m_elapsed{}; ///< From its start.
    std::uint32_t m_running = 0; ///< Requests, by the server's own report.
    std::uint32_t m_waiting = 0; ///< Requests, by the server's own report.
    bool m_hasLoad = false; ///< The server reported its load.
    std::uint64_t m_fingerprint = 0; ///< Of the request, when it may have crashed the server; else 0.

    friend bool operator==(const AttemptReport &, const AttemptReport &) = default;

    /// Returns the fields in the order of the wire format.
    static auto fields(auto &self)
    {
        return std::tie(self.m_number, self.m_server, self.m_end, self.m_elapsed, self.m_running, self.m_waiting, self.m_hasLoad, self.m_fingerprint);
    }
};

/// Tells of a placement that was granted a server which isn't used. Thread-safe.
AttemptReport unusedPlacement(std::uint64_t number, const ServerId &server);

}
