#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/dispatch/claimrecord.h>
#include <ragwortrelay/reporting/counters.h>
#include <ragwortrelay/store/store.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

/// Claims that are written again after the store was restored from an older copy, which may lack them. `docs/design/store-era.md` explains it.
namespace RagwortRelay::Dispatch {

/// Settings of the recovery of claims.
struct ClaimRecoverySettings {
    /// Time, from the first response of the store after the sight of a later era and without a failed call, during which no key is claimed, so that all hosts
    /// can write the claims again that they remember. A host learns of the era from its tables within 3 s, from a call of its own after 0.9 s more, and needs
    /// time to write.
    Duration m_grace{std::chrono::seconds(5)};
    Duration m_memory{
        std::chrono::seconds(30)}; ///< Time for which a finished claim is remembered; longer than the age of the copies that a store is restored from.
    Duration m_probeInterval{std::chrono::milliseconds(500)}; ///< Interval between calls that show whether the store responds, while no key is claimed.
    Duration m_retryInterval{std::chrono::milliseconds(250)}; ///< Interval before a claim is written again that couldn't be.
    std::size_t m_maxRemembered = 10'000; ///< Maximum number of remembered claims.
    std::size_t m_maxBatchWrites = 25; ///< Maximum number of writes in one transaction.

    friend bool operator==(const ClaimRecoverySettings &, const ClaimRecoverySettings &) = default;
};

/// Claim that is to be written again.
struct PendingRecovery {
    ClaimRecord m_record;
    Store::Version m_expected = 0; ///< Version that the row must have; 0 if it must not exist.
    TimePoint m_nextAt{}; ///< Earliest time of the next write.
    bool m_isInFlight = false;
};

/// Finished claim that a host remembers, without its response.
struct RememberedClaim {
    ClaimRecord m_record;
    TimePoint m_until{}; ///< Time until which it is remembered.
};

/// Claims of one host that it can write again.
struct ClaimRecovery {
    std::map<Store::RowKey, RememberedClaim> m_remembered; ///< Finished claims.
    std::deque<std::pair<TimePoint, Store::RowKey>> m_order; ///< Their keys with the times until which they are remembered.
    std::map<Store::RowKey, PendingRecovery> m_pending; ///< Claims to be written again.
    bool m_isWriting = false; ///< A transaction is in flight.
    bool m_isInGrace = false; ///< No key may be claimed.
    std::optional<TimePoint> m_respondingSince; ///< Start of that time; empty while calls to the store fail, so that no host can write claims again.
    TimePoint m_nextProbeAt{}; ///< Earliest time of the next call that shows whether the store responds.
};

/// Remembers a finished claim that was written, from now on. Not thread-safe on one recovery, like all functions that change it.
void rememberClaim(ClaimRecovery &recovery, const ClaimRecoverySettings &settings, const Store::RowKey &key, ClaimRecord record, TimePoint now);

/// Starts to write all remembered claims again, since the store may have lost them.
void startRecovery(ClaimRecovery &recovery, TimePoint now);

/// Records during the grace whether a call to the store succeeded.
void recordStoreCall(ClaimRecovery &recovery, bool hasFailed, TimePoint now);

/// Ends the grace if the store has responded for long enough. Returns whether a call is due that shows whether it still does.
bool tickGrace(ClaimRecovery &recovery, const ClaimRecoverySettings &settings, TimePoint now);

/// Adds a claim to those that are written again.
void recoverClaim(ClaimRecovery &recovery, const Store::RowKey &key, ClaimRecord record);

/// Returns the next transaction that writes claims again, if one is due; it then counts as in flight. Linear in the number of pending claims.
std::optional<Store::Transaction> nextRecoveryWrite(ClaimRecovery &recovery, const ClaimRecoverySettings &settings, TimePoint now);

/// Applies the result of the transaction in flight. A claim that the store still has isn't written, one that another host holds is tried
/// again until that host has released it.
void onRecoveryWritten(
    ClaimRecovery &recovery, const ClaimRecoverySettings &settings, const Store::Result &result, Reporting::Counters &counters, TimePoint now);

}
