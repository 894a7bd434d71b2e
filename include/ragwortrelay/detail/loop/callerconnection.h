#pragma once

#include <ragwortrelay/http/requestreader.h>
#include <ragwortrelay/loop/callerlistener.h>
#include <ragwortrelay/loop/stream.h>

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace RagwortRelay::Loop {

/// One connection of a caller; carries one request at a time. Used by one thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(CallerListener &front, tcp::socket socket);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Starts to read. Call once.
    void start();

    /// Returns the request that waits. Precondition: one waits.
    [[nodiscard]] const CallerRequest &request() const;

    /// Starts to send an answer. Precondition: a request waits.
    void response(const std::shared_ptr<ResponseStream> &stream);

    /// Sends a refusal. Precondition: a request waits, or is being read.
    void refuse(const Dispatch::Problem &problem);

    /// Closes the connection if no request is being read or answered.
    void closeIfIdle();

    /// Closes the connection at once; a request that waits is given up.
    void close();

private:
    enum class Phase : std::uint8_t {
        Idle, ///< No byte of the next request has come.
        Reading,
        Waiting, ///< For the answer.
        Writing,
        Closing, ///< The last answer is out; what still comes is thrown away.
    };

    void read();
    void onRead(const ErrorCode &error, std::size_t size);
    void takeBytes();
    void handOver();
    void sendContinue();
    void refuseUnread(const Http::RequestReadError &refusal);
    void writeResponseHead(Http::ResponseHead head, const std::optional<std::size_t> &wholeSize);
    void takePieces();
    void endAnswer();
    void write(std::string bytes);
    void onWritten(const ErrorCode &error);
    void startTimer(Duration limit);
    void onTimeout();
    void finishClosing();
    void releaseHeld();
    void forgetExchange();

    static constexpr std::size_t ReadSize = 4096; // bytes

    CallerListener &m_listener;
    Stream m_stream;
    asio::steady_timer m_timer;
    std::array<char, ReadSize> m_readBuffer{};
    std::string m_unread;
    std::optional<Http::RequestReader> m_reader;
    CallerRequest m_request;
    Host::ExchangeId m_exchange = 0;
    std::shared_ptr<ResponseStream> m_response;
    std::string m_output; ///< Being written.
    std::string m_next; ///< To be written after it.
    Phase m_phase = Phase::Idle;
    std::uint64_t m_held = 0; ///< Bytes counted for the body that is being read.
    bool m_isChunked = false;
    bool m_hasBody = true; ///< The answer has one.
    bool m_keeps = true; ///< The connection stays open behind the answer.
    bool m_isWriting = false;
    bool m_isAnswered = false; ///< The answer has ended; what is left is to write it.
    bool m_sentContinue = false;
    bool m_isReading = false;
    bool m_isClosed = false;
};

}
