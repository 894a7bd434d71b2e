#include <ragwortrelay/operators/explanation.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>

namespace RagwortRelay::Operators {

namespace {

using Json = nlohmann::ordered_json;

double millisecondsOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Json routeJson(const Configuration::Route &route)
{
    return {{"name", route.m_name},
            {"method", route.m_method},
            {"host", route.m_host},
            {"path", route.m_pathPrefix},
            {"idempotent", route.m_idempotent},
            {"anonymous", route.m_allowsAnonymous},
            {"deadlineMilliseconds", millisecondsOf(route.m_deadline)},
            {"objectiveMilliseconds", millisecondsOf(route.m_latencyObjective)},
            {"maxAttempts", route.m_maxAttempts},
            {"priority", route.m_priority}};
}

Json costJson(const Scheduling::CostComponents &cost)
{
    return {{"total", cost.total()},
            {"failure", cost.m_failure},
            {"utilization", cost.m_utilization},
            {"domain", cost.m_domain},
            {"connection", cost.m_connection},
            {"warmup", cost.m_warmup},
            {"slowness", cost.m_slowness}};
}

Json serverJson(const Scheduling::ServerExplanation &server)
{
    Json exclusions = Json::array();
    for (const Scheduling::ServerExclusion exclusion : server.m_exclusions) {
        exclusions.push_back(toString(exclusion));
    }
    return {{"server", server.m_server.text()},
            {"domain", server.m_domain.text()},
            {"cost", costJson(server.m_cost)},
            {"sickness", server.m_unhealthyProbability},
            {"running", server.m_running},
            {"slots", server.m_slots},
            {"connected", server.m_isConnected},
            {"exclusions", exclusions}};
}

Json limitJson(const Scheduling::LimitExplanation &limit)
{
    Json json{{"rate", limit.m_rate}, {"burst", limit.m_burst}, {"share", limit.m_share}, {"tokens", limit.m_tokens}, {"waiting", limit.m_waiting}};
    if (limit.m_wait) {
        json["waitMilliseconds"] = millisecondsOf(*limit.m_wait);
    }
    return json;
}

Json queueJson(const Scheduling::QueueExplanation &queue)
{
    Json json{{"size", queue.m_size}, {"maxSize", queue.m_maxSize}, {"usualMilliseconds", millisecondsOf(queue.m_usualTime)}};
    if (queue.m_ahead) {
        json["ahead"] = *queue.m_ahead;
    }
    if (queue.m_expectedWait) {
        json["expectedWaitMilliseconds"] = millisecondsOf(*queue.m_expectedWait);
    }
    return json;
}

Json serviceJson(const ServiceExplained &explained)
{
    const Scheduling::PlacementExplanation &placement = explained.m_placement;
    Json json{{"service", explained.m_service.text()}, {"share", explained.m_share}, {"outcome", toString(placement.m_outcome)}};
    if (placement.m_server) {
        json["server"] = placement.m_server->text();
    }
    if (placement.m_reason) {
        json["reason"] = toString(*placement.m_reason);
        json["retryAfterMilliseconds"] = millisecondsOf(placement.m_retryAfter);
    }
    if (placement.m_limit) {
        json["limit"] = limitJson(*placement.m_limit);
    }
    const Scheduling::RetryBudgetExplanation &budget = placement.m_retryBudget;
    json["retryBudget"] = {{"remaining", budget.m_remaining}, {"ratio", budget.m_ratio}, {"allowsRetry", budget.m_allowsRetry}};
    json["queue"] = queueJson(placement.m_queue);
    json["priced"] = placement.m_hasSpilloverPrice;
    json["selection"] = {{"step", toString(placement.m_selection.m_step)}};
    if (placement.m_selection.m_server) {
        json["selection"]["server"] = placement.m_selection.m_server->text();
    }
    Json servers = Json::array();
    for (const Scheduling::ServerExplanation &server : placement.m_selection.m_servers) {
        servers.push_back(serverJson(server));
    }
    json["servers"] = std::move(servers);
    return json;
}

}

std::string encodeExplainRequest(const ExplainRequest &request)
{
    Json json{{"method", request.m_method},
              {"host", request.m_host},
              {"target", request.m_target},
              {"workspace", request.m_workspace.text()},
              {"key", request.m_key},
              {"bodyBytes", request.m_bodyBytes},
              {"domain", request.m_domain.text()}};
    json["tried"] = Json::array();
    for (const ServerId &server : request.m_tried) {
        json["tried"].push_back(server.text());
    }
    return json.dump();
}

tl::expected<ExplainRequest, Error> decodeExplainRequest(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        ExplainRequest request;
        request.m_method = json.value("method", request.m_method);
        request.m_host = json.value("host", std::string());
        request.m_target = json.at("target").get<std::string>();
        request.m_workspace = WorkspaceId(json.value("workspace", std::string()));
        request.m_key = json.value("key", std::string());
        request.m_bodyBytes = json.value("bodyBytes", std::uint64_t(0));
        request.m_domain = FailureDomainId(json.value("domain", std::string()));
        for (const std::string &server : json.value("tried", std::vector<std::string>())) {
            request.m_tried.emplace_back(server);
        }
        return request;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, std::string("unreadable request for an explanation: ") + exception.what()});
    }
}

std::string encodeExplanation(const RequestExplained &explained)
{
    Json json{{"host", explained.m_host.text()}, {"domain", explained.m_domain.text()}};
    json["decidedBy"] = explained.m_asksLeader ? "leader" : "host";
    if (!explained.m_leader.isEmpty()) {
        json["leader"] = explained.m_leader.text();
        json["ownParts"] = {"limit", "retryBudget", "queue", "running"};
    }
    json["throttleProbability"] = explained.m_throttleProbability;
    json["route"] = routeJson(explained.m_route);
    json["workspace"] = explained.m_workspace.text();
    json["attempt"] = explained.m_isRetry ? "retry" : "first";
    Json services = Json::array();
    for (const ServiceExplained &service : explained.m_services) {
        services.push_back(serviceJson(service));
    }
    json["services"] = std::move(services);
    return json.dump();
}

Error decodeRefusal(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return {ErrorId::RequestMalformed, body};
    }
    const std::string id = json.value("id", toString(ErrorId::RequestMalformed));
    const std::size_t digits = id.find_first_of("0123456789");
    const unsigned long number = digits == std::string::npos ? 0 : std::strtoul(id.c_str() + digits, nullptr, 10);
    return {static_cast<ErrorId>(number), json.value("message", "the host refused the command")};
}

}
