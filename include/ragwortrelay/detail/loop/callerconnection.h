#pragma once

#include <ragwortrelay/detail/loop/callerinput.h>
#include <ragwortrelay/http/requestreader.h>
#include <ragwortrelay/loop/callerlistener.h>
#include <ragwortrelay/loop/stream.h>

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace RagwortRelay::Loop {

/// HTTP connection of a caller, which serves one request at a time. Requests that are sent ahead wait unparsed, up to ReadBufferSize bytes here and the rest
/// in the kernel. None of them is dispatched before the response to the previous one is written; when that response closes the connection, they
/// count as unread. The listener owns the connection from its start until close(); handlers of operations that end later find it closed. Not
/// thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(CallerListener &listener, tcp::socket socket);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Starts to read, after the handshake if the connection uses TLS. Call once.
    void start();

    /// Returns the request that awaits its response. Precondition: a request awaits its response.
    [[nodiscard]] const CallerRequest &request() const;

    /// Starts to send a response. Precondition: a request awaits its response.
    void response(const std::shared_ptr<ResponseStream> &stream);

    /// Sends a refusal. Precondition: a request awaits its response or is being read.
    void refuse(const Dispatch::Problem &problem);

    /// Closes the connection if no request is being read or served.
    void closeIfIdle();

    /// Closes the connection at once. A request that awaits its response is abandoned.
    void close();

private:
    enum class Phase : std::uint8_t {
        Idle, ///< No byte of the next request was received.
        Reading, ///< A request is being read.
        Waiting, ///< A complete request awaits its response.
        Writing, ///< A response is being written.
        Closing, ///< The last response is written; further input is discarded.
    };

    /// Runs a task, and closes the connection if the task throws.
    template<typename Task> void guarded(Task &&task);
    void writeRefusal(const Dispatch::Problem &problem);
    void writeResponse(const std::shared_ptr<ResponseStream> &stream);
    void startReading();
    void read();
    void onRead(const ErrorCode &error, std::size_t size);
    void parseInput();
    void dispatchRequest();
    void sendContinue();
    void rejectUnreadRequest(const Http::RequestReadError &error);
    void writeResponseHead(Http::ResponseHead head, const std::optional<std::size_t> &contentLength);
    void forwardBody();
    void finishResponse();
    void write(std::string bytes);
    void startWrite();
    void onWritten(const ErrorCode &error);
    void startTimer(Duration timeout);
    void onTimeout();
    void startLingeringClose();
    /// Reports to the budget what the connection holds, and keeps the budget. The connection may be closed afterwards.
    void updateHeld();
    [[nodiscard]] std::uint64_t heldBytes() const;
    /// Frees the memory of the connection for the budget: refuses a request that is being read, else closes the connection.
    void release(ReleaseReason reason);
    void markProgress();
    void removeExchange();
    /// Frees the request, as far as no attempt uses its body.
    void dropRequest();

    static constexpr std::size_t ReadBufferSize = 4096; // bytes

    CallerListener &m_listener;
    Stream m_stream;
    asio::steady_timer m_timer;
    std::array<char, ReadBufferSize> m_readBuffer{};
    CallerInput m_input;
    std::optional<Http::RequestReader> m_reader;
    CallerRequest m_request;
    Host::ExchangeId m_exchange = 0;
    std::shared_ptr<ResponseStream> m_response;
    std::string m_output; ///< Bytes of the write in progress.
    std::string m_nextOutput; ///< Bytes of the next write.
    Phase m_phase = Phase::Idle;
    CallerBudget::Id m_budgetId = 0;
    std::string m_address; ///< IP address of the caller.
    std::uint64_t m_headBytes = 0; ///< Memory of the head of the request that awaits its response.
    bool m_isChunked = false;
    bool m_hasBody = true; ///< The response has a body.
    bool m_keepsAlive = true; ///< The connection stays open after the response.
    bool m_isWriting = false;
    bool m_isResponseComplete = false; ///< The response has ended, though its last bytes may not be written.
    bool m_hasSentContinue = false;
    bool m_isReading = false;
    bool m_isClosed = false;
};

}
