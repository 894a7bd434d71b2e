#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/http/responsereader.h>
#include <ragwortrelay/loop/asio.h>
#include <ragwortrelay/loop/stream.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace RagwortRelay::Loop {

/// Progress of the response that a client connection waits for.
enum class ResponseEvent : std::uint8_t {
    Progress, ///< The head or a further part of the body has arrived.
    Whole,
    Failed, ///< The request failed; see failure() and hasSent().
};

/// HTTP/1.1 client connection that carries one request at a time. Its pool owns it, with the request that it carries or as an idle connection, until
/// close(); handlers of operations that end later find it closed. Not thread-safe; used by one thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Handler = std::function<void(ResponseEvent)>;

    /// Creates a connection that is not connected yet.
    /// @param tls null for a plain connection
    ClientConnection(asio::io_context &context, const TlsContext &tls, const TcpTimeouts &tcpTimeouts);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Starts to connect. A request that is passed to send() in the meantime is sent once the connection is established. Call once.
    /// @param timeout time for connecting and for the TLS handshake
    void connect(const tcp::endpoint &endpoint, Duration timeout);

    /// Sends a request. Precondition: no request is in progress.
    /// @param head request head with its terminating empty line
    /// @param body request body, or null for none; kept alive until it is sent and no longer
    /// @param handler called for each event up to Whole or Failed; the body that has arrived can be taken from the reader at each Progress
    void send(std::string head, std::shared_ptr<const std::string> body, Http::ResponseBody responseBody, Handler handler);

    /// Closes the connection immediately. No handler is called afterwards.
    void close();

    /// Skips the response that is being read, head and body, because it belongs to an earlier request, and waits for the next one. The request fails
    /// if the end of that response can't be told from the bytes.
    /// Precondition: called by the handler during the event Progress.
    void skipResponse();

    /// Stops or resumes reading, as flow control for a slow receiver of the response.
    void pauseReading(bool paused);

    /// Returns the reader of the current response. Precondition: send() was called.
    [[nodiscard]] Http::ResponseReader &reader();

    /// Tells whether another request may be sent: the last response was complete, no bytes follow it, and the server keeps the connection open.
    [[nodiscard]] bool isReusable() const;

    /// Tells whether the connection is open and has neither bytes nor an end of stream to read, by querying the operating system.
    [[nodiscard]] bool isOpenWithoutInput();

    /// Tells whether any byte of the request was passed to the operating system.
    [[nodiscard]] bool hasSent() const;

    /// Returns why the request failed. Precondition: the handler was called with Failed.
    [[nodiscard]] Dispatch::AttemptFailure failure() const;

    /// Sets the handler that is called when the server closes the idle connection or sends unsolicited bytes.
    void setIdleHandler(std::function<void()> handler);

private:
    /// Runs a task, and fails the request and closes the connection if the task throws.
    template<typename Task> void guarded(Task &&task);
    void onConnected(const ErrorCode &error);
    void onReady(const ErrorCode &error);
    void write();
    void onWritten(const ErrorCode &error);
    void read();
    /// Handles bytes or the end of the stream, which are there to read. They belong to a request only if one is in progress by now.
    void onInput();
    /// Closes the idle connection, which the server has ended or sent unsolicited bytes on.
    void closeIdle();
    void onRead(const ErrorCode &error, std::size_t size);
    void onEof();
    /// Ends the request with the stream of the server, which is the end of a response that has no length.
    void endAtEof();
    void parseInput();
    /// Reports what has arrived of a response whose head is complete, or discards it if the response is skipped.
    void processResponse();
    void continueSkipping();
    /// Ends the request with its whole response.
    void finish();
    void fail(Dispatch::AttemptFailure failure);
    void notify(ResponseEvent event);

    static constexpr std::size_t ReadSize = 4096; // bytes
    static constexpr std::size_t MaxUnparsedBytes = 32U << 10U; // Bound on a line of a chunk, or on a trailer.

    asio::io_context &m_context;
    Stream m_stream;
    asio::steady_timer m_connectTimer;
    TcpTimeouts m_tcpTimeouts;
    std::array<char, ReadSize> m_readBuffer{};
    std::string m_unparsed; ///< Received bytes that the reader has not parsed.
    std::string m_head;
    std::shared_ptr<const std::string> m_body;
    Handler m_handler;
    std::function<void()> m_onIdleClosed;
    std::optional<Http::ResponseReader> m_reader;
    Http::ResponseBody m_responseBody = Http::ResponseBody::Expected;
    Dispatch::AttemptFailure m_failure{};
    bool m_isConnected = false;
    bool m_isBusy = false; ///< A request is in progress.
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isSkipping = false; ///< The response that is being read belongs to an earlier request.
    bool m_hasMixedMethods = false; ///< Some requests permitted a response body and others didn't.
    bool m_isClosed = false;
    bool m_hasEof = false; ///< The stream of the server has ended, in order or by a reset.
    bool m_isReset = false; ///< A write has reported that the connection is broken. No response ends with it.
    bool m_hasToClose = false; ///< The connection must not be used for another request.
    bool m_hasSent = false;
};

}
