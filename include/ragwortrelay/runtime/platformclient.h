#pragma once

#include <ragwortrelay/node/action.h>
#include <ragwortrelay/runtime/input.h>
#include <ragwortrelay/settings/settings.h>

#include <memory>

namespace RagwortRelay::Runtime {

/// Duty that calls the platform's table, object store and lists. One thread owns all transfers, which run side by side.
class PlatformClient
{
public:
    /// @param decisions ring that gets the answers; each call is answered once
    PlatformClient(const Settings::PlatformSettings &settings, DecisionRing &decisions);
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Starts the thread. Call once.
    void start();

    /// Ends the thread and breaks off all calls. Thread-safe; idempotent.
    void stop();

    /// Returns the ring for calls. Thread-safe.
    [[nodiscard]] Ring<Node::CallPlatform> &orders();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
