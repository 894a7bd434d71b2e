#pragma once

#include <cstdint>

/// Names of HTTP status codes. Source: RFC 9110, section 15; RFC 6585.
namespace RagwortRelay::Http::Status {

inline constexpr std::uint16_t Ok = 200;
inline constexpr std::uint16_t NoContent = 204;
inline constexpr std::uint16_t NotModified = 304;
inline constexpr std::uint16_t BadRequest = 400;
inline constexpr std::uint16_t Unauthorized = 401;
inline constexpr std::uint16_t Forbidden = 403;
inline constexpr std::uint16_t NotFound = 404;
inline constexpr std::uint16_t RequestTimeout = 408;
inline constexpr std::uint16_t Conflict = 409;
inline constexpr std::uint16_t Gone = 410;
inline constexpr std::uint16_t PreconditionFailed = 412;
inline constexpr std::uint16_t ContentTooLarge = 413;
inline constexpr std::uint16_t ExpectationFailed = 417;
inline constexpr std::uint16_t Misdirected = 421;
inline constexpr std::uint16_t Unprocessable = 422;
inline constexpr std::uint16_t TooManyRequests = 429;
inline constexpr std::uint16_t HeaderFieldsTooLarge = 431;
inline constexpr std::uint16_t InternalServerError = 500;
inline constexpr std::uint16_t BadGateway = 502;
inline constexpr std::uint16_t ServiceUnavailable = 503;
inline constexpr std::uint16_t GatewayTimeout = 504;

}
