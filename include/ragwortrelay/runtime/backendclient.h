#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/node/event.h>
#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/runtime/input.h>
#include <ragwortrelay/runtime/message.h>
#include <ragwortrelay/settings/settings.h>

#include <memory>
#include <string>
#include <variant>

namespace RagwortRelay::Runtime {

/// Tells the backend client to send a request.
struct SendRequest {
    Node::AttemptId m_attempt = 0;
    std::string m_address; ///< `IP:PORT`
    bool m_idempotent = true;
    Duration m_timeLeft{};
    std::shared_ptr<const CallerRequest> m_request;
    std::shared_ptr<AnswerStream> m_stream;
};

/// Tells the backend client that nobody wants the answer any more.
struct CancelRequest {
    Node::AttemptId m_attempt = 0;
};

/// Tells the backend client that a stream that was full has room again.
struct SpaceReady {
    Node::AttemptId m_attempt = 0;
};

using BackendOrder = std::variant<SendRequest, CancelRequest, SpaceReady>;

/// Duty that talks HTTP to backend servers. One thread owns all transfers.
///
/// A request that isn't idempotent goes out on a new connection, and at most once: libcurl repeats a request by itself when a
/// reused connection turns out to be closed, which the client forbids.
class BackendClient
{
public:
    /// @param decisions ring that gets the results
    /// @param onBytes called on the client's thread when a stream whose reader waits has more bytes or has ended
    BackendClient(const Settings::BackendSettings &settings, DecisionRing &decisions, std::function<void(Node::AttemptId)> onBytes);
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    /// Starts the thread. Call once.
    void start();

    /// Ends the thread and breaks off all transfers. Thread-safe; idempotent.
    void stop();

    /// Returns the ring for orders. Thread-safe.
    [[nodiscard]] Ring<BackendOrder> &orders();

    /// Returns how many orders found the ring full. Thread-safe.
    [[nodiscard]] Reporting::Counters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
