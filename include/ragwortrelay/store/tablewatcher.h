#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/store/store.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RagwortRelay::Store {

/// Offset between the store's clock and this host's clock, learned from calls whose time of sending is known.
struct ClockOffset {
    std::optional<std::int64_t> m_offset; ///< Offset in microseconds. The store's time plus the offset is no later than this host's time at that instant.

    friend bool operator==(const ClockOffset &, const ClockOffset &) = default;
};

/// Records the store's time from a call that was sent at `sentAt` and whose response was received at `receivedAt`. Not thread-safe on one
/// offset.
void recordStoreTime(ClockOffset &clock, TimePoint sentAt, TimePoint receivedAt, StoreTime time);

/// Returns a lower bound, by this host's clock, of the given time of the store.
/// Precondition: at least one time was recorded.
TimePoint earliestInstant(const ClockOffset &clock, StoreTime time);

/// Timing of a table watcher.
struct TableWatcherSettings {
    std::chrono::milliseconds m_wait{1000}; ///< Longest time that a call waits in the store for a change.
    Duration m_interval{}; ///< Minimum interval between the starts of two calls, so that many changes are read together.
    Duration m_minBackoff{std::chrono::milliseconds(50)}; ///< Delay after the first failed call. It doubles with each further failure up to m_maxBackoff.
    Duration m_maxBackoff{std::chrono::milliseconds(800)}; ///< Maximum delay after a failed call.

    friend bool operator==(const TableWatcherSettings &, const TableWatcherSettings &) = default;
};

/// State of a watcher that follows the changes of one table of the store.
struct TableWatcher {
    std::string m_table;
    TableWatcherSettings m_settings;
    std::vector<Row> m_changedRows; ///< Rows of the empty part from the last response, or from the full read that it completed.
    bool m_isFullRead = false; ///< m_changedRows holds the whole table.
    std::map<std::string, Row> m_fullReadRows; ///< Rows by name from a full read that takes several calls.
    Version m_fullReadVersion = 0; ///< Lowest version of the calls of the full read, up to which all its rows are known; rows of later calls may be newer.
                                   ///< Changes since are watched afterwards; a change of the era starts it anew.
    StoreTime m_fullReadTime{}; ///< Earliest store time of the calls of the full read.
    Version m_version = 0; ///< Version up to which the rows are known; 0 before the first full read.
    bool m_needsFullRead = true; ///< The table must be read in full.
    bool m_asksAtOnce = false; ///< The next call doesn't wait for a change, in order to probe whether the store can be read.
    bool m_isRunning = false; ///< A call is running.
    TimePoint m_sentAt; ///< Time at which the running call was sent.
    TimePoint m_nextAt{}; ///< Earliest time of the next call.
    Duration m_backoff{}; ///< Delay after the last failed call; 0 after a successful one.
    std::optional<TimePoint> m_confirmedAt; ///< Time as of which, or later, the rows equal those of the store.
    std::uint32_t m_failures = 0; ///< Consecutive failed calls.
};

/// Returns the next call if one is due; the call then counts as running. Not thread-safe on one watcher.
std::optional<Call> nextCall(TableWatcher &watcher, TimePoint now);

/// Outcome of a table watcher's call.
enum class WatchOutcome : std::uint8_t {
    Unchanged,
    Changed, ///< Rows have changed, or the table was read in full.
    Failed,
};

/// Applies the result of the running call. A result of a later era than the known one leads to a full read, since the store may have
/// assigned the versions after the known one again; a result of an earlier era counts as failed. Not thread-safe on one watcher.
/// Precondition: a call is running.
WatchOutcome applyResponse(TableWatcher &watcher, const Result &result, ClockOffset &clock, TimePoint now);

/// Returns when the next call is due; TimePoint::max() while one is running. Thread-safe while the watcher isn't modified.
TimePoint nextCallAt(const TableWatcher &watcher);

}
