#include <ragwortrelay/runtime/operatorcodec.h>

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace RagwortRelay::Runtime {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t HttpOk = 200;
constexpr std::uint16_t HttpConflict = 409;
constexpr std::uint16_t HttpUnprocessable = 422;
constexpr std::uint16_t HttpServiceUnavailable = 503;

Configuration::Row decodeRow(const Json &json)
{
    const auto [kind, known] = Configuration::rowKindFrom(json.at("kind").get<std::string>());
    if (!known) {
        throw std::runtime_error("unknown kind of row");
    }
    Configuration::Row row;
    row.m_key = {kind, json.at("name").get<std::string>()};
    row.m_version = json.at("version").get<std::uint64_t>();
    row.m_cells = json.at("cells").get<Configuration::Cells>();
    row.m_erased = json.at("erased").get<bool>();
    return row;
}

Json encodeRow(const Configuration::Row &row)
{
    return Json{{"kind", Configuration::toString(row.m_key.m_kind)},
                {"name", row.m_key.m_name},
                {"version", row.m_version},
                {"cells", row.m_cells},
                {"erased", row.m_erased}};
}

Json encodeRowEdit(const Node::RowEdit &row)
{
    return Json{{"kind", Configuration::toString(row.m_key.m_kind)},
                {"name", row.m_key.m_name},
                {"base", row.m_baseVersion},
                {"cells", row.m_cells},
                {"erase", row.m_erase}};
}

Node::RowEdit decodeRowEdit(const Json &json)
{
    const auto [kind, known] = Configuration::rowKindFrom(json.at("kind").get<std::string>());
    if (!known) {
        throw std::runtime_error("unknown kind of row");
    }
    Node::RowEdit edit;
    edit.m_key = {kind, json.at("name").get<std::string>()};
    edit.m_baseVersion = json.at("base").get<std::uint64_t>();
    edit.m_cells = json.at("cells").get<Configuration::Cells>();
    edit.m_erase = json.value("erase", false);
    return edit;
}

OperatorAnswer encode(const Node::TableShown &shown)
{
    Json rows = Json::array();
    for (const auto &[key, row] : shown.m_table.m_rows) {
        rows.push_back(encodeRow(row));
    }
    return {HttpOk, Json{{"version", shown.m_table.m_version}, {"rows", rows}}.dump()};
}

OperatorAnswer encode(const Node::EditDone &done)
{
    return {HttpOk, Json{{"version", done.m_version}}.dump()};
}

OperatorAnswer encode(const Node::EditConflict &conflict)
{
    Json rows = Json::array();
    for (const Configuration::Row &row : conflict.m_storedRows) {
        rows.push_back(encodeRow(row));
    }
    return {HttpConflict, Json{{"id", toString(ErrorId::TableConflict)}, {"stored", rows}}.dump()};
}

OperatorAnswer encode(const Node::EditRefused &refused)
{
    Json findings = Json::array();
    for (const Finding &finding : refused.m_findings) {
        findings.push_back(Json{{"row", finding.m_place.m_file}, {"id", static_cast<std::uint16_t>(finding.m_id)}, {"message", finding.m_message}});
    }
    return {HttpUnprocessable, Json{{"findings", findings}}.dump()};
}

OperatorAnswer encode(const Node::EditUnresolved &unresolved)
{
    return {HttpServiceUnavailable,
            Json{{"id", toString(ErrorId::PlatformUnreachable)}, {"reason", unresolved.m_reason}, {"mayBeWritten", unresolved.m_mayBeWritten}}.dump()};
}

Json encodeHosts(const std::vector<Node::HostVersion> &hosts)
{
    Json list = Json::array();
    for (const Node::HostVersion &line : hosts) {
        Json entry{{"host", line.m_host.text()}, {"version", line.m_version}};
        if (line.m_heardAgo) {
            entry["heardMillisecondsAgo"] = std::chrono::duration_cast<std::chrono::milliseconds>(*line.m_heardAgo).count();
        }
        list.push_back(std::move(entry));
    }
    return list;
}

const char *textOf(Configuration::Freshness freshness)
{
    switch (freshness) {
    case Configuration::Freshness::Confirmed:
        return "confirmed";
    case Configuration::Freshness::Outage:
        return "outage";
    case Configuration::Freshness::Isolated:
        return "isolated";
    }
    return "";
}

OperatorAnswer encode(const Node::SpreadShown &spread)
{
    return {HttpOk, Json{{"version", spread.m_version}, {"accepted", spread.m_accepted}, {"hosts", encodeHosts(spread.m_hosts)}}.dump()};
}

OperatorAnswer encode(const Node::StatusShown &status)
{
    Json json{{"host", status.m_host}, {"version", status.m_version}, {"ready", status.m_ready}, {"inFlight", status.m_requestsInFlight}};
    json["configuration"] = Json{{"freshness", textOf(status.m_freshness)}, {"hosts", encodeHosts(status.m_hosts)}};
    return {HttpOk, json.dump()};
}

OperatorAnswer encode(const Node::MetricsShown &metrics)
{
    return {HttpOk, metrics.m_text};
}

OperatorAnswer encode(const Node::BurnShown &burn)
{
    return {HttpOk, Reporting::encodeReport(burn.m_report)};
}

}

