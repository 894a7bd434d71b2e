#pragma once

#include <ragwortrelay/core/time.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace RagwortRelay::Loop {

/// Bytes that a caller has sent and that are not parsed yet, with the times of their receipt. A caller may send requests before earlier
/// ones are answered; the time that such a request waits counts against its deadline. Not thread-safe.
class CallerInput
{
public:
    /// Appends received bytes. Precondition: `now` never decreases between calls.
    void append(std::string_view bytes, TimePoint now)
    {
        m_bytes.append(bytes);
        m_parts.push_back({bytes.size(), now});
    }

    /// Removes parsed bytes from the front. Precondition: there are so many.
    void consume(std::size_t count)
    {
        m_bytes.erase(0, count);
        if (m_bytes.empty()) {
            m_bytes = {}; // An idle connection holds no buffer.
        }
        while (count > 0) {
            Part &part = m_parts.front();
            m_consumedReceivedAt = part.m_receivedAt;
            const std::size_t consumed = std::min(count, part.m_size);
            part.m_size -= consumed;
            count -= consumed;
            if (part.m_size == 0) {
                m_parts.pop_front();
            }
        }
    }

    /// Removes all bytes.
    void clear()
    {
        m_bytes = {};
        m_parts.clear();
    }

    /// Returns the bytes that are not parsed yet.
    [[nodiscard]] const std::string &bytes() const
    {
        return m_bytes;
    }

    /// Returns the memory that the bytes and their times take, in bytes.
    [[nodiscard]] std::size_t memorySize() const
    {
        return m_bytes.capacity() + (m_parts.size() * sizeof(Part));
    }

    /// Returns the time at which the last consumed byte was received.
    [[nodiscard]] TimePoint consumedReceivedAt() const
    {
        return m_consumedReceivedAt;
    }

private:
    /// Bytes that were received together.
    struct Part {
        std::size_t m_size = 0; ///< Bytes that are not consumed yet.
        TimePoint m_receivedAt;
    };

    std::string m_bytes;
    std::deque<Part> m_parts;
    TimePoint m_consumedReceivedAt{};
};

}
