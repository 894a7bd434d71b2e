#pragma once

namespace RagwortRelay::Runtime {

/// Wakes a thread that waits in poll() or epoll. All methods are thread-safe.
class Wakeup
{
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup &) = delete;
    Wakeup &operator=(const Wakeup &) = delete;

    /// Makes the descriptor readable. No preconditions.
    void notify() const;

    /// Makes the descriptor unreadable until the next notify(). No preconditions.
    void clear() const;

    /// Returns the descriptor to wait on. No preconditions.
    [[nodiscard]] int descriptor() const
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
};

}
