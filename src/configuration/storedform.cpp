#include <ragwortrelay/configuration/storedform.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>

namespace RagwortRelay::Configuration {

namespace {

using Json = nlohmann::json;

constexpr const char *LogPrefix = "log/";
constexpr const char *MarkSuffix = "/end";
constexpr std::size_t VersionDigits = 20;

Json encodeRow(const Row &row)
{
    Json json{{"kind", toString(row.m_key.m_kind)}, {"name", row.m_key.m_name}};
    if (row.m_erased) {
        json["erased"] = true;
    } else if (!row.m_cells.empty()) {
        json["cells"] = row.m_cells;
    }
    return json;
}

Row decodeRow(const Json &json)
{
    Row row;
    const auto [kind, known] = rowKindFrom(json.at("kind").get<std::string>());
    if (!known) {
        throw std::runtime_error("unknown kind of row");
    }
    row.m_key = RowKey{kind, json.at("name").get<std::string>()};
    row.m_cells = json.value("cells", Cells{});
    row.m_erased = json.value("erased", false);
    return row;
}

Error unreadable(const std::string &what, const std::exception &exception)
{
    return {ErrorId::PlatformBadAnswer, "unreadable " + what + ": " + exception.what()};
}

Platform::Write put(const Platform::ItemKey &key, std::uint64_t expected, std::uint64_t version, std::string body)
{
    Platform::Write write;
    write.m_key = key;
    write.m_expectedVersion = expected;
    write.m_version = version;
    write.m_body = std::move(body);
    return write;
}

Platform::Write erase(const Platform::ItemKey &key, std::uint64_t expected)
{
    Platform::Write write;
    write.m_kind = Platform::WriteKind::Erase;
    write.m_key = key;
    write.m_expectedVersion = expected;
    return write;
}

/// Encodes the body of a log item.
std::string encodeEntry(const EncodedChange &change)
{
    if (change.m_body.size() > LargestInlineChange) {
        return Json{{"object", changeObject(change.m_change.m_changeId)}}.dump();
    }
    return change.m_body;
}

LogEntry decodeEntry(std::uint64_t version, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const bool isObject = json.is_object() && json.contains("object") && json["object"].is_string();
    return isObject ? LogEntry{version, {}, json["object"].get<std::string>()} : LogEntry{version, body, {}};
}

}

Platform::ItemKey headKey()
{
    return {Partition, "head"};
}

Platform::ItemKey logKey(std::uint64_t version)
{
    char text[VersionDigits + 8];
    std::snprintf(text, sizeof text, "%s%020llu", LogPrefix, static_cast<unsigned long long>(version));
    return {Partition, text};
}

Platform::ItemKey markKey(std::uint64_t version)
{
    return {Partition, logKey(version).m_sort + MarkSuffix};
}

Platform::ItemKey changeKey(const std::string &changeId)
{
    return {Partition, "change/" + changeId};
}

Platform::ItemKey snapshotKey()
{
    return {Partition, "snapshot"};
}

std::string changeObject(const std::string &changeId)
{
    return "configuration-change-" + changeId;
}

std::string snapshotObject(std::uint64_t version)
{
    return "configuration-snapshot-" + std::to_string(version);
}

std::string encodeChange(const Change &change)
{
    Json rows = Json::array();
    for (const Row &row : change.m_rows) {
        rows.push_back(encodeRow(row));
    }
    return Json{{"change", change.m_changeId}, {"author", change.m_author}, {"rows", std::move(rows)}}.dump();
}

tl::expected<Change, Error> decodeChange(const std::string &body, std::uint64_t version)
{
    try {
        const Json json = Json::parse(body);
        Change change;
        change.m_version = version;
        change.m_changeId = json.at("change").get<std::string>();
        change.m_author = json.at("author").get<std::string>();
        for (const Json &entry : json.at("rows")) {
            Row row = decodeRow(entry);
            row.m_version = version;
            change.m_rows.push_back(std::move(row));
        }
        return change;
    } catch (const std::exception &exception) {
        return tl::unexpected(unreadable("change", exception));
    }
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    Json rows = Json::array();
    for (const auto &[key, row] : snapshot.m_table.m_rows) {
        Json json = encodeRow(row);
        json["version"] = row.m_version;
        rows.push_back(std::move(json));
    }
    return Json{{"version", snapshot.m_table.m_version}, {"change", snapshot.m_changeId}, {"rows", std::move(rows)}}.dump();
}

tl::expected<Snapshot, Error> decodeSnapshot(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        Snapshot snapshot;
        snapshot.m_table.m_version = json.at("version").get<std::uint64_t>();
        snapshot.m_changeId = json.at("change").get<std::string>();
        for (const Json &entry : json.at("rows")) {
            Row row = decodeRow(entry);
            row.m_version = entry.at("version").get<std::uint64_t>();
            snapshot.m_table.m_rows.emplace(row.m_key, row);
        }
        return snapshot;
    } catch (const std::exception &exception) {
        return tl::unexpected(unreadable("table", exception));
    }
}

