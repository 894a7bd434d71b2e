#include <ragwortrelay/detail/loop/problem.h>
#include <ragwortrelay/http/status.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace RagwortRelay::Loop::detail {

namespace {

std::string formatRetryAfter(const Http::HeaderScheme &headerScheme, Duration wait)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(wait).count());
    if (!headerScheme.m_fractionalRetryAfter) {
        return std::to_string(std::max(1L, std::lround(std::ceil(seconds))));
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", seconds);
    return text.data();
}

}

std::string problemBody(const Dispatch::Problem &problem)
{
    return nlohmann::json{{"type", "urn:ragwortrelay:error:" + toString(problem.m_id)},
                          {"status", problem.m_status},
                          {"title", problem.m_detail},
                          {"id", toString(problem.m_id)},
                          {"outcome", Dispatch::toString(problem.m_outcome)}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Http::Headers problemHeaders(const Http::HeaderScheme &headerScheme, const Dispatch::Problem &problem)
{
    Http::Headers headers{{"Content-Type", "application/problem+json"}};
    if (!headerScheme.m_outcome.empty()) {
        headers.push_back({headerScheme.m_outcome, Dispatch::toString(problem.m_outcome)});
    }
    if (problem.m_status == Http::Status::TooManyRequests || problem.m_status == Http::Status::ServiceUnavailable) {
        headers.push_back({"Retry-After", formatRetryAfter(headerScheme, problem.m_retryAfter.value_or(std::chrono::seconds(1)))});
    }
    return headers;
}

}
