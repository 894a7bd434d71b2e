// Stand-in for the platform's transactional store: rows with transactions, ranges, parts and feeds, and raw objects.
// Usage: ragwortrelay_standin_store PORT DOORS
// It serves the same rows at DOORS addresses, so that hosts can be told apart: door N takes the fault of POST /standin/fault?mode=M&door=N;
// without a door the fault is that of all.
//   none         serves
//   down         answers 503
//   refuse       answers 429
//   silent       answers nothing and does nothing
//   slow         answers 400 ms later
//   lose-answer  does transactions and answers them nothing; answers reads
//   late         answers nothing, and does what is asked up to 2 s later
// POST /standin/forget drops the history that feeds read. POST /standin/put?table=T&key=K writes the body as the platform's operator does.
// GET /standin/calls tells how many calls came.

#include "rows.h"
#include "standin.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <memory>

namespace {

using Json = nlohmann::json;
using StandIn::Answer;
using StandIn::Request;
using StandIn::RowName;
using StandIn::StoredRow;

constexpr std::chrono::milliseconds TransactionTime{3};
constexpr std::chrono::milliseconds SlowTime{400};
constexpr std::chrono::milliseconds LatestEffect{2000};
constexpr std::size_t MostRows = 500;
constexpr std::size_t MostEntries = 100;
constexpr std::size_t MostNames = 1000;
constexpr std::uint64_t LongestWait = 30'000; // milliseconds

RowName nameFrom(const Json &json)
{
    return {json.at("table").get<std::string>(), json.value("part", ""), json.at("key").get<std::string>()};
}

Json rowJson(const StoredRow &row)
{
    const auto &[table, part, key] = row.m_name;
    Json json{{"table", table}, {"part", part}, {"key", key}, {"expectedVersion", row.m_version}};
    if (row.m_isErased) {
        json["deleted"] = true;
    } else {
        json["value"] = row.m_value;
    }
    return json;
}

Json rowsJson(const std::vector<StoredRow> &rows)
{
    Json list = Json::array();
    for (const StoredRow &row : rows) {
        list.push_back(rowJson(row));
    }
    return list;
}

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

/// A transaction as sent.
struct Transaction {
    std::vector<StandIn::Condition> m_conditions;
    std::vector<std::pair<RowName, std::string>> m_writes;
    std::vector<RowName> m_erased;
};

Transaction transactionFrom(const std::string &body)
{
    const Json json = Json::parse(body);
    Transaction transaction;
    for (const Json &entry : json.value("expected", Json::array())) {
        transaction.m_conditions.push_back({nameFrom(entry), entry.at("expectedVersion").get<std::uint64_t>()});
    }
    for (const Json &entry : json.value("putRows", Json::array())) {
        transaction.m_writes.emplace_back(nameFrom(entry), entry.at("value").get<std::string>());
    }
    for (const Json &entry : json.value("remove", Json::array())) {
        transaction.m_erased.push_back(nameFrom(entry));
    }
    return transaction;
}

bool touchesSeveralParts(const Transaction &transaction)
{
    std::set<std::string> parts;
    for (const auto &condition : transaction.m_conditions) {
        parts.insert(std::get<1>(condition.m_name));
    }
    for (const auto &[name, value] : transaction.m_writes) {
        parts.insert(std::get<1>(name));
    }
    for (const RowName &name : transaction.m_erased) {
        parts.insert(std::get<1>(name));
    }
    return parts.size() > 1;
}

class Store
{
public:
    Store(StandIn::asio::io_context &context, std::uint16_t port, std::size_t doors) : m_context(context), m_startedAt(Clock::now())
    {
        for (std::size_t door = 0; door < doors; ++door) {
            m_faults.emplace_back("none");
            const auto listen = static_cast<std::uint16_t>(port == 0 ? 0 : port + door);
            m_doors.push_back(std::make_unique<StandIn::Server>(
                context, listen, [this, door](StandIn::Host::ExchangeId exchange, const Request &request) { handle(door, exchange, request); }));
        }
    }

    [[nodiscard]] std::vector<std::string> addresses() const
    {
        std::vector<std::string> addresses;
        for (const auto &door : m_doors) {
            addresses.push_back(door->address());
        }
        return addresses;
    }

private:
    using Clock = std::chrono::steady_clock;
    using Reply = std::function<void(const Answer &)>;

