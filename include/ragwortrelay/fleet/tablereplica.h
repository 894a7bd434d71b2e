#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/fleet/messages.h>
#include <ragwortrelay/store/tablewatcher.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace RagwortRelay::Fleet {

/// Delta of which some parts have yet to arrive.
struct PartialDelta {
    std::uint64_t m_since = 0;
    std::uint64_t m_version = 0;
    std::vector<std::optional<std::string>> m_parts; ///< Received parts by their position; empty for those that are missing.
};

/// Replica of a table of the store that hosts keep up to date among one another. Versions are ordered by their eras first; after a change
/// of the era the table is taken over as a whole, from the store or from a host of the later era. Erased rows are retained for a while, so that other hosts
/// can be told which rows were erased.
struct TableReplica {
    std::map<std::string, Store::Row> m_rows; ///< Rows by name, including retained erased ones.
    std::set<std::pair<std::uint64_t, std::string>> m_byVersion; ///< Names of all rows, ordered by version.
    std::set<std::pair<std::uint64_t, std::string>> m_erased; ///< Names of the erased rows, ordered by version.
    std::uint64_t m_version = 0; ///< Version of the store up to which the table is known; 0 for an unknown table.
    std::uint64_t m_changed = 0; ///< Version of the last known change, at most m_version. Rows of a paged read may be newer.
    std::uint64_t m_compactedVersion = 0; ///< Version up to which rows may have been erased of which this replica retains nothing.
    std::uint64_t m_digest = 0; ///< Digest of the names and versions of all rows that aren't erased, independent of their order.
    std::set<std::string> m_unapplied; ///< Names of the rows that have changed since takeChanges().
    std::map<std::string, Store::Row> m_droppedRows; ///< Erased rows that are no longer retained but that takeChanges() has yet to return.
    std::optional<TimePoint> m_confirmedAt; ///< Time as of which, or later, the rows equal those of the store.
    PartialDelta m_partialDelta; ///< Delta that is being received.
};

/// Rows that a consumer has yet to apply, ordered by version. They point into the replica and into m_dropped, and are valid until the replica is modified.
struct TableChanges {
    std::vector<const Store::Row *> m_rows;
    std::vector<Store::Row> m_dropped; ///< Erased rows that the replica doesn't retain.

    TableChanges() = default;
    TableChanges(const TableChanges &) = delete; // A copy would point into the original.
    TableChanges(TableChanges &&) = default;
    TableChanges &operator=(const TableChanges &) = delete;
    TableChanges &operator=(TableChanges &&) = default;
    ~TableChanges() = default;
};

/// Returns the rows that have changed since the last call, each once in its latest state and whatever its version, and counts them as applied. A replica has
/// one consumer. Linear in the number of these rows. Not thread-safe on one replica.
TableChanges takeChanges(TableReplica &table);

/// Returns the rows that changed after a version, including erased ones, ordered by version. Linear in the number of these rows.
std::vector<const Store::Row *> changedSince(const TableReplica &table, std::uint64_t version);

/// Applies the rows that a table watcher read from the store. Returns whether any row or the version of the last change has changed. Not thread-safe on one
/// replica.
/// @param outcome outcome of the watcher's last call
bool applyStoreUpdate(TableReplica &table, const Store::TableWatcher &watcher, Store::WatchOutcome outcome);

/// Applies one row of the store. Returns whether the row is newer than the known one. Not thread-safe on one replica.
bool applyRow(TableReplica &table, const Store::Row &row);

/// Makes a table watcher continue from the version of the replica if that is later. No effect while a call is running. Not thread-safe on
/// one watcher.
void resume(Store::TableWatcher &watcher, const TableReplica &table);

/// Returns the position up to which the table is known.
ReplicaPosition replicaPosition(const TableReplica &table, TimePoint now);

/// Returns whether another host has the same rows, by its digest. Versions alone don't tell: this replica may have come to know a table without the rows that
/// were erased before. Thread-safe while the replica isn't modified.
bool holdsSameRows(const TableReplica &table, const ReplicaPosition &remote);

/// Returns whether another host can't be told its missing changes one by one, as this replica may not know all rows that were erased since. Thread-safe while
/// the replica isn't modified.
bool needsWholeTable(const TableReplica &table, const ReplicaPosition &remote);

/// Applies another host's confirmation of its state of the table, given by this host's clock. It has an effect only if this replica holds
/// the same rows. Not thread-safe on one replica.
void applyConfirmation(TableReplica &table, const ReplicaPosition &remote, TimePoint confirmedAt);

/// Returns the changes that another host lacks, split into parts; the whole table if needsWholeTable(). Empty if it lacks none, or if the changes are
/// too large for a delta and have to be read from the store.
std::vector<DeltaPart> deltaFor(const TableReplica &table, TableKind kind, const ReplicaPosition &remote);

/// Applies one part of a delta. Returns whether any row or the version of the last change has changed. Not thread-safe on one replica.
bool applyDelta(TableReplica &table, const DeltaPart &part);

}
