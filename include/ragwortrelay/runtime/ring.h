#pragma once

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <utility>

namespace RagwortRelay::Runtime {

/// Bounded queue from any number of threads to one. A full ring refuses and counts.
template<typename Element> class Ring
{
public:
    /// @param capacity at most 65534
    /// @param wake called after each push, on the thread that pushes
    Ring(std::size_t capacity, std::function<void()> wake) : m_queue(capacity), m_wake(std::move(wake))
    {
    }

    ~Ring()
    {
        drain([](Element &&) {});
    }

    Ring(const Ring &) = delete;
    Ring &operator=(const Ring &) = delete;

    /// Adds an element unless the ring is full; returns whether it did. Thread-safe.
    bool push(Element element)
    {
        auto owned = std::make_unique<Element>(std::move(element));
        if (!m_queue.bounded_push(owned.get())) {
            m_refused.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        static_cast<void>(owned.release());
        m_wake();
        return true;
    }

    /// Hands elements to `consumer`, oldest first, until none is left or `most` were handed over; returns their number.
    /// Precondition: only one thread drains at a time.
    template<typename Consumer> std::size_t drain(Consumer consumer, std::size_t most = std::numeric_limits<std::size_t>::max())
    {
        Element *raw = nullptr;
        std::size_t count = 0;
        while (count < most && m_queue.pop(raw)) {
            const std::unique_ptr<Element> owned(raw);
            consumer(std::move(*owned));
            ++count;
        }
        return count;
    }

    /// Returns how many elements were refused. Thread-safe.
    [[nodiscard]] std::uint64_t refused() const
    {
        return m_refused.load(std::memory_order_relaxed);
    }

private:
    boost::lockfree::queue<Element *, boost::lockfree::fixed_sized<true>> m_queue;
    std::function<void()> m_wake;
    std::atomic<std::uint64_t> m_refused{0};
};

}
