#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/store/store.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace RagwortRelay::Fakes {

/// The platform's store: rows with versions from one counter, and feeds.
class FakeStore
{
public:
    using Answer = std::function<void(const Store::Result &)>;

    /// Performs a call. A feed without changes answers later, by tick().
    void call(const Store::Call &call, TimePoint now, Answer response)
    {
        if (const auto *read = std::get_if<Store::ReadRows>(&call)) {
            return response(this->read(*read, now));
        }
        if (const auto *transact = std::get_if<Store::Transaction>(&call)) {
            return response(this->transact(*transact, now));
        }
        const auto &follow = std::get<Store::WatchTable>(call);
        if (follow.m_after < m_forgotten) {
            return response(Store::HistoryCompacted{});
        }
        m_feeds.push_back({follow, now + Duration(follow.m_wait), std::move(response)});
        tick(now);
    }

    /// Answers the feeds that have changes, or have waited long enough.
    void tick(TimePoint now)
    {
        auto feeds = std::move(m_feeds);
        m_feeds.clear();
        for (auto &feed : feeds) {
            const std::vector<Store::Row> news = changes(feed.m_call);
            if (!news.empty() || now >= feed.m_until) {
                feed.m_response(Store::RowsRead{news, false, m_version, timeAt(now)});
            } else {
                m_feeds.push_back(std::move(feed));
            }
        }
    }

    /// Writes a row as the operator or a server does; returns its version.
    Store::Version write(const std::string &table, const std::string &name, const std::string &value, TimePoint now)
    {
        set({table, {}, name}, value, false);
        tick(now);
        return m_version;
    }

    void erase(const std::string &table, const std::string &name, TimePoint now)
    {
        set({table, {}, name}, {}, true);
        tick(now);
    }

    /// Forgets all changes until now.
    void forgetHistory()
    {
        m_forgotten = m_version;
    }

    /// Tells whether there is a row.
    [[nodiscard]] bool contains(const Store::RowKey &key) const
    {
        const auto row = m_rows.find(key);
        return row != m_rows.end() && !row->second.m_erased;
    }

    /// Returns how many transactions were tried.
    [[nodiscard]] std::uint64_t writes() const
    {
        return m_writes;
    }

    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    struct Feed {
        Store::WatchTable m_call;
        TimePoint m_until;
        Answer m_response;
    };

    static Store::StoreTime timeAt(TimePoint now)
    {
        constexpr std::int64_t Offset = 777'000; // The store's clock is nobody else's.
        return Store::StoreTime(now.time_since_epoch().count() / 1000 + Offset);
    }

    Store::Result read(const Store::ReadRows &call, TimePoint now)
    {
        ++m_calls;
        Store::RowsRead result{{}, false, m_version, timeAt(now)};
        for (const auto &[key, row] : m_rows) {
            const bool isWanted = key.m_table == call.m_table && key.m_part == call.m_part && key.m_name >= call.m_from && !row.m_erased;
            if (isWanted && (call.m_below.empty() || key.m_name < call.m_below)) {
                result.m_hasMore = result.m_rows.size() >= call.m_limit;
                if (result.m_hasMore) {
                    break;
                }
                result.m_rows.push_back(row);
            }
        }
        return result;
    }

    Store::Result transact(const Store::Transaction &call, TimePoint now)
    {
        ++m_calls;
        ++m_writes;
        Store::Conflict conflict;
        bool holds = true;
        for (const auto &expectation : call.m_expected) {
            const auto row = m_rows.find(expectation.m_key);
            const Store::Version version = row == m_rows.end() || row->second.m_erased ? 0 : row->second.m_version;
            holds = holds && version == expectation.m_version;
            if (version > 0) {
                conflict.m_rows.push_back(row->second);
            }
        }
        if (!holds) {
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
        return Store::Committed{m_version, timeAt(now)};
    }

    [[nodiscard]] std::vector<Store::Row> changes(const Store::WatchTable &call) const
    {
        std::vector<Store::Row> rows;
        for (const auto &[key, row] : m_rows) {
            if (key.m_table == call.m_table && row.m_version > call.m_after) {
                rows.push_back(row);
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
    std::vector<Feed> m_feeds;
    Store::Version m_version = 0;
    Store::Version m_forgotten = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
};

}
