#include <ragwortrelay/detail/runtime/requestcheck.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace RagwortRelay::Runtime::detail {

namespace {

using Dispatch::Outcome;
using Dispatch::Problem;

constexpr std::uint16_t HttpBadRequest = 400;
constexpr std::uint16_t HttpContentTooLarge = 413;
constexpr std::uint16_t HttpExpectationFailed = 417;
constexpr std::uint16_t HttpHeaderFieldsTooLarge = 431;
constexpr std::uint16_t HttpVersionNotSupported = 505;
constexpr std::size_t ShortestSecret = 16; ///< Characters; shorter texts would be found by chance.

Problem malformed(const std::string &detail)
{
    return {HttpBadRequest, ErrorId::RequestMalformed, Outcome::NotRun, detail, {}};
}

/// Tells whether a character may stand in a method or in the name of a header.
/// Source: RFC 9110, section 5.6.2.
bool isTokenCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return std::isalnum(byte) != 0 || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool isToken(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(const std::string &text)
{
    return std::none_of(text.begin(), text.end(), [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return (byte < ' ' && byte != '\t') || byte == 0x7F;
    });
}

std::vector<std::string> valuesOf(const Headers &headers, const char *name)
{
    std::vector<std::string> values;
    for (const Header &header : headers) {
        if (sameName(header.m_name, name)) {
            values.push_back(header.m_value);
        }
    }
    return values;
}

std::optional<std::uint64_t> parseLength(const std::string &text)
{
    std::uint64_t length = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool isWhole = code == std::errc() && end == text.data() + text.size();
    return isWhole ? std::optional(length) : std::nullopt;
}

std::optional<Problem> checkFraming(const RequestHead &head, const Settings::CallerSettings &settings)
{
    const auto lengths = valuesOf(head.m_headers, "Content-Length");
    const auto encodings = valuesOf(head.m_headers, "Transfer-Encoding");
    if (lengths.size() > 1 || encodings.size() > 1 || (!lengths.empty() && !encodings.empty())) {
        return malformed("the request gives the length of its body more than once");
    }
    if (!encodings.empty() && (!sameName(encodings[0], "chunked") || head.m_version != "HTTP/1.1")) {
        return malformed("the only transfer coding taken is 'chunked'");
    }
    const auto length = lengths.empty() ? std::optional<std::uint64_t>(0) : parseLength(lengths[0]);
    if (!length) {
        return malformed("the Content-Length is no number");
    }
    if (*length > settings.m_bodyLimit) {
        const std::string detail = "the body is larger than the " + std::to_string(settings.m_bodyLimit) + " bytes that this host takes";
        return Problem{HttpContentTooLarge, ErrorId::RequestTooLarge, Outcome::NotRun, detail, {}};
    }
    return std::nullopt;
}

std::optional<Problem> checkFields(const RequestHead &head)
{
    for (const Header &header : head.m_headers) {
        if (!isToken(header.m_name)) {
            return malformed("the name of a header holds a character that is not allowed");
        }
        if (!isFieldValue(header.m_value)) {
            return malformed("the value of a header holds a control character");
        }
    }
    const std::size_t hosts = valuesOf(head.m_headers, "Host").size();
    if (hosts > 1 || (hosts == 0 && head.m_version == "HTTP/1.1")) {
        return malformed("the request needs one Host header");
    }
    for (const char *name : {"Authorization", "Idempotency-Key"}) {
        if (valuesOf(head.m_headers, name).size() > 1) {
            return malformed(std::string("the request has more than one ") + name + " header");
        }
    }
    const auto expectations = valuesOf(head.m_headers, "Expect");
    if (expectations.size() > 1 || (!expectations.empty() && !sameName(expectations[0], "100-continue"))) {
        return Problem{HttpExpectationFailed, ErrorId::RequestMalformed, Outcome::NotRun, "the only expectation met is '100-continue'", {}};
    }
    return std::nullopt;
}

std::size_t sizeOf(const RequestHead &head)
{
    constexpr std::size_t Separators = 4; // Colon, space, CR, LF
    std::size_t size = head.m_method.size() + head.m_target.size();
    for (const Header &header : head.m_headers) {
        size += header.m_name.size() + header.m_value.size() + Separators;
    }
    return size;
}

/// Returns the byte that an escape such as `%2F` stands for, or nothing.
std::optional<char> unescape(std::string_view text, std::size_t position)
{
    unsigned byte = 0;
    const bool isThere = text.size() >= position + 3;
    const char *digits = text.data() + position + 1;
    if (!isThere || std::isxdigit(static_cast<unsigned char>(digits[0])) == 0 || std::isxdigit(static_cast<unsigned char>(digits[1])) == 0) {
        return std::nullopt;
    }
    std::from_chars(digits, digits + 2, byte, 16);
    return static_cast<char>(byte);
}

/// Source: RFC 3986, section 2.3.
bool isUnreserved(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || std::string_view("-._~").find(character) != std::string_view::npos;
}

bool isPlainTargetCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte > ' ' && byte < 0x7F && std::string_view("\"#<>\\^`{|}").find(character) == std::string_view::npos;
}

std::optional<std::string> normalizePath(std::string_view path)
{
    std::string normal;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] != '%') {
            normal += path[i];
            continue;
        }
        const auto byte = unescape(path, i);
        const bool isDangerous = !byte || *byte == '/' || *byte == '\\' || static_cast<unsigned char>(*byte) < ' ' || *byte == 0x7F;
        if (isDangerous) {
            return std::nullopt;
        }
        normal += isUnreserved(*byte) ? std::string(1, *byte) : std::string(path.substr(i, 3));
        i += 2;
    }
    return normal;
}

