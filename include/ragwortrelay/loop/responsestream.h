#pragma once

#include <ragwortrelay/http/message.h>

#include <cstdint>
#include <functional>
#include <string>

namespace RagwortRelay::Loop {

/// How far the body of an answer has come.
enum class BodyState : std::uint8_t {
    Open,
    Whole,
    Truncated,
};

/// Answer of one attempt on its way from a backend server to a caller. Used by one thread.
struct ResponseStream {
    Http::ResponseHead m_head; ///< As the caller gets it, without headers about the body's length.
    std::string m_pending; ///< Bytes of the body that the caller's connection has not taken.
    BodyState m_state = BodyState::Open;
    std::function<void()> m_onDataAvailable; ///< Called when bytes were added or the state has changed.
    std::function<void()> m_onTaken; ///< Called when bytes were taken.
    std::function<void()> m_onAbandoned; ///< Called when nobody wants the rest.
};

}
