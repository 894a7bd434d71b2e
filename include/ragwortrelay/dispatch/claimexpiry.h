#pragma once

#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/store/store.h>

#include <cstdint>
#include <optional>

namespace RagwortRelay::Dispatch {

/// Retention of claims.
///
/// Hosts share no clock, so they count epochs instead. A row of the store holds the number of the current epoch, and a host that has
/// observed the same number for the epoch length writes the next one. An epoch is therefore never shorter than its length.
struct ClaimExpirySettings {
    Duration m_epochLength{std::chrono::hours(1)}; ///< Minimum length of an epoch.
    Duration m_epochReadInterval{std::chrono::minutes(5)}; ///< Interval between reads of the current epoch.
    std::uint64_t m_retainedEpochs = 25; ///< Age in epochs above which a claim is erased. A claim is kept for at least one epoch length less than that.
    Duration m_sweepInterval{std::chrono::seconds(10)}; ///< Mean interval between two pages that a host scans for expired claims.
    std::uint32_t m_sweepPageRows = 50; ///< Rows per page. A transaction has at most twice as many entries.

    friend bool operator==(const ClaimExpirySettings &, const ClaimExpirySettings &) = default;
};

/// A host's view of the epochs, and its schedule of reads and sweeps.
struct ClaimExpiry {
    std::uint64_t m_epoch = 0; ///< Latest known epoch; 0 before the first successful read.
    TimePoint m_firstSeenAt; ///< Time at which this epoch was first read.
    std::optional<TimePoint> m_lastReadAt; ///< Start of the last read of the epoch; empty requests a read immediately.
    TimePoint m_nextSweepAt; ///< Earliest time of the next sweep.
};

/// Returns the key of the row that holds the current epoch. Thread-safe.
Store::RowKey epochKey();

/// Returns whether a read of the epoch is due, and if so records its start. Not thread-safe on one state, like all functions that change it.
bool beginEpochRead(ClaimExpiry &expiry, const ClaimExpirySettings &settings, TimePoint now);

/// Processes the row of the epoch, which is empty if it does not exist. Returns the transaction that starts the next epoch if that is due.
std::optional<Store::Transaction> onEpochRead(ClaimExpiry &expiry, const ClaimExpirySettings &settings, const std::optional<Store::Row> &row, TimePoint now);

/// Returns the call that reads a page of claims at a random position if a sweep is due.
std::optional<Store::ReadRows> beginSweep(ClaimExpiry &expiry, const ClaimExpirySettings &settings, RandomGenerator &random, TimePoint now);

/// Returns the transaction that erases the expired claims of a page; empty if there are none. Thread-safe on a constant state.
std::optional<Store::Transaction> eraseExpired(const ClaimExpiry &expiry, const ClaimExpirySettings &settings, const Store::RowsRead &page);

}
