#include <ragwortrelay/configuration/storedform.h>

#include <nlohmann/json.hpp>

#include <cstdio>

namespace RagwortRelay::Configuration {

namespace {

using Json = nlohmann::json;

Json encodeRow(const Row &row)
{
    return Json{{"kind", toString(row.m_key.m_kind)}, {"name", row.m_key.m_name}, {"version", row.m_version}, {"cells", row.m_cells}, {"erased", row.m_erased}};
}

Row decodeRow(const Json &json)
{
    Row row;
    const auto [kind, known] = rowKindFrom(json.at("kind").get<std::string>());
    if (!known) {
        throw std::runtime_error("unknown kind of row");
    }
    row.m_key = RowKey{kind, json.at("name").get<std::string>()};
    row.m_version = json.at("version").get<std::uint64_t>();
    row.m_cells = json.at("cells").get<Cells>();
    row.m_erased = json.at("erased").get<bool>();
    return row;
}

}

Platform::ItemKey headKey()
{
    return {Partition, "head"};
}

Platform::ItemKey logKey(std::uint64_t version)
{
    char text[32];
    std::snprintf(text, sizeof text, "log/%020llu", static_cast<unsigned long long>(version));
    return {Partition, text};
}

std::string encodeChange(const Change &change)
{
    Json rows = Json::array();
    for (const Row &row : change.m_rows) {
        rows.push_back(encodeRow(row));
    }
    return Json{{"version", change.m_version}, {"change", change.m_changeId}, {"author", change.m_author}, {"rows", rows}}.dump();
}

tl::expected<Change, Error> decodeChange(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        Change change;
        change.m_version = json.at("version").get<std::uint64_t>();
        change.m_changeId = json.at("change").get<std::string>();
        change.m_author = json.at("author").get<std::string>();
        for (const Json &row : json.at("rows")) {
            change.m_rows.push_back(decodeRow(row));
        }
        return change;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::PlatformBadAnswer, std::string("unreadable change: ") + exception.what()});
    }
}

Platform::Transact appendTransaction(const Change &change)
{
    Platform::Write head;
    head.m_key = headKey();
    head.m_expectedVersion = change.m_version - 1;
    head.m_version = change.m_version;
    head.m_body = change.m_changeId;

    Platform::Write log;
    log.m_key = logKey(change.m_version);
    log.m_version = 1;
    log.m_body = encodeChange(change);
    return {{head, log}};
}

Platform::QueryItems changesAfter(std::uint64_t version)
{
    Platform::QueryItems query;
    query.m_partition = Partition;
    query.m_afterSort = logKey(version).m_sort;
    query.m_belowSort = "log/~";
    return query;
}

}
