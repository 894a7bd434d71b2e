#pragma once

#include <ragwortrelay/node/action.h>
#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/runtime/input.h>
#include <ragwortrelay/settings/settings.h>

#include <memory>
#include <string>

namespace RagwortRelay::Runtime {

/// Listening socket for other hosts. It is opened before the host's state is made, which tells others its address.
class PeerListener
{
public:
    /// Opens the port. Throws std::runtime_error when it can't be had.
    explicit PeerListener(const Settings::PeerSettings &settings);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

    /// Returns the address that others connect to. No preconditions; thread-safe.
    [[nodiscard]] const std::string &advertisedAddress() const
    {
        return m_advertised;
    }

    /// Returns the socket. No preconditions; thread-safe.
    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
    std::string m_advertised;
};

/// Duty that carries messages between hosts. One thread owns all connections.
///
/// Messages to one host go out on one connection, in batches. They may get lost, never altered: a full queue, a broken connection
/// or a host that is gone drops them and counts it. A message that arrives goes to the decision ring, or is dropped and counted
/// when that is full.
class PeerStreams
{
public:
    /// @param listener must outlive the duty
    /// @param self name that others send to
    /// @param incarnation of this process
    /// Throws std::runtime_error when the certificate files can't be used.
    PeerStreams(
        const Settings::PeerSettings &settings, const PeerListener &listener, const HostId &self, Membership::Incarnation incarnation, DecisionRing &decisions);
    ~PeerStreams();
    PeerStreams(const PeerStreams &) = delete;
    PeerStreams &operator=(const PeerStreams &) = delete;

    /// Starts the thread. Call once.
    void start();

    /// Sends what waits, for a short time at most, and ends the thread. Thread-safe; idempotent.
    void stop();

    /// Returns the ring for messages to send. Thread-safe.
    [[nodiscard]] Ring<Node::SendPeer> &orders();

    /// Returns what was sent, received and dropped so far. Thread-safe.
    [[nodiscard]] Reporting::Counters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
