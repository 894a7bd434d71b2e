#pragma once

#include <boost/circular_buffer.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <mutex>
#include <optional>
#include <utility>

namespace RagwortRelay::Loop {

/// Bounded queue with any number of producer threads and one consumer thread. A full ring refuses new elements and counts them.
template<typename Element> class Ring
{
public:
    /// Creates an empty ring.
    /// @param wake called after each successful push, on the thread that pushes
    Ring(std::size_t capacity, std::function<void()> wake) : m_queue(capacity), m_wake(std::move(wake))
    {
    }

    Ring(const Ring &) = delete;
    Ring &operator=(const Ring &) = delete;

    /// Appends an element unless the ring is full; returns whether it was appended. Thread-safe.
    bool push(Element element)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_queue.full()) {
                m_refused.fetch_add(1, std::memory_order_relaxed);
                return false;
            }
            m_queue.push_back(std::move(element));
        }
        m_wake();
        return true;
    }

    /// Removes elements, oldest first, and passes them to `consumer` until the ring is empty or `maxCount` were passed; returns their number.
    /// Precondition: only one thread drains at a time.
    template<typename Consumer> std::size_t drain(Consumer consumer, std::size_t maxCount = std::numeric_limits<std::size_t>::max())
    {
        std::size_t count = 0;
        while (count < maxCount) {
            std::optional<Element> element = pop();
            if (!element) {
                break;
            }
            consumer(std::move(*element));
            ++count;
        }
        return count;
    }

    /// Returns the number of refused elements. Thread-safe.
    [[nodiscard]] std::uint64_t refused() const
    {
        return m_refused.load(std::memory_order_relaxed);
    }

private:
    std::optional<Element> pop()
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.empty()) {
            return std::nullopt;
        }
        std::optional<Element> element(std::move(m_queue.front()));
        m_queue.pop_front();
        return element;
    }

    std::mutex m_mutex;
    boost::circular_buffer_space_optimized<Element> m_queue;
    std::function<void()> m_wake;
    std::atomic<std::uint64_t> m_refused{0};
};

}
