#include <ragwortrelay/core/digest.h>
#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/detail/loop/callerconnection.h>
#include <ragwortrelay/detail/loop/guard.h>
#include <ragwortrelay/detail/loop/problem.h>
#include <ragwortrelay/http/status.h>
#include <ragwortrelay/http/writer.h>
#include <ragwortrelay/loop/clock.h>

namespace RagwortRelay::Loop {

namespace {

using Http::ReadState;

/// Maximum time between the end of the last response and the close of the connection, in which the caller can read that response.
constexpr Duration LingerTimeout = std::chrono::seconds(1);

}

CallerConnection::CallerConnection(CallerListener &listener, tcp::socket socket)
    : m_listener(listener), m_stream(std::move(socket), listener.m_tls), m_timer(listener.m_context)
{
}

CallerConnection::~CallerConnection() = default;

template<typename Task> void CallerConnection::guarded(Task &&task)
{
    const auto self = shared_from_this();
    detail::runGuarded(
        [&] {
            std::forward<Task>(task)();
            updateHeld();
        },
        [&] { close(); });
}

void CallerConnection::start()
{
    ErrorCode ignored;
    m_address = m_stream.socket().remote_endpoint(ignored).address().to_string();
    m_budgetId = m_listener.m_settings.m_budget->add(&m_listener, m_address, currentTime(), [this](ReleaseReason reason) { release(reason); });
    guarded([this] { startReading(); });
}

void CallerConnection::startReading()
{
    tune(m_stream.socket(), m_listener.m_settings.m_tcpTimeouts);
    startTimer(m_listener.m_settings.m_limits.m_headerTimeout);
    if (!m_stream.isSecure()) {
        return read();
    }
    m_stream.handshake(StreamSide::Server,
                       [self = shared_from_this()](const ErrorCode &error) { self->guarded([&] { error ? self->close() : self->read(); }); });
}

const CallerRequest &CallerConnection::request() const
{
    return m_request;
}

void CallerConnection::read()
{
    // Reading goes on during a request to detect that the caller disconnects. Once the buffer is full, further bytes stay in the kernel.
    if (m_isClosed || m_isReading || (m_phase != Phase::Reading && m_input.bytes().size() >= ReadBufferSize)) {
        return;
    }
    m_isReading = true;
    m_stream.readSome(asio::buffer(m_readBuffer),
                      [self = shared_from_this()](const ErrorCode &error, std::size_t size) { self->guarded([&] { self->onRead(error, size); }); });
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
    m_input.append({m_readBuffer.data(), size}, currentTime());
    parseInput();
    read();
}

void CallerConnection::parseInput()
{
    if (m_input.bytes().empty() || (m_phase != Phase::Idle && m_phase != Phase::Reading)) {
        return;
    }
    if (m_phase == Phase::Idle) {
        m_phase = Phase::Reading;
        m_hasSentContinue = false;
        markProgress();
        m_reader.emplace(Http::RequestLimits{
            m_listener.m_settings.m_limits.m_maxHeaderBytes, m_listener.m_settings.m_limits.m_maxBodyBytes, m_listener.m_settings.m_maxHeaderFields});
        startTimer(m_listener.m_settings.m_limits.m_headerTimeout);
    }
    const ReadState previousState = m_reader->state();
    const std::size_t consumed = m_reader->put(m_input.bytes());
    m_input.consume(consumed);
    if (m_reader->state() == ReadState::Refused) {
        const Http::RequestReadError refusal = m_reader->refusal();
        return rejectUnreadRequest(refusal);
    }
    if (m_input.bytes().size() > m_listener.m_settings.m_limits.m_maxHeaderBytes + ReadBufferSize && m_reader->state() != ReadState::Complete) {
        return rejectUnreadRequest({Http::Status::BadRequest, ErrorId::RequestMalformed, "the request has a chunk line or a trailer that is too long"});
    }
    if (m_reader->state() == ReadState::Complete) {
        return dispatchRequest();
    }
    if (m_reader->state() == ReadState::Body && previousState == ReadState::Head) {
        startTimer(m_listener.m_settings.m_bodyTimeout);
        sendContinue();
    }
}

void CallerConnection::sendContinue()
{
    if (!m_hasSentContinue && m_reader->expectsContinue()) {
        m_hasSentContinue = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void CallerConnection::dispatchRequest()
{
    m_timer.cancel();
    const auto metadata = Http::readRequestMetadata(m_listener.m_headerScheme, m_reader->head());
    if (!metadata) {
        return rejectUnreadRequest({400, ErrorId::RequestMalformed, "a header that must be single stands twice"});
    }
    const auto heldBody = std::make_shared<HeldBody>(m_reader->takeBody(), m_listener.m_settings.m_budget, m_address, currentTime());
    const auto body = HeldBody::bytesOf(heldBody);
    if (Http::leaksKey(*metadata, m_reader->head(), *body)) {
        return rejectUnreadRequest({400, ErrorId::RequestMalformed, "the request repeats its key where a backend server would see it"});
    }
    m_keepsAlive = m_reader->keepsConnection();
    m_request.m_head = m_reader->head();
    m_request.m_metadata = *metadata;
    m_request.m_body = body;
    m_request.m_heldBody = heldBody;
    m_headBytes = Http::memorySizeOf(m_request.m_head);
    m_reader.reset();
    m_phase = Phase::Waiting;
    markProgress();
    m_isResponseComplete = false;
    m_exchange = ++m_listener.m_lastExchange;
    m_listener.m_exchanges.emplace(m_exchange, this);
    const std::string sha = metadata->m_idempotencyKey.empty() ? std::string() : sha256(*m_request.m_body);
    const Duration waitedFor = currentTime() - m_input.consumedReceivedAt();
    m_listener.m_handler(Host::RequestArrived{
        m_exchange, m_request.m_head.m_method, *metadata, hashOf(*m_request.m_body), sha, m_request.m_head.m_target, waitedFor, m_request.m_body->size()});
}

void CallerConnection::rejectUnreadRequest(const Http::RequestReadError &refusal)
{
    m_keepsAlive = false;
    m_request = {};
    m_reader.reset();
    const Dispatch::Problem problem{refusal.m_status, refusal.m_id, Dispatch::Outcome::NotRun, refusal.m_detail, {}};
    writeRefusal(problem);
    m_listener.m_handler(Host::RequestReadFailed{problem});
}

void CallerConnection::refuse(const Dispatch::Problem &problem)
{
    guarded([&] { writeRefusal(problem); });
}

void CallerConnection::writeRefusal(const Dispatch::Problem &problem)
{
    removeExchange();
    ++m_listener.m_unfinishedResponses;
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
    finishResponse();
}

void CallerConnection::response(const std::shared_ptr<ResponseStream> &stream)
{
    guarded([&] { writeResponse(stream); });
}

void CallerConnection::writeResponse(const std::shared_ptr<ResponseStream> &stream)
{
    removeExchange();
    ++m_listener.m_unfinishedResponses;
    m_phase = Phase::Writing;
    startTimer(m_listener.m_settings.m_responseTimeout);
    m_response = stream;
    const std::uint16_t status = stream->m_head.m_status;
    m_hasBody = m_request.m_head.m_method != "HEAD" && status != Http::Status::NoContent && status != Http::Status::NotModified;
    const bool isComplete = stream->m_state == BodyState::Whole;
    std::optional<std::size_t> size = stream->m_head.m_contentLength;
    if (isComplete && m_hasBody) {
        size = stream->m_pending.size();
    }
    writeResponseHead(stream->m_head, size);
    stream->m_onDataAvailable = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->guarded([&] { self->forwardBody(); });
        }
    };
    forwardBody();
}

void CallerConnection::writeResponseHead(Http::ResponseHead head, const std::optional<std::size_t> &contentLength)
{
    const bool isHttp10 = m_request.m_head.m_minorVersion == 0;
    m_isChunked = m_hasBody && !contentLength && !isHttp10;
    if (m_hasBody && !contentLength && isHttp10) {
        m_stream.setResetsOnClose(true); // Until it is complete: the end of the connection is all that tells the caller so.
    }
    m_keepsAlive = m_keepsAlive && !m_listener.m_isDraining && (contentLength || m_isChunked || !m_hasBody);
    const bool hasContentLength = contentLength && head.m_status != Http::Status::NoContent;
    if (hasContentLength) {
        head.m_headers.push_back({"Content-Length", std::to_string(*contentLength)});
    } else if (m_isChunked) {
        head.m_headers.push_back({"Transfer-Encoding", "chunked"});
    }
    if (!m_keepsAlive) {
        head.m_headers.push_back({"Connection", "close"});
    } else if (isHttp10) {
        head.m_headers.push_back({"Connection", "keep-alive"});
    }
    write(Http::writeHead(head));
}

void CallerConnection::forwardBody()
{
    if (m_isClosed || !m_response || m_isResponseComplete) {
        return;
    }
    const std::shared_ptr<ResponseStream> stream = m_response;
    if (m_isWriting && m_nextOutput.size() >= ReadBufferSize) {
        return; // The caller reads slowly; the rest stays in the stream.
    }
    const std::string part = std::exchange(stream->m_pending, {});
    if (m_hasBody && !part.empty()) {
        write(m_isChunked ? Http::writeChunk(part) : part);
    }
    if (stream->m_state == BodyState::Truncated) {
        return close(); // The missing end shows the caller that the response is incomplete.
    }
    if (stream->m_state == BodyState::Whole) {
        if (m_isChunked) {
            write(Http::writeChunk({}));
        }
        return finishResponse();
    }
    if (!part.empty() && stream->m_onTaken) {
        stream->m_onTaken();
    }
}

void CallerConnection::finishResponse()
{
    m_isResponseComplete = true;
    m_response.reset();
    if (!m_isWriting) {
        onWritten({});
    }
}

void CallerConnection::write(std::string bytes)
{
    if (m_isWriting) {
        m_nextOutput += bytes;
        return;
    }
    m_output = std::move(bytes);
    m_isWriting = true;
    // The write is posted, so that consecutive parts are sent together.
    asio::post(m_listener.m_context, [self = shared_from_this()] { self->guarded([&] { self->startWrite(); }); });
}

void CallerConnection::startWrite()
{
    if (m_isClosed) {
        return;
    }
    m_output += std::exchange(m_nextOutput, {});
    m_stream.write({asio::buffer(m_output), {}},
                   [self = shared_from_this()](const ErrorCode &error, std::size_t /*size*/) { self->guarded([&] { self->onWritten(error); }); });
}

void CallerConnection::onWritten(const ErrorCode &error)
{
    m_isWriting = false;
    m_output = {};
    if (m_isClosed) {
        return;
    }
    if (error) {
        return close();
    }
    markProgress();
    if (!m_nextOutput.empty()) {
        return write(std::exchange(m_nextOutput, {}));
    }
    if (m_phase != Phase::Writing) {
        return;
    }
    if (!m_isResponseComplete) {
        return forwardBody();
    }
    --m_listener.m_unfinishedResponses;
    dropRequest();
    if (!m_keepsAlive) {
        return startLingeringClose();
    }
    m_phase = Phase::Idle;
    startTimer(m_listener.m_settings.m_limits.m_idleTimeout);
    parseInput();
    read();
}

void CallerConnection::startLingeringClose()
{
    // Closing while the caller still sends would reset the connection, which could discard the response before the caller reads it.
    m_phase = Phase::Closing;
    m_stream.setResetsOnClose(false);
    m_stream.endWriting([self = shared_from_this()] {}); // A TLS shutdown uses the stream until it ends.
    m_input.clear();
    startTimer(LingerTimeout);
    read();
}

void CallerConnection::closeIfIdle()
{
    if (m_phase == Phase::Idle && m_input.bytes().empty()) {
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
        --m_listener.m_unfinishedResponses;
    }
    m_listener.m_settings.m_budget->remove(m_budgetId);
    m_reader.reset();
    m_input.clear();
    const std::shared_ptr<ResponseStream> stream = std::move(m_response);
    if (stream) {
        stream->m_onDataAvailable = nullptr;
        if (stream->m_state == BodyState::Open && stream->m_onAbandoned) {
            stream->m_onAbandoned();
        }
    }
    m_stream.close();
    m_listener.m_connections.erase(this); // `self` keeps the connection to the end of this function.
    if (m_phase == Phase::Waiting) {
        const Host::ExchangeId exchange = m_exchange;
        removeExchange();
        m_listener.m_handler(Host::CallerDisconnected{exchange});
    }
    dropRequest();
}

void CallerConnection::startTimer(Duration timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->guarded([&] { self->onTimeout(); });
        }
    });
}

