#include <ragwortrelay/detail/http/growingbody.h>
#include <ragwortrelay/http/responsereader.h>

#include <ostream> // Boost.Beast 1.74 needs it and doesn't include it.
#include <utility>

#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace RagwortRelay::Http {

namespace beast = boost::beast::http;

namespace {

constexpr std::uint32_t MaxHeadBytes = 16U << 10U;
constexpr std::uint16_t SwitchingProtocols = 101;
constexpr std::uint16_t FirstFinalStatus = 200;
constexpr std::uint16_t FirstStatus = 100; // RFC 9110, section 15: status codes are 100 to 599.
constexpr std::uint16_t LastStatus = 599;

/// Returns whether a header can be forwarded without breaking a line.
bool hasValidValue(const Header &header)
{
    return isFieldValue(header.m_value);
}

}

struct ResponseReader::Implementation {
    explicit Implementation(ResponseBody body) : m_body(body)
    {
        restart();
    }

    void restart()
    {
        m_parser.emplace();
        m_parser->header_limit(MaxHeadBytes);
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max()); // Boost 1.74 treats boost::none as 0.
        m_parser->skip(m_body == ResponseBody::None);
    }

    /// Applies the parsed head. Returns false for an interim response, which another response follows.
    bool applyHead()
    {
        const auto &message = m_parser->get();
        if (message.result_int() < FirstStatus || message.result_int() > LastStatus) {
            m_state = ResponseState::Broken;
            return true;
        }
        if (message.result_int() < FirstFinalStatus && message.result_int() != SwitchingProtocols) {
            return false;
        }
        m_head.m_status = static_cast<std::uint16_t>(message.result_int());
        for (const auto &field : message) {
            m_head.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        if (m_head.m_status == SwitchingProtocols || !std::ranges::all_of(m_head.m_headers, hasValidValue)) {
            m_state = ResponseState::Broken;
            return true;
        }
        const auto length = m_parser->content_length();
        m_head.m_contentLength = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
        m_head.m_keepAlive = message.keep_alive() && !m_parser->need_eof();
        m_state = ResponseState::Body;
        return true;
    }

    ResponseBody m_body;
    std::optional<beast::response_parser<detail::GrowingBody>> m_parser;
    ResponseHead m_head;
    ResponseState m_state = ResponseState::Head;
};

ResponseReader::ResponseReader(ResponseBody body) : m_implementation(std::make_unique<Implementation>(body))
{
}

ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader &&) noexcept = default;
ResponseReader &ResponseReader::operator=(ResponseReader &&) noexcept = default;

std::size_t ResponseReader::put(std::string_view bytes)
{
    Implementation &reader = *m_implementation;
    std::size_t consumed = 0;
    while (consumed < bytes.size() && (reader.m_state == ResponseState::Head || reader.m_state == ResponseState::Body)) {
        boost::beast::error_code error;
        const std::size_t consumedNow = reader.m_parser->put(boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), error);
        consumed += consumedNow;
        if (error && error != beast::error::need_more) {
            reader.m_state = ResponseState::Broken;
            break;
        }
        if (reader.m_state == ResponseState::Head && reader.m_parser->is_header_done() && !reader.applyHead()) {
            reader.restart();
            continue;
        }
        if (reader.m_state == ResponseState::Body && reader.m_parser->is_done()) {
            reader.m_state = ResponseState::Whole;
        }
        if (error == beast::error::need_more || consumedNow == 0) {
            break;
        }
    }
    return consumed;
}

void ResponseReader::putEof()
{
    Implementation &reader = *m_implementation;
    boost::beast::error_code error;
    const bool isInBody = reader.m_state == ResponseState::Body;
    if (isInBody) {
        reader.m_parser->put_eof(error);
    }
    reader.m_state = isInBody && !error && reader.m_parser->is_done() ? ResponseState::Whole : ResponseState::Broken;
}

ResponseState ResponseReader::state() const
{
    return m_implementation->m_state;
}

const ResponseHead &ResponseReader::head() const
{
    return m_implementation->m_head;
}

bool ResponseReader::isCloseDelimited() const
{
    return m_implementation->m_parser->need_eof();
}

std::string ResponseReader::takeBody()
{
    return std::exchange(m_implementation->m_parser->get().body().m_bytes, {});
}

}
