#pragma once

#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/node/event.h>
#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/runtime/input.h>
#include <ragwortrelay/runtime/message.h>
#include <ragwortrelay/settings/settings.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace RagwortRelay::Runtime {

/// Tells the caller front to stream an answer.
struct SendAnswer {
    Node::ExchangeId m_exchange = 0;
    Node::AttemptId m_attempt = 0;
    std::shared_ptr<AnswerStream> m_stream;
};

/// Tells the caller front to send a refusal.
struct SendProblem {
    Node::ExchangeId m_exchange = 0;
    Dispatch::Problem m_problem;
};

/// Tells the caller front that a stream has more bytes, or has ended.
struct BytesReady {
    Node::ExchangeId m_exchange = 0;
};

using FrontOrder = std::variant<SendAnswer, SendProblem, BytesReady>;

/// Duty that serves callers over HTTP. One thread owns all connections.
class CallerFront
{
public:
    /// @param decisions ring that gets requests
    /// @param onSpace called on the front's thread when a stream that was full has room again
    CallerFront(const Settings::CallerSettings &settings, DecisionRing &decisions, std::function<void(Node::AttemptId)> onSpace);
    ~CallerFront();
    CallerFront(const CallerFront &) = delete;
    CallerFront &operator=(const CallerFront &) = delete;

    /// Opens the port and starts the thread. Throws std::runtime_error when the port can't be had. Call once.
    void start();

    /// From now on, each answer closes its connection, so that callers go elsewhere. Thread-safe; idempotent.
    void announceStop();

    /// Takes no new connections, lets callers read their answers for a short time, and ends the thread. Thread-safe; idempotent.
    void stop();

    /// Returns what was refused before it reached the decision duty. Thread-safe.
    [[nodiscard]] Reporting::Counters counters() const;

    /// Returns the ring for orders. Thread-safe.
    [[nodiscard]] Ring<FrontOrder> &orders();

    /// Returns the address that it listens on. Precondition: started.
    [[nodiscard]] std::string address() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