void CallerConnection::onTimeout()
{
    if (m_isClosed || m_timer.expiry() > asio::steady_timer::clock_type::now()) {
        return;
    }
    if (m_phase == Phase::Reading) {
        return rejectUnreadRequest({Http::Status::RequestTimeout, ErrorId::RequestMalformed, "the request did not come in time"});
    }
    close();
}

void CallerConnection::updateHeld()
{
    if (m_isClosed) {
        return;
    }
    CallerBudget &budget = *m_listener.m_settings.m_budget;
    budget.setHeld(m_budgetId, heldBytes());
    budget.enforce(currentTime());
}

std::uint64_t CallerConnection::heldBytes() const
{
    constexpr std::uint64_t OverheadBytes = 2048; // Socket, timer, queued operations and entries in maps.
    std::uint64_t bytes = sizeof(CallerConnection) + OverheadBytes + m_input.memorySize() + m_headBytes;
    bytes += m_output.capacity() + m_nextOutput.capacity();
    bytes += m_reader ? m_reader->memorySize() : 0;
    bytes += m_request.m_body ? m_request.m_body->capacity() : 0;
    bytes += m_response ? m_response->m_pending.capacity() : 0;
    return bytes;
}

void CallerConnection::markProgress()
{
    m_listener.m_settings.m_budget->setProgress(m_budgetId, currentTime());
}

void CallerConnection::release(ReleaseReason reason)
{
    if (m_phase != Phase::Reading || reason == ReleaseReason::Connections) {
        return close();
    }
    guarded([this] {
        m_input.clear();
        rejectUnreadRequest({Http::Status::ServiceUnavailable, ErrorId::RequestOverload, "the host holds too much for its callers"});
    });
}

void CallerConnection::dropRequest()
{
    std::shared_ptr<HeldBody> body = std::move(m_request.m_heldBody);
    m_request = {};
    m_headBytes = 0;
    HeldBody::letGo(std::move(body));
}

void CallerConnection::removeExchange()
{
    m_listener.m_exchanges.erase(std::exchange(m_exchange, 0));
}

}
