#include <ragwortrelay/detail/http/secret.h>
#include <ragwortrelay/http/headerscheme.h>
#include <ragwortrelay/http/status.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace RagwortRelay::Http {

namespace {

constexpr std::chrono::milliseconds MaxTimeLeft = std::chrono::hours(1);

/// Returns one metric of an ORCA load report in text form, or 0 if it is missing.
/// Source: Open Request Cost Aggregation, header `endpoint-load-metrics`.
double parseMetric(std::string_view report, std::string_view name)
{
    const std::size_t start = report.find(name);
    if (start == std::string_view::npos) {
        return 0.0;
    }
    double value = 0.0;
    std::from_chars(report.data() + start + name.size(), report.data() + report.size(), value);
    return value;
}

std::optional<LoadReport> parseOrcaLoad(std::string_view value)
{
    constexpr double MaxReportedRequests = 1e6;
    LoadReport load;
    load.m_running = static_cast<std::uint32_t>(std::clamp(parseMetric(value, "named_metrics.busy="), 0.0, MaxReportedRequests));
    load.m_draining = parseMetric(value, "named_metrics.draining=") > 0.0;
    return load;
}

bool isNotRunOutcome(std::uint16_t status, std::string_view value)
{
    return status == Status::ServiceUnavailable && value == "not-run";
}

std::optional<Duration> parseTimeLeft(std::string_view value)
{
    std::int64_t milliseconds = 0;
    const char *end = value.data() + value.size();
    const auto [stop, code] = std::from_chars(value.data(), end, milliseconds);
    const bool isValid = code == std::errc() && stop == end && milliseconds > 0 && milliseconds <= MaxTimeLeft.count();
    return isValid ? std::optional<Duration>(std::chrono::milliseconds(milliseconds)) : std::nullopt;
}

/// Parses the announcement of a server that it is leaving: `1`, or `0` for a server that isn't.
std::optional<bool> parseLeaving(std::string_view value)
{
    if (value == "1") {
        return true;
    }
    return value == "0" ? std::optional<bool>(false) : std::nullopt;
}

/// Parses `Retry-After` as seconds, which may have a fraction. Negative values and dates are not accepted.
std::optional<Duration> parsePause(std::string_view value)
{
    double seconds = 0.0;
    const char *end = value.data() + value.size();
    const auto [stop, code] = std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
    if (code != std::errc() || stop != end || value.starts_with('-') || !std::isfinite(seconds)) {
        return std::nullopt;
    }
    const std::chrono::duration<double> pause(std::min(seconds, std::chrono::duration<double>(MaxServerPause).count()));
    return std::chrono::duration_cast<Duration>(pause);
}

/// Parses the headers by which a server asks for fewer requests: that it is leaving, or that it wants a pause.
void readNotices(ResponseMetadata &metadata, const HeaderScheme &headerScheme, const ResponseHead &head)
{
    if (const auto value = headerScheme.m_leaving.empty() ? std::nullopt : findHeader(head.m_headers, headerScheme.m_leaving)) {
        const auto leaving = parseLeaving(*value);
        metadata.m_isLeaving = leaving.value_or(false);
        metadata.m_unreadableHeader = leaving ? std::string() : headerScheme.m_leaving;
    }
    const auto value = head.m_status == Status::ServiceUnavailable ? findHeader(head.m_headers, "Retry-After") : std::nullopt;
    if (value) {
        metadata.m_pause = parsePause(*value);
        metadata.m_unreadableHeader = metadata.m_pause ? metadata.m_unreadableHeader : "Retry-After";
    }
}

std::string normalizedHost(std::string_view value)
{
    const std::size_t port = value.starts_with('[') ? value.find(':', value.find(']')) : value.find(':');
    std::string host(value.substr(0, port));
    std::ranges::transform(host, host.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return host;
}

bool isOneOf(const std::string &name, std::initializer_list<std::string_view> names)
{
    return std::ranges::any_of(names, [&](std::string_view candidate) { return !candidate.empty() && sameName(name, candidate); });
}

bool hasSecret(const Header &header, std::string_view secret)
{
    return detail::containsSecret(header.m_value, secret) || detail::containsSecret(header.m_name, secret);
}

}

HeaderScheme defaultHeaderScheme()
{
    HeaderScheme headerScheme;
    headerScheme.m_hostAttempt = "Ragwortrelay-Attempt";
    headerScheme.m_timeLeft = "Ragwortrelay-Deadline-Ms";
    headerScheme.m_key = "Authorization";
    headerScheme.m_idempotencyKey = "Idempotency-Key";
    headerScheme.m_loadReport = "endpoint-load-metrics";
    headerScheme.m_notRun = "Ragwortrelay-Outcome";
    headerScheme.m_leaving = "Ragwortrelay-Leaving";
    headerScheme.m_outcome = "Ragwortrelay-Outcome";
    headerScheme.m_readKey = Workspaces::parseBearer;
    headerScheme.m_readLoad = parseOrcaLoad;
    headerScheme.m_readNotRun = isNotRunOutcome;
    return headerScheme;
}

std::optional<RequestMetadata> readRequestMetadata(const HeaderScheme &headerScheme, const RequestHead &head)
{
    for (const std::string &name : {headerScheme.m_attemptId, headerScheme.m_timeLeft, headerScheme.m_key, headerScheme.m_idempotencyKey}) {
        if (!name.empty() && countHeaders(head.m_headers, name) > 1) {
            return std::nullopt;
        }
    }
    const auto valueOf = [&](const std::string &name) {
        return name.empty() ? std::string_view() : findHeader(head.m_headers, name).value_or(std::string_view());
    };
    RequestMetadata metadata;
    metadata.m_host = normalizedHost(valueOf("Host"));
    metadata.m_path = head.m_target.substr(0, head.m_target.find('?'));
    metadata.m_attemptId = valueOf(headerScheme.m_attemptId);
    metadata.m_timeLeft = parseTimeLeft(valueOf(headerScheme.m_timeLeft));
    metadata.m_key = valueOf(headerScheme.m_key);
    metadata.m_idempotencyKey = valueOf(headerScheme.m_idempotencyKey);
    return metadata;
}

bool leaksKey(const RequestMetadata &metadata, const RequestHead &head, std::string_view body)
{
    const std::string_view secret = detail::extractSecret(metadata.m_key);
    return detail::containsSecret(head.m_target, secret) || detail::containsSecret(body, secret);
}

RequestHead
forwardedRequestHead(const HeaderScheme &headerScheme, const RequestHead &head, const std::string &key, const BackendHeaderValues &values, std::size_t bodySize)
{
    RequestHead result{head.m_method, head.m_target, 1, {}};
    const std::string_view secret = detail::extractSecret(key);
    for (Header &header : endToEndHeaders(head.m_headers)) {
        const bool isReplaced =
            isOneOf(header.m_name,
                    {"Content-Length", "Expect", headerScheme.m_hostAttempt, headerScheme.m_timeLeft, headerScheme.m_workspace, headerScheme.m_expectedServer});
        if (!isReplaced && !isOneOf(header.m_name, {headerScheme.m_key}) && !hasSecret(header, secret)) {
            result.m_headers.push_back(std::move(header));
        }
    }
    const auto add = [&result](const std::string &name, std::string value) {
        if (!name.empty() && !value.empty()) {
            result.m_headers.push_back({name, std::move(value)});
        }
    };
    const auto timeLeft = std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(values.m_timeLeft));
    add(headerScheme.m_timeLeft, std::to_string(timeLeft.count()));
    add(headerScheme.m_hostAttempt, values.m_hostAttempt);
    add(headerScheme.m_workspace, values.m_workspace);
    add(headerScheme.m_expectedServer, values.m_expectedServer);
    const bool hadBody = countHeaders(head.m_headers, "Content-Length") + countHeaders(head.m_headers, "Transfer-Encoding") > 0;
    if (bodySize > 0 || hadBody) {
        result.m_headers.push_back({"Content-Length", std::to_string(bodySize)});
    }
    return result;
}

