#include <ragwortrelay/detail/loop/guard.h>
#include <ragwortrelay/loop/peersocket.h>
#include <ragwortrelay/wire/datagram.h>

namespace RagwortRelay::Loop {

PeerSocket::PeerSocket(asio::io_context &context, std::string listen, EventHandler handler)
    : m_listen(std::move(listen)), m_handler(std::move(handler)), m_socket(context)
{
}

void PeerSocket::start()
{
    const auto endpoint = endpointOf<udp>(m_listen);
    m_socket.open(endpoint.protocol());
    m_socket.bind(endpoint);
    m_socket.non_blocking(true);
    m_buffer.resize(BufferSize);
    receive();
}

void PeerSocket::setSecret(const std::string &secret)
{
    m_secret = secret;
}

void PeerSocket::send(const std::string &address, const Fleet::Datagram &datagram)
{
    if (m_secret.empty()) {
        return;
    }
    const auto endpoint = endpointOf<udp>(address);
    for (const std::string &bytes : Wire::encodeDatagrams(datagram, m_secret)) {
        ErrorCode ignored; // A failed send is equivalent to a datagram lost in the network, which senders must tolerate.
        m_socket.send_to(asio::buffer(bytes), endpoint, 0, ignored);
    }
}

std::uint64_t PeerSocket::refused() const
{
    return m_refused;
}

std::string PeerSocket::address() const
{
    return textOf(m_socket.local_endpoint());
}

void PeerSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const ErrorCode &error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        // The buffer is free for the next datagram once this one is handled, also if that fails.
        detail::runGuarded([&] { error ? void() : onReceived(size); }, [this] { receive(); });
        receive();
    });
}

void PeerSocket::onReceived(std::size_t size)
{
    const auto datagram = Wire::decodeDatagram(std::string_view(m_buffer).substr(0, size), m_secret);
    if (!datagram || m_secret.empty()) {
        ++m_refused;
        return;
    }
    m_handler(Host::PeerDatagramReceived{textOf(m_sender), *datagram});
}

}
