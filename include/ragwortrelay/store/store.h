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

/// Version that the store increases with each transaction; 0 stands for none.
using Version = std::uint64_t;

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

    friend bool operator==(const Conflict &, const Conflict &) = default;
};

/// The store no longer has the changes after the version. The table must be read in full.
struct HistoryCompacted {
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

}
