#pragma once

#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/settings/settings.h>

#include <memory>
#include <string>

namespace RagwortRelay::Runtime {

/// All duties of one host, connected.
class Host
{
public:
    explicit Host(const Settings::Settings &settings);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    /// Opens the ports and starts all threads. Throws std::runtime_error when a port can't be had. Call once.
    void start();

    /// Starts a graceful shutdown. Thread-safe; idempotent.
    void askToStop();

    /// Waits until the graceful shutdown is complete. Call once, after start().
    void waitUntilStopped();

    /// Returns the address for callers. Precondition: started.
    [[nodiscard]] std::string callerAddress() const;

    /// Returns the address for operators. Precondition: started.
    [[nodiscard]] std::string operatorAddress() const;

    /// Returns the address for other hosts. No preconditions; thread-safe.
    [[nodiscard]] std::string peerAddress() const;

    /// Returns the counters of all duties but the decision duty. No preconditions; thread-safe.
    [[nodiscard]] Reporting::Counters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
