#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What the product asks of the platform's transactional store, whatever its wire format is.
namespace RagwortRelay::Store {

/// Number that the store raises with each transaction; 0 stands for none.
using Version = std::uint64_t;

/// Time of the store's own clock, which runs steadily.
using StoreTime = std::chrono::milliseconds;

/// Where a row lies.
struct RowKey {
    std::string m_table;
    std::string m_part; ///< May be empty.
    std::string m_name;

    friend auto operator<=>(const RowKey &, const RowKey &) = default;
    friend bool operator==(const RowKey &, const RowKey &) = default;
};

/// One row. In the answer to WatchTable it may be one that was erased.
struct Row {
    RowKey m_key;
    std::string m_value; ///< Bytes.
    Version m_version = 0; ///< Of the transaction that wrote it last.
    bool m_erased = false;

    friend bool operator==(const Row &, const Row &) = default;
};

/// Reads the rows of a part with names from `m_from`, below `m_below`, in order, as of one moment.
struct ReadRows {
    std::string m_table;
    std::string m_part;
    std::string m_from;
    std::string m_below; ///< Empty for no bound.
    std::uint32_t m_limit = 500;

    friend bool operator==(const ReadRows &, const ReadRows &) = default;
};

/// Waits until rows of a table have changed after a version, or until the time is over.
struct WatchTable {
    std::string m_table;
    Version m_after = 0;
    std::chrono::milliseconds m_wait{};

    friend bool operator==(const WatchTable &, const WatchTable &) = default;
};

/// Condition of a transaction: the row has this version, 0 for no row.
struct RowPrecondition {
    RowKey m_key;
    Version m_version = 0;

    friend bool operator==(const RowPrecondition &, const RowPrecondition &) = default;
};

/// A row that a transaction writes.
struct RowWrite {
    RowKey m_key;
    std::string m_value;

    friend bool operator==(const RowWrite &, const RowWrite &) = default;
};

/// Writes and erases rows, all or none.
struct Transaction {
    std::vector<RowPrecondition> m_expected;
    std::vector<RowWrite> m_writes;
    std::vector<RowKey> m_erased;

    friend bool operator==(const Transaction &, const Transaction &) = default;
};

using Call = std::variant<ReadRows, WatchTable, Transaction>;

/// Answer to ReadRows and WatchTable.
struct RowsRead {
    std::vector<Row> m_rows;
    bool m_hasMore = false; ///< The limit cut the answer short.
    Version m_version = 0; ///< Newest of the store, where to go on following.
    StoreTime m_time{}; ///< When the store answered.

    friend bool operator==(const RowsRead &, const RowsRead &) = default;
};

/// The transaction was done.
struct Committed {
    Version m_version = 0; ///< Of all rows that it wrote.
    StoreTime m_time{};

    friend bool operator==(const Committed &, const Committed &) = default;
};

/// The transaction was refused, nothing was written; holds the expected rows as they are.
struct Conflict {
    std::vector<Row> m_rows;

    friend bool operator==(const Conflict &, const Conflict &) = default;
};

/// The changes after the version are no longer known; the table must be read anew.
struct HistoryCompacted {
    friend bool operator==(const HistoryCompacted &, const HistoryCompacted &) = default;
};

/// The store refused the call without doing anything.
struct Refused {
    std::string m_reason;

    friend bool operator==(const Refused &, const Refused &) = default;
};

/// No usable answer came. A transaction may have been done, or may be done seconds later.
struct NoResponse {
    std::string m_reason;

    friend bool operator==(const NoResponse &, const NoResponse &) = default;
};

using Result = std::variant<RowsRead, Committed, Conflict, HistoryCompacted, Refused, NoResponse>;

}
