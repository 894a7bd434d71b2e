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

/// Changes of a table that are being received in parts.
struct PartialDelta {
    std::uint64_t m_since = 0;
    std::uint64_t m_version = 0;
    std::vector<std::optional<std::string>> m_parts;
};

/// A table of the store that hosts keep one another up to date about. Rows that were erased stay as such for a while, so that it can
/// be told which ones went.
struct TableReplica {
    std::map<std::string, Store::Row> m_rows; ///< By name.
    std::set<std::pair<std::uint64_t, std::string>> m_byVersion; ///< Names of the rows by their versions.
    std::set<std::pair<std::uint64_t, std::string>> m_erased; ///< Those of the rows that were erased.
    std::uint64_t m_version = 0; ///< Up to which it is known; 0 for nothing.
    std::uint64_t m_changed = 0; ///< Version of the last change that is known.
    std::uint64_t m_forgotten = 0; ///< Erased rows up to this version are no longer known.
    std::optional<TimePoint> m_confirmedAt; ///< The rows are those of the store as of this instant, or of later.
    PartialDelta m_partial;
};

/// Returns the rows that changed after a version, erased ones among them, in the order of their versions. Linear in these rows.
std::vector<const Store::Row *> changedSince(const TableReplica &table, std::uint64_t version);

/// Takes over what a host knows from the store. Returns whether any row has changed. Not thread-safe on one table.
/// @param outcome of the call that was answered last
bool applyStoreUpdate(TableReplica &table, const Store::TableWatcher &watcher, Store::WatchOutcome outcome);

/// Takes in one row as it stands in the store. Returns whether it is new. Not thread-safe on one table.
bool applyRow(TableReplica &table, const Store::Row &row);

/// Makes a follower go on from what the table holds. Not thread-safe on one follower.
void resume(Store::TableWatcher &watcher, const TableReplica &table);

/// Returns how far the table is known.
ReplicaPosition replicaPosition(const TableReplica &table, TimePoint now);

/// Takes in that the state of a table which another host has was confirmed at an instant of this host, if it is the state that this
/// host has too. Not thread-safe on one table.
void applyConfirmation(TableReplica &table, const ReplicaPosition &theirs, TimePoint confirmedAt);

/// Returns the changes that a host lacks, in parts; nothing when it lacks none.
std::vector<DeltaPart> deltaFor(const TableReplica &table, TableKind kind, const ReplicaPosition &theirs);

/// Takes in a part of changes. Returns whether any row has changed by it. Not thread-safe on one table.
bool applyDelta(TableReplica &table, const DeltaPart &part);

}
