#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Calls to the platform's transactional store and their results, independent of the wire format.
namespace RagwortRelay::Store {

/// Number that the store increases each time it is restored from an older copy; 0 for a store that sends none.
using Era = std::uint64_t;

/// Era and number of a transaction in one integer, so that versions are ordered by their eras first; 0 stands for none. A restored store
/// assigns the numbers after its copy again, in the next era.
using Version = std::uint64_t;

/// Bits of a version that hold the number of the transaction: enough for 10,000 transactions a second during 55 years.
inline constexpr unsigned VersionNumberBits = 44;

/// Largest number of a transaction that a version can hold.
inline constexpr std::uint64_t MaxVersionNumber = (std::uint64_t{1} << VersionNumberBits) - 1;

/// Largest era that a version can hold. Versions stay in the range of signed integers, in which they are logged.
inline constexpr Era MaxEra = (Era{1} << (63U - VersionNumberBits)) - 1;

/// Returns the version of a transaction. Preconditions: the era and the number are at most MaxEra and MaxVersionNumber. Thread-safe, like
/// all functions here.
constexpr Version makeVersion(Era era, std::uint64_t number)
{
    return (era << VersionNumberBits) | number;
}

/// Returns the era of a version.
constexpr Era eraOf(Version version)
{
    return version >> VersionNumberBits;
}

/// Returns the number of a version's transaction, which is what the store itself calls its version.
constexpr std::uint64_t numberOf(Version version)
{
    return version & MaxVersionNumber;
}

/// Time of the store's own clock, which runs at a steady rate.
using StoreTime = std::chrono::milliseconds;

/// Key of a row in the store.
struct RowKey {
    std::string m_table;
    std::string m_part; ///< May be empty.
    std::string m_name;

    friend auto operator<=>(const RowKey &, const RowKey &) = default;
    friend bool operator==(const RowKey &, const RowKey &) = default;
};

/// Row of the store. In the result of WatchTable it may be an erased row.
struct Row {
    RowKey m_key;
    std::string m_value; ///< Value as raw bytes.
    Version m_version = 0; ///< Version of the transaction that last wrote or erased the row.
    bool m_erased = false;

    friend bool operator==(const Row &, const Row &) = default;
};

/// Reads the rows of a part in the order of their names, as of one moment.
struct ReadRows {
    std::string m_table;
    std::string m_part;
    std::string m_from; ///< First name of the range, inclusive.
    std::string m_below; ///< End of the range, exclusive; empty for no bound.
    std::uint32_t m_limit = 500; ///< Maximum number of rows in the result.

    friend bool operator==(const ReadRows &, const ReadRows &) = default;
};

/// Waits until rows of a table have changed after a version, or until the wait has elapsed.
struct WatchTable {
    std::string m_table;
    Version m_after = 0; ///< Version after which changes are returned.
    std::chrono::milliseconds m_wait{}; ///< Longest time that the store waits for a change.

    friend bool operator==(const WatchTable &, const WatchTable &) = default;
};

/// Precondition of a transaction: the row has the given version.
struct RowPrecondition {
    RowKey m_key;
    Version m_version = 0; ///< Expected version; 0 if the row must not exist.

    friend bool operator==(const RowPrecondition &, const RowPrecondition &) = default;
};

/// Row that a transaction writes.
struct RowWrite {
    RowKey m_key;
    std::string m_value;

    friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

/// Writes and erases rows atomically.
struct Transaction {
    std::vector<RowPrecondition> m_expected;
    std::vector<RowWrite> m_writes;
    std::vector<RowKey> m_erased;

    friend bool operator==(const Transaction &, const Transaction &) = default;
};

/// Any call to the store.
using Call = std::variant<ReadRows, WatchTable, Transaction>;

/// Result of ReadRows and WatchTable.
struct RowsRead {
    std::vector<Row> m_rows;
    bool m_hasMore = false; ///< The result was truncated at the limit.
    Version m_version = 0; ///< Latest version of the store, from which a watch can continue.
    StoreTime m_time{}; ///< Time at which the store replied.

    friend bool operator==(const RowsRead &, const RowsRead &) = default;
};

/// The transaction was committed.
struct Committed {
    Version m_version = 0; ///< Version of all rows that the transaction wrote.
    StoreTime m_time{}; ///< Time at which the store replied.

    friend bool operator==(const Committed &, const Committed &) = default;
};

/// The transaction was rejected because a precondition failed. Nothing was written.
struct Conflict {
    std::vector<Row> m_rows; ///< Current rows of the preconditions.
    Era m_era = 0; ///< Era of the store when it replied.

    friend bool operator==(const Conflict &, const Conflict &) = default;
};

/// The store no longer has the changes after the version. The table must be read in full.
struct HistoryCompacted {
    Era m_era = 0; ///< Era of the store when it replied.

    friend bool operator==(const HistoryCompacted &, const HistoryCompacted &) = default;
};

/// The store refused the call and did nothing.
struct Refused {
    std::string m_reason;

    friend bool operator==(const Refused &, const Refused &) = default;
};

/// The call got no usable response. A transaction may have been committed, or may be committed seconds later.
struct NoResponse {
    std::string m_reason;

    friend bool operator==(const NoResponse &, const NoResponse &) = default;
};

/// Result of any call to the store.
using Result = std::variant<RowsRead, Committed, Conflict, HistoryCompacted, Refused, NoResponse>;

/// Returns the era of the store when it replied; nothing for a result that doesn't tell it.
std::optional<Era> eraOf(const Result &result);

}
