#include <ragwortrelay/loop/asio.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace RagwortRelay::Loop {

namespace {

void setOption(tcp::socket &socket, int level, int name, int value)
{
    ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

}

void tune(tcp::socket &socket, const TcpTimeouts &tcpTimeouts)
{
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (tcpTimeouts.m_unacknowledgedTimeoutMs > 0) {
        setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, tcpTimeouts.m_unacknowledgedTimeoutMs);
    }
    if (tcpTimeouts.m_keepAliveIdleS > 0) {
        setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, tcpTimeouts.m_keepAliveIdleS);
        setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, tcpTimeouts.m_keepAliveIntervalS);
        setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, tcpTimeouts.m_keepAliveProbes);
    }
}

}
