#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/detail/runtime/tlscontext.h>

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace RagwortRelay::Runtime::detail {

/// Intervals of one connection between hosts.
struct PeerTimeouts {
    Duration m_ping{std::chrono::seconds(1)}; ///< Silence after which the client side sends a ping.
    Duration m_idle{std::chrono::seconds(4)}; ///< Silence after which either side gives the connection up.
};

/// Connection of two hosts: HTTP/2 over TLS over TCP. Each batch is the body of one request. Not thread-safe.
///
/// The methods that return `bool` return false once the connection is of no more use.
class PeerConnection
{
public:
    /// What a connection tells its owner.
    struct Callbacks {
        std::function<void(PeerConnection &, const std::string &)> m_onBatch; ///< A whole batch arrived.
        std::function<void(const char *)> m_onDropped; ///< Something was dropped, for this reason.
    };

    /// Takes over a non-blocking socket, which on the client side may still be connecting.
    /// @param tls context, or nullptr for a plain connection; must outlive the connection
    /// @param callbacks must outlive the connection
    PeerConnection(int descriptor, ConnectionSide side, SSL_CTX *tls, const Callbacks &callbacks, const PeerTimeouts &timeouts, TimePoint now);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// Reads what arrived. No preconditions.
    [[nodiscard]] bool onReadable(TimePoint now);

    /// Goes on connecting or writing. No preconditions.
    [[nodiscard]] bool onWritable();

    /// Sends a ping when it was silent for long. No preconditions.
    [[nodiscard]] bool onTimer(TimePoint now);

    /// Queues a batch for sending. Precondition: isOpen() on the client side.
    [[nodiscard]] bool submit(std::string batch);

    /// Writes as much as the socket takes. No preconditions.
    [[nodiscard]] bool flush();

    /// Tells whether the other side was authenticated and has spoken HTTP/2. No preconditions.
    [[nodiscard]] bool isOpen() const
    {
        return m_gotSettings;
    }

    /// Tells whether the handshake is complete. No preconditions.
    [[nodiscard]] bool isAuthenticated() const
    {
        return m_session != nullptr;
    }

    /// Tells whether the socket must be watched for room. No preconditions.
    [[nodiscard]] bool wantsWrite() const
    {
        return m_isConnecting || !m_output.empty();
    }

    /// Returns the number of batches that are not yet answered. No preconditions.
    [[nodiscard]] std::size_t batchesUnderWay() const
    {
        return m_outgoing.size();
    }

    /// Returns the socket. No preconditions.
    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }

    std::string m_boundSender; ///< Host and incarnation that the first batch named, for the owner's use.
    std::uint32_t m_watchedEvents = 0; ///< For the owner's use.

private:
    /// Batch on its way out.
    struct Outgoing {
        std::string m_bytes;
        std::size_t m_sent = 0;
    };

    [[nodiscard]] bool startSession();
    [[nodiscard]] bool readTls();
    [[nodiscard]] bool feed(const std::uint8_t *data, std::size_t size);
    [[nodiscard]] bool collectOutput();
    [[nodiscard]] bool writeSocket();

    static ssize_t
    readOutgoing(nghttp2_session *, std::int32_t stream, std::uint8_t *buffer, std::size_t size, std::uint32_t *flags, nghttp2_data_source *source, void *self);
    static int onChunk(nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *data, std::size_t size, void *self);
    static int onFrame(nghttp2_session *session, const nghttp2_frame *frame, void *self);
    static int onStreamClose(nghttp2_session *, std::int32_t stream, std::uint32_t, void *self);

    int m_descriptor;
    ConnectionSide m_side;
    const Callbacks &m_callbacks;
    PeerTimeouts m_timeouts;
    SSL *m_ssl = nullptr;
    nghttp2_session *m_session = nullptr;
    bool m_isConnecting;
    bool m_gotSettings = false;
    TimePoint m_heardAt;
    TimePoint m_pingedAt;
    std::string m_output;
    std::map<std::int32_t, Outgoing> m_outgoing;
    std::map<std::int32_t, std::string> m_incoming;
};

}
