#include <ragwortrelay/detail/loop/guard.h>
#include <ragwortrelay/loop/clientconnection.h>

#include <sys/socket.h>

namespace RagwortRelay::Loop {

using Dispatch::AttemptFailure;
using Http::ResponseState;

ClientConnection::ClientConnection(asio::io_context &context, const TlsContext &tls, const TcpTimeouts &tcpTimeouts)
    : m_context(context), m_stream(tcp::socket(context), tls), m_connectTimer(context), m_tcpTimeouts(tcpTimeouts)
{
}

ClientConnection::~ClientConnection() = default;

template<typename Task> void ClientConnection::guarded(Task &&task)
{
    detail::runGuarded(std::forward<Task>(task), [self = shared_from_this()] { self->fail(AttemptFailure::Broken); });
}

void ClientConnection::connect(const tcp::endpoint &endpoint, Duration timeout)
{
    ErrorCode error;
    m_stream.socket().open(endpoint.protocol(), error);
    if (error) {
        asio::post(m_context, [self = shared_from_this()] { self->fail(AttemptFailure::ConnectFailed); });
        return;
    }
    tune(m_stream.socket(), m_tcpTimeouts);
    m_stream.socket().async_connect(endpoint, [self = shared_from_this()](const ErrorCode &result) { self->guarded([&] { self->onConnected(result); }); });
    m_connectTimer.expires_after(timeout);
    m_connectTimer.async_wait([self = shared_from_this()](const ErrorCode &result) {
        if (!result && !self->m_isConnected) {
            self->fail(AttemptFailure::ConnectFailed);
        }
    });
}

void ClientConnection::onConnected(const ErrorCode &error)
{
    if (m_isClosed) {
        return;
    }
    if (error) {
        return fail(error == asio::error::connection_refused ? AttemptFailure::ConnectRefused : AttemptFailure::ConnectFailed);
    }
    if (!m_stream.isSecure()) {
        return onReady({});
    }
    m_stream.handshake(StreamSide::Client, [self = shared_from_this()](const ErrorCode &result) { self->guarded([&] { self->onReady(result); }); });
}

void ClientConnection::onReady(const ErrorCode &error)
{
    if (m_isClosed) {
        return;
    }
    m_connectTimer.cancel();
    if (error) {
        return fail(AttemptFailure::ConnectFailed);
    }
    m_isConnected = true;
    read();
    if (m_isBusy) {
        write();
    }
}

void ClientConnection::send(std::string head, std::shared_ptr<const std::string> body, Http::ResponseBody responseBody, Handler handler)
{
    m_head = std::move(head);
    m_body = std::move(body);
    m_hasMixedMethods = m_hasMixedMethods || (m_reader && responseBody != m_responseBody);
    m_responseBody = responseBody;
    m_handler = std::move(handler);
    m_reader.emplace(responseBody);
    m_hasSent = false;
    m_isBusy = true;
    if (m_isConnected) {
        write();
    }
}

void ClientConnection::write()
{
    if (m_isClosed) {
        return;
    }
    m_hasSent = true;
    m_isWriting = true;
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_head), m_body ? asio::buffer(*m_body) : asio::const_buffer()};
    m_stream.write(buffers, [self = shared_from_this()](const ErrorCode &error, std::size_t /*size*/) { self->guarded([&] { self->onWritten(error); }); });
}

void ClientConnection::onWritten(const ErrorCode &error)
{
    m_isWriting = false;
    m_body.reset(); // The server may take long to respond.
    if (m_isClosed) {
        return;
    }
    if (error) {
        // The server may have responded before the complete request was sent; that response is read first. A broken pipe tells that the server has ended
        // its stream in order. Any other error is reported once, so that the next read finds an end of stream in its place.
        m_hasToClose = true;
        m_isReset = error != asio::error::broken_pipe;
    }
    if (m_hasEof) {
        endAtEof();
    }
}

void ClientConnection::read()
{
    if (m_isClosed || m_isReading || m_isPaused) {
        return;
    }
    m_isReading = true;
    if (!m_isBusy && !m_stream.isSecure()) {
        // Bytes that come between two requests stay with the operating system, where isOpenWithoutInput() finds them before the next request is sent.
        m_stream.waitForInput([self = shared_from_this()](const ErrorCode & /*error*/) { self->guarded([&] { self->onInput(); }); });
        return;
    }
    m_stream.readSome(asio::buffer(m_readBuffer),
                      [self = shared_from_this()](const ErrorCode &error, std::size_t size) { self->guarded([&] { self->onRead(error, size); }); });
}

void ClientConnection::onInput()
{
    m_isReading = false;
    if (m_isClosed) {
        return;
    }
    if (!m_isBusy) {
        return closeIdle();
    }
    read(); // An error of the connection shows there.
}

