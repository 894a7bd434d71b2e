#pragma once

#include <ragwortrelay/core/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace RagwortRelay::Loop {

/// Bounds on the memory that the connections of callers hold together.
struct CallerBudgetSettings {
    std::uint64_t m_limit = 48U << 20U; ///< Bytes above which connections are closed.
    std::uint64_t m_maxLimit = UINT64_MAX; ///< Bytes that the memory of the machine allows, also for a single large request.

    friend bool operator==(const CallerBudgetSettings &, const CallerBudgetSettings &) = default;
};

/// Reason for which a connection was closed.
enum class ReleaseReason : std::uint8_t {
    Memory, ///< All connections together held too much memory.
    Connections, ///< The listener had too many connections.
};

/// Accounts for the memory that connections of callers hold, over all listeners of a host, and chooses which of them are closed when there is too
/// much. Not thread-safe.
class CallerBudget
{
public:
    using Id = std::uint64_t;
    using Release = std::function<void(ReleaseReason)>;

    explicit CallerBudget(const CallerBudgetSettings &settings);

    /// Adds a connection that holds nothing yet.
    /// @param group listener of the connection
    /// @param address IP address of the caller
    /// @param release closes the connection or frees most of its memory, and reports that with setHeld() or remove()
    Id add(const void *group, const std::string &address, TimePoint now, Release release);

    /// Removes a connection. An unknown one is ignored.
    void remove(Id id);

    /// Sets the memory that a connection holds. Precondition: add() returned the id and remove() wasn't called for it.
    void setHeld(Id id, std::uint64_t bytes);

    /// Marks the time of the last progress of a connection. Precondition: as with setHeld().
    void setProgress(Id id, TimePoint now);

    /// Raises the limit so far that one request of this size can be held, as far as the memory of the machine allows.
    void setLargestRequest(std::uint64_t bytes);

    /// Releases connections until the limit is kept. The connection that makes the call may be among them.
    void enforce(TimePoint now);

    /// Releases one connection of a listener. Returns whether there was one.
    bool releaseOneOf(const void *group, TimePoint now);

    /// Returns the memory that all connections hold, in bytes.
    [[nodiscard]] std::uint64_t held() const;

    /// Returns the number of connections that were closed for a reason.
    [[nodiscard]] std::uint64_t released(ReleaseReason reason) const;

    /// Sets a function that is called after connections were closed.
    void setObserver(std::function<void(ReleaseReason)> observer);

private:
    struct Holder {
        const void *m_group = nullptr;
        std::string m_address;
        std::uint64_t m_bytes = 0;
        TimePoint m_progressAt;
        Release m_release;
    };

    /// Returns the connection of a listener, or of all for null, that holds the most and has progressed the least.
    [[nodiscard]] const Holder *chooseVictim(const void *group, TimePoint now) const;
    void release(const Holder &victim, ReleaseReason reason);

    CallerBudgetSettings m_settings;
    std::uint64_t m_limit;
    std::uint64_t m_held = 0;
    std::map<ReleaseReason, std::uint64_t> m_released;
    std::unordered_map<Id, Holder> m_holders;
    std::unordered_map<std::string, std::uint64_t> m_heldByAddress;
    Id m_lastId = 0;
    bool m_isReleasing = false;
    std::function<void(ReleaseReason)> m_observer;
};

}
