#include <ragwortrelay/store/follower.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace RagwortRelay::Store {

namespace {

std::int64_t offsetOf(TimePoint instant, StoreTime time)
{
    return microsecondsOf(instant) - std::chrono::duration_cast<Duration>(time).count();
}

void noteFailure(Follower &follower, TimePoint now)
{
    ++follower.m_failures;
    const Duration doubled = std::max(follower.m_settings.m_firstPause, 2 * follower.m_pause);
    follower.m_pause = std::min(follower.m_settings.m_longestPause, doubled);
    follower.m_nextAt = now + follower.m_pause;
}

void noteSuccess(Follower &follower, const RowsRead &read, ClockMap &clock, TimePoint now)
{
    follower.m_failures = 0;
    follower.m_pause = Duration(0);
    follower.m_nextAt = std::max(now, follower.m_sentAt + follower.m_settings.m_interval);
    noteStoreTime(clock, follower.m_sentAt, now, read.m_time);
}

void confirm(Follower &follower, TimePoint instant)
{
    follower.m_confirmedAt = std::max(follower.m_confirmedAt.value_or(instant), instant);
}

FollowOutcome takePage(Follower &follower, const RowsRead &read, const ClockMap &clock)
{
    if (follower.m_reading.empty()) {
        follower.m_readingVersion = read.m_version;
        follower.m_readingTime = read.m_time;
    }
    for (const Row &row : read.m_rows) {
        follower.m_reading[row.m_key.m_name] = row;
    }
    if (read.m_hasMore) {
        return FollowOutcome::Unchanged;
    }
    for (auto &[name, row] : std::exchange(follower.m_reading, {})) {
        follower.m_news.push_back(std::move(row));
    }
    follower.m_newsAreWhole = true;
    follower.m_version = follower.m_readingVersion;
    follower.m_mustRead = false;
    confirm(follower, earliestInstant(clock, follower.m_readingTime));
    return FollowOutcome::Changed;
}

FollowOutcome takeChanges(Follower &follower, const RowsRead &read, const ClockMap &clock)
{
    std::ranges::copy_if(read.m_rows, std::back_inserter(follower.m_news), [](const Row &row) { return row.m_key.m_part.empty(); });
    follower.m_newsAreWhole = false;
    follower.m_version = std::max(follower.m_version, read.m_version);
    confirm(follower, earliestInstant(clock, read.m_time));
    return read.m_rows.empty() ? FollowOutcome::Unchanged : FollowOutcome::Changed;
}

}

void noteStoreTime(ClockMap &map, TimePoint sentAt, TimePoint receivedAt, StoreTime time)
{
    const std::int64_t lower = offsetOf(sentAt, time);
    const std::int64_t upper = offsetOf(receivedAt, time);
    const bool isContradicted = map.m_offset && *map.m_offset > upper; // The store's clock was set anew.
    map.m_offset = isContradicted ? lower : std::max(map.m_offset.value_or(lower), lower);
}

TimePoint earliestInstant(const ClockMap &map, StoreTime time)
{
    return TimePoint(Duration(map.m_offset.value_or(0)) + std::chrono::duration_cast<Duration>(time));
}

std::optional<Call> nextCall(Follower &follower, TimePoint now)
{
    if (follower.m_isRunning || now < follower.m_nextAt) {
        return std::nullopt;
    }
    follower.m_isRunning = true;
    follower.m_sentAt = now;
    if (!follower.m_mustRead) {
        const bool asksAtOnce = std::exchange(follower.m_asksAtOnce, false) || follower.m_failures > 0;
        return FollowTable{follower.m_table, follower.m_version, asksAtOnce ? std::chrono::milliseconds(0) : follower.m_settings.m_wait};
    }
    ReadRows read;
    read.m_table = follower.m_table;
    if (!follower.m_reading.empty()) {
        read.m_from = follower.m_reading.rbegin()->first; // Comes once more.
    }
    return read;
}

FollowOutcome takeAnswer(Follower &follower, const Result &result, ClockMap &clock, TimePoint now)
{
    follower.m_isRunning = false;
    follower.m_news.clear();
    if (const auto *read = std::get_if<RowsRead>(&result)) {
        noteSuccess(follower, *read, clock, now);
        return follower.m_mustRead ? takePage(follower, *read, clock) : takeChanges(follower, *read, clock);
    }
    follower.m_reading.clear();
    if (std::holds_alternative<HistoryLost>(result)) {
        follower.m_mustRead = true;
        follower.m_nextAt = now;
        return FollowOutcome::Unchanged;
    }
    noteFailure(follower, now);
    return FollowOutcome::Failed;
}

TimePoint nextCallAt(const Follower &follower)
{
    return follower.m_isRunning ? TimePoint::max() : follower.m_nextAt;
}

}
