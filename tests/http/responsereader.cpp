#include <ragwortrelay/http/responsereader.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay::Http;

namespace {

/// Feeds bytes as a connection does: what isn't used is offered again with more behind it.
ResponseState feed(ResponseReader &reader, const std::vector<std::string> &pieces, std::string &rest)
{
    for (const std::string &piece : pieces) {
        rest += piece;
        while (!rest.empty() && (reader.state() == ResponseState::Head || reader.state() == ResponseState::Body)) {
            const std::size_t used = reader.put(rest);
            rest.erase(0, used);
            if (used == 0) {
                break;
            }
        }
    }
    return reader.state();
}

std::string rest;

ResponseState feed(ResponseReader &reader, const std::vector<std::string> &pieces)
{
    rest.clear();
    return feed(reader, pieces, rest);
}

}

TEST_CASE("answer with a length")
{
    ResponseReader reader(ResponseBody::Expected);

    SECTION("in one piece")
    {
        CHECK(feed(reader, {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nServer-Mark: a\r\n\r\nhello"}) == ResponseState::Whole);
        CHECK(reader.head().m_status == 200);
        CHECK(reader.head().m_contentLength == 5U);
        CHECK(reader.head().m_keepAlive);
        CHECK(findHeader(reader.head().m_headers, "server-mark") == "a");
        CHECK(reader.takeBody() == "hello");
    }
    SECTION("byte by byte")
    {
        std::vector<std::string> bytes;
        for (const char byte : std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")) {
            bytes.emplace_back(1, byte);
        }
        CHECK(feed(reader, bytes) == ResponseState::Whole);
        CHECK(reader.takeBody() == "hello");
    }
    SECTION("without a body")
    {
        CHECK(feed(reader, {"HTTP/1.1 204 No Content\r\n\r\n"}) == ResponseState::Whole);
    }
    SECTION("with bytes behind it")
    {
        CHECK(feed(reader, {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n"}) == ResponseState::Whole);
        CHECK(rest == "HTTP/1.1 200 OK\r\n");
    }
    SECTION("cut short")
    {
        CHECK(feed(reader, {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel"}) == ResponseState::Body);
        reader.putEof();
        CHECK(reader.state() == ResponseState::Broken);
    }
}
