#include <ragwortrelay/http/writer.h>
#include <ragwortrelay/loop/backendpool.h>
#include <ragwortrelay/loop/clock.h>

#include <algorithm>
#include <charconv>

namespace RagwortRelay::Loop {

namespace {

/// Returns the idle timeout that a server announces in its `Keep-Alive` header, or nothing.
std::optional<Duration> announcedIdleTimeout(const Http::Headers &headers)
{
    constexpr std::string_view Name = "timeout=";
    const auto value = Http::findHeader(headers, "Keep-Alive");
    const std::size_t start = value ? value->find(Name) : std::string_view::npos;
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *digits = value->data() + start + Name.size();
    const auto [end, code] = std::from_chars(digits, value->data() + value->size(), seconds);
    return code == std::errc() ? std::optional<Duration>(std::chrono::seconds(seconds)) : std::nullopt;
}

Dispatch::StoredResponse toStoredResponse(const ResponseStream &stream)
{
    Dispatch::StoredResponse stored;
    stored.m_status = stream.m_head.m_status;
    for (const Http::Header &header : stream.m_head.m_headers) {
        stored.m_headers.push_back({header.m_name, header.m_value});
    }
    stored.m_body = stream.m_pending;
    return stored;
}

}

BackendPool::BackendPool(asio::io_context &context, const BackendSettings &settings, const Http::HeaderScheme &headerScheme, EventHandler handler)
    : m_context(context), m_settings(settings), m_headerScheme(headerScheme), m_handler(std::move(handler))
{
    if (!m_settings.m_authority.empty()) {
        m_tls = makeClientContext(m_settings.m_authority);
    }
}

BackendPool::~BackendPool()
{
    for (const auto &[id, attempt] : m_attempts) {
        attempt.m_stream->m_onTaken = nullptr;
        attempt.m_stream->m_onAbandoned = nullptr; // The caller's connection may outlive the pool.
        attempt.m_connection->close();
    }
    for (const auto &[server, connections] : m_idle) {
        for (const IdleConnection &idle : connections) {
            idle.m_connection->close();
        }
    }
}

void BackendPool::start(const Host::StartAttempt &action, const CallerRequest &request)
{
    const TimePoint now = currentTime();
    const std::string hostAttempt = std::to_string(action.m_attempt);
    const Http::BackendHeaderValues headerValues{action.m_workspace.text(), action.m_server.text(), action.m_timeLeft, hostAttempt};
    const std::size_t bodySize = request.m_body ? request.m_body->size() : 0;
    std::string head = Http::writeHead(Http::forwardedRequestHead(m_headerScheme, request.m_head, request.m_metadata.m_key, headerValues, bodySize));
    Attempt attempt;
    attempt.m_server = action.m_server;
    attempt.m_attemptId = request.m_metadata.m_attemptId;
    attempt.m_hasIdempotencyKey = !request.m_metadata.m_idempotencyKey.empty();
    attempt.m_stream = std::make_shared<ResponseStream>();
    attempt.m_connection = takeIdleConnection(action.m_server, action.m_use, now);
    attempt.m_deadline = now + action.m_timeLeft;
    const bool isNew = attempt.m_connection == nullptr;
    if (isNew) {
        attempt.m_connection = std::make_shared<ClientConnection>(m_context, m_tls, m_settings.m_tcpTimeouts);
        ++m_opened;
    }
    const std::shared_ptr<ClientConnection> connection = attempt.m_connection;
    const Host::AttemptId id = action.m_attempt;
    m_attempts.emplace(id, std::move(attempt));
    if (request.m_heldBody) {
        request.m_heldBody->addRelease([this, id] { freeBody(id); });
    }
    const auto body = request.m_head.m_method == "HEAD" ? Http::ResponseBody::None : Http::ResponseBody::Expected;
    connection->send(std::move(head), request.m_body, body, [this, id](ResponseEvent event) { onResponse(id, event); });
    if (isNew) {
        connection->connect(endpointOf<tcp>(action.m_address), std::min(m_settings.m_connectTimeout, std::max(action.m_timeLeft, Duration(1000))));
    }
}

void BackendPool::cancel(const Host::CancelAttempt &action)
{
    m_responses.erase(action.m_attempt);
    const auto found = m_attempts.find(action.m_attempt);
    if (found == m_attempts.end()) {
        return;
    }
    if (action.m_letsServerFinish) {
        found->second.m_isWanted = false;
        return;
    }
    found->second.m_connection->close();
    m_attempts.erase(found);
}

std::shared_ptr<ResponseStream> BackendPool::responseOf(Host::AttemptId attempt)
{
    const auto whole = m_responses.find(attempt);
    if (whole != m_responses.end()) {
        std::shared_ptr<ResponseStream> stream = std::move(whole->second);
        m_responses.erase(whole);
        return stream;
    }
    const auto running = m_attempts.find(attempt);
    if (running == m_attempts.end()) {
        return nullptr;
    }
    const std::shared_ptr<ClientConnection> connection = running->second.m_connection;
    running->second.m_stream->m_onTaken = [connection] { connection->pauseReading(false); };
    running->second.m_stream->m_onAbandoned = [this, attempt] { abandon(attempt); };
    return running->second.m_stream;
}

void BackendPool::abandon(Host::AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end()) {
        found->second.m_connection->close();
        m_attempts.erase(found);
        m_handler(Host::AttemptEnded{attempt, false, true});
    }
}

