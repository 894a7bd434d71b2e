#include "relay.h"

#include <ragwortrelay/http/writer.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;

namespace {

constexpr std::size_t ReadBufferSize = 4096; // bytes that a connection to a server reads at once
const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Returns the scheme of the product's own interface, with an attempt id of the caller that servers echo.
Http::HeaderScheme schemeWithAttemptId()
{
    Http::HeaderScheme scheme = Http::defaultHeaderScheme();
    scheme.m_attemptId = "Attempt-Id";
    return scheme;
}

std::string request(const std::string &method, const std::string &attempt)
{
    return method + " /" + attempt + " HTTP/1.1\r\nHost: a\r\nAttempt-Id: " + attempt + "\r\n\r\n";
}

std::string headOf(const std::string &attempt, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\n" + framing + "\r\n\r\n";
}

std::string responseOf(const std::string &attempt, const std::string &body)
{
    return headOf(attempt, "Content-Length: " + std::to_string(body.size())) + body;
}

std::string chunkedResponseOf(const std::string &attempt, const std::string &body)
{
    std::string response = headOf(attempt, "Transfer-Encoding: chunked");
    for (const std::string &part : {body.substr(0, body.size() / 2), body.substr(body.size() / 2)}) {
        response += Http::writeChunk(part);
    }
    return response + Http::writeChunk({});
}

/// One kept connection of a relay to its server, over which requests of one caller go.
class KeptConnection
{
public:
    KeptConnection() : m_relay(Relay::callerSettings(), m_listener.address(), Relay::backendSettings(), schemeWithAttemptId()), m_caller(m_relay.address())
    {
        m_caller.send(request("GET", "first"));
        m_server = std::make_unique<RawSocket>(m_listener.accept());
        receiveRequest("first");
    }

    /// Sends a request and waits until it has arrived on the kept connection.
    void sendRequest(const std::string &method, const std::string &attempt)
    {
        m_caller.send(request(method, attempt));
        receiveRequest(attempt);
    }

    void receiveRequest(const std::string &attempt) const
    {
        REQUIRE(m_server->receiveUntil("\r\n\r\n").find(" /" + attempt + " ") != std::string::npos);
    }

