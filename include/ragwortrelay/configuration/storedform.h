#pragma once

#include <ragwortrelay/configuration/table.h>
#include <ragwortrelay/core/error.h>
#include <ragwortrelay/platform/table.h>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace RagwortRelay::Configuration {

// How the version chain lies in the platform:
//
//   head               version of the configuration
//   log/VERSION        the change that made the version, or the name of the object that holds it
//   log/VERSION/end    change id; sorts after the change, so that a poll starts with the mark of the version in force and costs
//                      one small item when nothing is new. A store that lags or was restored has no such mark, or another one.
//   change/ID          version that the change with this id has made
//   snapshot           version of the newest snapshot, and the name of its object

/// Partition of the platform's table that holds the version chain.
inline constexpr const char *Partition = "configuration";

/// Largest encoded change that goes into its log item; a larger one goes into an object. An item may hold 400 KB.
inline constexpr std::size_t LargestInlineChange = 100'000;

/// Most writes of a transaction.
inline constexpr std::size_t MostWrites = 100;

/// Writes that each change of a transaction needs, beside the one of the head.
inline constexpr std::size_t WritesOfChange = 3;

/// Most changes that one transaction can append.
inline constexpr std::size_t MostChanges = (MostWrites - 1) / WritesOfChange;

/// Most bytes of changes that one transaction appends; a transaction may hold 4 MB.
inline constexpr std::size_t LargestTransaction = 1'000'000;

/// One entry of the log.
struct LogEntry {
    std::uint64_t m_version = 0;
    std::string m_change; ///< Encoded change; empty when an object holds it.
    std::string m_object; ///< Name of that object.

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

/// Answer to changesAfter() in typed form.
struct ChainRead {
    std::string m_markOfBase; ///< Change id of the version that was read after; empty when the store hasn't got it.
    std::vector<LogEntry> m_entries;

    friend bool operator==(const ChainRead &, const ChainRead &) = default;
};

/// The table at a version, as it lies in a snapshot.
struct Snapshot {
    Table m_table;
    std::string m_changeId; ///< Of the change that made the version.

    friend bool operator==(const Snapshot &, const Snapshot &) = default;
};

/// A change to append, with its encoded form.
struct EncodedChange {
    Change m_change;
    std::string m_body;

    friend bool operator==(const EncodedChange &, const EncodedChange &) = default;
};

/// Key of the item whose version is the version of the configuration.
Platform::ItemKey headKey();

/// Key of the log item of one version; sorts in the order of versions.
Platform::ItemKey logKey(std::uint64_t version);

/// Key of the mark that follows the log item of one version.
Platform::ItemKey markKey(std::uint64_t version);

/// Key of the item that tells which version a change has made.
Platform::ItemKey changeKey(const std::string &changeId);

/// Key of the item that names the newest snapshot.
Platform::ItemKey snapshotKey();

/// Name of the object that holds a large change.
std::string changeObject(const std::string &changeId);

/// Name of the object that holds the table at a version.
std::string snapshotObject(std::uint64_t version);

/// Encodes a change. The version isn't part of it: a change may be appended again as another version.
std::string encodeChange(const Change &change);

/// Decodes a change as the one that makes `version`.
tl::expected<Change, Error> decodeChange(const std::string &body, std::uint64_t version);

/// Encodes the table at a version.
std::string encodeSnapshot(const Snapshot &snapshot);

/// Decodes the table at a version.
tl::expected<Snapshot, Error> decodeSnapshot(const std::string &body);

/// Builds the transaction that appends changes with ascending versions; it is refused when another change took the first version,
/// or when one of the change ids was appended before.
/// Precondition: 1 to MostChanges changes; objects of the large ones are written.
Platform::Transact appendTransaction(const std::vector<EncodedChange> &changes);

/// Builds the query for the mark of a version and all log items after it.
Platform::QueryItems changesAfter(std::uint64_t version);

/// Reads the answer to changesAfter().
ChainRead readChain(const Platform::ItemsRead &read, std::uint64_t version);

/// Builds the query for the oldest log items before a version.
Platform::QueryItems changesBefore(std::uint64_t version);

/// Builds the transaction that erases the changes of an answer to changesBefore(), with their marks and change ids; it has no
/// writes when there are none.
Platform::Transact trimTransaction(const Platform::ItemsRead &read);

}