void BackendPool::freeBody(Host::AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const std::shared_ptr<ClientConnection> connection = found->second.m_connection;
    connection->close();
    m_attempts.erase(found);
    m_handler(Host::AttemptFailed{attempt, Dispatch::AttemptFailure::Cancelled, connection->hasSent()});
}

void BackendPool::dropConnections(const ServerId &server)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end()) {
        return;
    }
    const std::vector<IdleConnection> connections = std::move(found->second);
    m_idle.erase(found);
    for (const IdleConnection &idle : connections) {
        idle.m_connection->close();
    }
}

std::uint64_t BackendPool::opened() const
{
    return m_opened;
}

std::shared_ptr<ClientConnection> BackendPool::takeIdleConnection(const ServerId &server, Host::ConnectionUse use, TimePoint now)
{
    const auto found = m_idle.find(server);
    while (found != m_idle.end() && !found->second.empty()) {
        const IdleConnection idle = found->second.back(); // The most recently used connection.
        const bool isUsable = now < idle.m_usableUntil && idle.m_connection->isReusable() && idle.m_connection->isOpenWithoutInput();
        if (isUsable && use == Host::ConnectionUse::RecentlyUsed && now - idle.m_idleSince >= m_settings.m_recentUseLimit) {
            return nullptr; // Earlier elements were idle for longer; they stay usable for other requests.
        }
        found->second.pop_back();
        if (isUsable) {
            idle.m_connection->setIdleHandler(nullptr);
            return idle.m_connection;
        }
        idle.m_connection->close();
    }
    return nullptr;
}

void BackendPool::onResponse(Host::AttemptId id, ResponseEvent event)
{
    switch (event) {
    case ResponseEvent::Progress: {
        const auto found = m_attempts.find(id);
        if (found != m_attempts.end()) {
            onProgress(id, found->second);
        }
        return;
    }
    case ResponseEvent::Whole:
        return onResponseComplete(id);
    case ResponseEvent::Failed:
        return onResponseFailed(id);
    }
}

bool BackendPool::belongsToOtherAttempt(Host::AttemptId id, const Attempt &attempt)
{
    const Http::ResponseMetadata &metadata = attempt.m_metadata;
    const bool namesOtherOfCaller = !metadata.m_attemptId.empty() && metadata.m_attemptId != attempt.m_attemptId;
    const bool namesOtherOfHost = !metadata.m_hostAttempt.empty() && metadata.m_hostAttempt != std::to_string(id);
    return namesOtherOfCaller || namesOtherOfHost;
}

bool BackendPool::processHead(Host::AttemptId id, Attempt &attempt)
{
    const Http::ResponseHead &head = attempt.m_connection->reader().head();
    attempt.m_metadata = Http::readResponseMetadata(m_headerScheme, head);
    if (belongsToOtherAttempt(id, attempt)) {
        attempt.m_connection->skipResponse();
        m_handler(Host::ResponseSkipped{id, head.m_status, attempt.m_metadata.m_attemptId, attempt.m_metadata.m_hostAttempt});
        return false;
    }
    if (attempt.m_metadata.m_attemptId != attempt.m_attemptId) { // Without an id, it may belong to any request or to none.
        attempt.m_connection->close();
        m_attempts.erase(id);
        m_handler(Host::AttemptFailed{id, Dispatch::AttemptFailure::Malformed, true});
        return false;
    }
    attempt.m_hasHead = true;
    attempt.m_stream->m_head = head;
    attempt.m_stream->m_head.m_headers = Http::headersForCaller(m_headerScheme, head);
    const auto connection = Http::findHeader(head.m_headers, "Connection");
    if (connection && Http::sameName(*connection, "close")) {
        m_handler(Host::ServerClosing{attempt.m_server});
    }
    return m_attempts.contains(id);
}