    /// A feed that waits for changes.
    struct Feed {
        std::string m_table;
        std::uint64_t m_after = 0;
        Clock::time_point m_until;
        Reply m_reply;
    };

    void later(std::chrono::milliseconds delay, std::function<void()> task)
    {
        auto timer = std::make_shared<StandIn::asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, task = std::move(task)](const StandIn::Loop::ErrorCode &error) {
            if (!error) {
                task();
            }
        });
    }

    void handle(std::size_t door, StandIn::Host::ExchangeId exchange, const Request &request)
    {
        const Reply reply = [this, door, exchange](const Answer &response) { m_doors[door]->response(exchange, response); };
        if (request.path().starts_with("/standin/")) {
            return reply(control(request));
        }
        ++m_calls;
        const std::string fault = m_faults[door];
        if (fault == "down" || fault == "refuse") {
            return reply({static_cast<std::uint16_t>(fault == "down" ? 503 : 429), {}, {}});
        }
        if (fault == "silent") {
            return;
        }
        const Reply nobody = [](const Answer & /*answer*/) {};
        if (fault == "lose-answer" && request.path() == "/api/rows-tx") {
            return serve(request, nobody);
        }
        if (fault == "late") {
            return serveLater(request);
        }
        serve(request, fault == "slow" ? delayed(reply, SlowTime) : reply);
    }

    Reply delayed(const Reply &reply, std::chrono::milliseconds delay)
    {
        return [this, reply, delay](const Answer &response) { later(delay, [reply, response] { reply(response); }); };
    }

    void serveLater(const Request &request)
    {
        if (request.path() == "/api/rows-tx") {
            m_lateSteps = (m_lateSteps + 7) % 10;
            later(LatestEffect * m_lateSteps / 10, [this, body = request.body()] { transact(body, [](const Answer & /*answer*/) {}); });
        }
    }

    void serve(const Request &request, const Reply &reply)
    {
        try {
            if (request.path() == "/api/rows-tx") {
                return later(TransactionTime, [this, body = request.body(), reply] { transact(body, reply); });
            }
            if (request.path() == "/api/rows-get") {
                return reply(range(request));
            }
            if (request.path() == "/api/rows-feed") {
                return feed(request, reply);
            }
            if (request.path() == "/api/rows-parts") {
                return reply(parts(request));
            }
            reply(objects(request));
        } catch (const std::exception &exception) {
            reply({400, exception.what(), {}});
        }
    }

    void transact(const std::string &body, const Reply &reply)
    {
        Transaction transaction;
        try {
            transaction = transactionFrom(body);
        } catch (const std::exception &exception) {
            return reply({400, exception.what(), {}});
        }
        const std::size_t entries = transaction.m_conditions.size() + transaction.m_writes.size() + transaction.m_erased.size();
        const bool isAcross = Json::parse(body).value("across", false);
        if (entries > MostEntries || (!isAcross && touchesSeveralParts(transaction))) {
            return reply({400, "too many entries, or several parts", {}});
        }
        if (!m_rows.holds(transaction.m_conditions)) {
            std::vector<StoredRow> rows;
            for (const auto &condition : transaction.m_conditions) {
                const auto row = m_rows.find(condition.m_name);
                if (row) {
                    rows.push_back(*row);
                }
            }
            return reply(json(412, {{"rows", rowsJson(rows)}}));
        }
        m_rows.apply(transaction.m_writes, transaction.m_erased);
        reply(json(200, Json::object()));
        answerFeeds();
    }

    Answer range(const Request &request)
    {
        const std::size_t limit = std::min<std::size_t>(MostRows, request.number("limit", MostRows));
        std::vector<StoredRow> rows =
            m_rows.range(request.argument("table"), request.argument("part"), request.argument("from"), request.argument("to"), limit + 1);
        const bool hasMore = rows.size() > limit;
        rows.resize(std::min(rows.size(), limit));
        return json(200, {{"rows", rowsJson(rows)}, {"hasMore", hasMore}});
    }

    void feed(const Request &request, const Reply &reply)
    {
        const std::chrono::milliseconds wait(std::min(LongestWait, request.number("waitMs", 0)));
        m_feeds.push_back({request.argument("table"), request.number("after", 0), Clock::now() + wait, reply});
        answerFeeds();
        later(wait + std::chrono::milliseconds(1), [this] { answerFeeds(); });
    }

    void answerFeeds()
    {
        std::vector<Feed> waiting;
        for (Feed &feed : std::exchange(m_feeds, {})) {
            const auto changes = m_rows.changes(feed.m_table, feed.m_after);
            if (!changes) {
                feed.m_reply({410, {}, {}});
            } else if (!changes->empty() || Clock::now() >= feed.m_until) {
                feed.m_reply(json(200, {{"rows", rowsJson(*changes)}}));
            } else {
                waiting.push_back(std::move(feed));
            }
        }
        m_feeds.insert(m_feeds.end(), waiting.begin(), waiting.end());
    }

    Answer parts(const Request &request)
    {
        const std::set<std::string> all = m_rows.partsOf(request.argument("table"));
        Json list = Json::array();
        for (auto part = all.upper_bound(request.argument("after")); part != all.end() && list.size() < MostNames; ++part) {
            list.push_back(*part);
        }
        return json(200, {{"parts", list}});
    }

    Answer objects(const Request &request)
    {
        const auto idAfter = [&](const std::string &prefix) { return request.path().substr(std::min(prefix.size(), request.path().size())); };
        if (request.path().starts_with("/api/blob-put/")) {
            const std::string id = idAfter("/api/blob-put/");
            if (request.header("If-None-Match") == "*" && m_objects.contains(id)) {
                return {412, {}, {}};
            }
            m_objects[id] = request.body();
            return {200, "{}", {}};
        }
        if (request.path().starts_with("/api/blob-get/")) {
            const auto object = m_objects.find(idAfter("/api/blob-get/"));
            return object == m_objects.end() ? Answer{404, {}, {}} : Answer{200, object->second, {}};
        }
        if (request.path().starts_with("/api/blob-drop/")) {
            m_objects.erase(idAfter("/api/blob-drop/"));
            return {200, "{}", {}};
        }
        if (request.path() != "/api/blob-list") {
            return {404, {}, {}};
        }
        Json names = Json::array();
        const std::string prefix = request.argument("prefix");
        for (auto object = m_objects.upper_bound(std::max(prefix, request.argument("after"))); object != m_objects.end(); ++object) {
            if (object->first.starts_with(prefix) && names.size() < MostNames) {
                names.push_back(object->first);
            }
        }
        return {200, Json{{"names", names}, {"hasMore", names.size() == MostNames}}.dump(), {}};
    }

    /// Answer of a call about rows, with the version and the clock of the store.
    Answer json(std::uint16_t status, Json content) const
    {
        content["expectedVersion"] = m_rows.version();
        content["nowMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
        return {status, content.dump(), {{"Content-Type", "application/json"}}};
    }

    Answer control(const Request &request)
    {
        if (request.path() == "/standin/fault") {
            const std::string door = request.argument("door");
            for (std::size_t i = 0; i < m_faults.size(); ++i) {
                if (door.empty() || std::to_string(i) == door) {
                    m_faults[i] = request.argument("mode");
                }
            }
        } else if (request.path() == "/standin/forget") {
            m_rows.forgetHistory();
            answerFeeds();
        } else if (request.path() == "/standin/put") {
            m_rows.apply({{{request.argument("table"), {}, request.argument("key")}, base64(request.body())}}, {});
            answerFeeds();
        } else if (request.path() == "/standin/erase") {
            m_rows.apply({}, {{request.argument("table"), {}, request.argument("key")}});
            answerFeeds();
        }
        return {200, Json{{"calls", m_calls}, {"version", m_rows.version()}}.dump(), {}};
    }

    StandIn::asio::io_context &m_context;
    Clock::time_point m_startedAt;
    std::vector<std::string> m_faults; ///< By door.
    std::vector<std::unique_ptr<StandIn::Server>> m_doors;
    StandIn::Rows m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<Feed> m_feeds;
    std::uint64_t m_calls = 0;
    int m_lateSteps = 0;
};

}

int main(int argc, char **argv)
{
    StandIn::asio::io_context context(1);
    Store store(context, static_cast<std::uint16_t>(StandIn::numberAt(argc, argv, 1, 0)), StandIn::numberAt(argc, argv, 2, 1));
    StandIn::run(context, store.addresses());
    return 0;
}
