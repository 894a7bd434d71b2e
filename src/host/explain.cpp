#include <ragwortrelay/detail/host/handlers.h>
#include <ragwortrelay/detail/http/requestcheck.h>
#include <ragwortrelay/http/headerscheme.h>

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

namespace RagwortRelay::Host::detail {

namespace {

using Operators::CommandRefused;
using Operators::ExplainRequest;
using Operators::RequestExplained;
using Scheduling::AttemptKind;
using Scheduling::ServerExclusion;

bool isMethod(const std::string &method)
{
    return !method.empty() && std::ranges::all_of(method, [](unsigned char character) { return std::isupper(character) != 0 || character == '-'; });
}

/// Returns the limits of callers as far as the configuration tells them. Those of the settings apply where callers connect.
Http::RequestLimits limitsOf(const State &state)
{
    Http::RequestLimits limits;
    const bool hasLimits = state.m_catalogue && state.m_catalogue->m_callerLimits;
    limits.m_maxBodyBytes = hasLimits ? state.m_catalogue->m_callerLimits->m_maxBodyBytes : std::numeric_limits<std::uint64_t>::max();
    return limits;
}

/// Returns the request that a caller would send.
/// @return an error if it would be refused when it is read
tl::expected<RequestArrived, Error> requestOf(const State &state, const ExplainRequest &explain)
{
    if (!isMethod(explain.m_method)) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, '\'' + explain.m_method + "' is not a method in upper case"});
    }
    const Http::Headers headers{{"Host", explain.m_host}, {"Content-Length", std::to_string(explain.m_bodyBytes)}};
    const Http::RequestHead head{explain.m_method, explain.m_target, 1, headers};
    if (const auto error = Http::detail::checkHead(head, limitsOf(state))) {
        return tl::unexpected(Error{error->m_id, '\'' + explain.m_target + "': " + error->m_detail});
    }
    const auto metadata = Http::readRequestMetadata(Http::defaultHeaderScheme(), head);
    if (!metadata) {
        return tl::unexpected(Error{ErrorId::RequestMalformed, '\'' + explain.m_host + "' is not a host name"});
    }
    RequestArrived request;
    request.m_method = explain.m_method;
    request.m_metadata = *metadata;
    request.m_target = explain.m_target;
    request.m_bodyBytes = explain.m_bodyBytes;
    return request;
}

/// Parses a workspace key with or without the prefix of its header.
std::optional<Workspaces::PresentedKey> readKey(const State &state, const std::string &key)
{
    if (key.empty()) {
        return std::nullopt;
    }
    const auto presented = state.m_source.m_readKey(key);
    return presented ? presented : state.m_source.m_readKey("Bearer " + key);
}

/// Sets the workspace of a request by its name or its key.
/// @return the error if there is no such workspace or the key isn't valid, else nothing
std::optional<Error> identify(const State &state, Exchange &exchange, const ExplainRequest &explain, TimePoint now)
{
    if (!explain.m_workspace.isEmpty() && !exchange.m_catalogue->m_workspaces.contains(explain.m_workspace)) {
        return Error{ErrorId::TableUnknownRow, "there is no workspace '" + explain.m_workspace.text() + '\''};
    }
    const bool isNamed = !explain.m_workspace.isEmpty() && explain.m_key.empty();
    if (isNamed && !exchange.m_route.m_allowsAnonymous && mayServeWorkspaces(state, now)) {
        exchange.m_workspace = explain.m_workspace;
        return std::nullopt;
    }
    if (const auto problem = authenticate(state, exchange, readKey(state, explain.m_key), now)) {
        return Error{problem->m_id, problem->m_detail};
    }
    const bool contradicts = !explain.m_workspace.isEmpty() && !exchange.m_workspace.isEmpty() && exchange.m_workspace != explain.m_workspace;
    return contradicts ? std::optional(Error{ErrorId::RequestUnauthenticated, "the key isn't one of workspace '" + explain.m_workspace.text() + '\''})
                       : std::nullopt;
}

/// Tells whether any host or backend server is in a failure domain. Linear in the hosts and servers.
bool isKnownDomain(const State &state, const FailureDomainId &domain)
{
    const auto &servers = state.m_scheduler.m_registry.m_servers;
    const auto isHostThere = [&](const auto &entry) { return entry.second.m_domain == domain; };
    const auto isServerThere = [&](const auto &entry) { return entry.second.m_server.m_domain == domain; };
    return domain == state.m_settings.m_domain || std::ranges::any_of(state.m_membership, isHostThere) || std::ranges::any_of(servers, isServerThere);
}

