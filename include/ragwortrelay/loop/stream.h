#pragma once

#include <ragwortrelay/loop/asio.h>

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace RagwortRelay::Loop {

/// TLS configuration with the certificates of a group of connections; null for plain connections.
using TlsContext = std::shared_ptr<asio::ssl::context>;

/// Creates the TLS context of a server. Throws boost::system::system_error when a file can't be used. Thread-safe.
/// @param certificate PEM file with the certificate chain
/// @param key PEM file with the private key
TlsContext makeServerContext(const std::string &certificate, const std::string &key);

/// Creates the TLS context of a client that accepts only certificates signed by the authorities.
/// Throws boost::system::system_error when the file can't be used. Thread-safe.
/// @param authority PEM file with the certificates of the authorities
TlsContext makeClientContext(const std::string &authority);

/// Role in a TLS handshake.
enum class StreamSide : std::uint8_t {
    Client,
    Server,
};

/// TCP connection with or without TLS. Not thread-safe; used by one thread.
class Stream
{
public:
    using Handler = std::function<void(const ErrorCode &, std::size_t)>;

    /// Creates a stream on a socket, which may be connected later.
    /// @param context null for a plain connection
    Stream(tcp::socket socket, const TlsContext &context);

    /// Returns the underlying TCP socket.
    [[nodiscard]] tcp::socket &socket();

    /// Tells whether the connection uses TLS and needs a handshake.
    [[nodiscard]] bool isSecure() const;

    /// Performs the TLS handshake. A client verifies that the certificate names the IP address of its peer.
    /// Preconditions: the socket is connected and isSecure() is true. Call once.
    void handshake(StreamSide side, std::function<void(const ErrorCode &)> handler);

    /// Waits until bytes or the end of the stream can be read, and leaves them with the operating system.
    /// Preconditions: the stream is connected, isSecure() is false and no read is in progress.
    void waitForInput(std::function<void(const ErrorCode &)> handler);

    /// Reads the available bytes, waiting for at least one. Preconditions: the stream is connected and no other read is in progress.
    void readSome(asio::mutable_buffer buffer, Handler handler);

    /// Writes all bytes, which must stay valid until the handler is called.
    /// Preconditions: the stream is connected and no other write is in progress.
    void write(const std::array<asio::const_buffer, 2> &buffers, Handler handler);

    /// Signals the end of the written data to the peer. Precondition: no write is in progress.
    /// @param handler called when the stream isn't used any more; holds the owner of the stream until then
    void endWriting(std::function<void()> handler);

    /// Ends the written data where it stands, without TLS's own end. A write in progress ends with an error: broken_pipe if the connection was in order, else
    /// the error of the connection. Precondition: the socket is open.
    void abortWriting();

    /// Sets whether the end of the connection is a reset, also when the process ends. A reset discards what the peer hasn't received.
    /// Precondition: the socket is open.
    void setResetsOnClose(bool resets);

    /// Closes the connection immediately. Handlers of operations in progress are called with an error.
    void close();

private:
    tcp::socket m_socket;
    std::unique_ptr<asio::ssl::stream<tcp::socket &>> m_tlsStream;
};

}