/// Tells whether a segment of a path would be resolved or merged by a server. Parameters behind `;` don't count.
bool isAmbiguousSegment(std::string_view segment, bool isLast)
{
    const std::string_view name = segment.substr(0, segment.find(';'));
    return name == "." || name == ".." || (name.empty() && !isLast) || (name.empty() && !segment.empty());
}

bool hasAmbiguousSegment(std::string_view path)
{
    std::size_t start = 1;
    while (start <= path.size()) {
        const std::size_t slash = path.find('/', start);
        const bool isLast = slash == std::string_view::npos;
        if (isAmbiguousSegment(path.substr(start, isLast ? slash : slash - start), isLast)) {
            return true;
        }
        if (isLast) {
            return false;
        }
        start = slash + 1;
    }
    return false;
}

}

std::optional<std::string> normalizeTarget(const std::string &target)
{
    const bool isOriginForm = target.starts_with('/') && std::all_of(target.begin(), target.end(), isPlainTargetCharacter);
    if (!isOriginForm) {
        return std::nullopt;
    }
    const std::size_t queryStart = std::min(target.find('?'), target.size());
    const auto path = normalizePath(std::string_view(target).substr(0, queryStart));
    if (!path || hasAmbiguousSegment(*path)) {
        return std::nullopt;
    }
    return *path + target.substr(queryStart);
}

std::string secretOf(const std::string &authorization)
{
    const std::size_t space = authorization.find(' ');
    const std::string key = space == std::string::npos ? authorization : authorization.substr(space + 1);
    const std::size_t dot = key.rfind('.');
    const std::string secret = dot == std::string::npos ? key : key.substr(dot + 1);
    const std::string &longer = secret.size() >= ShortestSecret ? secret : key;
    return longer.size() >= ShortestSecret ? longer : std::string();
}

bool carriesSecret(const std::string &text, const std::string &secret)
{
    if (secret.empty() || text.empty()) {
        return false;
    }
    if (text.find(secret) != std::string::npos) {
        return true;
    }
    if (text.find('%') == std::string::npos) {
        return false;
    }
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto byte = text[i] == '%' ? unescape(text, i) : std::nullopt;
        decoded += byte.value_or(text[i]);
        i += byte ? 2 : 0;
    }
    return decoded.find(secret) != std::string::npos;
}

std::optional<Dispatch::Problem> checkHead(const RequestHead &head, const Settings::CallerSettings &settings)
{
    if (head.m_version != "HTTP/1.1" && head.m_version != "HTTP/1.0") {
        return Problem{HttpVersionNotSupported, ErrorId::RequestMalformed, Outcome::NotRun, "the versions of HTTP taken are 1.0 and 1.1", {}};
    }
    if (!isToken(head.m_method) || head.m_method == "CONNECT" || head.m_method == "TRACE") {
        return malformed("this method is not taken");
    }
    if (sizeOf(head) > settings.m_headerLimit) {
        const std::string detail = "the header is larger than the " + std::to_string(settings.m_headerLimit) + " bytes that this host takes";
        return Problem{HttpHeaderFieldsTooLarge, ErrorId::RequestTooLarge, Outcome::NotRun, detail, {}};
    }
    if (!normalizeTarget(head.m_target)) {
        return malformed("the target must be a path without dot segments, empty segments or escaped slashes");
    }
    const auto fields = checkFields(head);
    return fields ? fields : checkFraming(head, settings);
}

Headers headersForServer(const Headers &headers, const std::string &secret)
{
    Headers kept;
    for (const Header &header : endToEndHeaders(headers)) {
        const bool isWrittenAnew = sameName(header.m_name, "Content-Length") || sameName(header.m_name, "Expect") || sameName(header.m_name, DeadlineHeader);
        const bool isSecret = sameName(header.m_name, "Authorization") || carriesSecret(header.m_value, secret) || carriesSecret(header.m_name, secret);
        if (!isWrittenAnew && !isSecret) {
            kept.push_back(header);
        }
    }
    return kept;
}

}
