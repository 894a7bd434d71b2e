#include <ragwortrelay/detail/scheduling/placement.h>
#include <ragwortrelay/detail/scheduling/selection.h>
#include <ragwortrelay/detail/scheduling/servers.h>
#include <ragwortrelay/scheduling/explanation.h>

#include <algorithm>
#include <tuple>

namespace RagwortRelay::Scheduling {

namespace {

using detail::Candidate;

const Candidate *findCandidate(const std::vector<Candidate> &candidates, const ServerId &id)
{
    const auto found = std::ranges::find_if(candidates, [&](const Candidate &candidate) { return candidate.m_state->m_server.m_id == id; });
    return found == candidates.end() ? nullptr : &*found;
}

/// Returns why a server isn't usable for any request.
std::vector<ServerExclusion> unusableReasons(const ServerState &state, TimePoint now)
{
    std::vector<ServerExclusion> reasons;
    if (state.m_isEvacuated) {
        reasons.push_back(ServerExclusion::Evacuated);
    }
    if (isDraining(state, now)) {
        reasons.push_back(ServerExclusion::Draining);
    }
    if (state.m_server.m_weight <= 0.0) {
        reasons.push_back(ServerExclusion::NoWeight);
    }
    return reasons;
}

/// Returns why no attempt may start on a usable server now. Precondition: m_canStart of the candidate is false.
ServerExclusion
startObstacle(const ServerRegistry &registry, const ServerSelectionSettings &settings, const ServiceState &service, const Candidate &candidate, TimePoint now)
{
    const ServerState &state = *candidate.m_state;
    if (state.m_running.size() >= state.m_server.m_slots) {
        return ServerExclusion::NoSlot;
    }
    if (!detail::hasFreeSlot(state, now)) {
        return ServerExclusion::Shed;
    }
    const bool isWithinColdLimit = detail::allowsColdStart(registry, settings, service, state, now);
    return isWithinColdLimit ? ServerExclusion::Returning : ServerExclusion::Cold;
}

/// Explains the servers of a service after a selection.
class ServerExplainer
{
public:
    ServerExplainer(const ServerRegistry &registry,
                    const ServerSelectionSettings &settings,
                    const ServiceState &service,
                    const PlacementRequest &placement,
                    const Requester &requester,
                    TimePoint now)
        : m_registry(registry)
        , m_settings(settings)
        , m_service(service)
        , m_placement(placement)
        , m_requester(requester)
        , m_connected(detail::connectedServers(settings, service, placement, requester.m_host, now))
        , m_now(now)
    {
    }

    [[nodiscard]] ServerExplanation explain(const ServerState &state, const detail::SelectionTrace &trace) const
    {
        const Candidate *selected = findCandidate(trace.m_candidates, state.m_server.m_id);
        const Candidate candidate = selected != nullptr ? *selected : makeCandidate(state);
        ServerExplanation explanation;
        explanation.m_server = state.m_server.m_id;
        explanation.m_domain = state.m_server.m_domain;
        explanation.m_unhealthyProbability = candidate.m_unhealthyProbability;
        explanation.m_running = static_cast<std::uint32_t>(state.m_running.size());
        explanation.m_slots = state.m_server.m_slots;
        explanation.m_isConnected = candidate.m_isConnected;
        if (state.m_server.m_weight > 0.0) { // The utilization of a server without weight has no finite cost.
            explanation.m_cost = detail::costOf(m_settings, candidate, m_placement, m_requester, m_now);
        }
        explanation.m_exclusions = exclusionsOf(candidate, selected != nullptr, trace);
        return explanation;
    }

private:
    [[nodiscard]] Candidate makeCandidate(const ServerState &state) const
    {
        const double unhealthyProbability =
            Health::unhealthyProbability(m_settings.m_suspicion, state.m_suspicion, m_requester.m_host, m_requester.m_domain, m_now);
        return {&state, unhealthyProbability, std::ranges::find(m_connected, state.m_server.m_id) != m_connected.end(), false};
    }

    [[nodiscard]] std::vector<ServerExclusion> exclusionsOf(const Candidate &candidate, bool isSampled, const detail::SelectionTrace &trace) const
    {
        const ServerId &id = candidate.m_state->m_server.m_id;
        std::vector<ServerExclusion> exclusions = unusableReasons(*candidate.m_state, m_now);
        if (std::ranges::find(m_placement.m_excluded, id) != m_placement.m_excluded.end()) {
            exclusions.push_back(ServerExclusion::Excluded);
        }
        if (!isSampled && detail::isUsable(*candidate.m_state, m_now)) {
            exclusions.push_back(ServerExclusion::NotSampled);
        }
        if (isSampled && !candidate.m_canStart) {
            exclusions.push_back(startObstacle(m_registry, m_settings, m_service, candidate, m_now));
        }
        if (findCandidate(trace.m_avoided, id) != nullptr) {
            exclusions.push_back(ServerExclusion::Avoided);
        }
        return exclusions;
    }

