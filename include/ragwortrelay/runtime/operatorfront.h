#pragma once

#include <ragwortrelay/node/action.h>
#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/runtime/input.h>
#include <ragwortrelay/settings/settings.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace RagwortRelay::Runtime {

/// Duty that serves operators, the balancer's readiness probe and the metrics scraper over HTTP.
class OperatorFront
{
public:
    OperatorFront(const Settings::OperatorSettings &settings, DecisionRing &decisions);
    ~OperatorFront();
    OperatorFront(const OperatorFront &) = delete;
    OperatorFront &operator=(const OperatorFront &) = delete;

    /// Opens the port and starts the thread. Throws std::runtime_error when the port can't be had. Call once.
    void start();

    /// Ends the thread and closes all connections. Thread-safe; idempotent.
    void stop();

    /// Returns the ring for answers. Thread-safe.
    [[nodiscard]] Ring<Node::AnswerOperator> &orders();

    /// Sets where the metrics page gets the counters of the other duties. Call before start().
    void setRuntimeCounters(std::function<Reporting::Counters()> counters);

    /// Sets what the readiness probe is told. Thread-safe.
    void setReady(bool ready);

    /// Returns the address that it listens on. Precondition: started.
    [[nodiscard]] std::string address() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
