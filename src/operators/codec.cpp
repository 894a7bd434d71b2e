#include <ragwortrelay/http/status.h>
#include <ragwortrelay/operators/codec.h>

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace RagwortRelay::Operators {

namespace {

using Json = nlohmann::json;

Configuration::RowKey decodeRowKey(const Json &json)
{
    const auto [kind, known] = Configuration::rowKindFrom(json.at("kind").get<std::string>());
    if (!known) {
        throw std::runtime_error("unknown kind of row");
    }
    return {kind, json.at("name").get<std::string>()};
}

Configuration::Row decodeRow(const Json &json)
{
    Configuration::Row row;
    row.m_key = decodeRowKey(json);
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

Json encodeRowEdit(const Configuration::RowEdit &row)
{
    return Json{{"kind", Configuration::toString(row.m_key.m_kind)},
                {"name", row.m_key.m_name},
                {"base", row.m_baseVersion},
                {"cells", row.m_cells},
                {"erase", row.m_erase}};
}

Configuration::RowEdit decodeRowEdit(const Json &json)
{
    Configuration::RowEdit edit;
    edit.m_key = decodeRowKey(json);
    edit.m_baseVersion = json.at("base").get<std::uint64_t>();
    edit.m_cells = json.at("cells").get<Configuration::Cells>();
    edit.m_erase = json.value("erase", false);
    return edit;
}

EncodedReply encode(const TableShown &shown)
{
    Json rows = Json::array();
    for (const auto &[key, row] : shown.m_table.m_rows) {
        rows.push_back(encodeRow(row));
    }
    return {Http::Status::Ok, Json{{"version", shown.m_table.m_version}, {"rows", rows}}.dump()};
}

EncodedReply encode(const EditCommitted &committed)
{
    return {Http::Status::Ok, Json{{"version", committed.m_version}}.dump()};
}

EncodedReply encode(const EditConflict &conflict)
{
    Json rows = Json::array();
    for (const Configuration::Row &row : conflict.m_storedRows) {
        rows.push_back(encodeRow(row));
    }
    return {Http::Status::Conflict, Json{{"id", toString(ErrorId::TableConflict)}, {"stored", rows}}.dump()};
}

EncodedReply encode(const EditRejected &rejection)
{
    Json findings = Json::array();
    for (const Finding &finding : rejection.m_findings) {
        findings.push_back(Json{{"row", finding.m_place.m_file}, {"id", static_cast<std::uint16_t>(finding.m_id)}, {"message", finding.m_message}});
    }
    return {Http::Status::Unprocessable, Json{{"findings", findings}}.dump()};
}

EncodedReply encode(const EditOutcomeUnknown &outcome)
{
    return {Http::Status::ServiceUnavailable,
            Json{{"id", toString(ErrorId::PlatformUnreachable)}, {"reason", outcome.m_reason}, {"mayBeWritten", outcome.m_mayBeCommitted}}.dump()};
}

Json rolloutJson(const RolloutShown &rollout)
{
    return {{"version", rollout.m_version},
            {"inForce", rollout.m_isInForce},
            {"everywhere", rollout.isFullyRolledOut()},
            {"slowest", rollout.m_minConfigurationVersion},
            {"heard", rollout.m_reachableHosts},
            {"hosts", rollout.m_hosts}};
}

Json serversJson(const std::vector<ServerShown> &servers)
{
    Json list = Json::array();
    for (const ServerShown &server : servers) {
        list.push_back(Json{{"server", server.m_server.text()},
                            {"service", server.m_service.text()},
                            {"leaving", server.m_isDraining},
                            {"evacuated", server.m_isEvacuated},
                            {"sickness", server.m_unhealthyProbability},
                            {"running", server.m_running}});
    }
    return list;
}

Json evacuationsJson(const std::vector<EvacuationShown> &evacuations)
{
    Json list = Json::array();
    for (const EvacuationShown &evacuation : evacuations) {
        list.push_back(Json{{"domain", evacuation.m_domain.text()}, {"servers", evacuation.m_servers}, {"running", evacuation.m_running}});
    }
    return list;
}

EncodedReply encode(const RolloutShown &rollout)
{
    return {Http::Status::Ok, rolloutJson(rollout).dump()};
}

EncodedReply encode(const StatusShown &status)
{
    Json json{{"host", status.m_host}, {"lead", status.m_leader}, {"version", status.m_version}, {"ready", status.m_ready}};
    json["inFlight"] = status.m_requestsInFlight;
    if (status.m_age) {
        json["ageMilliseconds"] = std::chrono::duration_cast<std::chrono::milliseconds>(*status.m_age).count();
    }
    json["configuration"] = rolloutJson(status.m_rollout);
    json["evacuations"] = evacuationsJson(status.m_evacuations);
    json["servers"] = serversJson(status.m_servers);
    return {Http::Status::Ok, json.dump()};
}

EncodedReply encode(const BurnShown &burn)
{
    return {Http::Status::Ok, Reporting::encodeReport(burn.m_report)};
}

EncodedReply encode(const RequestExplained &explained)
{
    return {Http::Status::Ok, encodeExplanation(explained)};
}

EncodedReply encode(const CommandRefused &refused)
{
    const Error &error = refused.m_error;
    return {Http::Status::Unprocessable, Json{{"id", toString(error.m_id)}, {"message", error.m_message}}.dump()};
}

}

tl::expected<Reply, Error> decodeEditReply(const EncodedReply &response)
{
    try {
        const Json json = Json::parse(response.m_body);
        switch (response.m_status) {
        case Http::Status::Ok:
            return EditCommitted{json.at("version").get<std::uint64_t>()};
        case Http::Status::Conflict: {
            EditConflict conflict;
            for (const Json &row : json.at("stored")) {
                conflict.m_storedRows.push_back(decodeRow(row));
            }
            return conflict;
        }
        case Http::Status::Unprocessable: {
            EditRejected rejection;
            for (const Json &finding : json.at("findings")) {
                const auto id = static_cast<ErrorId>(finding.at("id").get<std::uint16_t>());
                rejection.m_findings.push_back({{finding.at("row").get<std::string>(), 0, 0}, id, finding.at("message").get<std::string>()});
            }
            return rejection;
        }
        default:
            return EditOutcomeUnknown{json.value("reason", "the host answered " + json.value("id", "nothing")), json.value("mayBeWritten", true)};
        }
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, std::string("unreadable response: ") + exception.what()});
    }
}