ResponseMetadata readResponseMetadata(const HeaderScheme &headerScheme, const ResponseHead &head)
{
    ResponseMetadata metadata;
    const auto load = findHeader(head.m_headers, headerScheme.m_loadReport);
    metadata.m_loadReport = load ? headerScheme.m_readLoad(*load) : std::nullopt;
    const auto notRun = findHeader(head.m_headers, headerScheme.m_notRun);
    metadata.m_notRun = notRun && headerScheme.m_readNotRun(head.m_status, *notRun);
    const auto valueOf = [&](const std::string &name) {
        return name.empty() ? std::string_view() : findHeader(head.m_headers, name).value_or(std::string_view());
    };
    metadata.m_attemptId = valueOf(headerScheme.m_attemptId);
    metadata.m_hostAttempt = valueOf(headerScheme.m_hostAttempt);
    readNotices(metadata, headerScheme, head);
    return metadata;
}

Headers headersForCaller(const HeaderScheme &headerScheme, const ResponseHead &head)
{
    Headers headers = endToEndHeaders(head.m_headers);
    std::erase_if(headers, [&](const Header &header) {
        return isOneOf(header.m_name, {"Content-Length", headerScheme.m_hostAttempt, headerScheme.m_loadReport, headerScheme.m_notRun});
    });
    return headers;
}

}
