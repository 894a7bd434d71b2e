#pragma once

#include <ragwortrelay/core/time.h>

#include <optional>

namespace RagwortRelay::Fleet {

/// Estimate of how long the messages of one sender take until they are read. The clocks of two hosts have an unknown offset, so the age of a message is
/// counted from the fastest one of the last seconds.
/// Source: S. Shalunov et al., Low Extra Delay Background Transport (LEDBAT), RFC 6817 (2012), section 3.4.
struct MessageAge {
    std::optional<Duration> m_minOffset; ///< Least difference between receipt and sending in the present window; empty before the first message.
    Duration m_lastMinOffset{}; ///< The same in the window before.
    TimePoint m_windowStart{};

    friend bool operator==(const MessageAge &, const MessageAge &) = default;
};

/// Records a message and returns how much longer ago it was sent than the fastest one was when it was read. Zero for the first message, and for one that seems
/// so old that the sender's clock must have been set back. Not thread-safe on one estimate.
/// @param sentAt time of sending by the sender's clock
Duration recordMessage(MessageAge &age, Duration sentAt, TimePoint receivedAt);

}
