#include <ragwortrelay/platform/dynamodb.h>

#include <nlohmann/json.hpp>

namespace RagwortRelay::Platform {

namespace {

using Json = nlohmann::json;

constexpr long HttpOk = 200;
constexpr long HttpBadRequest = 400;
constexpr const char *TargetPrefix = "DynamoDB_20120810.";

Json stringValue(const std::string &text)
{
    return Json{{"S", text}};
}

Json numberValue(std::uint64_t number)
{
    return Json{{"N", std::to_string(number)}};
}

Json encodeKey(const ItemKey &key)
{
    return Json{{"pk", stringValue(key.m_partition)}, {"sk", stringValue(key.m_sort)}};
}

Json encodeWrite(const Write &write, const std::string &tableName)
{
    Json operation{{"TableName", tableName}};
    if (write.m_expectedVersion == 0) {
        operation["ConditionExpression"] = "attribute_not_exists(pk)";
    } else {
        operation["ConditionExpression"] = "v = :v";
        operation["ExpressionAttributeValues"] = Json{{":v", numberValue(write.m_expectedVersion)}};
    }
    switch (write.m_kind) {
    case WriteKind::Put:
        operation["Item"] = encodeKey(write.m_key);
        operation["Item"]["v"] = numberValue(write.m_version);
        operation["Item"]["b"] = stringValue(write.m_body);
        return Json{{"Put", operation}};
    case WriteKind::Erase:
        operation["Key"] = encodeKey(write.m_key);
        return Json{{"Delete", operation}};
    case WriteKind::Check:
        operation["Key"] = encodeKey(write.m_key);
        return Json{{"ConditionCheck", operation}};
    }
    return Json::object();
}

TableRequest encodeGet(const GetItem &get, const std::string &tableName)
{
    const Json body{{"TableName", tableName}, {"Key", encodeKey(get.m_key)}, {"ConsistentRead", true}};
    return {std::string(TargetPrefix) + "GetItem", body.dump()};
}

TableRequest encodeQuery(const QueryItems &query, const std::string &tableName)
{
    Json values{{":p", stringValue(query.m_partition)}, {":a", stringValue(query.m_afterSort)}};
    std::string condition = "pk = :p AND sk > :a";
    if (!query.m_belowSort.empty()) {
        // A key condition allows only one range on the sort key; BETWEEN includes its ends, which the decoder leaves out.
        condition = "pk = :p AND sk BETWEEN :a AND :b";
        values[":b"] = stringValue(query.m_belowSort);
    }
    const Json body{{"TableName", tableName},
                    {"KeyConditionExpression", condition},
                    {"ExpressionAttributeValues", values},
                    {"ConsistentRead", true},
                    {"Limit", query.m_limit}};
    return {std::string(TargetPrefix) + "Query", body.dump()};
}

TableRequest encodeTransact(const Transact &transact, const std::string &tableName)
{
    Json items = Json::array();
    for (const Write &write : transact.m_writes) {
        items.push_back(encodeWrite(write, tableName));
    }
    return {std::string(TargetPrefix) + "TransactWriteItems", Json{{"TransactItems", items}}.dump()};
}

Item decodeItem(const Json &json)
{
    Item item;
    item.m_key.m_partition = json.at("pk").at("S").get<std::string>();
    item.m_key.m_sort = json.at("sk").at("S").get<std::string>();
    item.m_version = std::stoull(json.at("v").at("N").get<std::string>());
    item.m_body = json.at("b").at("S").get<std::string>();
    return item;
}

Result decodeGetAnswer(const Json &json)
{
    ItemRead read;
    if (json.contains("Item")) {
        read.m_item = decodeItem(json["Item"]);
    }
    return read;
}

Result decodeQueryAnswer(const QueryItems &query, const Json &json)
{
    ItemsRead read;
    for (const Json &entry : json.at("Items")) {
        Item item = decodeItem(entry);
        const bool isBound = item.m_key.m_sort == query.m_afterSort || item.m_key.m_sort == query.m_belowSort;
        if (!isBound) {
            read.m_items.push_back(std::move(item));
        }
    }
    read.m_more = json.contains("LastEvaluatedKey");
    return read;
}

Result decodeFailure(long httpStatus, const Json &json)
{
    const std::string type = json.value("__type", "");
    if (httpStatus != HttpBadRequest || type.find("TransactionCanceledException") == std::string::npos) {
        return Unavailable{"table service answered " + std::to_string(httpStatus) + ' ' + type};
    }
    Refused refused;
    std::size_t index = 0;
    for (const Json &reason : json.at("CancellationReasons")) {
        const std::string code = reason.value("Code", "None");
        if (code == "ConditionalCheckFailed") {
            refused.m_failedWrites.push_back(index);
        } else if (code != "None") {
            return Unavailable{"transaction cancelled: " + code};
        }
        ++index;
    }
    return refused;
}

}

TableRequest encodeTableCall(const Call &call, const std::string &tableName)
{
    if (const auto *get = std::get_if<GetItem>(&call)) {
        return encodeGet(*get, tableName);
    }
    if (const auto *query = std::get_if<QueryItems>(&call)) {
        return encodeQuery(*query, tableName);
    }
    return encodeTransact(std::get<Transact>(call), tableName);
}

Result decodeTableAnswer(const Call &call, long httpStatus, const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        if (httpStatus != HttpOk) {
            return decodeFailure(httpStatus, json);
        }
        if (std::holds_alternative<GetItem>(call)) {
            return decodeGetAnswer(json);
        }
        if (const auto *query = std::get_if<QueryItems>(&call)) {
            return decodeQueryAnswer(*query, json);
        }
        return Written{};
    } catch (const std::exception &exception) {
        return Unavailable{std::string("unreadable answer: ") + exception.what()};
    }
}

Result decodeTargets(long httpStatus, const std::string &body)
{
    if (httpStatus != HttpOk) {
        return Unavailable{"host list answered " + std::to_string(httpStatus)};
    }
    try {
        TargetsRead read;
        const Json groups = Json::parse(body);
        for (const Json &group : groups) {
            const Json labels = group.value("labels", Json::object());
            for (const Json &address : group.at("targets")) {
                Target target;
                target.m_address = address.get<std::string>();
                target.m_kind = labels.value("kind", "host");
                target.m_name = labels.value("name", "");
                target.m_incarnation = labels.value("incarnation", "");
                target.m_leaving = labels.value("state", "live") == "leaving";
                read.m_targets.push_back(std::move(target));
            }
        }
        return read;
    } catch (const std::exception &exception) {
        return Unavailable{std::string("unreadable host list: ") + exception.what()};
    }
}

}
