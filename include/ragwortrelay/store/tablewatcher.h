#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/store/store.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace RagwortRelay::Store {

/// Relation of the store's clock to the clock of this host, from calls whose start is known.
struct ClockOffset {
    std::optional<std::int64_t> m_offset; ///< Microseconds; the store's time plus this is no later than the host's time at that instant.

    friend bool operator==(const ClockOffset &, const ClockOffset &) = default;
};

/// Takes in that a call which was sent at `sentAt` and answered at `receivedAt` carried a time of the store. Not thread-safe on one map.
void recordStoreTime(ClockOffset &map, TimePoint sentAt, TimePoint receivedAt, StoreTime time);

/// Returns an instant of this host that is no later than the given time of the store. Precondition: one time was noted.
TimePoint earliestInstant(const ClockOffset &map, StoreTime time);

/// How a table is followed.
struct TableWatcherSettings {
    std::chrono::milliseconds m_wait{1000}; ///< Of one call, when nothing changes.
    Duration m_interval{}; ///< Least time between two calls, so that many changes are read together.
    Duration m_firstPause{std::chrono::milliseconds(50)}; ///< After a call that failed; doubled up to m_longestPause.
    Duration m_longestPause{std::chrono::milliseconds(800)};

    friend bool operator==(const TableWatcherSettings &, const TableWatcherSettings &) = default;
};

/// One table of the store as this host knows it.
struct TableWatcher {
    std::string m_table;
    TableWatcherSettings m_settings;
    std::vector<Row> m_changedRows; ///< Rows of the empty part that the last answer brought, or all of them.
    bool m_isFullRead = false; ///< m_changedRows holds the whole table.
    std::map<std::string, Row> m_reading; ///< Of a full read in several calls.
    Version m_readingVersion = 0; ///< Of the first of these calls; changes since then are followed afterwards.
    StoreTime m_readingTime{}; ///< Of the first of these calls.
    Version m_version = 0; ///< Up to which the rows are known; 0 before the first read.
    bool m_mustRead = true; ///< The table must be read as a whole.
    bool m_asksAtOnce = false; ///< The next call doesn't wait for a change, to see whether the store can be read.
    bool m_isRunning = false; ///< A call is under way.
    TimePoint m_sentAt; ///< Of the call that runs.
    TimePoint m_nextAt{}; ///< No call before.
    Duration m_pause{}; ///< After the last failure.
    std::optional<TimePoint> m_confirmedAt; ///< The rows are those of the store as of this instant, or of later.
    std::uint32_t m_failures = 0; ///< Calls in a row without a use.
};

/// Returns the next call, if one is due; it counts as running from now on. Not thread-safe on one follower.
std::optional<Call> nextCall(TableWatcher &watcher, TimePoint now);

/// What an answer brought.
enum class WatchOutcome : std::uint8_t {
    Unchanged,
    Changed, ///< Rows are new, or the table was read as a whole.
    Failed,
};

/// Takes in the answer to the call that runs. Precondition: one runs.
WatchOutcome applyResponse(TableWatcher &watcher, const Result &result, ClockOffset &clock, TimePoint now);

/// Returns when the next call is due; TimePoint::max() while one runs. Thread-safe on a follower that doesn't change.
TimePoint nextCallAt(const TableWatcher &watcher);

}
