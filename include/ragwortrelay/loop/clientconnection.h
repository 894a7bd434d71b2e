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

/// What has come of the answer that a client connection waits for.
enum class ResponseEvent : std::uint8_t {
    Progress, ///< The head is there, or more of the body.
    Whole,
    Failed, ///< See failure() and hasSent().
};

/// One HTTP/1.1 connection to a server; carries one request at a time. Used by one thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    using Handler = std::function<void(ResponseEvent)>;

    /// @param tls empty for a plain connection
    ClientConnection(asio::io_context &context, const TlsContext &tls, const TcpTimeouts &tcpTimeouts);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Starts to connect. Call once. What send() was given meanwhile goes out once the connection is there.
    void connect(const tcp::endpoint &endpoint, Duration limit);

    /// Sends a request. Precondition: none is under way.
    /// @param head with its end
    /// @param body may be null for none; is kept until it is sent
    /// @param handler called until Whole or Failed; not called any more after detach()
    void send(std::string head, std::shared_ptr<const std::string> body, Http::ResponseBody responseBody, Handler handler);

    /// Calls the handler no more. An answer that is under way is read and forgotten.
    void detach();

    /// Closes the connection at once. No handler is called any more.
    void close();

    /// Passes over the answer that is being read and waits for the next one: it belonged to an earlier request.
    void skipResponse();

    /// Stops or resumes reading, for a reader that can't keep up.
    void pauseReading(bool paused);

    /// Returns the reader of the answer that is under way. Precondition: a request was sent.
    [[nodiscard]] Http::ResponseReader &reader();

    /// Tells whether another request may be sent: the last answer was whole, nothing lies behind it, and the server keeps the connection.
    [[nodiscard]] bool isReusable() const;

    /// Tells whether the connection is open and has no bytes or end waiting to be read, by asking the system.
    [[nodiscard]] bool isQuiet();

    /// Tells whether any byte of the request was handed to the system.
    [[nodiscard]] bool hasSent() const;

    /// Returns why the request failed. Precondition: the event was Failed.
    [[nodiscard]] Dispatch::AttemptFailure failure() const;

    /// Sets what is called when an idle connection is closed by the server, or sends what nobody asked for.
    void setIdleHandler(std::function<void()> handler);

private:
    void onConnected(const ErrorCode &error);
    void onReady(const ErrorCode &error);
    void write();
    void onWritten(const ErrorCode &error);
    void read();
    void onRead(const ErrorCode &error, std::size_t size);
    void onEnd();
    void takeBytes();
    void finish(ResponseEvent event);
    void fail(Dispatch::AttemptFailure failure);
    void report(ResponseEvent event);

    static constexpr std::size_t ReadSize = 4096; // bytes

    asio::io_context &m_context;
    Stream m_stream;
    asio::steady_timer m_connectTimer;
    TcpTimeouts m_tcpTimeouts;
    std::array<char, ReadSize> m_readBuffer{};
    std::string m_unread; ///< Bytes that the reader has not used.
    std::string m_head;
    std::shared_ptr<const std::string> m_body;
    Handler m_handler;
    std::function<void()> m_onIdleEnd;
    std::optional<Http::ResponseReader> m_reader;
    Http::ResponseBody m_responseBody = Http::ResponseBody::Expected;
    Dispatch::AttemptFailure m_failure{};
    bool m_isConnected = false;
    bool m_isBusy = false; ///< A request is under way.
    bool m_isWriting = false;
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isClosed = false;
    bool m_isSpoilt = false; ///< Must not be used for another request.
    bool m_hasSent = false;
};

}
