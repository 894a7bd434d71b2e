#include <ragwortrelay/store/tablewatcher.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace RagwortRelay::Store {

namespace {

std::int64_t offsetOf(TimePoint instant, StoreTime time)
{
    return microsecondsOf(instant) - std::chrono::duration_cast<Duration>(time).count();
}

void noteFailure(TableWatcher &watcher, TimePoint now)
{
    ++watcher.m_failures;
    const Duration doubled = std::max(watcher.m_settings.m_firstPause, 2 * watcher.m_pause);
    watcher.m_pause = std::min(watcher.m_settings.m_longestPause, doubled);
    watcher.m_nextAt = now + watcher.m_pause;
}

void noteSuccess(TableWatcher &watcher, const RowsRead &read, ClockOffset &clock, TimePoint now)
{
    watcher.m_failures = 0;
    watcher.m_pause = Duration(0);
    watcher.m_nextAt = std::max(now, watcher.m_sentAt + watcher.m_settings.m_interval);
    recordStoreTime(clock, watcher.m_sentAt, now, read.m_time);
}

void confirm(TableWatcher &watcher, TimePoint instant)
{
    watcher.m_confirmedAt = std::max(watcher.m_confirmedAt.value_or(instant), instant);
}

WatchOutcome takePage(TableWatcher &watcher, const RowsRead &read, const ClockOffset &clock)
{
    if (watcher.m_reading.empty()) {
        watcher.m_readingVersion = read.m_version;
        watcher.m_readingTime = read.m_time;
    }
    for (const Row &row : read.m_rows) {
        watcher.m_reading[row.m_key.m_name] = row;
    }
    if (read.m_hasMore) {
        return WatchOutcome::Unchanged;
    }
    for (auto &[name, row] : std::exchange(watcher.m_reading, {})) {
        watcher.m_changedRows.push_back(std::move(row));
    }
    watcher.m_isFullRead = true;
    watcher.m_version = watcher.m_readingVersion;
    watcher.m_mustRead = false;
    confirm(watcher, earliestInstant(clock, watcher.m_readingTime));
    return WatchOutcome::Changed;
}

WatchOutcome takeChanges(TableWatcher &watcher, const RowsRead &read, const ClockOffset &clock)
{
    std::ranges::copy_if(read.m_rows, std::back_inserter(watcher.m_changedRows), [](const Row &row) { return row.m_key.m_part.empty(); });
    watcher.m_isFullRead = false;
    watcher.m_version = std::max(watcher.m_version, read.m_version);
    confirm(watcher, earliestInstant(clock, read.m_time));
    return read.m_rows.empty() ? WatchOutcome::Unchanged : WatchOutcome::Changed;
}

}

void recordStoreTime(ClockOffset &map, TimePoint sentAt, TimePoint receivedAt, StoreTime time)
{
    const std::int64_t lower = offsetOf(sentAt, time);
    const std::int64_t upper = offsetOf(receivedAt, time);
    const bool isContradicted = map.m_offset && *map.m_offset > upper; // The store's clock was set anew.
    map.m_offset = isContradicted ? lower : std::max(map.m_offset.value_or(lower), lower);
}

TimePoint earliestInstant(const ClockOffset &map, StoreTime time)
{
    return TimePoint(Duration(map.m_offset.value_or(0)) + std::chrono::duration_cast<Duration>(time));
}

std::optional<Call> nextCall(TableWatcher &watcher, TimePoint now)
{
    if (watcher.m_isRunning || now < watcher.m_nextAt) {
        return std::nullopt;
    }
    watcher.m_isRunning = true;
    watcher.m_sentAt = now;
    if (!watcher.m_mustRead) {
        const bool asksAtOnce = std::exchange(watcher.m_asksAtOnce, false) || watcher.m_failures > 0;
        return WatchTable{watcher.m_table, watcher.m_version, asksAtOnce ? std::chrono::milliseconds(0) : watcher.m_settings.m_wait};
    }
    ReadRows read;
    read.m_table = watcher.m_table;
    if (!watcher.m_reading.empty()) {
        read.m_from = watcher.m_reading.rbegin()->first; // Comes once more.
    }
    return read;
}

WatchOutcome applyResponse(TableWatcher &watcher, const Result &result, ClockOffset &clock, TimePoint now)
{
    watcher.m_isRunning = false;
    watcher.m_changedRows.clear();
    if (const auto *read = std::get_if<RowsRead>(&result)) {
        noteSuccess(watcher, *read, clock, now);
        return watcher.m_mustRead ? takePage(watcher, *read, clock) : takeChanges(watcher, *read, clock);
    }
    watcher.m_reading.clear();
    if (std::holds_alternative<HistoryCompacted>(result)) {
        watcher.m_mustRead = true;
        watcher.m_nextAt = now;
        return WatchOutcome::Unchanged;
    }
    noteFailure(watcher, now);
    return WatchOutcome::Failed;
}

TimePoint nextCallAt(const TableWatcher &watcher)
{
    return watcher.m_isRunning ? TimePoint::max() : watcher.m_nextAt;
}

}