tl::expected<RolloutShown, Error> decodeRollout(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        return RolloutShown{json.at("version").get<std::uint64_t>(),
                            json.at("inForce").get<bool>(),
                            json.at("slowest").get<std::uint64_t>(),
                            json.at("heard").get<std::uint32_t>(),
                            json.at("hosts").get<std::uint32_t>()};
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, std::string("unreadable response: ") + exception.what()});
    }
}

tl::expected<Command, Error> decodeCommand(const std::string &method, const std::string &path, const std::string &body)
{
    if (method == "GET" && path == "/ragwortrelay/table") {
        return ShowTable{};
    }
    if (method == "GET" && path == "/ragwortrelay/status") {
        return ShowStatus{};
    }
    if (method == "GET" && path == "/ragwortrelay/burn") {
        return ShowBurn{};
    }
    const std::string rolloutPathPrefix = "/ragwortrelay/spread/";
    if (method == "GET" && path.starts_with(rolloutPathPrefix)) {
        return ShowRollout{std::strtoull(path.c_str() + rolloutPathPrefix.size(), nullptr, 10)};
    }
    if (method == "POST" && path == "/ragwortrelay/explain") {
        return decodeExplainRequest(body).map([](const ExplainRequest &request) { return Command(request); });
    }
    if (method != "POST" || path != "/ragwortrelay/table") {
        return tl::unexpected(Error{ErrorId::RequestNoRoute, "no such command"});
    }
    try {
        const Json json = Json::parse(body);
        EditTable edit{json.at("change").get<std::string>(), json.at("author").get<std::string>(), {}};
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

std::string encodeEdit(const EditTable &edit)
{
    Json rows = Json::array();
    for (const Configuration::RowEdit &row : edit.m_rows) {
        rows.push_back(encodeRowEdit(row));
    }
    return Json{{"change", edit.m_changeId}, {"author", edit.m_author}, {"rows", rows}}.dump();
}

EncodedReply encodeReply(const Reply &reply)
{
    return std::visit([](const auto &typed) { return encode(typed); }, reply);
}

}
