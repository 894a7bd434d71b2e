#include <ragwortrelay/http/responsereader.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay::Http;

namespace {

/// Passes pieces to the reader as a connection does. Unconsumed bytes are passed again together with the next piece.
ResponseState feed(ResponseReader &reader, const std::vector<std::string> &pieces, std::string &remaining)
{
    for (const std::string &piece : pieces) {
        remaining += piece;
        while (!remaining.empty() && (reader.state() == ResponseState::Head || reader.state() == ResponseState::Body)) {
            const std::size_t consumed = reader.put(remaining);
            remaining.erase(0, consumed);
            if (consumed == 0) {
                break;
            }
        }
    }
    return reader.state();
}

std::string remaining;

ResponseState feed(ResponseReader &reader, const std::vector<std::string> &pieces)
{
    remaining.clear();
    return feed(reader, pieces, remaining);
}

}

TEST_CASE("response with a length")
{
    ResponseReader reader(ResponseBody::Expected);

    SECTION("is read in one piece")
    {
        CHECK(feed(reader, {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nServer-Mark: a\r\n\r\nhello"}) == ResponseState::Whole);
        CHECK(reader.head().m_status == 200);
        CHECK(reader.head().m_contentLength == 5U);
        CHECK(reader.head().m_keepAlive);
        CHECK(findHeader(reader.head().m_headers, "server-mark") == "a");
        CHECK(reader.takeBody() == "hello");
    }
    SECTION("is read byte by byte")
    {
        std::vector<std::string> bytes;
        for (const char byte : std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")) {
            bytes.emplace_back(1, byte);
        }
        CHECK(feed(reader, bytes) == ResponseState::Whole);
        CHECK(reader.takeBody() == "hello");
    }
    SECTION("is complete without a body if the status permits none")
    {
        CHECK(feed(reader, {"HTTP/1.1 204 No Content\r\n\r\n"}) == ResponseState::Whole);
    }
    SECTION("leaves the bytes that follow it unconsumed")
    {
        CHECK(feed(reader, {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n"}) == ResponseState::Whole);
        CHECK(remaining == "HTTP/1.1 200 OK\r\n");
    }
    SECTION("is broken if the connection ends before the body")
    {
        CHECK(feed(reader, {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel"}) == ResponseState::Body);
        reader.putEof();
        CHECK(reader.state() == ResponseState::Broken);
    }
}

// Guards against an allocation of the announced length or chunk size, which no memory holds.
TEST_CASE("regression: a response with a far too large length ended the process")
{
    const std::string framing = GENERATE("Content-Length: 1818181818181818181\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nffffffffffffff\r\n");
    CAPTURE(framing);
    ResponseReader reader(ResponseBody::Expected);
    CHECK(feed(reader, {"HTTP/1.1 200 OK\r\n" + framing + "hello"}) == ResponseState::Body);
    const std::string body = reader.takeBody();
    CHECK(body == "hello");
    CHECK(body.capacity() < 1024);

    SECTION("and is broken when the connection ends")
    {
        reader.putEof();
        CHECK(reader.state() == ResponseState::Broken);
    }
}

// RFC 9110, section 15: status codes are 100 to 599. 000 and 099 were skipped like interim responses, so that the request waited until its
// timeout; 600 and 999 were passed on.
TEST_CASE("regression: a response with an invalid status code wasn't malformed")
{
    const std::string status = GENERATE("000", "001", "099", "600", "999");
    CAPTURE(status);
    ResponseReader reader(ResponseBody::Expected);
    CHECK(feed(reader, {"HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n"}) == ResponseState::Broken);
}

TEST_CASE("the smallest and the largest status code are valid")
{
    ResponseReader reader(ResponseBody::Expected);
    CHECK(feed(reader, {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Odd\r\n\r\nHTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n"}) == ResponseState::Whole);
    CHECK(reader.head().m_status == 599);
}
