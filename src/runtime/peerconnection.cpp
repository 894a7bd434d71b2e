#include <ragwortrelay/detail/runtime/peerconnection.h>
#include <ragwortrelay/wire/peercodec.h>

#include <openssl/err.h>

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace RagwortRelay::Runtime::detail {

namespace {

constexpr std::uint32_t MostIncomingStreams = 16;
constexpr std::int32_t ConnectionWindow = 4 << 20; // bytes
constexpr std::size_t MostOutput = 256U << 10U; // bytes that wait for the socket
constexpr std::size_t ReadSize = 16U << 10U; // bytes
constexpr const char *BatchPath = "/ragwortrelay/peer";

nghttp2_nv header(const char *name, const char *value)
{
    auto *nameBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name));
    auto *valueBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value));
    return {nameBytes, valueBytes, std::char_traits<char>::length(name), std::char_traits<char>::length(value), NGHTTP2_NV_FLAG_NONE};
}

bool isTemporary(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}

PeerConnection::PeerConnection(int descriptor, ConnectionSide side, SSL_CTX *tls, const Callbacks &callbacks, const PeerTimeouts &timeouts, TimePoint now)
    : m_descriptor(descriptor)
    , m_side(side)
    , m_callbacks(callbacks)
    , m_timeouts(timeouts)
    , m_isConnecting(side == ConnectionSide::Client)
    , m_heardAt(now)
    , m_pingedAt(now)
{
    if (tls != nullptr) {
        m_ssl = SSL_new(tls);
        SSL_set_bio(m_ssl, BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
        side == ConnectionSide::Server ? SSL_set_accept_state(m_ssl) : SSL_set_connect_state(m_ssl);
    }
}

PeerConnection::~PeerConnection()
{
    nghttp2_session_del(m_session);
    SSL_free(m_ssl);
    close(m_descriptor);
}

bool PeerConnection::startSession()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    const bool isServer = m_side == ConnectionSide::Server;
    isServer ? nghttp2_session_server_new(&m_session, callbacks, this) : nghttp2_session_client_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    const std::array<nghttp2_settings_entry, 3> entries{{{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, isServer ? MostIncomingStreams : 0},
                                                         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(Wire::LargestBatch)},
                                                         {NGHTTP2_SETTINGS_ENABLE_PUSH, 0}}};
    // A server must not send ENABLE_PUSH.
    const std::size_t count = isServer ? entries.size() - 1 : entries.size();
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries.data(), count);
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, ConnectionWindow);
    return flush();
}

bool PeerConnection::onReadable(TimePoint now)
{
    std::array<std::uint8_t, ReadSize> buffer{};
    for (;;) {
        const ssize_t size = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (size < 0 && isTemporary(errno)) {
            return flush();
        }
        if (size <= 0) {
            return false;
        }
        m_heardAt = now;
        if (m_ssl != nullptr) {
            BIO_write(SSL_get_rbio(m_ssl), buffer.data(), static_cast<int>(size));
        }
        const bool isGood = m_ssl != nullptr ? readTls() : feed(buffer.data(), static_cast<std::size_t>(size));
        if (!isGood) {
            static_cast<void>(flush()); // Tells the other side why.
            return false;
        }
    }
}

bool PeerConnection::readTls()
{
    ERR_clear_error(); // SSL_get_error() looks at the queue of errors of the whole thread.
    if (m_session == nullptr) {
        const int result = SSL_do_handshake(m_ssl);
        if (result != 1) {
            const bool needsMore = SSL_get_error(m_ssl, result) == SSL_ERROR_WANT_READ;
            if (!needsMore) {
                m_callbacks.m_onDropped("handshake");
            }
            return needsMore && flush();
        }
        if (!startSession()) {
            return false;
        }
    }
    std::array<std::uint8_t, ReadSize> buffer{};
    for (;;) {
        const int size = SSL_read(m_ssl, buffer.data(), static_cast<int>(buffer.size()));
        if (size <= 0) {
            return SSL_get_error(m_ssl, size) == SSL_ERROR_WANT_READ;
        }
        if (!feed(buffer.data(), static_cast<std::size_t>(size))) {
            return false;
        }
    }
}

bool PeerConnection::feed(const std::uint8_t *data, std::size_t size)
{
    if (m_session == nullptr && !startSession()) {
        return false;
    }
    const ssize_t taken = nghttp2_session_mem_recv(m_session, data, size);
    if (taken < 0) {
        m_callbacks.m_onDropped("protocol");
        return false;
    }
    return true;
}

bool PeerConnection::onWritable()
{
    if (m_isConnecting) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            return false;
        }
        m_isConnecting = false;
        if (m_ssl == nullptr) {
            return startSession();
        }
        SSL_do_handshake(m_ssl);
    }
    return flush();
}

