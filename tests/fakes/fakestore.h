#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/store/store.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace RagwortRelay::Fakes {

/// Fake of the platform's store, with rows, versions from a single counter, and watches.
class FakeStore
{
public:
    /// Receives the result of a call.
    using Callback = std::function<void(const Store::Result &)>;

    /// Performs a call and passes its result to the callback. A watch without changes is answered later, by tick().
    void call(const Store::Call &call, TimePoint now, Callback respond)
    {
        if (const auto *read = std::get_if<Store::ReadRows>(&call)) {
            return respond(this->read(*read, now));
        }
        if (const auto *transact = std::get_if<Store::Transaction>(&call)) {
            return respond(this->transact(*transact, now));
        }
        const auto &watch = std::get<Store::WatchTable>(call);
        const std::uint64_t after = Store::numberOf(watch.m_after);
        if (after < m_compactedVersion || after > m_version) {
            return respond(Store::HistoryCompacted{m_era});
        }
        m_watches.push_back({watch, now + Duration(watch.m_wait), std::move(respond)});
        tick(now);
    }

    /// Answers the watches that have changes or whose wait is over.
    void tick(TimePoint now)
    {
        auto watches = std::move(m_watches);
        m_watches.clear();
        for (auto &watch : watches) {
            const std::vector<Store::Row> rows = changes(watch.m_call);
            if (!rows.empty() || now >= watch.m_until) {
                watch.m_respond(Store::RowsRead{rows, false, latestVersion(), timeAt(now)});
            } else {
                m_watches.push_back(std::move(watch));
            }
        }
    }

    /// Writes a row without a transaction, as an operator or a server does, and returns its version.
    Store::Version write(const std::string &table, const std::string &name, const std::string &value, TimePoint now)
    {
        set({table, {}, name}, value, false);
        tick(now);
        return m_version;
    }

    /// Erases a row without a transaction.
    void erase(const std::string &table, const std::string &name, TimePoint now)
    {
        set({table, {}, name}, {}, true);
        tick(now);
    }

    /// Discards the history of all changes so far. Watches from an earlier version end with HistoryCompacted.
    void compactHistory()
    {
        m_compactedVersion = m_version;
    }

    /// Keeps a copy of all rows.
    void copy()
    {
        m_copy = m_rows;
        m_copyVersion = m_version;
    }

    /// Returns to the copy, as a store does that has lost its latest writes: its versions go back and are issued again in the next era.
    void restore()
    {
        m_rows = m_copy;
        m_version = m_copyVersion;
        ++m_era;
    }

    /// Returns the number of restores.
    [[nodiscard]] Store::Era era() const
    {
        return m_era;
    }

    /// Tells whether a row exists.
    [[nodiscard]] bool contains(const Store::RowKey &key) const
    {
        const auto row = m_rows.find(key);
        return row != m_rows.end() && !row->second.m_erased;
    }

    /// Returns the number of transactions, including those that conflicted.
    [[nodiscard]] std::uint64_t writes() const
    {
        return m_writes;
    }

    /// Returns the number of reads and transactions.
    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    /// Watch that has no changes yet.
    struct PendingWatch {
        Store::WatchTable m_call;
        TimePoint m_until;
        Callback m_respond;
    };

    /// Returns the latest version with its era.
    [[nodiscard]] Store::Version latestVersion() const
    {
        return Store::makeVersion(m_era, m_version);
    }

    /// Returns a row with the era in its version. The store itself knows only the numbers.
    [[nodiscard]] Store::Row asRead(Store::Row row) const
    {
        row.m_version = Store::makeVersion(m_era, row.m_version);
        return row;
    }

    static Store::StoreTime timeAt(TimePoint now)
    {
        constexpr std::int64_t Offset = 777'000; // In milliseconds. The clock of the store differs from those of the hosts.
        return Store::StoreTime(now.time_since_epoch().count() / 1000 + Offset);
    }

    Store::Result read(const Store::ReadRows &call, TimePoint now)
    {
        ++m_calls;
        Store::RowsRead result{{}, false, latestVersion(), timeAt(now)};
        for (const auto &[key, row] : m_rows) {
            const bool isWanted = key.m_table == call.m_table && key.m_part == call.m_part && key.m_name >= call.m_from && !row.m_erased;
            if (isWanted && (call.m_below.empty() || key.m_name < call.m_below)) {
                result.m_hasMore = result.m_rows.size() >= call.m_limit;
                if (result.m_hasMore) {
                    break;
                }
                result.m_rows.push_back(asRead(row));
            }
        }
        return result;
    }

    Store::Result transact(const Store::Transaction &call, TimePoint now)
    {
        ++m_calls;
        ++m_writes;
        Store::Conflict conflict{{}, m_era};
        bool areExpectationsMet = true;
        for (const auto &expectation : call.m_expected) {
            const auto row = m_rows.find(expectation.m_key);
            const Store::Version version = row == m_rows.end() || row->second.m_erased ? 0 : row->second.m_version;
            areExpectationsMet = areExpectationsMet && version == Store::numberOf(expectation.m_version);
            if (version > 0) {
                conflict.m_rows.push_back(asRead(row->second));
            }
        }
        if (!areExpectationsMet) {
            return conflict;
        }
        ++m_version;
        for (const auto &write : call.m_writes) {
            m_rows[write.m_key] = {write.m_key, write.m_value, m_version, false};
        }
        for (const auto &key : call.m_erased) {
            m_rows[key] = {key, {}, m_version, true};
        }
        tick(now);
        return Store::Committed{latestVersion(), timeAt(now)};
    }

    [[nodiscard]] std::vector<Store::Row> changes(const Store::WatchTable &call) const
    {
        std::vector<Store::Row> rows;
        if (Store::numberOf(call.m_after) >= m_version) {
            return rows;
        }
        for (const auto &[key, row] : m_rows) {
            if (key.m_table == call.m_table && row.m_version > Store::numberOf(call.m_after)) {
                rows.push_back(asRead(row));
            }
        }
        std::ranges::sort(rows, {}, &Store::Row::m_version);
        return rows;
    }

    void set(const Store::RowKey &key, const std::string &value, bool erased)
    {
        m_rows[key] = {key, value, ++m_version, erased};
    }

    std::map<Store::RowKey, Store::Row> m_rows;
    std::map<Store::RowKey, Store::Row> m_copy;
    std::vector<PendingWatch> m_watches;
    std::uint64_t m_version = 0;
    std::uint64_t m_copyVersion = 0;
    Store::Era m_era = 0;
    Store::Version m_compactedVersion = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
};

}