    const ServerRegistry &m_registry;
    const ServerSelectionSettings &m_settings;
    const ServiceState &m_service;
    const PlacementRequest &m_placement;
    const Requester &m_requester;
    std::vector<ServerId> m_connected;
    TimePoint m_now;
};

bool precedes(const ServerExplanation &left, const ServerExplanation &right)
{
    const auto key = [](const ServerExplanation &server) { return std::tuple(!server.m_exclusions.empty(), server.m_cost.total()); };
    return key(left) < key(right);
}

/// Copies what a decision about a placement depends on: the state of its service and of its workspace.
Scheduler partOf(const Scheduler &scheduler, const PlacementRequest &placement)
{
    Scheduler part;
    part.m_settings = scheduler.m_settings;
    part.m_share = scheduler.m_share;
    part.m_registry.m_warmupShare = scheduler.m_registry.m_warmupShare;
    part.m_registry.m_evacuatedDomains = scheduler.m_registry.m_evacuatedDomains;
    const auto copyEntry = [](const auto &from, auto &to, const auto &key) {
        const auto found = from.find(key);
        if (found != from.end()) {
            to.insert(*found);
        }
    };
    copyEntry(scheduler.m_buckets, part.m_buckets, placement.m_workspace);
    copyEntry(scheduler.m_weights, part.m_weights, placement.m_workspace);
    copyEntry(scheduler.m_awaitingTokens, part.m_awaitingTokens, placement.m_workspace);
    copyEntry(scheduler.m_budgets, part.m_budgets, placement.m_service);
    copyEntry(scheduler.m_queues, part.m_queues, placement.m_service);
    copyEntry(scheduler.m_registry.m_services, part.m_registry.m_services, placement.m_service);
    const auto service = part.m_registry.m_services.find(placement.m_service);
    if (service != part.m_registry.m_services.end()) {
        for (const ServerId &id : service->second.m_servers) {
            copyEntry(scheduler.m_registry.m_servers, part.m_registry.m_servers, id);
        }
    }
    return part;
}

std::size_t countAwaitingTokens(const Scheduler &scheduler, const WorkspaceId &workspace)
{
    const auto waiting = scheduler.m_awaitingTokens.find(workspace);
    return waiting == scheduler.m_awaitingTokens.end() ? 0 : waiting->second.size();
}

std::optional<LimitExplanation> explainLimit(const Scheduler &scheduler, const PlacementRequest &placement, TimePoint now)
{
    const auto found = scheduler.m_buckets.find(placement.m_workspace);
    if (found == scheduler.m_buckets.end()) {
        return std::nullopt;
    }
    Limits::TokenBucket bucket = found->second;
    Limits::refill(bucket, now);
    const std::size_t waiting = countAwaitingTokens(scheduler, placement.m_workspace);
    return LimitExplanation{bucket.m_rate, bucket.m_burst, bucket.m_share, bucket.m_tokens, waiting, Limits::timeUntilToken(bucket, waiting)};
}

RetryBudgetExplanation explainRetryBudget(const Scheduler &scheduler, const ServiceId &service)
{
    const RetryLimit &limit = scheduler.m_settings.m_retries;
    const auto found = scheduler.m_budgets.find(service);
    const RetryBudget budget = found == scheduler.m_budgets.end() ? initialBudget(limit, scheduler.m_share) : found->second;
    return {remainingRetries(budget, limit, scheduler.m_share), limit.m_ratio, allowsRetry(budget, limit, scheduler.m_share)};
}

QueueExplanation explainQueue(const Scheduler &scheduler, const ServiceId &service)
{
    const auto found = scheduler.m_queues.find(service);
    const std::size_t size = found == scheduler.m_queues.end() ? 0 : found->second.m_size;
    return {size, scheduler.m_settings.m_maxQueueLength, usualTimeOf(scheduler, service), {}, {}};
}

std::size_t positionOf(const std::deque<QueuedPlacement> &waiting, const PlacementId &id)
{
    const auto found = std::ranges::find_if(waiting, [&](const QueuedPlacement &entry) { return idOf(entry) == id; });
    return static_cast<std::size_t>(found - waiting.begin());
}

/// Records whether a placement without a reply waits for a token or in the queue, and its position there.
/// @param part scheduler in which the placement waits; it is removed there
void explainWait(PlacementExplanation &explanation, Scheduler &part, const PlacementRequest &placement, const PlacementId &id, TimePoint now)
{
    const WorkspaceId &workspace = placement.m_workspace;
    PlacementQueue &queue = part.m_queues[placement.m_service];
    const auto entries = extractIf(queue, [&](const QueuedPlacement &entry) { return idOf(entry) == id; });
    if (entries.empty()) {
        explanation.m_outcome = PlacementOutcome::AwaitsToken;
        explanation.m_limit->m_wait = Limits::timeUntilToken(part.m_buckets.at(workspace), positionOf(part.m_awaitingTokens.at(workspace), id));
        return;
    }
    explanation.m_outcome = PlacementOutcome::Queued;
    explanation.m_queue.m_ahead = countAhead(queue, entries.front());
    explanation.m_queue.m_expectedWait = detail::expectedWait(part, queue, entries.front(), now);
}

}

std::string toString(ServerExclusion exclusion)
{
    switch (exclusion) {
    case ServerExclusion::Evacuated:
        return "evacuated";
    case ServerExclusion::Draining:
        return "draining";
    case ServerExclusion::NoWeight:
        return "no-weight";
    case ServerExclusion::Avoided:
        return "avoided";
    case ServerExclusion::NoSlot:
        return "no-slot";
    case ServerExclusion::Shed:
        return "shed";
    case ServerExclusion::Cold:
        return "cold";
    case ServerExclusion::Returning:
        return "returning";
    case ServerExclusion::Excluded:
        return "excluded";
    case ServerExclusion::Paused:
        return "paused";
    case ServerExclusion::NotSampled:
        return "not-sampled";
    }
    return {};
}

std::string toString(SelectionStep step)
{
    switch (step) {
    case SelectionStep::None:
        return "none";
    case SelectionStep::UnusedServer:
        return "unused-server";
    case SelectionStep::Trial:
        return "trial";
    case SelectionStep::Cheapest:
        return "cheapest";
    case SelectionStep::LastResort:
        return "last-resort";
    }
    return {};
}

std::string toString(PlacementOutcome outcome)
{
    switch (outcome) {
    case PlacementOutcome::Granted:
        return "granted";
    case PlacementOutcome::AwaitsToken:
        return "awaits-token";
    case PlacementOutcome::Queued:
        return "queued";
    case PlacementOutcome::Refused:
        return "refused";
    }
    return {};
}

SelectionExplanation explainSelection(const ServerRegistry &registry,
                                      const ServerSelectionSettings &settings,
                                      const PlacementRequest &placement,
                                      const Requester &requester,
                                      RandomGenerator random,
                                      TimePoint now)
{
    const auto service = registry.m_services.find(placement.m_service);
    if (service == registry.m_services.end()) {
        return {};
    }
    detail::SelectionTrace trace;
    const auto selected = detail::selectServer(registry, settings, placement, requester, random, now, {}, &trace);
    SelectionExplanation explanation{selected ? std::optional(*selected) : std::nullopt, trace.m_step, {}};
    const ServerExplainer explainer(registry, settings, service->second, placement, requester, now);
    for (const ServerId &id : service->second.m_servers) {
        const auto server = registry.m_servers.find(id);
        if (server != registry.m_servers.end()) {
            explanation.m_servers.push_back(explainer.explain(server->second, trace));
        }
    }
    std::ranges::stable_sort(explanation.m_servers, precedes);
    return explanation;
}

PlacementExplanation
explainPlacement(const Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, RandomGenerator random, TimePoint now)
{
    PlacementExplanation explanation;
    explanation.m_limit = explainLimit(scheduler, placement, now);
    explanation.m_retryBudget = explainRetryBudget(scheduler, placement.m_service);
    explanation.m_queue = explainQueue(scheduler, placement.m_service);
    explanation.m_hasSpilloverPrice = detail::hasSpilloverPrice(scheduler.m_settings.m_selection, requester);
    explanation.m_selection = explainSelection(scheduler.m_registry, scheduler.m_settings.m_selection, placement, requester, random, now);
    Scheduler part = partOf(scheduler, placement);
    const auto reply = Scheduling::placement(part, placement, requester, random, now);
    if (!reply) {
        explainWait(explanation, part, placement, {requester.m_host, placement.m_number}, now);
        return explanation;
    }
    if (reply->m_server) {
        explanation.m_outcome = PlacementOutcome::Granted;
        explanation.m_server = reply->m_server;
        return explanation;
    }
    explanation.m_outcome = PlacementOutcome::Refused;
    explanation.m_reason = reply->m_reason;
    explanation.m_retryAfter = reply->m_retryAfter;
    return explanation;
}

}
