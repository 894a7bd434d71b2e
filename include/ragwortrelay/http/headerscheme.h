#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/http/message.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Headers by which callers, hosts and backend servers exchange the data that the proxy's decisions depend on.
namespace RagwortRelay::Http {

/// Load that a backend server reported with a response.
struct LoadReport {
    std::uint32_t m_running = 0; ///< Number of running requests.
    std::uint32_t m_waiting = 0; ///< Number of waiting requests.
    bool m_draining = false; ///< The server is draining.

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// Names of headers and the functions that parse their values. An empty name stands for a header that isn't used.
struct HeaderScheme {
    std::string m_attemptId; ///< Identifies one attempt of a caller; servers echo it.
    std::string m_hostAttempt; ///< Sent to servers: number of the host's attempt, for schemes without m_attemptId; servers may echo it.
    std::string m_timeLeft; ///< Time in whole milliseconds that the sender waits.
    std::string m_key; ///< Workspace key; never forwarded.
    std::string m_idempotencyKey; ///< Idempotency key of the caller.
    std::string m_workspace; ///< Sent to servers: workspace on whose behalf the request runs.
    std::string m_expectedServer; ///< Sent to servers: server for which the request is meant.
    std::string m_loadReport; ///< From servers: load report in a response.
    std::string m_notRun; ///< From servers: mark of a response to a request that was not run.
    std::string m_leaving; ///< From servers: `1` in each response of a server that is leaving.
    std::string m_outcome; ///< Sent to callers in refusals: whether the request was run.
    bool m_fractionalRetryAfter = false; ///< Callers understand fractions of a second in `Retry-After`.
    std::optional<Workspaces::PresentedKey> (*m_readKey)(const std::string &value) = nullptr; ///< Parser of the workspace key.
    std::optional<LoadReport> (*m_readLoad)(std::string_view value) = nullptr; ///< Parser of the load report.
    bool (*m_readNotRun)(std::uint16_t status, std::string_view value) = nullptr; ///< Returns whether the request was not run.
};

/// Returns the header scheme of this project.
HeaderScheme defaultHeaderScheme();

/// Contents of a request's headers that the proxy evaluates.
struct RequestMetadata {
    std::string m_host; ///< Host name in lower case, without port.
    std::string m_path; ///< Path without the query.
    std::string m_attemptId;
    std::optional<Duration> m_timeLeft; ///< Time that the caller waits.
    std::string m_key; ///< Value of the header with the workspace key; empty for none.
    std::string m_idempotencyKey;

    friend bool operator==(const RequestMetadata &, const RequestMetadata &) = default;
};

/// Parses a request's headers. Thread-safe, like all functions here.
/// @return nothing if a header that must be single occurs twice
std::optional<RequestMetadata> readRequestMetadata(const HeaderScheme &headerScheme, const RequestHead &head);

/// Returns whether a request repeats its workspace key in its target or body, from where it would be forwarded to a server.
bool leaksKey(const RequestMetadata &metadata, const RequestHead &head, std::string_view body);

/// Values of the headers that a host adds to a request for a server.
struct BackendHeaderValues {
    std::string m_workspace; ///< Workspace of the request; empty for none.
    std::string m_expectedServer;
    Duration m_timeLeft{}; ///< Time that the host waits for the response.
    std::string m_hostAttempt; ///< Number of the host's attempt.

    friend bool operator==(const BackendHeaderValues &, const BackendHeaderValues &) = default;
};

/// Returns the head of a request as forwarded to a server: the end-to-end headers without the workspace key, and the headers added by the
/// host.
/// @param key value of the header with the workspace key; headers that repeat it are removed
RequestHead forwardedRequestHead(
    const HeaderScheme &headerScheme, const RequestHead &head, const std::string &key, const BackendHeaderValues &values, std::size_t bodySize);

/// Contents of a response's headers that the proxy evaluates.
struct ResponseMetadata {
    bool m_notRun = false; ///< The server states that it has not run the request.
    std::optional<LoadReport> m_loadReport;
    std::string m_attemptId; ///< Attempt identifier echoed by the server; empty for none.
    std::string m_hostAttempt; ///< Number of the host's attempt echoed by the server; empty for none.
    bool m_isLeaving = false; ///< The server announces that it is leaving.
    std::optional<Duration> m_pause; ///< Time for which the server wants no requests from this host.
    std::string m_unreadableHeader; ///< Name of a header whose value was ignored because it can't be read; empty for none.

    friend bool operator==(const ResponseMetadata &, const ResponseMetadata &) = default;
};

/// Longest pause that a server can ask for. Longer ones are shortened to it.
inline constexpr Duration MaxServerPause = std::chrono::hours(1);

/// Parses a response's headers. Values that can't be read have no effect but for ResponseMetadata::m_unreadableHeader.
ResponseMetadata readResponseMetadata(const HeaderScheme &headerScheme, const ResponseHead &head);

/// Returns the headers of a response as forwarded to the caller, without those that concern the length of the body.
Headers headersForCaller(const HeaderScheme &headerScheme, const ResponseHead &head);

}
