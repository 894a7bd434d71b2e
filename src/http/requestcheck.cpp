#include <ragwortrelay/detail/http/requestcheck.h>
#include <ragwortrelay/detail/http/target.h>
#include <ragwortrelay/http/status.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace RagwortRelay::Http::detail {

namespace {

RequestReadError malformed(const std::string &detail)
{
    return {400, ErrorId::RequestMalformed, detail};
}

std::optional<std::uint64_t> parseContentLength(std::string_view text)
{
    std::uint64_t length = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool isValid = code == std::errc() && end == text.data() + text.size();
    return isValid ? std::optional(length) : std::nullopt;
}

std::optional<RequestReadError> checkFraming(const RequestHead &head, const RequestLimits &limits)
{
    const std::size_t lengths = countHeaders(head.m_headers, "Content-Length");
    const std::size_t encodings = countHeaders(head.m_headers, "Transfer-Encoding");
    if (lengths + encodings > 1) {
        return malformed("the request gives the length of its body more than once");
    }
    const auto encoding = findHeader(head.m_headers, "Transfer-Encoding");
    if (encoding && (!sameName(*encoding, "chunked") || head.m_minorVersion == 0)) {
        return malformed("the only transfer coding taken is 'chunked'");
    }
    const auto length = findHeader(head.m_headers, "Content-Length");
    const auto bytes = length ? parseContentLength(*length) : std::optional<std::uint64_t>(0);
    if (!bytes) {
        return malformed("the Content-Length is no number");
    }
    if (*bytes > limits.m_maxBodyBytes) {
        return RequestReadError{Status::ContentTooLarge,
                                ErrorId::RequestTooLarge,
                                "the body is larger than the " + std::to_string(limits.m_maxBodyBytes) + " bytes that this host takes"};
    }
    return std::nullopt;
}

/// Checks headers that may occur at most once, since no rule says which of two would apply.
std::optional<RequestReadError> checkSingletons(const RequestHead &head)
{
    const std::size_t hosts = countHeaders(head.m_headers, "Host");
    if (hosts > 1 || (hosts == 0 && head.m_minorVersion == 1)) {
        return malformed("the request needs one Host header");
    }
    const std::size_t expectations = countHeaders(head.m_headers, "Expect");
    if (expectations > 1 || (expectations == 1 && !sameName(*findHeader(head.m_headers, "Expect"), "100-continue"))) {
        return RequestReadError{Status::ExpectationFailed, ErrorId::RequestMalformed, "the only expectation met is '100-continue'"};
    }
    return std::nullopt;
}

std::optional<RequestReadError> checkTarget(const RequestHead &head)
{
    if (head.m_method == "CONNECT" || head.m_method == "TRACE") {
        return malformed("this method is not taken");
    }
    if (!isClearTarget(head.m_target)) {
        return malformed("the target must be a path without dot segments, empty segments or escaped slashes");
    }
    return std::nullopt;
}

}

std::optional<RequestReadError> checkHead(const RequestHead &head, const RequestLimits &limits)
{
    for (const Header &header : head.m_headers) {
        if (!isFieldValue(header.m_value)) {
            return malformed("the value of a header holds a control character");
        }
    }
    for (const auto &check : {checkTarget(head), checkSingletons(head), checkFraming(head, limits)}) {
        if (check) {
            return check;
        }
    }
    return std::nullopt;
}

}
