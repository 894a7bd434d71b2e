#include <ragwortrelay/store/tablewatcher.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace RagwortRelay::Store {

namespace {

std::int64_t offsetBetween(TimePoint instant, StoreTime time)
{
    return microsecondsOf(instant) - std::chrono::duration_cast<Duration>(time).count();
}

void recordFailure(TableWatcher &watcher, TimePoint now)
{
    ++watcher.m_failures;
    const Duration backoff = std::max(watcher.m_settings.m_minBackoff, 2 * watcher.m_backoff);
    watcher.m_backoff = std::min(watcher.m_settings.m_maxBackoff, backoff);
    watcher.m_nextAt = now + watcher.m_backoff;
}

void recordSuccess(TableWatcher &watcher, const RowsRead &read, ClockOffset &clock, TimePoint now)
{
    watcher.m_failures = 0;
    watcher.m_backoff = Duration(0);
    watcher.m_nextAt = std::max(now, watcher.m_sentAt + watcher.m_settings.m_interval);
    recordStoreTime(clock, watcher.m_sentAt, now, read.m_time);
}

void confirm(TableWatcher &watcher, TimePoint instant)
{
    watcher.m_confirmedAt = std::max(watcher.m_confirmedAt.value_or(instant), instant);
}

/// Returns the latest era from which the watcher has rows.
Era knownEra(const TableWatcher &watcher)
{
    return std::max(eraOf(watcher.m_version), watcher.m_fullReadRows.empty() ? Era{0} : eraOf(watcher.m_fullReadVersion));
}

void requireFullRead(TableWatcher &watcher, TimePoint now)
{
    watcher.m_fullReadRows.clear();
    watcher.m_needsFullRead = true;
    watcher.m_nextAt = now;
}

WatchOutcome applyPage(TableWatcher &watcher, const RowsRead &read, const ClockOffset &clock)
{
    const bool isFirst = watcher.m_fullReadRows.empty();
    watcher.m_fullReadVersion = isFirst ? read.m_version : std::min(watcher.m_fullReadVersion, read.m_version);
    watcher.m_fullReadTime = isFirst ? read.m_time : std::min(watcher.m_fullReadTime, read.m_time);
    for (const Row &row : read.m_rows) {
        watcher.m_fullReadRows[row.m_key.m_name] = row;
    }
    if (read.m_hasMore) {
        return WatchOutcome::Unchanged;
    }
    for (auto &[name, row] : std::exchange(watcher.m_fullReadRows, {})) {
        watcher.m_changedRows.push_back(std::move(row));
    }
    watcher.m_isFullRead = true;
    watcher.m_version = watcher.m_fullReadVersion;
    watcher.m_needsFullRead = false;
    confirm(watcher, earliestInstant(clock, watcher.m_fullReadTime));
    return WatchOutcome::Changed;
}

WatchOutcome applyChanges(TableWatcher &watcher, const RowsRead &read, const ClockOffset &clock)
{
    std::ranges::copy_if(read.m_rows, std::back_inserter(watcher.m_changedRows), [](const Row &row) { return row.m_key.m_part.empty(); });
    watcher.m_isFullRead = false;
    watcher.m_version = std::max(watcher.m_version, read.m_version);
    confirm(watcher, earliestInstant(clock, read.m_time));
    return read.m_rows.empty() ? WatchOutcome::Unchanged : WatchOutcome::Changed;
}

}

void recordStoreTime(ClockOffset &clock, TimePoint sentAt, TimePoint receivedAt, StoreTime time)
{
    const std::int64_t lower = offsetBetween(sentAt, time);
    const std::int64_t upper = offsetBetween(receivedAt, time);
    const bool isClockReset = clock.m_offset && *clock.m_offset > upper; // The store's clock was reset: it is ahead of what the known offset allows.
    clock.m_offset = isClockReset ? lower : std::max(clock.m_offset.value_or(lower), lower);
}

TimePoint earliestInstant(const ClockOffset &clock, StoreTime time)
{
    return TimePoint(Duration(clock.m_offset.value_or(0)) + std::chrono::duration_cast<Duration>(time));
}

std::optional<Call> nextCall(TableWatcher &watcher, TimePoint now)
{
    if (watcher.m_isRunning || now < watcher.m_nextAt) {
        return std::nullopt;
    }
    watcher.m_isRunning = true;
    watcher.m_sentAt = now;
    if (!watcher.m_needsFullRead) {
        const bool asksAtOnce = std::exchange(watcher.m_asksAtOnce, false) || watcher.m_failures > 0;
        return WatchTable{watcher.m_table, watcher.m_version, asksAtOnce ? std::chrono::milliseconds(0) : watcher.m_settings.m_wait};
    }
    ReadRows read;
    read.m_table = watcher.m_table;
    if (!watcher.m_fullReadRows.empty()) {
        read.m_from = watcher.m_fullReadRows.rbegin()->first; // The range includes its first name, so this row is read again.
    }
    return read;
}

WatchOutcome applyResponse(TableWatcher &watcher, const Result &result, ClockOffset &clock, TimePoint now)
{
    watcher.m_isRunning = false;
    watcher.m_changedRows.clear();
    const auto *read = std::get_if<RowsRead>(&result);
    const bool isEarlierEra = read != nullptr && eraOf(read->m_version) < knownEra(watcher);
    if (read != nullptr && !isEarlierEra) {
        const bool continues = !watcher.m_needsFullRead || !watcher.m_fullReadRows.empty();
        const bool isLaterEra = continues && eraOf(read->m_version) > knownEra(watcher);
        recordSuccess(watcher, *read, clock, now);
        if (isLaterEra) {
            requireFullRead(watcher, now);
            return WatchOutcome::Unchanged;
        }
        return watcher.m_needsFullRead ? applyPage(watcher, *read, clock) : applyChanges(watcher, *read, clock);
    }
    watcher.m_fullReadRows.clear();
    if (std::holds_alternative<HistoryCompacted>(result)) {
        requireFullRead(watcher, now);
        return WatchOutcome::Unchanged;
    }
    recordFailure(watcher, now);
    return WatchOutcome::Failed;
}

TimePoint nextCallAt(const TableWatcher &watcher)
{
    return watcher.m_isRunning ? TimePoint::max() : watcher.m_nextAt;
}

}