void BackendPool::onProgress(Host::AttemptId id, Attempt &attempt)
{
    if (!attempt.m_hasHead && !processHead(id, attempt)) {
        return;
    }
    ResponseStream &stream = *attempt.m_stream;
    stream.m_pending += attempt.m_connection->reader().takeBody();
    if (!attempt.m_isWanted) {
        stream.m_pending.clear();
        return;
    }
    const bool isWhole = attempt.m_connection->reader().state() == Http::ResponseState::Whole;
    if (isWhole || (!attempt.m_isReported && stream.m_pending.size() < m_settings.m_maxBufferedBytes)) {
        return;
    }
    if (stream.m_pending.size() >= m_settings.m_maxBufferedBytes) {
        attempt.m_connection->pauseReading(true);
    }
    if (!attempt.m_isReported) {
        attempt.m_isReported = true;
        limitDuration(id, attempt);
        return reportResponse(id, attempt, false);
    }
    if (stream.m_onDataAvailable) {
        stream.m_onDataAvailable();
    }
}

void BackendPool::limitDuration(Host::AttemptId id, Attempt &attempt)
{
    if (attempt.m_stream->m_head.m_contentLength) {
        return;
    }
    attempt.m_deadlineTimer = std::make_shared<asio::steady_timer>(m_context, std::max(Duration(0), attempt.m_deadline - currentTime()));
    attempt.m_deadlineTimer->async_wait([this, id](const ErrorCode &error) {
        const auto found = m_attempts.find(id);
        if (!error && found != m_attempts.end()) {
            found->second.m_connection->close();
            onResponseFailed(id);
        }
    });
}

void BackendPool::onResponseComplete(Host::AttemptId id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    attempt.m_stream->m_state = BodyState::Whole;
    releaseConnection(attempt);
    if (attempt.m_isReported) {
        if (attempt.m_stream->m_onDataAvailable) {
            attempt.m_stream->m_onDataAvailable();
        }
        return m_handler(Host::AttemptEnded{id, true});
    }
    if (attempt.m_isWanted) {
        m_responses.emplace(id, attempt.m_stream);
    }
    reportResponse(id, attempt, true);
}

void BackendPool::onResponseFailed(Host::AttemptId id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    attempt.m_stream->m_state = BodyState::Truncated;
    if (attempt.m_isReported) {
        if (attempt.m_stream->m_onDataAvailable) {
            attempt.m_stream->m_onDataAvailable();
        }
        return m_handler(Host::AttemptEnded{id, false});
    }
    m_handler(Host::AttemptFailed{id, attempt.m_connection->failure(), attempt.m_connection->hasSent()});
}

void BackendPool::reportResponse(Host::AttemptId id, const Attempt &attempt, bool isWhole)
{
    const ResponseStream &stream = *attempt.m_stream;
    std::optional<Dispatch::StoredResponse> stored;
    if (isWhole && attempt.m_hasIdempotencyKey && stream.m_pending.size() <= Dispatch::MaxStoredResponseBytes) {
        stored = toStoredResponse(stream);
    }
    m_handler(Host::AttemptResponded{id, stream.m_head.m_status, attempt.m_metadata, isWhole, std::move(stored)});
}

void BackendPool::releaseConnection(const Attempt &attempt)
{
    const ServerId &server = attempt.m_server;
    const std::shared_ptr<ClientConnection> &connection = attempt.m_connection;
    // A server may repeat a refusal; without an attempt id, it would pass for the response to the next request.
    const bool mayBeRepeated = attempt.m_metadata.m_notRun && attempt.m_attemptId.empty();
    if (mayBeRepeated || !connection->isReusable()) {
        connection->close();
        return;
    }
    const auto announced = announcedIdleTimeout(connection->reader().head().m_headers);
    const Duration maxIdleTime = announced ? *announced - m_settings.m_idleTimeoutMargin : m_settings.m_defaultIdleTimeout;
    const TimePoint now = currentTime();
    const ClientConnection *key = connection.get();
    connection->setIdleHandler(
        [this, server, key] { std::erase_if(m_idle[server], [key](const IdleConnection &idle) { return idle.m_connection.get() == key; }); });
    m_idle[server].push_back({connection, now, now + maxIdleTime});
    enforceIdleLimit();
}

void BackendPool::enforceIdleLimit()
{
    std::size_t count = 0;
    std::vector<IdleConnection> *oldest = nullptr;
    for (auto &[server, connections] : m_idle) {
        count += connections.size();
        const bool isOlder = !connections.empty() && (oldest == nullptr || connections.front().m_idleSince < oldest->front().m_idleSince);
        oldest = isOlder ? &connections : oldest;
    }
    if (count > m_settings.m_maxIdleConnections) {
        oldest->front().m_connection->close();
        oldest->erase(oldest->begin());
    }
}

}
