#pragma once

#include <ragwortrelay/http/message.h>

#include <cstdint>
#include <functional>
#include <string>

namespace RagwortRelay::Loop {

/// Progress of the body of a response.
enum class BodyState : std::uint8_t {
    Open, ///< More of the body may follow.
    Whole, ///< All of the body was received.
    Truncated, ///< The body ended early.
};

/// Response of one attempt, passed from a backend server to a caller. Not thread-safe.
struct ResponseStream {
    Http::ResponseHead m_head; ///< Head as the caller receives it, without the headers that frame the body.
    std::string m_pending; ///< Bytes of the body that the caller's connection has not consumed.
    BodyState m_state = BodyState::Open; ///< Progress of the body.
    std::function<void()> m_onDataAvailable; ///< Called after bytes were added or the state has changed.
    std::function<void()> m_onTaken; ///< Called after the caller's connection has consumed bytes.
    std::function<void()> m_onAbandoned; ///< Called when the caller's connection closes before the body has ended.
};

}
