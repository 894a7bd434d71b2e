#include "relay.h"

#include <catch2/catch.hpp>

#include <cerrno>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;

namespace {

constexpr std::size_t LongResponse = 200'000; // bytes; more than the relay buffers of a response
const std::string ChunkedStart = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n"; // A long response doesn't fill the chunk.
const std::string OkWithoutLength = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";

std::string upload(std::size_t size, int minorVersion = 1)
{
    return "POST /a HTTP/1." + std::to_string(minorVersion) + "\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
        + std::string(size, 'u');
}

/// What a caller has received, and how its connection ended.
struct Received {
    std::string m_bytes;
    bool m_isReset = false;
};

Received receiveToEnd(const RawSocket &socket)
{
    Received received;
    for (std::string part = socket.receiveSome(); !part.empty(); part = socket.receiveSome()) {
        received.m_bytes += part;
    }
    received.m_isReset = socket.lastError() == ECONNRESET;
    return received;
}

}

// The end of the connection is all that tells such a caller that the response is complete, and it looked alike when the response was cut.
TEST_CASE("regression: a cut response without a length looked complete to an HTTP/1.0 caller")
{
    const std::string start = GENERATE(as<std::string>{}, OkWithoutLength, ChunkedStart);
    const bool isReset = GENERATE(true, false);
    const RawListener listener;
    Relay relay(Relay::callerSettings(), listener.address());
    const RawSocket caller(relay.address());
    caller.send(upload(10, 0));
    {
        const RawSocket server(listener.accept());
        server.receiveUntil("\r\n\r\nuuuuuuuuuu");
        server.send(start + std::string(LongResponse, 'r'));
        if (isReset || start == OkWithoutLength) {
            server.resetOnClose();
        }
    }
    const Received received = receiveToEnd(caller);
    CHECK((received.m_isReset || received.m_bytes.starts_with("HTTP/1.1 502 ")));
}
