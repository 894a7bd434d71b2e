#include <ragwortrelay/operators/explanation.h>

#include <nlohmann/json.hpp>

#include <array>
#include <iomanip>
#include <sstream>

namespace RagwortRelay::Operators {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char *, 7> CostColumns{"total", "failure", "utilization", "domain", "connection", "warmup", "slowness"};
constexpr int NameWidth = 24;
constexpr int CostWidth = 12;
constexpr double Percent = 100.0;

std::string number(double value, int decimals)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(decimals) << value;
    return text.str();
}

std::string milliseconds(const Json &json, const char *name)
{
    return number(json.at(name).get<double>(), 0) + " ms";
}

void writeView(std::ostream &stream, const Json &json)
{
    const auto host = json.at("host").get<std::string>();
    if (!json.contains("leader")) {
        stream << "decided by host " << host << ", which follows no leader\n";
        return;
    }
    const auto leader = json.at("leader").get<std::string>();
    const bool asksLeader = json.at("decidedBy") == "leader";
    stream << "decided by " << (asksLeader ? "leader " + leader : "host " + host + ", as leader " + leader + " is late") << '\n';
    stream << "this is the view of host " << host << ": tokens, retry budget, queue and running attempts are its own, not those of leader " << leader << '\n';
    const double throttleProbability = json.at("throttleProbability").get<double>();
    if (throttleProbability > 0.0) {
        stream << "refused by host " << host << " as over the limit with probability " << number(throttleProbability, 2) << '\n';
    }
}

void writeRoute(std::ostream &stream, const Json &json)
{
    const Json &route = json.at("route");
    const auto method = route.at("method").get<std::string>();
    stream << "route " << route.at("name").get<std::string>() << ": " << (method.empty() ? "any method" : method) << ' ' << route.at("host").get<std::string>()
           << route.at("path").get<std::string>() << ", " << (route.at("idempotent").get<bool>() ? "idempotent" : "not idempotent") << ", deadline "
           << milliseconds(route, "deadlineMilliseconds") << ", priority " << route.at("priority").get<unsigned>() << '\n';
    const auto workspace = json.at("workspace").get<std::string>();
    stream << "workspace " << (workspace.empty() ? "none, the route needs no key" : workspace) << ", " << json.at("attempt").get<std::string>()
           << " attempt, from failure domain " << json.at("domain").get<std::string>() << '\n';
}

void writeOutcome(std::ostream &stream, const Json &service)
{
    const Json &queue = service.at("queue");
    const Json &selection = service.at("selection");
    const auto outcome = service.at("outcome").get<std::string>();
    stream << "service " << service.at("service").get<std::string>() << " (" << number(service.at("share").get<double>() * Percent, 1)
           << " % of the requests): " << outcome;
    if (service.contains("server")) {
        const bool isSame = selection.contains("server") && selection.at("server") == service.at("server");
        stream << ", server " << service.at("server").get<std::string>() << (isSame ? " (" + selection.at("step").get<std::string>() + ')' : "");
    }
    if (service.contains("reason")) {
        stream << ", " << service.at("reason").get<std::string>() << ", retry after " << milliseconds(service, "retryAfterMilliseconds");
    }
    if (queue.contains("ahead")) {
        stream << ", behind " << queue.at("ahead").get<std::size_t>() << ", expected wait " << milliseconds(queue, "expectedWaitMilliseconds");
    }
    stream << '\n';
}

void writeLimits(std::ostream &stream, const Json &service)
{
    if (service.contains("limit")) {
        const Json &limit = service.at("limit");
        stream << "  limit: " << number(limit.at("tokens").get<double>(), 1) << " tokens, rate " << number(limit.at("rate").get<double>(), 0) << "/s, burst "
               << number(limit.at("burst").get<double>(), 0) << ", share " << number(limit.at("share").get<double>(), 3) << ", "
               << limit.at("waiting").get<std::size_t>() << " waiting, next token "
               << (limit.contains("waitMilliseconds") ? "in " + milliseconds(limit, "waitMilliseconds") : std::string("never")) << '\n';
    } else {
        stream << "  limit: none\n";
    }
    const Json &budget = service.at("retryBudget");
    stream << "  retry budget: " << number(budget.at("remaining").get<double>(), 1) << " retries left, " << number(budget.at("ratio").get<double>(), 2)
           << " more for each request\n";
    const Json &queue = service.at("queue");
    stream << "  queue: " << queue.at("size").get<std::size_t>() << " of " << queue.at("maxSize").get<std::size_t>() << ", usual latency "
           << milliseconds(queue, "usualMilliseconds") << '\n';
    if (service.at("priced").get<bool>()) {
        stream << "  a price decides about requests to other failure domains; servers of the own domain come first while they are healthy and free\n";
    }
}

void writeServer(std::ostream &stream, const Json &server)
{
    stream << "  " << std::left << std::setw(NameWidth) << server.at("server").get<std::string>() << std::setw(CostWidth)
           << server.at("domain").get<std::string>();
    for (const char *column : CostColumns) {
        stream << std::setw(CostWidth) << number(server.at("cost").at(column).get<double>(), 4);
    }
    const std::string load = std::to_string(server.at("running").get<unsigned>()) + '/' + std::to_string(server.at("slots").get<unsigned>());
    stream << std::setw(CostWidth) << load;
    std::string exclusions;
    for (const Json &exclusion : server.at("exclusions")) {
        exclusions += (exclusions.empty() ? "" : ", ") + exclusion.get<std::string>();
    }
    stream << (exclusions.empty() ? "-" : exclusions) << '\n';
}

void writeServers(std::ostream &stream, const Json &servers)
{
    stream << "  " << std::left << std::setw(NameWidth) << "server" << std::setw(CostWidth) << "domain" << std::setw(CostWidth) << "cost";
    for (std::size_t i = 1; i < CostColumns.size(); ++i) {
        stream << std::setw(CostWidth) << CostColumns[i];
    }
    stream << std::setw(CostWidth) << "running"
           << "excluded by\n";
    for (const Json &server : servers) {
        writeServer(stream, server);
    }
}

}

tl::expected<std::string, Error> formatExplanation(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        std::ostringstream stream;
        writeView(stream, json);
        writeRoute(stream, json);
        for (const Json &service : json.at("services")) {
            writeOutcome(stream, service);
            writeLimits(stream, service);
            writeServers(stream, service.at("servers"));
        }
        return stream.str();
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, std::string("unreadable explanation: ") + exception.what()});
    }
}

}
