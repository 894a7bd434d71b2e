// Stand-in for the platform: table service, object store, list of hosts and backend servers.
// Faults: POST /standin/fault?mode=none|down|slow|lose-answer|old-list

#include "httpstandin.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>

namespace {

using Json = nlohmann::json;
using ItemKey = std::pair<std::string, std::string>;

ItemKey keyOf(const Json &json)
{
    return {json.at("pk").at("S").get<std::string>(), json.at("sk").at("S").get<std::string>()};
}

class Platform
{
public:
    StandIn::Answer handle(const StandIn::Request &request)
    {
        if (request.m_path.starts_with("/standin/")) {
            return handleStandIn(request);
        }
        const std::string mode = currentMode();
        if (mode == "down") {
            return {503, "{}", {}};
        }
        if (mode == "slow") {
            std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        }
        const StandIn::Answer answer = handlePlatform(request);
        const bool loses = mode == "lose-answer" && request.header("X-Amz-Target").ends_with("TransactWriteItems");
        return loses ? StandIn::Answer{503, "{}", {}} : answer;
    }

private:
    std::string currentMode()
    {
        const std::lock_guard lock(m_mutex);
        return m_mode;
    }

    StandIn::Answer handleStandIn(const StandIn::Request &request)
    {
        const std::lock_guard lock(m_mutex);
        if (request.m_path == "/standin/fault") {
            m_mode = request.argument("mode");
            m_oldList = m_list;
            return {200, "{}", {}};
        }
        if (request.m_path == "/standin/list") {
            m_list = request.m_body;
            return {200, "{}", {}};
        }
        return {200, Json{{"reads", m_reads}, {"writes", m_writes}}.dump(), {}};
    }

    StandIn::Answer handlePlatform(const StandIn::Request &request)
    {
        const std::lock_guard lock(m_mutex);
        if (request.m_path == "/targets") {
            return {200, m_mode == "old-list" ? m_oldList : m_list, {{"Content-Type", "application/json"}}};
        }
        if (request.m_path.starts_with("/objects/")) {
            return handleObject(request);
        }
        return handleTable(request.header("X-Amz-Target"), Json::parse(request.m_body));
    }

    StandIn::Answer handleObject(const StandIn::Request &request)
    {
        if (request.m_method == "PUT") {
            m_objects[request.m_path] = request.m_body;
            return {200, "", {}};
        }
        const auto object = m_objects.find(request.m_path);
        return object == m_objects.end() ? StandIn::Answer{404, "", {}} : StandIn::Answer{200, object->second, {}};
    }

    StandIn::Answer handleTable(const std::string &target, const Json &body)
    {
        if (target.ends_with(".GetItem")) {
            ++m_reads;
            const auto item = m_items.find(keyOf(body.at("Key")));
            return {200, item == m_items.end() ? "{}" : Json{{"Item", item->second}}.dump(), {}};
        }
        if (target.ends_with(".Query")) {
            ++m_reads;
            return query(body);
        }
        if (target.ends_with(".TransactWriteItems")) {
            ++m_writes;
            return transact(body);
        }
        return {400, R"({"__type":"com.amazon.coral.service#UnknownOperationException"})", {}};
    }

    StandIn::Answer query(const Json &body)
    {
        const Json &values = body.at("ExpressionAttributeValues");
        const std::string partition = values.at(":p").at("S");
        const std::string after = values.at(":a").at("S");
        const bool between = values.contains(":b");
        const std::string below = between ? values.at(":b").at("S").get<std::string>() : "";
        const std::size_t limit = body.value("Limit", 1000);
        Json items = Json::array();
        Json answer{{"Count", 0}};
        for (auto item = m_items.lower_bound({partition, after}); item != m_items.end() && item->first.first == partition; ++item) {
            const std::string &sort = item->first.second;
            if (!between && sort == after) {
                continue;
            }
            if (between && sort > below) {
                break;
            }
            if (items.size() == limit) {
                answer["LastEvaluatedKey"] = Json{{"pk", items.back().at("pk")}, {"sk", items.back().at("sk")}};
                break;
            }
            items.push_back(item->second);
        }
        answer["Count"] = items.size();
        answer["Items"] = items;
        return {200, answer.dump(), {}};
    }

    bool conditionHolds(const Json &operation, const ItemKey &key) const
    {
        const auto item = m_items.find(key);
        const std::string condition = operation.value("ConditionExpression", "");
        if (condition == "attribute_not_exists(pk)") {
            return item == m_items.end();
        }
        if (condition == "v = :v") {
            return item != m_items.end() && item->second.at("v") == operation.at("ExpressionAttributeValues").at(":v");
        }
        return condition.empty();
    }

    StandIn::Answer transact(const Json &body)
    {
        Json reasons = Json::array();
        bool allHold = true;
        for (const Json &entry : body.at("TransactItems")) {
            const Json &operation = entry.begin().value();
            const ItemKey key = keyOf(operation.contains("Item") ? operation["Item"] : operation.at("Key"));
            const bool holds = conditionHolds(operation, key);
            allHold = allHold && holds;
            reasons.push_back(Json{{"Code", holds ? "None" : "ConditionalCheckFailed"}});
        }
        if (!allHold) {
            return {400, Json{{"__type", "com.amazonaws.dynamodb.v20120810#TransactionCanceledException"}, {"CancellationReasons", reasons}}.dump(), {}};
        }
        for (const Json &entry : body.at("TransactItems")) {
            const Json &operation = entry.begin().value();
            if (entry.contains("Put")) {
                m_items[keyOf(operation["Item"])] = operation["Item"];
            } else if (entry.contains("Delete")) {
                m_items.erase(keyOf(operation["Key"]));
            }
        }
        return {200, "{}", {}};
    }

    std::mutex m_mutex;
    std::string m_mode = "none";
    std::map<ItemKey, Json> m_items;
    std::map<std::string, std::string> m_objects;
    std::string m_list = "[]";
    std::string m_oldList = "[]";
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

}

int main(int argc, char **argv)
{
    const sigset_t signals = StandIn::blockStopSignals();
    Platform platform;
    const StandIn::Server server(StandIn::portFrom(argc, argv), [&](const StandIn::Request &request) { return platform.handle(request); });
    StandIn::printPortAndWait(server, signals);
    return 0;
}