/// Returns the first of the servers that isn't registered; nothing if all are.
std::optional<ServerId> findUnknown(const State &state, const std::vector<ServerId> &servers)
{
    const auto isUnknown = [&](const ServerId &server) { return !state.m_scheduler.m_registry.m_servers.contains(server); };
    const auto unknown = std::ranges::find_if(servers, isUnknown);
    return unknown == servers.end() ? std::nullopt : std::optional(*unknown);
}

/// Returns the requester for a request that a host of a failure domain takes. Another host than this one has no name, as its connections aren't known.
Scheduling::Requester requesterIn(const State &state, const FailureDomainId &domain)
{
    const bool isOwn = domain.isEmpty() || domain == state.m_settings.m_domain;
    return isOwn ? ownRequester(state) : Scheduling::Requester{HostId(), domain};
}

/// Tells apart the servers that are excluded since they were tried and those that have asked for a pause.
void distinguishPauses(Scheduling::SelectionExplanation &selection, const std::vector<ServerId> &tried)
{
    for (Scheduling::ServerExplanation &server : selection.m_servers) {
        const bool wasTried = std::ranges::find(tried, server.m_server) != tried.end();
        std::ranges::replace(server.m_exclusions, ServerExclusion::Excluded, wasTried ? ServerExclusion::Excluded : ServerExclusion::Paused);
    }
}

/// Explains the decision for one service of the route.
Scheduling::PlacementExplanation
explainService(const State &state, const Exchange &exchange, const Scheduling::Requester &requester, const RandomGenerator &random, TimePoint now)
{
    const AttemptKind purpose = exchange.m_tried.empty() ? AttemptKind::First : AttemptKind::Retry;
    const Scheduling::PlacementRequest placement = placementRequestFor(state, exchange, 0, purpose, now);
    Scheduling::PlacementExplanation explanation = Scheduling::explainPlacement(state.m_scheduler, placement, requester, random, now);
    distinguishPauses(explanation.m_selection, exchange.m_tried);
    return explanation;
}

/// Returns the probability with which this host refuses a first attempt without asking the leader.
double throttleProbabilityOf(const State &state, const WorkspaceId &workspace, TimePoint now)
{
    const auto throttled = state.m_throttled.find(workspace);
    return throttled == state.m_throttled.end() ? 0.0
                                                : Limits::throttleProbability(throttled->second.m_throttle, state.m_settings.m_placements.m_throttle, now);
}

/// Explains a request whose route and workspace are known.
RequestExplained explainExchange(const State &state, Exchange exchange, const FailureDomainId &domain, const RandomGenerator &random, TimePoint now)
{
    const Scheduling::Requester requester = requesterIn(state, domain);
    RequestExplained explained;
    explained.m_host = state.m_settings.m_host;
    explained.m_domain = requester.m_domain;
    explained.m_leader = hasLeader(state) ? state.m_leadership.m_leader : HostId();
    explained.m_asksLeader = asksLeader(state, now);
    explained.m_isRetry = !exchange.m_tried.empty();
    explained.m_throttleProbability = explained.m_asksLeader && !explained.m_isRetry ? throttleProbabilityOf(state, exchange.m_workspace, now) : 0.0;
    explained.m_route = exchange.m_route;
    explained.m_workspace = exchange.m_workspace;
    double totalWeight = 0.0;
    for (const Configuration::ServiceShare &share : exchange.m_route.m_shares) {
        totalWeight += share.m_weight;
    }
    for (const Configuration::ServiceShare &share : exchange.m_route.m_shares) {
        exchange.m_service = share.m_service;
        const double part = totalWeight > 0.0 ? share.m_weight / totalWeight : 0.0;
        explained.m_services.push_back({share.m_service, part, explainService(state, exchange, requester, random, now)});
    }
    return explained;
}

}

Operators::Reply explainRequest(const State &state, Operators::CommandId call, const ExplainRequest &request, TimePoint now)
{
    const auto arrived = requestOf(state, request);
    if (!arrived) {
        return CommandRefused{arrived.error()};
    }
    auto exchange = findRouteOf(state, *arrived, now);
    if (!exchange) {
        return CommandRefused{{exchange.error().m_id, exchange.error().m_detail}};
    }
    if (const auto error = identify(state, *exchange, request, now)) {
        return CommandRefused{*error};
    }
    if (!request.m_domain.isEmpty() && !isKnownDomain(state, request.m_domain)) {
        return CommandRefused{{ErrorId::TableUnknownRow, "no host or server is in the failure domain '" + request.m_domain.text() + '\''}};
    }
    if (const auto unknown = findUnknown(state, request.m_tried)) {
        return CommandRefused{{ErrorId::TableUnknownRow, "there is no server '" + unknown->text() + '\''}};
    }
    exchange->m_tried = request.m_tried;
    return explainExchange(state, std::move(*exchange), request.m_domain, RandomGenerator(call), now);
}

}
