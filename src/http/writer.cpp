#include <ragwortrelay/http/writer.h>

#include <array>
#include <charconv>

namespace RagwortRelay::Http {

namespace {

constexpr std::string_view LineEnd = "\r\n";

void writeHeaders(std::string &text, const Headers &headers)
{
    for (const Header &header : headers) {
        text += header.m_name;
        text += ": ";
        text += header.m_value;
        text += LineEnd;
    }
    text += LineEnd;
}

}

std::string writeHead(const RequestHead &head)
{
    std::string text = head.m_method + ' ' + head.m_target + " HTTP/1.1\r\n";
    writeHeaders(text, head.m_headers);
    return text;
}

std::string writeHead(const ResponseHead &head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.m_status) + ' ';
    text += reasonPhrase(head.m_status);
    text += LineEnd;
    writeHeaders(text, head.m_headers);
    return text;
}

std::string writeChunk(std::string_view piece)
{
    constexpr int HexadecimalBase = 16;
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto [end, code] = std::to_chars(digits.data(), digits.data() + digits.size(), piece.size(), HexadecimalBase);
    std::string chunk(digits.data(), end);
    chunk += LineEnd;
    chunk += piece;
    chunk += LineEnd;
    return chunk;
}

}
