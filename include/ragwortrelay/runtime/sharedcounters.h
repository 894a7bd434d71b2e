#pragma once

#include <ragwortrelay/reporting/counters.h>

#include <mutex>
#include <string>

namespace RagwortRelay::Runtime {

/// Counters that several duties raise. All methods are thread-safe.
class SharedCounters
{
public:
    /// Adds to a counter, which starts at 0. No preconditions.
    void count(const std::string &name, std::uint64_t amount = 1)
    {
        const std::lock_guard lock(m_mutex);
        Reporting::count(m_counters, name, amount);
    }

    /// Returns a copy of all counters. No preconditions.
    [[nodiscard]] Reporting::Counters snapshot() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counters;
    }

private:
    mutable std::mutex m_mutex; ///< Guards m_counters.
    Reporting::Counters m_counters;
};

}
