#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace RagwortRelay::Runtime {

/// Header with the time that is left for a request, in milliseconds; from callers, and to backend servers.
inline constexpr const char *DeadlineHeader = "Ragwortrelay-Deadline-Ms";

/// One header of an HTTP message.
struct Header {
    std::string m_name;
    std::string m_value;

    friend bool operator==(const Header &, const Header &) = default;
};

using Headers = std::vector<Header>;

/// A caller's request with its whole body, as backend servers get it: without key and hop-by-hop headers.
struct CallerRequest {
    std::string m_method;
    std::string m_target;
    Headers m_headers;
    std::string m_body;

    friend bool operator==(const CallerRequest &, const CallerRequest &) = default;
};

/// How far the body of an answer has come.
enum class BodyState : std::uint8_t {
    Open,
    Whole,
    CutShort,
};

/// Answer of one attempt on its way from the backend client to the caller front.
///
/// One thread writes and one reads. The head is written before the stream is handed to the reader and doesn't change afterwards.
struct AnswerStream {
    static constexpr std::size_t BodyCapacity = 64U << 10U; ///< Bytes.
    static constexpr std::int64_t LengthUnknown = -1;

    std::uint16_t m_status = 0;
    Headers m_headers;
    std::int64_t m_contentLength = LengthUnknown; ///< Bytes, or LengthUnknown.
    boost::lockfree::spsc_queue<char> m_body{BodyCapacity};
    std::atomic<BodyState> m_bodyState{BodyState::Open};
    std::atomic<bool> m_readerWaits{false};
    std::atomic<bool> m_writerWaits{false};
};

/// Tells whether a header is for one connection only and must not be passed on.
/// Source: RFC 9110, section 7.6.1.
bool isHopByHop(const std::string &name);

/// Returns the headers that may be passed on: no hop-by-hop ones, and none that `Connection` names.
Headers endToEndHeaders(const Headers &headers);

/// Compares header names without regard to case.
bool sameName(const std::string &left, const std::string &right);

}
