#include "relay.h"

#include <catch2/catch.hpp>

#include <cerrno>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;

namespace {

constexpr std::size_t LongUpload = 900'000; // bytes; more than fits into the buffers of the kernel beside a small receive buffer
constexpr std::size_t LongResponse = 200'000; // bytes; more than the relay buffers of a response
const std::string ChunkedStart = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n"; // A long response doesn't fill the chunk.
const std::string OkWithoutLength = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";

std::string upload(std::size_t size, int minorVersion = 1)
{
    return "POST /a HTTP/1." + std::to_string(minorVersion) + "\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
        + std::string(size, 'u');
}

/// Listener whose connections have a small receive buffer, so that a long upload stays in progress.
class SlowListener : public RawListener
{
public:
    SlowListener()
    {
        const int bytes = 4096;
        setsockopt(descriptor(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }
};

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

/// Tells whether a response, without the end of its connection, is complete by its own framing.
bool isWholeByFraming(const std::string &response)
{
    const std::size_t head = response.find("\r\n\r\n");
    const std::size_t length = response.find("Content-Length: ");
    if (head == std::string::npos) {
        return false;
    }
    if (length < head) {
        return response.size() - head - 4 >= std::stoul(response.substr(length + 16));
    }
    return response.find("Transfer-Encoding: chunked") < head && response.ends_with("\r\n0\r\n\r\n");
}

}

// A write that failed took the error of the socket, so that the next read found an end of stream in its place.
TEST_CASE("regression: a response that a reset cut during the upload was passed on as complete")
{
    const std::size_t uploadSize = GENERATE(as<std::size_t>{}, LongUpload, 6 * LongUpload, 10);
    const std::size_t partSize = GENERATE(as<std::size_t>{}, 0, 300, LongResponse);
    const int minorVersion = GENERATE(1, 0);
    const int pauseMilliseconds = GENERATE(0, 20);
    CAPTURE(uploadSize, partSize, minorVersion, pauseMilliseconds);
    const SlowListener listener;
    Loop::CallerListenerSettings settings = Relay::callerSettings();
    settings.m_limits.m_maxBodyBytes = 8U << 20U;
    Relay relay(settings, listener.address());
    const RawSocket caller(relay.address());
    caller.send(upload(uploadSize, minorVersion));
    {
        const RawSocket server(listener.accept());
        server.receiveUntil("\r\n\r\n");
        server.send(OkWithoutLength + std::string(partSize, 'r'));
        std::this_thread::sleep_for(std::chrono::milliseconds(pauseMilliseconds));
        server.resetOnClose();
    }
    const Received received = receiveToEnd(caller);
    CAPTURE(received.m_bytes.substr(0, 200), received.m_bytes.size());
    const bool isRefusal = received.m_bytes.starts_with("HTTP/1.1 502 ");
    const bool isRecognizablyCut = received.m_isReset || (minorVersion == 1 && !isWholeByFraming(received.m_bytes));
    CHECK((isRefusal || isRecognizablyCut));
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

TEST_CASE("a response without a length that ends during the upload is complete")
{
    const std::size_t partSize = GENERATE(as<std::size_t>{}, 300, LongResponse);
    const int minorVersion = GENERATE(1, 0);
    const SlowListener listener;
    Relay relay(Relay::callerSettings(), listener.address());
    const RawSocket caller(relay.address());
    caller.send(upload(LongUpload, minorVersion));
    const RawSocket server(listener.accept());
    server.receiveUntil("\r\n\r\n");
    server.send(OkWithoutLength + std::string(partSize, 'r'));
    server.endSending();
    const Received received = receiveToEnd(caller);
    CHECK(received.m_bytes.starts_with("HTTP/1.1 200 "));
    CHECK(std::ranges::count(received.m_bytes, 'r') >= static_cast<std::ptrdiff_t>(partSize));
    CHECK_FALSE(received.m_isReset);
    CHECK((minorVersion == 0 || isWholeByFraming(received.m_bytes)));
}