    /// Sends bytes of the server in pieces that the relay reads one by one.
    void respond(const std::string &bytes, std::size_t pieceSize) const
    {
        for (std::size_t start = 0; start < bytes.size(); start += pieceSize) {
            m_server->send(bytes.substr(start, pieceSize));
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }

    void serveFirst() const
    {
        m_server->send(responseOf("first", "first"));
        m_caller.receiveUntil("\r\n\r\nfirst");
    }

    RawListener m_listener;
    Relay m_relay;
    RawSocket m_caller;
    std::unique_ptr<RawSocket> m_server;
};

}

// review/6: the body of a response that was skipped came after its head, and was read as the response to the request in progress.
TEST_CASE("regression: the rest of a skipped response was taken for the next response")
{
    const std::string document = Refusal + std::string(GENERATE(std::size_t{100}, 2 * ReadBufferSize), '#');
    const std::size_t pieceSize = GENERATE(std::size_t{1 << 20}, std::size_t{700});
    const std::string late =
        GENERATE_COPY(responseOf("first", document), chunkedResponseOf("first", document), "HTTP/1.1 103 Early Hints\r\n\r\n" + responseOf("first", document));
    KeptConnection connection;
    connection.serveFirst();
    connection.sendRequest("POST", "second");

    SECTION("one late response")
    {
        connection.respond(late, pieceSize);
    }
    SECTION("several late responses")
    {
        connection.respond(late + late + late, pieceSize);
    }
    SECTION("interim responses around a late response")
    {
        connection.respond("HTTP/1.1 100 Continue\r\n\r\n" + late + "HTTP/1.1 100 Continue\r\n\r\n", pieceSize);
    }
    connection.respond(responseOf("second", "own"), pieceSize);
    const std::string response = connection.m_caller.receiveUntil("own");
    CHECK(response.starts_with("HTTP/1.1 200 OK\r\nAttempt-Id: second\r\n"));
    CHECK(response.ends_with("\r\n\r\nown"));
    CHECK(connection.m_relay.m_skipped >= 1);
}

TEST_CASE("a late response whose end is unknown ends the connection")
{
    KeptConnection connection;

    SECTION("its end is that of the connection")
    {
        connection.serveFirst();
        connection.sendRequest("POST", "second");
        connection.respond(headOf("first", "X-A: b") + responseOf("second", "a part of the document"), ReadBufferSize);
    }
    SECTION("it may belong to an earlier HEAD request")
    {
        connection.serveFirst();
        connection.sendRequest("HEAD", "second");
        connection.m_server->send(headOf("second", "Content-Length: 100"));
        connection.m_caller.receiveUntil("\r\n\r\n");
        connection.sendRequest("POST", "third");
        connection.respond(headOf("second", "Content-Length: 100") + responseOf("third", std::string(200, 'x')), ReadBufferSize);
    }
    SECTION("it belongs to a GET request that came before a HEAD request")
    {
        connection.serveFirst();
        connection.sendRequest("HEAD", "second");
        connection.respond(responseOf("first", Refusal + responseOf("second", "")), ReadBufferSize);
    }
    SECTION("it stops short")
    {
        connection.serveFirst();
        connection.sendRequest("POST", "second");
        connection.respond(headOf("first", "Content-Length: 200") + Refusal, ReadBufferSize);
        connection.m_server->endSending();
    }
    REQUIRE(connection.m_caller.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(connection.m_server->receiveAll().empty()); // The relay closes the connection.
}

// review/6: a bare 503, written late after a whole response, reached the next caller and promised that its request hadn't run.
TEST_CASE("regression: a failure without the id of its attempt was taken for the next response")
{
    const std::string status = GENERATE("400 Bad Request", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable");
    const std::size_t pieceSize = GENERATE(std::size_t{1 << 20}, std::size_t{20});
    const std::string bare = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
    KeptConnection connection;

    SECTION("as the first response of a connection")
    {
        connection.respond(bare, pieceSize);
    }
    SECTION("after a whole response")
    {
        connection.serveFirst();
        connection.sendRequest("POST", "second");
        connection.respond(bare, pieceSize);
    }
    SECTION("after a late response")
    {
        connection.serveFirst();
        connection.sendRequest("POST", "second");
        connection.respond(responseOf("first", Refusal) + bare, pieceSize);
    }
    REQUIRE(connection.m_caller.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    CHECK(connection.m_server->receiveAll().empty()); // The relay closes the connection.
}

// Bytes behind a response were read from the kernel while the connection was already idle, so that its next user could not see them there.
TEST_CASE("regression: bytes behind a response that were read while another request took the connection became its response")
{
    const RawListener listener;
    Relay relay(Relay::callerSettings(), listener.address());
    const RawSocket first(relay.address());
    const RawSocket second(relay.address());
    first.send(request("GET", "first"));
    const RawSocket server(listener.accept());
    server.receiveUntil("\r\n\r\n");
    std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\nX-Padding: ";
    constexpr std::string_view HeadEnd = "\r\n\r\n";
    constexpr std::size_t BodySize = 4000;
    response += std::string(ReadBufferSize - BodySize - HeadEnd.size() - response.size(), 'p') + std::string(HeadEnd) + std::string(BodySize, 'b');
    REQUIRE(response.size() == ReadBufferSize);
    // While the event loop is held up, both arrive, the response first.
    relay.post([](Loop::CallerListener & /*listener*/) { std::this_thread::sleep_for(std::chrono::milliseconds(200)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    server.send(response + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    second.send(request("GET", "second"));
    CHECK(first.receiveUntil("bbb").starts_with("HTTP/1.1 200 "));
    const int accepted = listener.accept(2000);
    REQUIRE(accepted >= 0); // The second request goes out on a new connection.
    const RawSocket other(accepted);
    other.receiveUntil("\r\n\r\n");
    other.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
    CHECK(second.receiveUntil("own").ends_with("\r\n\r\nown"));
}
