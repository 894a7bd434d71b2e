// Stand-in for the platform's transactional store. It has rows with transactions, range reads, parts and feeds, and raw objects.
// Usage: ragwortrelay_standin_store PORT ENDPOINTS
// It serves the same rows at ENDPOINTS addresses, so that each host can have its own faults. POST /standin/fault?mode=M&door=N sets the
// fault of endpoint N; without the argument door, it sets the fault of all endpoints. Modes:
//   none         serves requests
//   down         responds with 503
//   refuse       responds with 429
//   silent       neither executes requests nor responds
//   slow         responds after an additional 400 ms
//   lose-answer  executes transactions without responding; serves other requests
//   late         never responds; executes transactions up to 2 s later
// POST /standin/copy keeps a copy of all rows. POST /standin/restore returns to that copy, with its version, as a store does that lost its
// latest writes; the header Store-Era then rises by one, and feeds after a version that the copy doesn't have get 410.
// POST /standin/forget discards the history that feeds read. POST /standin/put?table=T&key=K writes the body as a row, and
// POST /standin/erase?table=T&key=K deletes the row, as the platform's operator does. GET /standin/calls returns the number of calls.

#include "rows.h"
#include "standin.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <memory>

namespace {

using Json = nlohmann::json;
using StandIn::Request;
using StandIn::Response;
using StandIn::RowName;
using StandIn::StoredRow;

constexpr std::chrono::milliseconds TransactionDuration{3};
constexpr std::chrono::milliseconds SlowResponseDelay{400};
constexpr std::chrono::milliseconds MaxEffectDelay{2000};
constexpr std::size_t MaxRows = 500;
constexpr std::size_t MaxEntries = 100;
constexpr std::size_t MaxNames = 1000;
constexpr std::uint64_t MaxWaitMs = 30'000;

RowName parseRowName(const Json &json)
{
    return {json.at("table").get<std::string>(), json.value("part", ""), json.at("key").get<std::string>()};
}

Json rowJson(const StoredRow &row)
{
    const auto &[table, part, key] = row.m_name;
    Json json{{"table", table}, {"part", part}, {"key", key}, {"expectedVersion", row.m_version}};
    if (row.m_isDeleted) {
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

/// Parsed body of a transaction request.
struct Transaction {
    std::vector<StandIn::Condition> m_conditions;
    std::vector<std::pair<RowName, std::string>> m_writes;
    std::vector<RowName> m_deletions;
};

Transaction parseTransaction(const std::string &body)
{
    const Json json = Json::parse(body);
    Transaction transaction;
    for (const Json &entry : json.value("expected", Json::array())) {
        transaction.m_conditions.push_back({parseRowName(entry), entry.at("expectedVersion").get<std::uint64_t>()});
    }
    for (const Json &entry : json.value("putRows", Json::array())) {
        transaction.m_writes.emplace_back(parseRowName(entry), entry.at("value").get<std::string>());
    }
    for (const Json &entry : json.value("remove", Json::array())) {
        transaction.m_deletions.push_back(parseRowName(entry));
    }
    return transaction;
}

bool usesSeveralParts(const Transaction &transaction)
{
    std::set<std::string> parts;
    for (const auto &condition : transaction.m_conditions) {
        parts.insert(std::get<1>(condition.m_name));
    }
    for (const auto &[name, value] : transaction.m_writes) {
        parts.insert(std::get<1>(name));
    }
    for (const RowName &name : transaction.m_deletions) {
        parts.insert(std::get<1>(name));
    }
    return parts.size() > 1;
}

/// Store that serves the same rows and objects at several endpoints, each with its own fault. Not thread-safe.
class Store
{
public:
    Store(StandIn::asio::io_context &context, std::uint16_t port, std::size_t endpointCount) : m_context(context), m_startedAt(Clock::now())
    {
        for (std::size_t endpoint = 0; endpoint < endpointCount; ++endpoint) {
            m_faults.emplace_back("none");
            const auto listen = static_cast<std::uint16_t>(port == 0 ? 0 : port + endpoint);
            m_endpoints.push_back(std::make_unique<StandIn::Server>(
                context, listen, [this, endpoint](StandIn::Host::ExchangeId exchange, const Request &request) { handle(endpoint, exchange, request); }));
        }
    }

    [[nodiscard]] std::vector<std::string> addresses() const
    {
        std::vector<std::string> addresses;
        for (const auto &endpoint : m_endpoints) {
            addresses.push_back(endpoint->address());
        }
        return addresses;
    }

private:
    using Clock = std::chrono::steady_clock;
    using Responder = std::function<void(const Response &)>;

    /// Feed request that waits for changes.
    struct FeedRequest {
        std::string m_table;
        std::uint64_t m_after = 0;
        Clock::time_point m_deadline;
        Responder m_respond;
    };

    void runAfter(std::chrono::milliseconds delay, std::function<void()> task)
    {
        auto timer = std::make_shared<StandIn::asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, task = std::move(task)](const StandIn::Loop::ErrorCode &error) {
            if (!error) {
                task();
            }
        });
    }

    void handle(std::size_t endpoint, StandIn::Host::ExchangeId exchange, const Request &request)
    {
        const Responder respond = [this, endpoint, exchange](Response response) {
            response.m_headers.push_back({"Store-Era", std::to_string(m_era)});
            m_endpoints[endpoint]->respond(exchange, response);
        };
        if (request.path().starts_with("/standin/")) {
            return respond(handleControl(request));
        }
        ++m_callCount;
        const std::string fault = m_faults[endpoint];
        if (fault == "down" || fault == "refuse") {
            return respond({static_cast<std::uint16_t>(fault == "down" ? 503 : 429), {}, {}});
        }
        if (fault == "silent") {
            return;
        }
        const Responder discardResponse = [](const Response & /*response*/) {};
        if (fault == "lose-answer" && request.path() == "/api/rows-tx") {
            return serve(request, discardResponse);
        }
        if (fault == "late") {
            return transactLate(request);
        }
        serve(request, fault == "slow" ? delayed(respond, SlowResponseDelay) : respond);
    }

    Responder delayed(const Responder &respond, std::chrono::milliseconds delay)
    {
        return [this, respond, delay](const Response &response) { runAfter(delay, [respond, response] { respond(response); }); };
    }

    void transactLate(const Request &request)
    {
        if (request.path() == "/api/rows-tx") {
            m_effectDelayStep = (m_effectDelayStep + 7) % 10;
            runAfter(MaxEffectDelay * m_effectDelayStep / 10, [this, body = request.body()] { transact(body, [](const Response & /*response*/) {}); });
        }
    }

    void serve(const Request &request, const Responder &respond)
    {
        try {
            if (request.path() == "/api/rows-tx") {
                return runAfter(TransactionDuration, [this, body = request.body(), respond] { transact(body, respond); });
            }
            if (request.path() == "/api/rows-get") {
                return respond(range(request));
            }
            if (request.path() == "/api/rows-feed") {
                return feed(request, respond);
            }
            if (request.path() == "/api/rows-parts") {
                return respond(parts(request));
            }
            respond(objects(request));
        } catch (const std::exception &exception) {
            respond({400, exception.what(), {}});
        }
    }

    void transact(const std::string &body, const Responder &respond)
    {
        Transaction transaction;
        try {
            transaction = parseTransaction(body);
        } catch (const std::exception &exception) {
            return respond({400, exception.what(), {}});
        }
        const std::size_t entries = transaction.m_conditions.size() + transaction.m_writes.size() + transaction.m_deletions.size();
        const bool allowsSeveralParts = Json::parse(body).value("across", false);
        if (entries > MaxEntries || (!allowsSeveralParts && usesSeveralParts(transaction))) {
            return respond({400, "too many entries, or several parts", {}});
        }
        if (!m_rows.holds(transaction.m_conditions)) {
            std::vector<StoredRow> rows;
            for (const auto &condition : transaction.m_conditions) {
                const auto row = m_rows.find(condition.m_name);
                if (row) {
                    rows.push_back(*row);
                }
            }
            return respond(json(412, {{"rows", rowsJson(rows)}}));
        }
        m_rows.apply(transaction.m_writes, transaction.m_deletions);
        respond(json(200, Json::object()));
        respondToFeeds();
    }

    Response range(const Request &request)
    {
        const std::size_t limit = std::min<std::size_t>(MaxRows, request.number("limit", MaxRows));
        std::vector<StoredRow> rows =
            m_rows.range(request.argument("table"), request.argument("part"), request.argument("from"), request.argument("to"), limit + 1);
        const bool hasMore = rows.size() > limit;
        rows.resize(std::min(rows.size(), limit));
        return json(200, {{"rows", rowsJson(rows)}, {"hasMore", hasMore}});
    }

    void feed(const Request &request, const Responder &respond)
    {
        const std::chrono::milliseconds wait(std::min(MaxWaitMs, request.number("waitMs", 0)));
        m_feeds.push_back({request.argument("table"), request.number("after", 0), Clock::now() + wait, respond});
        respondToFeeds();
        runAfter(wait + std::chrono::milliseconds(1), [this] { respondToFeeds(); });
    }

    void respondToFeeds()
    {
        std::vector<FeedRequest> waiting;
        for (FeedRequest &feed : std::exchange(m_feeds, {})) {
            const bool isAhead = feed.m_after > m_rows.version(); // The store has lost that version.
            const auto changes = isAhead ? std::nullopt : m_rows.changes(feed.m_table, feed.m_after);
            if (!changes) {
                feed.m_respond({410, {}, {}});
            } else if (!changes->empty() || Clock::now() >= feed.m_deadline) {
                feed.m_respond(json(200, {{"rows", rowsJson(*changes)}}));
            } else {
                waiting.push_back(std::move(feed));
            }
        }
        m_feeds.insert(m_feeds.end(), waiting.begin(), waiting.end());
    }

    Response parts(const Request &request)
    {
        const std::set<std::string> all = m_rows.partsOf(request.argument("table"));
        Json list = Json::array();
        for (auto part = all.upper_bound(request.argument("after")); part != all.end() && list.size() < MaxNames; ++part) {
            list.push_back(*part);
        }
        return json(200, {{"parts", list}});
    }

    Response objects(const Request &request)
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
            return object == m_objects.end() ? Response{404, {}, {}} : Response{200, object->second, {}};
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
            if (object->first.starts_with(prefix) && names.size() < MaxNames) {
                names.push_back(object->first);
            }
        }
        return {200, Json{{"names", names}, {"hasMore", names.size() == MaxNames}}.dump(), {}};
    }

    /// Returns the response to a call about rows, with the store's version and clock.
    Response json(std::uint16_t status, Json content) const
    {
        content["expectedVersion"] = m_rows.version();
        content["nowMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
        return {status, content.dump(), {{"Content-Type", "application/json"}}};
    }

    Response handleControl(const Request &request)
    {
        if (request.path() == "/standin/fault") {
            const std::string endpoint = request.argument("door");
            for (std::size_t i = 0; i < m_faults.size(); ++i) {
                if (endpoint.empty() || std::to_string(i) == endpoint) {
                    m_faults[i] = request.argument("mode");
                }
            }
        } else if (request.path() == "/standin/copy") {
            m_copy = m_rows;
        } else if (request.path() == "/standin/restore") {
            m_rows = m_copy;
            ++m_era;
            respondToFeeds();
        } else if (request.path() == "/standin/forget") {
            m_rows.discardHistory();
            respondToFeeds();
        } else if (request.path() == "/standin/put") {
            m_rows.apply({{{request.argument("table"), {}, request.argument("key")}, base64(request.body())}}, {});
            respondToFeeds();
        } else if (request.path() == "/standin/erase") {
            m_rows.apply({}, {{request.argument("table"), {}, request.argument("key")}});
            respondToFeeds();
        }
        return {200, Json{{"calls", m_callCount}, {"version", m_rows.version()}}.dump(), {}};
    }

    StandIn::asio::io_context &m_context;
    Clock::time_point m_startedAt;
    std::vector<std::string> m_faults; ///< Fault of each endpoint.
    std::vector<std::unique_ptr<StandIn::Server>> m_endpoints;
    StandIn::Rows m_rows;
    StandIn::Rows m_copy; ///< Rows to which the store can be restored.
    std::uint64_t m_era = 0; ///< Number of restores.
    std::map<std::string, std::string> m_objects;
    std::vector<FeedRequest> m_feeds;
    std::uint64_t m_callCount = 0;
    int m_effectDelayStep = 0;
};

}

int main(int argc, char **argv)
{
    StandIn::asio::io_context context(1);
    Store store(context, static_cast<std::uint16_t>(StandIn::numericArgument(argc, argv, 1, 0)), StandIn::numericArgument(argc, argv, 2, 1));
    StandIn::run(context, store.addresses());
    return 0;
}
