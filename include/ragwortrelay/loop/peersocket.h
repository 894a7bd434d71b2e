#pragma once

#include <ragwortrelay/fleet/messages.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/loop/asio.h>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace RagwortRelay::Loop {

/// UDP socket for the messages between hosts. Not thread-safe; used by one thread.
class PeerSocket
{
public:
    using EventHandler = std::function<void(const Host::Event &)>;

    PeerSocket(asio::io_context &context, std::string listen, EventHandler handler);

    /// Binds the socket and starts to receive. Throws boost::system::system_error when the address can't be bound. Call once.
    void start();

    /// Sets the secret of the fleet. Until then nothing is sent, and received datagrams are refused.
    void setSecret(const std::string &secret);

    /// Sends messages to another host. They are lost when the send buffer of the socket is full.
    void send(const std::string &address, const Fleet::Datagram &datagram);

    /// Returns the number of received datagrams that failed authentication or could not be decoded, or came before the secret was set.
    [[nodiscard]] std::uint64_t refused() const;

    /// Returns the bound address in the form `IP:PORT`. Precondition: start() was called.
    [[nodiscard]] std::string address() const;

private:
    void receive();
    void onReceived(std::size_t size);

    static constexpr std::size_t BufferSize = 65536; // bytes

    std::string m_listen;
    EventHandler m_handler;
    udp::socket m_socket;
    udp::endpoint m_sender;
    std::string m_secret;
    std::string m_buffer;
    std::uint64_t m_refused = 0;
};

}
