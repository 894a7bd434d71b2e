#include <ragwortrelay/loop/stream.h>

#include <boost/asio/ssl/host_name_verification.hpp>

namespace RagwortRelay::Loop {

TlsContext makeServerContext(const std::string &certificate, const std::string &key)
{
    const auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    context->set_options(asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
    context->use_certificate_chain_file(certificate);
    context->use_private_key_file(key, asio::ssl::context::pem);
    return context;
}

TlsContext makeClientContext(const std::string &authority)
{
    const auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_client);
    context->set_options(asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
    context->load_verify_file(authority);
    context->set_verify_mode(asio::ssl::verify_peer);
    return context;
}

Stream::Stream(tcp::socket socket, const TlsContext &context) : m_socket(std::move(socket))
{
    if (context) {
        m_tlsStream = std::make_unique<asio::ssl::stream<tcp::socket &>>(m_socket, *context);
    }
}

tcp::socket &Stream::socket()
{
    return m_socket;
}

bool Stream::isSecure() const
{
    return m_tlsStream != nullptr;
}

void Stream::handshake(StreamSide side, std::function<void(const ErrorCode &)> handler)
{
    ErrorCode error;
    if (side == StreamSide::Client) {
        const auto address = m_socket.remote_endpoint(error).address().to_string();
        m_tlsStream->set_verify_callback(asio::ssl::host_name_verification(address), error);
        m_tlsStream->async_handshake(asio::ssl::stream_base::client, std::move(handler));
    } else {
        m_tlsStream->async_handshake(asio::ssl::stream_base::server, std::move(handler));
    }
}

void Stream::waitForInput(std::function<void(const ErrorCode &)> handler)
{
    m_socket.async_wait(tcp::socket::wait_read, std::move(handler));
}

void Stream::readSome(asio::mutable_buffer buffer, Handler handler)
{
    if (m_tlsStream) {
        m_tlsStream->async_read_some(buffer, std::move(handler));
    } else {
        m_socket.async_read_some(buffer, std::move(handler));
    }
}

void Stream::write(const std::array<asio::const_buffer, 2> &buffers, Handler handler)
{
    if (m_tlsStream) {
        asio::async_write(*m_tlsStream, buffers, std::move(handler));
    } else {
        asio::async_write(m_socket, buffers, std::move(handler));
    }
}

void Stream::endWriting(std::function<void()> handler)
{
    if (m_tlsStream) {
        // An error means that the peer closed first; the connection ends in both cases.
        m_tlsStream->async_shutdown([handler = std::move(handler)](const ErrorCode & /*error*/) { handler(); });
        return;
    }
    abortWriting();
    handler();
}

void Stream::abortWriting()
{
    ErrorCode ignored; // The connection may have ended.
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void Stream::setResetsOnClose(bool resets)
{
    ErrorCode ignored; // The connection has ended, and nothing more can be sent on it.
    m_socket.set_option(asio::socket_base::linger(resets, 0), ignored);
}

void Stream::close()
{
    ErrorCode ignored;
    m_socket.close(ignored);
}

}