tl::expected<Node::OperatorReply, Error> decodeEditReply(const OperatorAnswer &answer)
{
    try {
        const Json json = Json::parse(answer.m_body);
        switch (answer.m_status) {
        case HttpOk:
            return Node::EditDone{json.at("version").get<std::uint64_t>()};
        case HttpConflict: {
            Node::EditConflict conflict;
            for (const Json &row : json.at("stored")) {
                conflict.m_storedRows.push_back(decodeRow(row));
            }
            return conflict;
        }
        case HttpUnprocessable: {
            Node::EditRefused refused;
            for (const Json &finding : json.at("findings")) {
                const auto id = static_cast<ErrorId>(finding.at("id").get<std::uint16_t>());
                refused.m_findings.push_back({{finding.at("row").get<std::string>(), 0, 0}, id, finding.at("message").get<std::string>()});
            }
            return refused;
        }
        default:
            return Node::EditUnresolved{json.value("reason", "the host answered " + json.value("id", "nothing")), json.value("mayBeWritten", true)};
        }
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, std::string("unreadable answer: ") + exception.what()});
    }
}

tl::expected<Node::SpreadShown, Error> decodeSpread(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        Node::SpreadShown spread{json.at("version").get<std::uint64_t>(), json.at("accepted").get<bool>(), {}};
        for (const Json &entry : json.at("hosts")) {
            Node::HostVersion line{HostId(entry.at("host").get<std::string>()), entry.at("version").get<std::uint64_t>(), std::nullopt};
            if (entry.contains("heardMillisecondsAgo")) {
                line.m_heardAgo = std::chrono::milliseconds(entry["heardMillisecondsAgo"].get<std::int64_t>());
            }
            spread.m_hosts.push_back(line);
        }
        return spread;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, std::string("unreadable answer: ") + exception.what()});
    }
}

tl::expected<Node::OperatorCommand, Error> decodeCommand(const std::string &method, const std::string &path, const std::string &body)
{
    if (method == "GET" && path == "/ragwortrelay/table") {
        return Node::ShowTable{};
    }
    if (method == "GET" && path == "/ragwortrelay/status") {
        return Node::ShowStatus{};
    }
    if (method == "GET" && path == MetricsPath) {
        return Node::ShowMetrics{};
    }
    if (method == "GET" && path == "/ragwortrelay/burn") {
        return Node::ShowBurn{};
    }
    const std::string spreadPath = "/ragwortrelay/spread/";
    if (method == "GET" && path.starts_with(spreadPath)) {
        return Node::ShowSpread{std::strtoull(path.c_str() + spreadPath.size(), nullptr, 10)};
    }
    if (method != "POST" || path != "/ragwortrelay/table") {
        return tl::unexpected(Error{ErrorId::RequestNoRoute, "no such command"});
    }
    try {
        const Json json = Json::parse(body);
        Node::EditTable edit{json.at("change").get<std::string>(), json.at("author").get<std::string>(), {}};
        for (const Json &row : json.at("rows")) {
            edit.m_rows.push_back(decodeRowEdit(row));
        }
        return edit;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, std::string("unreadable edit: ") + exception.what()});
    }
}

tl::expected<Configuration::Table, Error> decodeTable(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        Configuration::Table table;
        table.m_version = json.at("version").get<std::uint64_t>();
        for (const Json &entry : json.at("rows")) {
            Configuration::Row row = decodeRow(entry);
            table.m_rows.emplace(row.m_key, row);
        }
        return table;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, std::string("unreadable table: ") + exception.what()});
    }
}

std::string encodeEdit(const Node::EditTable &edit)
{
    Json rows = Json::array();
    for (const Node::RowEdit &row : edit.m_rows) {
        rows.push_back(encodeRowEdit(row));
    }
    return Json{{"change", edit.m_changeId}, {"author", edit.m_author}, {"rows", rows}}.dump();
}

OperatorAnswer encodeReply(const Node::OperatorReply &reply)
{
    return std::visit([](const auto &typed) { return encode(typed); }, reply);
}

}