void ClientConnection::closeIdle()
{
    const auto onIdleClosed = std::move(m_onIdleClosed);
    close();
    if (onIdleClosed) {
        onIdleClosed();
    }
}

void ClientConnection::onRead(const ErrorCode &error, std::size_t size)
{
    m_isReading = false;
    if (m_isClosed) {
        return;
    }
    if (!m_isBusy) {
        return closeIdle();
    }
    if (error == asio::error::eof) {
        return onEof();
    }
    if (error) {
        const bool timedOut = error == asio::error::timed_out;
        return fail(timedOut ? AttemptFailure::TimedOut : AttemptFailure::Broken);
    }
    m_unparsed.append(m_readBuffer.data(), size);
    parseInput();
    if (!m_isClosed) {
        read();
    }
}

void ClientConnection::onEof()
{
    m_hasToClose = true;
    m_hasEof = true;
    if (m_isWriting && !m_stream.isSecure()) {
        m_stream.abortWriting(); // The result of the write tells whether the server has ended its stream or reset the connection.
        return;
    }
    endAtEof();
}

void ClientConnection::endAtEof()
{
    const bool isBeforeHead = m_reader->state() == ResponseState::Head;
    m_reader->putEof();
    if (m_reader->state() == ResponseState::Whole && !m_isSkipping && !m_isReset) {
        return finish();
    }
    fail(isBeforeHead || m_isSkipping ? AttemptFailure::Broken : AttemptFailure::Truncated);
}

void ClientConnection::parseInput()
{
    const auto self = shared_from_this(); // A handler may release the last reference to the connection.
    while (m_isBusy && !m_isClosed && !m_unparsed.empty()) {
        const std::size_t used = m_reader->put(m_unparsed);
        m_unparsed.erase(0, used);
        if (m_reader->state() == ResponseState::Broken) {
            return fail(AttemptFailure::Malformed);
        }
        if (m_reader->state() != ResponseState::Head) {
            processResponse();
        }
        if (used == 0) {
            if (m_unparsed.size() > MaxUnparsedBytes) {
                return fail(AttemptFailure::Malformed);
            }
            return;
        }
    }
}

void ClientConnection::processResponse()
{
    if (!m_isSkipping) {
        notify(ResponseEvent::Progress); // The handler may find that the response belongs to an earlier request.
    }
    if (m_isClosed) {
        return;
    }
    if (m_isSkipping) {
        return continueSkipping();
    }
    if (m_reader->state() == ResponseState::Whole) {
        finish();
    }
}

void ClientConnection::continueSkipping()
{
    // No other response can follow on the connection, or it can't be told where the next one begins.
    if (m_reader->isCloseDelimited() || m_hasMixedMethods) {
        return fail(AttemptFailure::Broken);
    }
    if (m_reader->state() == ResponseState::Whole) {
        m_isSkipping = false;
        m_reader.emplace(m_responseBody);
        return;
    }
    static_cast<void>(m_reader->takeBody());
}

void ClientConnection::finish()
{
    // Unsent bytes of this request would be taken for a part of the next one; bytes after the response belong to no request.
    m_hasToClose = m_hasToClose || m_isWriting || !m_unparsed.empty() || !m_reader->head().m_keepAlive;
    m_isBusy = false;
    m_body.reset();
    const Handler handler = std::exchange(m_handler, nullptr);
    handler(ResponseEvent::Whole);
}

void ClientConnection::fail(AttemptFailure failure)
{
    if (m_isClosed) {
        return;
    }
    const auto self = shared_from_this();
    m_failure = failure;
    m_isBusy = false;
    const Handler handler = std::move(m_handler);
    close();
    if (handler) {
        handler(ResponseEvent::Failed);
    }
}

void ClientConnection::notify(ResponseEvent event)
{
    if (m_handler) {
        const Handler handler = m_handler;
        handler(event);
    }
}

void ClientConnection::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_handler = nullptr;
    m_onIdleClosed = nullptr;
    m_connectTimer.cancel();
    m_stream.close();
}

void ClientConnection::skipResponse()
{
    m_hasToClose = true;
    m_isSkipping = true;
}

void ClientConnection::pauseReading(bool paused)
{
    m_isPaused = paused;
    if (!paused) {
        read();
    }
}

Http::ResponseReader &ClientConnection::reader()
{
    return *m_reader;
}

bool ClientConnection::isReusable() const
{
    return m_isConnected && !m_isClosed && !m_hasToClose && !m_isBusy;
}

bool ClientConnection::isOpenWithoutInput()
{
    char byte = 0;
    const ssize_t result = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool ClientConnection::hasSent() const
{
    return m_hasSent;
}

AttemptFailure ClientConnection::failure() const
{
    return m_failure;
}

void ClientConnection::setIdleHandler(std::function<void()> handler)
{
    m_onIdleClosed = std::move(handler);
}

}
