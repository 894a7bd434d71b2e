#pragma once

#include <ragwortrelay/loop/asio.h>

#include <array>
#include <cerrno>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace RagwortRelay::Fakes {

/// Blocking TCP connection that sends and receives raw bytes, with a long timeout for each wait.
class RawSocket
{
public:
    static constexpr int TimeoutMilliseconds = 20000;

    explicit RawSocket(const std::string &address)
    {
        const auto endpoint = Loop::endpointOf<Loop::tcp>(address);
        m_descriptor = socket(endpoint.protocol().family(), SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(m_descriptor, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0) {
            close(m_descriptor);
            throw std::runtime_error("can't connect to " + address);
        }
    }

    /// Takes ownership of a connected socket.
    explicit RawSocket(int descriptor) : m_descriptor(descriptor)
    {
    }

    ~RawSocket()
    {
        close(m_descriptor);
    }

    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    /// Sends all bytes. Returns false if the connection failed.
    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t size = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Shuts down the sending direction.
    void endSending() const
    {
        shutdown(m_descriptor, SHUT_WR);
    }

    /// Makes the connection end with a reset when this object is destroyed.
    void resetOnClose() const
    {
        const linger reset{1, 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

    /// Receives at least one byte. Returns an empty string if the peer closed the connection or the timeout expired.
    std::string receiveSome(int timeoutMilliseconds = TimeoutMilliseconds) const
    {
        pollfd descriptor{m_descriptor, POLLIN, 0};
        if (poll(&descriptor, 1, timeoutMilliseconds) <= 0) {
            return {};
        }
        std::array<char, 65536> buffer{};
        const ssize_t size = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        m_lastError = size < 0 ? errno : 0;
        return size <= 0 ? std::string() : std::string(buffer.data(), static_cast<std::size_t>(size));
    }

    /// Receives until the peer closes the connection or the timeout expires.
    std::string receiveAll() const
    {
        std::string all;
        for (std::string part = receiveSome(); !part.empty(); part = receiveSome()) {
            all += part;
        }
        return all;
    }

    /// Receives until the text arrives, the peer closes the connection or the timeout expires.
    std::string receiveUntil(const std::string &text) const
    {
        std::string all;
        while (all.find(text) == std::string::npos) {
            const std::string part = receiveSome();
            if (part.empty()) {
                break;
            }
            all += part;
        }
        return all;
    }

    /// Returns the error of the last read, or 0 if it returned bytes or the end of the stream.
    [[nodiscard]] int lastError() const
    {
        return m_lastError;
    }

    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
    mutable int m_lastError = 0;
};

/// Listening socket on the loopback address, with a port chosen by the kernel.
class RawListener
{
public:
    RawListener() : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto endpoint = Loop::endpointOf<Loop::tcp>("127.0.0.1:0");
        if (::bind(m_descriptor, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0 || ::listen(m_descriptor, SOMAXCONN) != 0) {
            throw std::runtime_error("can't listen");
        }
    }

    ~RawListener()
    {
        close(m_descriptor);
    }

    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    [[nodiscard]] std::string address() const
    {
        Loop::tcp::endpoint endpoint;
        socklen_t size = static_cast<socklen_t>(endpoint.capacity());
        getsockname(m_descriptor, endpoint.data(), &size);
        return Loop::textOf(endpoint);
    }

    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }

    /// Accepts a connection. Returns -1 if the timeout expired.
    [[nodiscard]] int accept(int timeoutMilliseconds = RawSocket::TimeoutMilliseconds) const
    {
        pollfd descriptor{m_descriptor, POLLIN, 0};
        return poll(&descriptor, 1, timeoutMilliseconds) > 0 ? ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC) : -1;
    }

private:
    int m_descriptor;
};

}