Platform::Transact appendTransaction(const std::vector<EncodedChange> &changes)
{
    Platform::Transact transact;
    const std::uint64_t base = changes.front().m_change.m_version - 1;
    transact.m_writes.push_back(put(headKey(), base, changes.back().m_change.m_version, changes.back().m_change.m_changeId));
    for (const EncodedChange &change : changes) {
        const std::uint64_t version = change.m_change.m_version;
        const std::string &id = change.m_change.m_changeId;
        transact.m_writes.push_back(put(logKey(version), 0, 1, encodeEntry(change)));
        transact.m_writes.push_back(put(markKey(version), 0, 1, id));
        transact.m_writes.push_back(put(changeKey(id), 0, version, {}));
    }
    return transact;
}

Platform::QueryItems changesAfter(std::uint64_t version)
{
    constexpr std::uint32_t ItemsAtOnce = 200;
    Platform::QueryItems query;
    query.m_partition = Partition;
    // Above the log item of the version, which may be large, and below its mark.
    query.m_afterSort = logKey(version).m_sort + '/';
    query.m_belowSort = std::string(LogPrefix) + '~';
    query.m_limit = ItemsAtOnce;
    return query;
}

Platform::QueryItems changesBefore(std::uint64_t version)
{
    Platform::QueryItems query;
    query.m_partition = Partition;
    query.m_afterSort = LogPrefix;
    query.m_belowSort = logKey(version).m_sort;
    query.m_limit = MostWrites;
    return query;
}

ChainRead readChain(const Platform::ItemsRead &read, std::uint64_t version)
{
    const std::size_t prefix = std::string(LogPrefix).size();
    ChainRead chain;
    for (const Platform::Item &item : read.m_items) {
        const std::string &sort = item.m_key.m_sort;
        if (sort == markKey(version).m_sort) {
            chain.m_markOfBase = item.m_body;
        } else if (sort.size() == prefix + VersionDigits) {
            chain.m_entries.push_back(decodeEntry(std::strtoull(sort.c_str() + prefix, nullptr, 10), item.m_body));
        }
    }
    return chain;
}

Platform::Transact trimTransaction(const Platform::ItemsRead &read)
{
    const std::size_t prefix = std::string(LogPrefix).size();
    Platform::Transact transact;
    for (const Platform::Item &item : read.m_items) {
        const bool isMark = item.m_key.m_sort.ends_with(MarkSuffix);
        if (!isMark || transact.m_writes.size() + WritesOfChange > MostWrites) {
            continue;
        }
        const std::uint64_t version = std::strtoull(item.m_key.m_sort.c_str() + prefix, nullptr, 10);
        transact.m_writes.push_back(erase(logKey(version), 1));
        transact.m_writes.push_back(erase(item.m_key, 1));
        transact.m_writes.push_back(erase(changeKey(item.m_body), version));
    }
    return transact;
}

}
