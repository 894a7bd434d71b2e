#include <ragwortrelay/detail/http/growingbody.h>
#include <ragwortrelay/detail/http/requestcheck.h>
#include <ragwortrelay/http/requestreader.h>
#include <ragwortrelay/http/status.h>

#include <iterator>
#include <ostream> // Boost.Beast 1.74 needs it and doesn't include it.
#include <utility>

#include <boost/beast/http/parser.hpp>

namespace RagwortRelay::Http {

namespace beast = boost::beast::http;

namespace {

RequestReadError errorFor(const boost::beast::error_code &error, const RequestLimits &limits)
{
    if (error == beast::error::header_limit) {
        return {Status::HeaderFieldsTooLarge,
                ErrorId::RequestTooLarge,
                "the header is larger than the " + std::to_string(limits.m_maxHeaderBytes) + " bytes that this host takes"};
    }
    if (error == beast::error::body_limit) {
        return {Status::ContentTooLarge,
                ErrorId::RequestTooLarge,
                "the body is larger than the " + std::to_string(limits.m_maxBodyBytes) + " bytes that this host takes"};
    }
    return {Status::BadRequest, ErrorId::RequestMalformed, "the request can't be read: " + error.message()};
}

}

struct RequestReader::Implementation {
    explicit Implementation(const RequestLimits &limits) : m_limits(limits)
    {
        m_parser.header_limit(static_cast<std::uint32_t>(limits.m_maxHeaderBytes));
        m_parser.body_limit(limits.m_maxBodyBytes);
        m_parser.get().body().m_maxSize = limits.m_maxBodyBytes;
    }

    void refuse(RequestReadError refusal)
    {
        m_refusal = std::move(refusal);
        m_state = ReadState::Refused;
    }

    void applyHead()
    {
        const auto &message = m_parser.get();
        m_head.m_method = std::string(message.method_string());
        m_head.m_target = std::string(message.target());
        m_head.m_minorVersion = message.version() % 10;
        m_head.m_headers.reserve(static_cast<std::size_t>(std::distance(message.begin(), message.end())));
        for (const auto &field : message) {
            m_head.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        m_keepAlive = message.keep_alive();
        m_parser.get().clear(); // The fields are held once only, in m_head.
        m_headBytes = memorySizeOf(m_head);
        if (m_head.m_headers.size() > m_limits.m_maxHeaderFields) {
            return refuse({Status::HeaderFieldsTooLarge,
                           ErrorId::RequestTooLarge,
                           "the header has more than the " + std::to_string(m_limits.m_maxHeaderFields) + " fields that this host takes"});
        }
        const auto refusal = detail::checkHead(m_head, m_limits);
        if (refusal) {
            return refuse(*refusal);
        }
        m_state = ReadState::Body;
    }

    RequestLimits m_limits;
    beast::request_parser<detail::GrowingBody> m_parser;
    RequestHead m_head;
    ReadState m_state = ReadState::Head;
    RequestReadError m_refusal;
    bool m_keepAlive = true;
    std::size_t m_headBytes = 0; ///< Memory of m_head.
};

RequestReader::RequestReader(const RequestLimits &limits) : m_implementation(std::make_unique<Implementation>(limits))
{
}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader &&) noexcept = default;
RequestReader &RequestReader::operator=(RequestReader &&) noexcept = default;

std::size_t RequestReader::put(std::string_view bytes)
{
    Implementation &reader = *m_implementation;
    std::size_t consumed = 0;
    while (consumed < bytes.size() && reader.m_state != ReadState::Complete && reader.m_state != ReadState::Refused) {
        boost::beast::error_code error;
        const std::size_t consumedNow = reader.m_parser.put(boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), error);
        consumed += consumedNow;
        if (error && error != beast::error::need_more) {
            reader.refuse(errorFor(error, reader.m_limits));
            break;
        }
        if (reader.m_state == ReadState::Head && reader.m_parser.is_header_done()) {
            reader.applyHead();
        }
        if (reader.m_state == ReadState::Body && reader.m_parser.is_done()) {
            reader.m_state = ReadState::Complete;
        }
        if (error == beast::error::need_more || consumedNow == 0) {
            break;
        }
    }
    return consumed;
}

ReadState RequestReader::state() const
{
    return m_implementation->m_state;
}

const RequestReadError &RequestReader::refusal() const
{
    return m_implementation->m_refusal;
}

const RequestHead &RequestReader::head() const
{
    return m_implementation->m_head;
}

std::string RequestReader::takeBody()
{
    return std::move(m_implementation->m_parser.get().body().m_bytes);
}

std::size_t RequestReader::memorySize() const
{
    return sizeof(Implementation) + m_implementation->m_headBytes + m_implementation->m_parser.get().body().m_bytes.capacity();
}

bool RequestReader::expectsContinue() const
{
    return findHeader(m_implementation->m_head.m_headers, "Expect").has_value();
}

bool RequestReader::keepsConnection() const
{
    return m_implementation->m_keepAlive;
}

}
