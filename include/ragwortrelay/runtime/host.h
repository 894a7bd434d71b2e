#pragma once

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

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
