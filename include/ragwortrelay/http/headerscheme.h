#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/http/message.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The headers by which callers, hosts and backend servers tell one another what the proxy decides by.
namespace RagwortRelay::Http {

/// Load that a backend server reported with an answer.
struct LoadReport {
    std::uint32_t m_running = 0; ///< Requests.
    std::uint32_t m_waiting = 0; ///< Requests.
    bool m_draining = false;

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// Names of headers and how their values are read. An empty name stands for a header that isn't used.
struct HeaderScheme {
    std::string m_attemptId; ///< Names one try of a caller; servers echo it.
    std::string m_timeLeft; ///< Whole milliseconds that the sender waits.
    std::string m_key; ///< Workspace key; never passed on.
    std::string m_idempotencyKey;
    std::string m_workspace; ///< Written for servers: for whom the request runs.
    std::string m_expectedServer; ///< Written for servers: which one is meant.
    std::string m_loadReport; ///< In answers of servers.
    std::string m_notRun; ///< In answers of servers that have not run the request.
    std::string m_outcome; ///< In refusals to callers: whether the request was run.
    bool m_fractionalRetryAfter = false; ///< Callers understand fractions of a second in `Retry-After`.
    std::optional<Workspaces::PresentedKey> (*m_readKey)(const std::string &value) = nullptr;
    std::optional<LoadReport> (*m_readLoad)(std::string_view value) = nullptr;
    bool (*m_readNotRun)(std::uint16_t status, std::string_view value) = nullptr;
};

/// Returns the product's own headers.
HeaderScheme defaultHeaderScheme();

/// What the headers of a request tell the proxy.
struct RequestMetadata {
    std::string m_host; ///< Lower case, without port.
    std::string m_path; ///< Without the query.
    std::string m_attemptId;
    std::optional<Duration> m_timeLeft; ///< That the caller waits.
    std::string m_key; ///< Value of the header with the workspace key, empty for none.
    std::string m_idempotencyKey;

    friend bool operator==(const RequestMetadata &, const RequestMetadata &) = default;
};

/// Reads a request's headers. Thread-safe, like all functions here.
/// @return nothing when a header that must be single stands twice
std::optional<RequestMetadata> readRequestMetadata(const HeaderScheme &headerScheme, const RequestHead &head);

/// Tells whether a request repeats its workspace key where it would be passed on to a server: in its target or its body.
bool leaksKey(const RequestMetadata &facts, const RequestHead &head, std::string_view body);

/// What a host adds to a request for a server.
struct BackendHeaderValues {
    std::string m_workspace; ///< Empty for none.
    std::string m_expectedServer;
    Duration m_timeLeft{};

    friend bool operator==(const BackendHeaderValues &, const BackendHeaderValues &) = default;
};

/// Returns the head that a server gets: end-to-end headers without the workspace key, and the host's notes.
/// @param key value of the header with the workspace key; headers that repeat it are left out
RequestHead
forwardedRequestHead(const HeaderScheme &headerScheme, const RequestHead &head, const std::string &key, const BackendHeaderValues &notes, std::size_t bodySize);

/// What the headers of an answer tell the proxy.
struct ResponseMetadata {
    bool m_notRun = false; ///< The server says that it has not run the request.
    std::optional<LoadReport> m_loadReport;
    std::string m_attemptId; ///< As echoed; empty for none.

    friend bool operator==(const ResponseMetadata &, const ResponseMetadata &) = default;
};

/// Reads an answer's headers.
ResponseMetadata readResponseMetadata(const HeaderScheme &headerScheme, const ResponseHead &head);

/// Returns the headers of an answer that its caller gets, without those that are about the length of its body.
Headers headersForCaller(const HeaderScheme &headerScheme, const ResponseHead &head);

}
