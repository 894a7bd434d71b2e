#include "relay.h"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;

namespace {

const std::string Secret = "0123456789abcdef0123456789abcdef";
const std::string Key = "k1." + Secret;

std::string get(const std::string &target, const std::string &headers = "")
{
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

std::string post(const std::string &headers, const std::string &body)
{
    return "POST /a HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 2000; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

/// Accepts a connection and answers one request with raw bytes. Returns the request with a body of the given size.
std::string serveOnce(const RawListener &server, const std::string &response, std::size_t bodySize = 0)
{
    const int descriptor = server.accept();
    if (descriptor < 0) {
        return {};
    }
    const RawSocket connection(descriptor);
    std::string request = connection.receiveUntil("\r\n\r\n");
    while (request.size() < request.find("\r\n\r\n") + 4 + bodySize) {
        const std::string part = connection.receiveSome();
        if (part.empty()) {
            break;
        }
        request += part;
    }
    connection.send(response);
    return request;
}

const std::string Ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}

TEST_CASE("ambiguous or malformed requests are refused and reach no backend server")
{
    const RawListener server;
    Loop::CallerListenerSettings settings = Relay::callerSettings();
    settings.m_limits.m_maxBodyBytes = 1024;
    settings.m_limits.m_maxHeaderBytes = 4096;
    settings.m_limits.m_headerTimeout = std::chrono::seconds(1);
    settings.m_bodyTimeout = std::chrono::seconds(1);
    Relay relay(settings, server.address());

    const std::vector<std::pair<std::string, std::string>> requests{
        {"both lengths", post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")},
        {"two lengths", post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd")},
        {"two equal lengths", post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc")},
        {"list of lengths", post("Content-Length: 3, 3\r\n", "abc")},
        {"length with a sign", post("Content-Length: +3\r\n", "abc")},
        {"negative length", post("Content-Length: -3\r\n", "abc")},
        {"hexadecimal length", post("Content-Length: 0x3\r\n", "abc")},
        {"huge length", post("Content-Length: 99999999999999999999999\r\n", "abc")},
        {"space before the colon", post("Content-Length : 3\r\n", "abc")},
        {"unknown coding", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n")},
        {"coding with a control character",
         post("Transfer-Encoding: \x0b"
              "chunked\r\n",
              "0\r\n\r\n")},
        {"two codings", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n")},
        {"coding in HTTP/1.0", "POST /a HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
        {"size of a chunk is no number", post("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n0\r\n\r\n")},
        {"chunk longer than its size", post("Transfer-Encoding: chunked\r\n", "2\r\nabcdef\r\n0\r\n\r\n")},
        {"size of a chunk overflows", post("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\nabc\r\n0\r\n\r\n")},
        {"no host", "GET /a HTTP/1.1\r\n\r\n"},
        {"two hosts", get("/a", "Host: b\r\n")},
        {"two authorizations", get("/a", "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n")},
        {"two idempotency keys", get("/a", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n")},
        {"control character in a value",
         get("/a",
             "X-A: a\x01"
             "b\r\n")},
        {"name with a space", get("/a", "X A: b\r\n")},
        {"absolute form", get("http://other/a")},
        {"authority form", "CONNECT other:443 HTTP/1.1\r\nHost: other\r\n\r\n"},
        {"asterisk form", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"trace", "TRACE /a HTTP/1.1\r\nHost: a\r\n\r\n"},
        {"dot segments", get("/open/../closed")},
        {"escaped dot segments", get("/open/%2e%2E/closed")},
        {"dot segments with parameters", get("/open/..;a=b/closed")},
        {"escaped slash", get("/open%2Fclosed")},
        {"escaped backslash", get("/open%5cclosed")},
        {"backslash", get("/open\\closed")},
        {"empty segment", get("//closed")},
        {"escaped NUL", get("/a%00b")},
        {"bad escape", get("/a%zz")},
        {"fragment", get("/a#b")},
        {"unknown version", "GET /a HTTP/3.0\r\nHost: a\r\n\r\n"},
        {"no HTTP", "\x16\x03\x01\x02"},
        {"body too large", post("Content-Length: 2000\r\n", std::string(2000, 'x'))},
        {"chunked body too large", post("Transfer-Encoding: chunked\r\n", "7d0\r\n" + std::string(2000, 'x') + "\r\n0\r\n\r\n")},
        {"endless chunked body", post("Transfer-Encoding: chunked\r\n", "fffff\r\n" + std::string(100000, 'x'))},
        {"header too large", get("/a", "X-A: " + std::string(5000, 'x') + "\r\n")},
        {"header much too large", get("/a", "X-A: " + std::string(100000, 'x') + "\r\n")},
        {"target too large", get("/" + std::string(5000, 'x'))},
        {"key in the query", get("/a?key=" + Key, "Authorization: Bearer " + Key + "\r\n")},
        {"escaped key in the query", get("/a?key=%6b1.%30" + Secret.substr(1), "Authorization: Bearer " + Key + "\r\n")},
        {"key in the body", post("Content-Length: " + std::to_string(Key.size()) + "\r\nAuthorization: Bearer " + Key + "\r\n", Key)},
    };
    for (const auto &[name, request] : requests) {
        INFO(name);
        const RawSocket caller(relay.address());
        caller.send(request);
        caller.endSending();
        const std::string response = caller.receiveAll();
        const bool isRejected = response.empty() || contains(response, " 400 ") || contains(response, " 413 ") || contains(response, " 414 ")
            || contains(response, " 417 ") || contains(response, " 431 ") || contains(response, " 505 ");
        CHECK(isRejected);
        CHECK_FALSE(contains(response, "HTTP/1.1 200"));
        CHECK(response.find("HTTP/1.1 ", 1) == std::string::npos); // At most one response.
        CHECK(relay.m_requests == 0);
    }
    CHECK(server.accept(0) == -1);

    SECTION("each limit has its own status code and reports the outcome not-run")
    {
        for (const auto &[status, request] : std::vector<std::pair<std::string, std::string>>{
                 {"413", post("Content-Length: 2000\r\n", "")},
                 {"413", post("Transfer-Encoding: chunked\r\n", "7d0\r\n" + std::string(2000, 'x') + "\r\n0\r\n\r\n")},
                 {"431", get("/a", "X-A: " + std::string(5000, 'x') + "\r\n")},
                 {"400", get("http://other/a")}}) {
            const RawSocket caller(relay.address());
            caller.send(request);
            const std::string response = caller.receiveAll();
            CAPTURE(request.substr(0, 100), response);
            CHECK(response.starts_with("HTTP/1.1 " + status));
            CHECK(contains(response, "Ragwortrelay-Outcome: not-run"));
            CHECK(contains(response, "application/problem+json"));
            CHECK(contains(response, "Connection: close"));
        }
    }
}

TEST_CASE("a request reaches its backend server in a normalized form")
{
    const RawListener server;
    Relay relay(Relay::callerSettings(), server.address());
    const RawSocket caller(relay.address());

    SECTION("the workspace key, hop-by-hop headers and headers listed in Connection are removed")
    {
        caller.send(get("/%61?q=%61",
                        "Authorization: Bearer " + Key + "\r\nCookie: k=" + Key + "\r\nX-Secret: " + Secret
                            + "\r\nX-Kept: yes\r\nConnection: close, X-Hop\r\n"
                              "X-Hop: no\r\nTE: trailers\r\nUpgrade: h2c\r\nKeep-Alive: 5\r\nProxy-Authorization: p\r\n"));
        const std::string request = serveOnce(server, Ok);
        CHECK(request.starts_with("GET /%61?q=%61 HTTP/1.1\r\n"));
        CHECK(contains(request, "X-Kept: yes"));
        for (const char *absent : {Secret.c_str(), "Authorization", "Cookie", "X-Hop", "Keep-Alive", "Upgrade", "TE:", "Proxy-"}) {
            INFO(absent);
            CHECK_FALSE(contains(request, absent));
        }
        CHECK(caller.receiveAll().ends_with("\r\n\r\nok"));
    }

    SECTION("folded headers, lone line feeds and NUL bytes are not forwarded as they are")
    {
        caller.send(get("/a", "X-A: a\r\n b\r\nX-B: c\nX-C: d\r\nX-D: e" + std::string(1, '\0') + "f\r\n"));
        REQUIRE(eventually([&] { return relay.m_requests + relay.m_readFailures == 1; }));
        const std::string response = relay.m_requests == 1 ? serveOnce(server, Ok) : "refused";
        CHECK(response.find('\0') == std::string::npos);
        CHECK_FALSE(contains(response, "\r\n "));
        for (std::size_t feed = response.find('\n'); feed != std::string::npos; feed = response.find('\n', feed + 1)) {
            CHECK(response[feed - 1] == '\r');
        }
    }

    SECTION("a chunked body is forwarded with Content-Length and without trailers")
    {
        caller.send(post("Transfer-Encoding: chunked\r\nTrailer: X-T\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\nX-T: trailer\r\n\r\n"));
        const std::string request = serveOnce(server, Ok, 5);
        CHECK(contains(request, "Content-Length: 5\r\n"));
        CHECK(request.ends_with("\r\n\r\nabcde"));
        CHECK_FALSE(contains(request, "X-T"));
    }

    SECTION("the host answers Expect: 100-continue itself")
    {
        caller.send(post("Content-Length: 3\r\nExpect: 100-continue\r\n", ""));
        CHECK(contains(caller.receiveUntil("\r\n\r\n"), "100 Continue"));
        caller.send("abc");
        const std::string request = serveOnce(server, Ok, 3);
        CHECK(request.ends_with("abc"));
        CHECK_FALSE(contains(request, "Expect"));
    }

    SECTION("pipelined requests are answered in order")
    {
        caller.send(get("/1") + get("/2"));
        CHECK(contains(serveOnce(server, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\none"), "/1"));
        CHECK(contains(serveOnce(server, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo"), "/2"));
        const std::string responses = caller.receiveUntil("two");
        CHECK(responses.find("one") < responses.find("two"));
    }
}

TEST_CASE("a response reaches its caller complete or is recognizably truncated")
{
    const RawListener server;
    Relay relay(Relay::callerSettings(), server.address());
    const RawSocket caller(relay.address());
    const auto exchange = [&](const std::string &request, const std::string &response) {
        caller.send(request);
        serveOnce(server, response);
        return caller.receiveAll();
    };
    const std::string connectionClose = "Connection: close\r\n";

    SECTION("hop-by-hop headers and trailers of the server are removed")
    {
        const std::string response =
            exchange(get("/a", connectionClose),
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Kept: yes\r\nX-Hop: no\r\nConnection: X-Hop\r\nKeep-Alive: 5\r\n"
                     "Trailer: X-T\r\n\r\n3\r\nabc\r\n0\r\nX-T: t\r\nRagwortrelay-Outcome: not-run\r\n\r\n");
        CHECK(contains(response, "X-Kept: yes"));
        CHECK(contains(response, "abc"));
        for (const char *absent : {"X-Hop", "X-T", "Keep-Alive", "not-run"}) {
            CHECK_FALSE(contains(response, absent));
        }
    }
    SECTION("the response to HEAD has Content-Length and no body")
    {
        const std::string response = exchange("HEAD /a HTTP/1.1\r\nHost: a\r\n" + connectionClose + "\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 123\r\n\r\n");
        CHECK(contains(response, "Content-Length: 123"));
        CHECK(response.ends_with("\r\n\r\n"));
    }
    SECTION("204 has no body")
    {
        CHECK(exchange(get("/a", connectionClose), "HTTP/1.1 204 No Content\r\n\r\n").ends_with("\r\n\r\n"));
    }
    SECTION("304 has no body and keeps its entity tag")
    {
        const std::string response = exchange(get("/a", connectionClose), "HTTP/1.1 304 Not Modified\r\nETag: \"e\"\r\n\r\n");
        CHECK(response.starts_with("HTTP/1.1 304"));
        CHECK(contains(response, "ETag: \"e\""));
        CHECK(response.ends_with("\r\n\r\n"));
    }
    SECTION("an interim response is not forwarded")
    {
        const std::string response = exchange(get("/a", connectionClose), "HTTP/1.1 103 Early Hints\r\nX-Early: yes\r\n\r\n" + Ok);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK_FALSE(contains(response, "X-Early"));
    }
    SECTION("a malformed or truncated response becomes a refusal with status 502")
    {
        const std::string broken = GENERATE(std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"),
                                            std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
                                            std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
                                            std::string("HTTP/1.1 200 OK\r\nX-A: ") + std::string(1, '\0') + "\r\nContent-Length: 0\r\n\r\n",
                                            "HTTP/1.1 200 OK\r\nX-A: " + std::string(20000, 'x') + "\r\nContent-Length: 0\r\n\r\n",
                                            std::string("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
                                            std::string("\x01\x02\x03"));
        CHECK(exchange(get("/a", connectionClose), broken).starts_with("HTTP/1.1 502"));
    }
    SECTION("a long response that is truncated never ends like a complete one")
    {
        const std::string response =
            exchange(get("/a", connectionClose), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n" + std::string(0x20000, 'x'));
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK_FALSE(response.ends_with("0\r\n\r\n"));
    }
}

TEST_CASE("slow callers and servers don't delay others")
{
    const RawListener server;
    Loop::CallerListenerSettings settings = Relay::callerSettings();
    settings.m_limits.m_headerTimeout = std::chrono::milliseconds(300);
    settings.m_bodyTimeout = std::chrono::milliseconds(300);
    Relay relay(settings, server.address());

    SECTION("a header that is sent too slowly ends the connection")
    {
        const RawSocket caller(relay.address());
        caller.send("GET /a HTTP/1.1\r\n");
        CHECK(eventually([&] { return !caller.send("X-A: b\r\n"); }));
    }
    SECTION("a body that is sent too slowly ends the connection")
    {
        const RawSocket caller(relay.address());
        caller.send(post("Content-Length: 100000\r\n", ""));
        CHECK(eventually([&] { return !caller.send("x"); }));
        CHECK(relay.m_requests == 0);
    }
    SECTION("a caller that reads nothing and a server that sends nothing delay no other request")
    {
        constexpr std::size_t Endless = 50U << 20U;
        const RawSocket stalledReader(relay.address());
        stalledReader.send(get("/stalled"));
        std::thread pump([&] { serveOnce(server, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Endless) + "\r\n\r\n" + std::string(Endless, 'x')); });
        CHECK(contains(stalledReader.receiveSome(), "200 OK"));
        const RawSocket waiting(relay.address());
        waiting.send(get("/silent"));
        const RawSocket silent(server.accept());
        for (int i = 0; i < 20; ++i) {
            const RawSocket caller(relay.address());
            caller.send(get("/a", "Connection: close\r\n"));
            serveOnce(server, Ok);
            CHECK(caller.receiveAll().ends_with("ok"));
        }
        shutdown(stalledReader.descriptor(), SHUT_RDWR);
        pump.join();
    }
    SECTION("many concurrent connections each get their own response")
    {
        constexpr std::size_t Callers = 300;
        std::vector<std::unique_ptr<RawSocket>> callers;
        for (std::size_t i = 0; i < Callers; ++i) {
            callers.push_back(std::make_unique<RawSocket>(relay.address()));
            callers.back()->send(get("/" + std::to_string(i), "Connection: close\r\n"));
        }
        for (std::size_t i = 0; i < Callers; ++i) {
            const RawSocket connection(server.accept());
            const std::string request = connection.receiveUntil("\r\n\r\n");
            const std::string target = request.substr(4, request.find(' ', 4) - 4);
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(target.size()) + "\r\nConnection: close\r\n\r\n" + target);
        }
        for (std::size_t i = 0; i < Callers; ++i) {
            CHECK(callers[i]->receiveAll().ends_with("\r\n\r\n/" + std::to_string(i)));
        }
    }
}

TEST_CASE("a caller that disconnects cancels its request at the backend server")
{
    const RawListener server;
    Relay relay(Relay::callerSettings(), server.address());
    auto caller = std::make_unique<RawSocket>(relay.address());
    caller->send(get("/a"));
    const RawSocket connection(server.accept());
    REQUIRE(contains(connection.receiveUntil("\r\n\r\n"), "GET /a"));

    SECTION("before the response")
    {
        caller.reset();
        CHECK(connection.receiveSome().empty());
        CHECK(eventually([&] { return relay.m_callerDisconnects == 1; }));
    }
    SECTION("during the response")
    {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(100000, 'x'));
        CHECK_FALSE(caller->receiveSome().empty());
        caller.reset();
        CHECK(connection.receiveSome().empty());
        CHECK(eventually([&] { return relay.m_callerDisconnects == 1; }));
    }
}

TEST_CASE("a request in flight is answered after the listener has stopped")
{
    const RawListener server;
    auto relay = std::make_unique<Relay>(Relay::callerSettings(), server.address());
    const RawSocket caller(relay->address());
    caller.send(get("/a"));
    const RawSocket connection(server.accept());
    connection.receiveUntil("\r\n\r\n");
    relay->post([](Loop::CallerListener &listener) {
        listener.startDraining();
        listener.stop();
    });
    connection.send(Ok);
    const std::string response = caller.receiveAll();
    CHECK(contains(response, "Connection: close"));
    CHECK(response.ends_with("ok"));
}

TEST_CASE("callers are served over IPv6")
{
    const RawListener server;
    Loop::CallerListenerSettings settings = Relay::callerSettings();
    settings.m_listen = "[::1]:0";
    Relay relay(settings, server.address());
    CHECK(relay.address().starts_with("[::1]:"));
    const RawSocket caller(relay.address());
    caller.send(get("/a", "Connection: close\r\n"));
    serveOnce(server, Ok);
    CHECK(caller.receiveAll().ends_with("ok"));
}
