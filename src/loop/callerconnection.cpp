#include <ragwortrelay/core/digest.h>
#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/detail/loop/callerconnection.h>
#include <ragwortrelay/detail/loop/problem.h>
#include <ragwortrelay/http/status.h>
#include <ragwortrelay/http/writer.h>

namespace RagwortRelay::Loop {

namespace {

using Http::ReadState;

/// Time that a caller gets to read the last answer before the connection is closed.
constexpr Duration LingerLimit = std::chrono::seconds(1);

}

CallerConnection::CallerConnection(CallerListener &front, tcp::socket socket)
    : m_listener(front), m_stream(std::move(socket), front.m_tls), m_timer(front.m_context)
{
}

CallerConnection::~CallerConnection() = default;

void CallerConnection::start()
{
    tune(m_stream.socket(), m_listener.m_settings.m_tcpTimeouts);
    startTimer(m_listener.m_settings.m_limits.m_headerTimeout);
    if (!m_stream.isSecure()) {
        return read();
    }
    m_stream.handshake(StreamSide::Server, [self = shared_from_this()](const ErrorCode &error) { error ? self->close() : self->read(); });
}

const CallerRequest &CallerConnection::request() const
{
    return m_request;
}

void CallerConnection::read()
{
    // Bytes behind a request wait in the system once the buffer is full; until then reading shows when the caller leaves.
    if (m_isClosed || m_isReading || (m_phase != Phase::Reading && m_unread.size() >= ReadSize)) {
        return;
    }
    m_isReading = true;
    m_stream.readSome(asio::buffer(m_readBuffer), [self = shared_from_this()](const ErrorCode &error, std::size_t size) { self->onRead(error, size); });
}

void CallerConnection::onRead(const ErrorCode &error, std::size_t size)
{
    m_isReading = false;
    if (m_isClosed) {
        return;
    }
    if (error) {
        return close();
    }
    if (m_phase == Phase::Closing) {
        return read();
    }
    m_unread.append(m_readBuffer.data(), size);
    takeBytes();
    read();
}

void CallerConnection::takeBytes()
{
    if (m_unread.empty() || (m_phase != Phase::Idle && m_phase != Phase::Reading)) {
        return;
    }
    if (m_phase == Phase::Idle) {
        m_phase = Phase::Reading;
        m_sentContinue = false;
        m_reader.emplace(Http::RequestLimits{m_listener.m_settings.m_limits.m_maxHeaderBytes, m_listener.m_settings.m_limits.m_maxBodyBytes});
        startTimer(m_listener.m_settings.m_limits.m_headerTimeout);
    }
    const ReadState before = m_reader->state();
    const std::size_t used = m_reader->put(m_unread);
    m_unread.erase(0, used);
    m_held += used;
    m_listener.m_heldBytes += used;
    if (m_reader->state() == ReadState::Refused) {
        return refuseUnread(m_reader->refusal());
    }
    if (m_listener.m_heldBytes > m_listener.m_settings.m_heldBytesAtMost) {
        return refuseUnread({Http::Status::ServiceUnavailable, ErrorId::RequestOverload, "the host holds too many bodies"});
    }
    if (m_reader->state() == ReadState::Complete) {
        return handOver();
    }
    if (m_reader->state() == ReadState::Body && before == ReadState::Head) {
        startTimer(m_listener.m_settings.m_bodyTimeout);
        sendContinue();
    }
}

void CallerConnection::sendContinue()
{
    if (!m_sentContinue && m_reader->expectsContinue()) {
        m_sentContinue = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void CallerConnection::handOver()
{
    m_timer.cancel();
    const auto facts = Http::readRequestMetadata(m_listener.m_headerScheme, m_reader->head());
    if (!facts) {
        return refuseUnread({400, ErrorId::RequestMalformed, "a header that must be single stands twice"});
    }
    const auto body = std::make_shared<const std::string>(m_reader->takeBody());
    if (Http::leaksKey(*facts, m_reader->head(), *body)) {
        return refuseUnread({400, ErrorId::RequestMalformed, "the request repeats its key where a backend server would see it"});
    }
    m_keeps = m_reader->keepsConnection();
    m_request.m_head = m_reader->head();
    m_request.m_metadata = *facts;
    m_request.m_body = body;
    m_reader.reset();
    m_phase = Phase::Waiting;
    m_isAnswered = false;
    m_exchange = ++m_listener.m_lastExchange;
    m_listener.m_exchanges.emplace(m_exchange, this);
    const std::string sha = facts->m_idempotencyKey.empty() ? std::string() : sha256(*m_request.m_body);
    m_listener.m_handler(Host::RequestArrived{m_exchange, m_request.m_head.m_method, *facts, hashOf(*m_request.m_body), sha, m_request.m_head.m_target});
}

void CallerConnection::refuseUnread(const Http::RequestReadError &refusal)
{
    m_keeps = false;
    m_request = {};
    const Dispatch::Problem problem{refusal.m_status, refusal.m_id, Dispatch::Outcome::NotRun, refusal.m_detail, {}};
    refuse(problem);
    m_listener.m_handler(Host::RequestReadFailed{problem});
}

void CallerConnection::refuse(const Dispatch::Problem &problem)
{
    forgetExchange();
    ++m_listener.m_unwritten;
    m_phase = Phase::Writing;
    startTimer(m_listener.m_settings.m_responseTimeout);
    const std::string body = detail::problemBody(problem);
    Http::ResponseHead head;
    head.m_status = problem.m_status;
    head.m_headers = detail::problemHeaders(m_listener.m_headerScheme, problem);
    m_hasBody = m_request.m_head.m_method != "HEAD";
    writeResponseHead(std::move(head), body.size());
    if (m_hasBody) {
        write(body);
    }
    endAnswer();
}

void CallerConnection::response(const std::shared_ptr<ResponseStream> &stream)
{
    forgetExchange();
    ++m_listener.m_unwritten;
    m_phase = Phase::Writing;
    startTimer(m_listener.m_settings.m_responseTimeout);
    m_response = stream;
    const std::uint16_t status = stream->m_head.m_status;
    m_hasBody = m_request.m_head.m_method != "HEAD" && status != Http::Status::NoContent && status != Http::Status::NotModified;
    const bool isWhole = stream->m_state == BodyState::Whole;
    std::optional<std::size_t> size = stream->m_head.m_contentLength;
    if (isWhole && m_hasBody) {
        size = stream->m_pending.size();
    }
    writeResponseHead(stream->m_head, size);
    stream->m_onDataAvailable = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->takePieces();
        }
    };
    takePieces();
}

void CallerConnection::writeResponseHead(Http::ResponseHead head, const std::optional<std::size_t> &wholeSize)
{
    const bool isOld = m_request.m_head.m_minorVersion == 0;
    m_isChunked = m_hasBody && !wholeSize && !isOld;
    m_keeps = m_keeps && !m_listener.m_sendsAway && (wholeSize || m_isChunked || !m_hasBody);
    const bool tellsSize = wholeSize && head.m_status != Http::Status::NoContent;
    if (tellsSize) {
        head.m_headers.push_back({"Content-Length", std::to_string(*wholeSize)});
    } else if (m_isChunked) {
        head.m_headers.push_back({"Transfer-Encoding", "chunked"});
    }
    if (!m_keeps) {
        head.m_headers.push_back({"Connection", "close"});
    } else if (isOld) {
        head.m_headers.push_back({"Connection", "keep-alive"});
    }
    write(Http::writeHead(head));
}

void CallerConnection::takePieces()
{
    if (m_isClosed || !m_response || m_isAnswered) {
        return;
    }
    const std::shared_ptr<ResponseStream> stream = m_response;
    if (m_isWriting && m_next.size() >= ReadSize) {
        return; // The caller reads slowly; the rest waits in the stream.
    }
    const std::string piece = std::exchange(stream->m_pending, {});
    if (m_hasBody && !piece.empty()) {
        write(m_isChunked ? Http::writeChunk(piece) : piece);
    }
    if (stream->m_state == BodyState::Truncated) {
        return close(); // The missing end shows the caller that the answer isn't whole.
    }
    if (stream->m_state == BodyState::Whole) {
        if (m_isChunked) {
            write(Http::writeChunk({}));
        }
        return endAnswer();
    }
    if (!piece.empty() && stream->m_onTaken) {
        stream->m_onTaken();
    }
}

void CallerConnection::endAnswer()
{
    m_isAnswered = true;
    m_response.reset();
    if (!m_isWriting) {
        onWritten({});
    }
}

void CallerConnection::write(std::string bytes)
{
    if (m_isWriting) {
        m_next += bytes;
        return;
    }
    m_output = std::move(bytes);
    m_isWriting = true;
    // Posted, so that pieces that are written one after the other go out together.
    asio::post(m_listener.m_context, [self = shared_from_this()] {
        self->m_output += std::exchange(self->m_next, {});
        self->m_stream.write({asio::buffer(self->m_output), {}}, [self](const ErrorCode &error, std::size_t /*size*/) { self->onWritten(error); });
    });
}

void CallerConnection::onWritten(const ErrorCode &error)
{
    m_isWriting = false;
    m_output.clear();
    if (m_isClosed) {
        return;
    }
    if (error) {
        return close();
    }
    if (!m_next.empty()) {
        return write(std::exchange(m_next, {}));
    }
    if (m_phase != Phase::Writing) {
        return;
    }
    if (!m_isAnswered) {
        return takePieces();
    }
    --m_listener.m_unwritten;
    m_request = {};
    releaseHeld();
    if (!m_keeps) {
        return finishClosing();
    }
    m_phase = Phase::Idle;
    startTimer(m_listener.m_settings.m_limits.m_idleTimeout);
    takeBytes();
    read();
}

void CallerConnection::finishClosing()
{
    // Closing while the caller still sends would reset the connection, and the answer could be lost with it.
    m_phase = Phase::Closing;
    m_stream.endWriting();
    m_unread.clear();
    startTimer(LingerLimit);
    read();
}

void CallerConnection::closeIfIdle()
{
    if (m_phase == Phase::Idle && m_unread.empty()) {
        close();
    }
}

void CallerConnection::close()
{
    if (m_isClosed) {
        return;
    }
    const auto self = shared_from_this();
    m_isClosed = true;
    m_timer.cancel();
    if (m_phase == Phase::Writing) {
        --m_listener.m_unwritten;
    }
    releaseHeld();
    const std::shared_ptr<ResponseStream> stream = std::move(m_response);
    if (stream) {
        stream->m_onDataAvailable = nullptr;
        if (stream->m_state == BodyState::Open && stream->m_onAbandoned) {
            stream->m_onAbandoned();
        }
    }
    m_stream.close();
    m_listener.m_connections.erase(this);
    if (m_phase == Phase::Waiting) {
        const Host::ExchangeId exchange = m_exchange;
        forgetExchange();
        m_listener.m_handler(Host::CallerDisconnected{exchange});
    }
}

void CallerConnection::startTimer(Duration limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->onTimeout();
        }
    });
}

void CallerConnection::onTimeout()
{
    if (m_isClosed || m_timer.expiry() > asio::steady_timer::clock_type::now()) {
        return;
    }
    if (m_phase == Phase::Reading) {
        return refuseUnread({Http::Status::RequestTimeout, ErrorId::RequestMalformed, "the request did not come in time"});
    }
    close();
}

void CallerConnection::releaseHeld()
{
    m_listener.m_heldBytes -= std::exchange(m_held, 0);
}

void CallerConnection::forgetExchange()
{
    m_listener.m_exchanges.erase(std::exchange(m_exchange, 0));
}

}
