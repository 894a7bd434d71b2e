#pragma once

#include <ragwortrelay/core/random.h>
#include <ragwortrelay/core/time.h>
#include <ragwortrelay/store/store.h>

#include <cstdint>
#include <optional>

namespace RagwortRelay::Dispatch {

/// How long claims are kept.
///
/// Hosts share no clock. They count epochs instead: a row of the store holds the number of the present epoch, and a host that has
/// seen one number for the length of an epoch writes the next. So an epoch is never shorter than its length.
struct ClaimExpirySettings {
    Duration m_epochLength{std::chrono::hours(1)};
    Duration m_epochReadInterval{std::chrono::minutes(5)};
    std::uint64_t m_epochsKept = 25; ///< A claim is erased when it is older; at least one less than so many lengths are kept.
    Duration m_sweepInterval{std::chrono::seconds(10)}; ///< Between two pages that a host looks through.
    std::uint32_t m_sweepPage = 50; ///< Rows; a transaction takes no more than twice as many entries.

    friend bool operator==(const ClaimExpirySettings &, const ClaimExpirySettings &) = default;
};

/// What a host knows of the epochs.
struct ClaimExpiry {
    std::uint64_t m_epoch = 0; ///< 0 until it was read.
    TimePoint m_seenSince; ///< First read of this epoch.
    std::optional<TimePoint> m_readAt; ///< Start of the last read.
    TimePoint m_sweepAt;
};

/// Key of the row that holds the present epoch.
Store::RowKey epochKey();

/// Tells whether the epoch is to be read, and notes that it is being read.
bool takeEpochRead(ClaimExpiry &expiry, const ClaimExpirySettings &settings, TimePoint now);

/// Takes in the row of the epoch, nothing when there is none. Returns the transaction that starts the next epoch when it is due.
std::optional<Store::Transaction> noteEpoch(ClaimExpiry &expiry, const ClaimExpirySettings &settings, const std::optional<Store::Row> &row, TimePoint now);

/// Returns the call that reads a page of claims at a random place when one is due.
std::optional<Store::ReadRows> takeSweep(ClaimExpiry &expiry, const ClaimExpirySettings &settings, RandomGenerator &random, TimePoint now);

/// Returns the transaction that erases the expired claims of a page, or nothing.
std::optional<Store::Transaction> eraseExpired(const ClaimExpiry &expiry, const ClaimExpirySettings &settings, const Store::RowsRead &page);

}
