#include <ragwortrelay/detail/node/duties.h>

#include <cstdio>

namespace RagwortRelay::Node::detail {

namespace {

using Reporting::Quality;

constexpr const char *Partition = "service-levels";
constexpr Duration StoreInterval = std::chrono::minutes(1);
constexpr std::int64_t HoursOnHost = 2; ///< Older hours are in the platform's table only.
constexpr std::int64_t HoursInReport = 73;
constexpr std::uint16_t FirstServerError = 500;

std::string hourText(std::int64_t hour)
{
    char text[32];
    std::snprintf(text, sizeof text, "%010lld", static_cast<long long>(hour));
    return text;
}

TrackedRequest *trackedOf(Node &node, AttemptId attempt)
{
    const auto running = node.m_attempts.find(attempt);
    if (running == node.m_attempts.end()) {
        return nullptr;
    }
    const auto request = node.m_serviceLevels.m_requests.find(running->second.m_exchange);
    return request == node.m_serviceLevels.m_requests.end() ? nullptr : &request->second;
}

Quality qualityOf(const Node &node, const TrackedRequest &request, Duration latency)
{
    if (request.m_status >= FirstServerError) {
        return Quality::Failed;
    }
    const auto service = node.m_catalogue.m_services.find(request.m_service);
    const bool isSlow = service != node.m_catalogue.m_services.end() && latency > service->second.m_latencyObjective;
    return isSlow ? Quality::Slow : Quality::Good;
}

void record(Node &node, ExchangeId id, Quality quality, TimePoint now)
{
    const auto request = node.m_serviceLevels.m_requests.find(id);
    if (request == node.m_serviceLevels.m_requests.end()) {
        return;
    }
    ServiceLevelState &state = node.m_serviceLevels;
    Reporting::recordRequest(state.m_levels, request->second.m_service, quality, now - request->second.m_arrivedAt, state.m_wallClock);
    state.m_requests.erase(request);
}

void onArrival(Node &node, const RequestArrived &request, TimePoint now)
{
    const Configuration::Route *route = Configuration::findRoute(node.m_catalogue, request.m_method, request.m_path);
    if (route != nullptr) {
        node.m_serviceLevels.m_requests.emplace(request.m_exchange, TrackedRequest{route->m_service, now, 0, false});
    }
}

/// Records an answer that was streamed to its end, or cut short.
void onStreamEnded(Node &node, const AttemptEnded &ended, TimePoint now)
{
    const TrackedRequest *request = trackedOf(node, ended.m_attempt);
    if (request != nullptr && request->m_forwarded) {
        const Quality quality = ended.m_whole ? qualityOf(node, *request, now - request->m_arrivedAt) : Quality::Failed;
        record(node, node.m_attempts.at(ended.m_attempt).m_exchange, quality, now);
    }
}

void onForwarded(Node &node, const ForwardAnswer &forward, TimePoint now)
{
    const auto request = node.m_serviceLevels.m_requests.find(forward.m_exchange);
    if (request == node.m_serviceLevels.m_requests.end()) {
        return;
    }
    request->second.m_forwarded = true;
    const bool isStreaming = node.m_attempts.contains(forward.m_attempt);
    if (!isStreaming) {
        record(node, forward.m_exchange, qualityOf(node, request->second, now - request->second.m_arrivedAt), now);
    }
}

void onProblem(Node &node, const AnswerProblem &answer, TimePoint now)
{
    if (answer.m_problem.m_status >= FirstServerError) {
        record(node, answer.m_exchange, Quality::Failed, now);
    }
    // A refusal that is the caller's doing doesn't count against the service.
    node.m_serviceLevels.m_requests.erase(answer.m_exchange);
}

std::vector<Reporting::Objective> objectivesOf(const Configuration::Catalogue &catalogue)
{
    std::vector<Reporting::Objective> objectives;
    for (const auto &[id, service] : catalogue.m_services) {
        objectives.push_back({id, service.m_objective, service.m_latencyObjective});
    }
    return objectives;
}

Platform::QueryItems recordsAfter(const std::string &sort)
{
    constexpr std::uint32_t ItemsPerRead = 200;
    Platform::QueryItems query;
    query.m_partition = Partition;
    query.m_afterSort = sort;
    query.m_limit = ItemsPerRead;
    return query;
}

void answerBurnReport(Node &node, OperatorCallId call, bool complete, Actions &actions)
{
    ServiceLevelState &state = node.m_serviceLevels;
    const PendingReport &pending = state.m_reports[call];
    Reporting::BurnReport report = Reporting::makeBurnReport(pending.m_levels, objectivesOf(node.m_catalogue), state.m_wallClock);
    report.m_complete = complete;
    report.m_records = pending.m_records;
    state.m_reports.erase(call);
    actions.push_back(AnswerOperator{call, BurnShown{report}});
}

std::string ownSuffix(const Node &node)
{
    return '/' + node.m_settings.m_host.text() + '/' + std::to_string(node.m_settings.m_incarnation);
}

}

void observeEvent(Node &node, const Event &event, TimePoint now)
{
    if (const auto *request = std::get_if<RequestArrived>(&event)) {
        onArrival(node, *request, now);
    } else if (const auto *answer = std::get_if<AttemptAnswered>(&event)) {
        TrackedRequest *tracked = trackedOf(node, answer->m_attempt);
        if (tracked != nullptr) {
            tracked->m_status = answer->m_status;
        }
    } else if (const auto *ended = std::get_if<AttemptEnded>(&event)) {
        onStreamEnded(node, *ended, now);
    } else if (const auto *gone = std::get_if<CallerGone>(&event)) {
        node.m_serviceLevels.m_requests.erase(gone->m_exchange);
    } else if (const auto *tick = std::get_if<Ticked>(&event)) {
        node.m_serviceLevels.m_wallClock = tick->m_wallSeconds;
    }
}

void observeActions(Node &node, const Actions &actions, TimePoint now)
{
    for (const Action &action : actions) {
        if (const auto *forward = std::get_if<ForwardAnswer>(&action)) {
            onForwarded(node, *forward, now);
        } else if (const auto *problem = std::get_if<AnswerProblem>(&action)) {
            onProblem(node, *problem, now);
        }
    }
}

void storeServiceLevels(Node &node, TimePoint now, Actions &actions)
{
    ServiceLevelState &state = node.m_serviceLevels;
    const bool isDue = !state.m_storedAt || now - *state.m_storedAt >= StoreInterval;
    if (!isDue || state.m_storeRuns || state.m_levels.m_hours.empty()) {
        return;
    }
    Reporting::forgetOldHours(state.m_levels, state.m_wallClock, HoursOnHost);
    if (state.m_storedHour == 0) {
        state.m_storedHour = state.m_wallClock / Reporting::SecondsPerHour;
    }
    state.m_storedAt = now;
    state.m_storeRuns = true;
    Platform::Write write;
    write.m_key = {Partition, hourText(state.m_storedHour) + ownSuffix(node)};
    write.m_expectedVersion = state.m_storedVersion;
    write.m_version = state.m_storedVersion + 1;
    write.m_body = Reporting::encodeLevels(Reporting::levelsOfHour(state.m_levels, state.m_storedHour));
    callPlatform(node, Platform::Transact{{write}}, {PlatformPurpose::StoreServiceLevels, 0, {}, {}}, actions);
}

void onServiceLevelsStored(Node &node, const Platform::Result &result)
{
    ServiceLevelState &state = node.m_serviceLevels;
    state.m_storeRuns = false;
    if (std::holds_alternative<Platform::Unavailable>(result)) {
        return;
    }
    // Only this process writes the item. When a write is refused, an earlier one took effect and its answer was lost.
    ++state.m_storedVersion;
    const bool isStored = std::holds_alternative<Platform::Written>(result);
    const std::int64_t hour = state.m_wallClock / Reporting::SecondsPerHour;
    if (isStored && state.m_storedHour < hour) {
        state.m_storedHour = hour;
        state.m_storedVersion = 0;
    }
}

void startBurnReport(Node &node, OperatorCallId call, Actions &actions)
{
    node.m_serviceLevels.m_reports[call] = {node.m_serviceLevels.m_levels, 1};
    const std::int64_t hour = node.m_serviceLevels.m_wallClock / Reporting::SecondsPerHour;
    callPlatform(node, recordsAfter(hourText(hour - HoursInReport)), {PlatformPurpose::ReadServiceLevels, call, {}, {}}, actions);
}

void onServiceLevelsRead(Node &node, const PendingCall &call, const Platform::Result &result, Actions &actions)
{
    const auto *read = std::get_if<Platform::ItemsRead>(&result);
    if (read == nullptr) {
        return answerBurnReport(node, call.m_operatorCall, false, actions);
    }
    PendingReport &pending = node.m_serviceLevels.m_reports[call.m_operatorCall];
    const std::int64_t oldestOnHost = node.m_serviceLevels.m_wallClock / Reporting::SecondsPerHour - HoursOnHost;
    for (const Platform::Item &item : read->m_items) {
        // The host's own recent hours are in the report already, and more up to date.
        const bool isOwn = item.m_key.m_sort.ends_with(ownSuffix(node)) && item.m_key.m_sort >= hourText(oldestOnHost);
        if (!isOwn) {
            Reporting::mergeLevels(pending.m_levels, Reporting::decodeLevels(item.m_body));
            ++pending.m_records;
        }
    }
    if (read->m_more && !read->m_items.empty()) {
        return callPlatform(node, recordsAfter(read->m_items.back().m_key.m_sort), call, actions);
    }
    answerBurnReport(node, call.m_operatorCall, true, actions);
}

}