bool PeerConnection::onTimer(TimePoint now)
{
    const Duration silence = now - m_heardAt;
    if (silence >= m_timeouts.m_idle) {
        m_callbacks.m_onDropped("silent");
        return false;
    }
    const bool isPingDue = m_side == ConnectionSide::Client && m_gotSettings && silence >= m_timeouts.m_ping && now - m_pingedAt >= m_timeouts.m_ping;
    if (!isPingDue) {
        return true;
    }
    m_pingedAt = now;
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    return flush();
}

bool PeerConnection::submit(std::string batch)
{
    const std::array<nghttp2_nv, 4> headers{header(":method", "POST"), header(":scheme", "https"), header(":path", BatchPath), header(":authority", "peer")};
    nghttp2_data_provider provider{};
    provider.read_callback = readOutgoing;
    const std::int32_t stream = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream < 0) {
        return false; // The numbers of streams are used up: a new connection starts over.
    }
    m_outgoing.emplace(stream, Outgoing{std::move(batch), 0});
    return true;
}

bool PeerConnection::flush()
{
    for (;;) {
        if (!collectOutput()) {
            return false;
        }
        if (m_output.empty()) {
            break;
        }
        if (!writeSocket()) {
            return false;
        }
        if (!m_output.empty()) {
            return true; // The socket is full.
        }
    }
    const bool isOver = m_session != nullptr && nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0;
    return !isOver;
}

bool PeerConnection::collectOutput()
{
    while (m_session != nullptr && m_output.size() < MostOutput) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session, &data);
        if (size < 0) {
            return false;
        }
        if (size == 0) {
            break;
        }
        if (m_ssl == nullptr) {
            m_output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
        } else if (SSL_write(m_ssl, data, static_cast<int>(size)) != size) {
            return false;
        }
    }
    if (m_ssl != nullptr) {
        std::array<char, ReadSize> buffer{};
        int size = 0;
        while ((size = BIO_read(SSL_get_wbio(m_ssl), buffer.data(), static_cast<int>(buffer.size()))) > 0) {
            m_output.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
    return true;
}

bool PeerConnection::writeSocket()
{
    std::size_t written = 0;
    while (!m_isConnecting && written < m_output.size()) {
        const ssize_t size = send(m_descriptor, m_output.data() + written, m_output.size() - written, MSG_NOSIGNAL);
        if (size < 0 && !isTemporary(errno)) {
            return false;
        }
        if (size < 0) {
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    m_output.erase(0, written);
    return true;
}

ssize_t PeerConnection::readOutgoing(nghttp2_session * /*session*/,
                                     std::int32_t stream,
                                     std::uint8_t *buffer,
                                     std::size_t size,
                                     std::uint32_t *flags,
                                     nghttp2_data_source * /*source*/,
                                     void *self)
{
    auto &outgoing = static_cast<PeerConnection *>(self)->m_outgoing;
    const auto found = outgoing.find(stream);
    if (found == outgoing.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    Outgoing &batch = found->second;
    const std::size_t copied = batch.m_bytes.copy(reinterpret_cast<char *>(buffer), size, batch.m_sent);
    batch.m_sent += copied;
    if (batch.m_sent == batch.m_bytes.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(copied);
}

int PeerConnection::onChunk(nghttp2_session *session, std::uint8_t /*flags*/, std::int32_t stream, const std::uint8_t *data, std::size_t size, void *self)
{
    auto *connection = static_cast<PeerConnection *>(self);
    std::string &body = connection->m_incoming[stream];
    if (body.size() + size > Wire::LargestBatch) {
        connection->m_callbacks.m_onDropped("batch-too-large");
        nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream, NGHTTP2_REFUSED_STREAM);
        body.clear();
        return 0;
    }
    body.append(reinterpret_cast<const char *>(data), size);
    return 0;
}

int PeerConnection::onFrame(nghttp2_session *session, const nghttp2_frame *frame, void *self)
{
    auto *connection = static_cast<PeerConnection *>(self);
    if (frame->hd.type == NGHTTP2_SETTINGS && (frame->hd.flags & NGHTTP2_FLAG_ACK) == 0) {
        connection->m_gotSettings = true;
    }
    const bool endsStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 && (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS);
    if (!endsStream || connection->m_side != ConnectionSide::Server) {
        return 0;
    }
    const std::int32_t stream = frame->hd.stream_id;
    connection->m_callbacks.m_onBatch(*connection, connection->m_incoming[stream]);
    connection->m_incoming.erase(stream);
    const nghttp2_nv status = header(":status", "204");
    nghttp2_submit_response(session, stream, &status, 1, nullptr);
    return 0;
}

int PeerConnection::onStreamClose(nghttp2_session * /*session*/, std::int32_t stream, std::uint32_t /*code*/, void *self)
{
    auto *connection = static_cast<PeerConnection *>(self);
    connection->m_outgoing.erase(stream);
    connection->m_incoming.erase(stream);
    return 0;
}

}
