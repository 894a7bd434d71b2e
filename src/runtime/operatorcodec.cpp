#include <ragwortrelay/runtime/operatorcodec.h>

#include <nlohmann/json.hpp>

namespace RagwortRelay::Runtime {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t HttpOk = 200;
constexpr std::uint16_t HttpConflict = 409;
constexpr std::uint16_t HttpUnprocessable = 422;
constexpr std::uint16_t HttpServiceUnavailable = 503;

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
        findings.push_back(toString(finding));
    }
    return {HttpUnprocessable, Json{{"findings", findings}}.dump()};
}

OperatorAnswer encode(const Node::EditUnresolved &unresolved)
{
    return {HttpServiceUnavailable, Json{{"id", toString(ErrorId::PlatformUnreachable)}, {"reason", unresolved.m_reason}}.dump()};
}

OperatorAnswer encode(const Node::StatusShown &status)
{
    return {HttpOk, Json{{"host", status.m_host}, {"version", status.m_version}, {"ready", status.m_ready}, {"inFlight", status.m_requestsInFlight}}.dump()};
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
