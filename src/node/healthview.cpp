#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/detail/node/duties.h>
#include <ragwortrelay/health/floor.h>

#include <algorithm>

namespace RagwortRelay::Node::detail {

namespace {

using Balancing::Standing;
using Health::Verdict;
using Health::WorkOutcome;

constexpr std::uint16_t HttpInternalServerError = 500;

std::uint32_t shortHash(const std::string &text)
{
    return static_cast<std::uint32_t>(hashOf(text));
}

Health::FailureSample sampleOf(const Exchange &exchange)
{
    constexpr char Separator = '\n';
    const RequestArrived &request = exchange.m_request;
    const std::string identity = exchange.m_workspace.text() + Separator + request.m_method + Separator + request.m_target + Separator + request.m_bodyDigest
        + Separator + request.m_idempotencyKey;
    return {shortHash(identity), shortHash(exchange.m_workspace.text()), false};
}

void noteSuccess(Node &node, Exchange &exchange, Health::Work &work, TimePoint now)
{
    Health::noteWork(node.m_health.m_book, node.m_settings.m_health, work, now);
    for (const ServerId &server : exchange.m_failedAt) {
        if (server != work.m_server) {
            Health::noteSucceededElsewhere(node.m_health.m_book, server, sampleOf(exchange));
        }
    }
    exchange.m_failedAt.clear();
}

void noteFailure(Node &node, const Attempt &attempt, Health::Work &work, TimePoint now)
{
    const auto exchange = node.m_exchanges.find(attempt.m_exchange);
    if (exchange != node.m_exchanges.end()) {
        work.m_sample = sampleOf(exchange->second);
        exchange->second.m_failedAt.push_back(attempt.m_server);
    }
    const auto server = node.m_catalogue.m_servers.find(attempt.m_server);
    if (server != node.m_catalogue.m_servers.end()) {
        Health::noteTrialFailed(node.m_health.m_following[server->second.m_service], node.m_settings.m_health, attempt.m_server, now);
    }
    Reporting::count(node.m_counters, "attempts_failed");
    Health::noteWork(node.m_health.m_book, node.m_settings.m_health, work, now);
}

std::optional<Duration> timeOf(const Node &node, const Attempt &attempt, TimePoint now)
{
    const bool tellsNothing = attempt.m_isTimed || Balancing::isCold(node.m_balancer, attempt.m_server, now);
    return tellsNothing ? std::nullopt : std::optional(now - attempt.m_startedAt);
}

/// The servers of a service, sorted by what speaks against each.
struct Judgement {
    std::vector<Health::ServerCapacity> m_capacities;
    std::vector<ServerId> m_leaving;
    std::vector<ServerId> m_ejected;
    std::vector<ServerId> m_suspects;
};

void judgeByVerdicts(const Node &node, const ServiceId &service, TimePoint now, Judgement &judgement)
{
    const auto following = node.m_health.m_following.find(service);
    if (following == node.m_health.m_following.end()) {
        return;
    }
    for (const Health::ServerVerdict &verdict : Health::verdictsInForce(following->second, node.m_settings.m_health, now)) {
        switch (verdict.m_verdict) {
        case Verdict::Leaving:
            judgement.m_leaving.push_back(verdict.m_server);
            break;
        case Verdict::Ejected:
        case Verdict::Trial:
            judgement.m_ejected.push_back(verdict.m_server);
            break;
        case Verdict::Suspect:
            judgement.m_suspects.push_back(verdict.m_server);
            break;
        }
    }
}

Judgement judge(const Node &node, const ServiceId &service, TimePoint now)
{
    Judgement judgement;
    judgeByVerdicts(node, service, now, judgement);
    for (const ServerId &id : node.m_catalogue.m_serversOf.at(service)) {
        const Configuration::Server &server = node.m_catalogue.m_servers.at(id);
        if (node.m_health.m_leaving.contains(id)) {
            judgement.m_leaving.push_back(id);
        }
        const bool isListedLeaving = std::find(judgement.m_leaving.begin(), judgement.m_leaving.end(), id) != judgement.m_leaving.end();
        const bool isLeaving = isListedLeaving || server.m_use == Configuration::ServerUse::Leaving || Balancing::isDraining(node.m_balancer, id, now);
        judgement.m_capacities.push_back({id, server.m_slots * server.m_weight, isLeaving || Balancing::isCold(node.m_balancer, id, now)});
        if (Health::localSuspicion(node.m_health.m_book, id, now) >= node.m_settings.m_health.m_avoidanceThreshold) {
            judgement.m_suspects.push_back(id);
        }
    }
    return judgement;
}

/// For comparison: every host by itself keeps to the floor.
std::map<ServerId, Standing> standingsByOwnFailures(const Node &node, const ServiceId &service, TimePoint now)
{
    std::vector<Health::ServerCapacity> capacities;
    std::vector<ServerId> ejected;
    for (const ServerId &id : node.m_catalogue.m_serversOf.at(service)) {
        const Configuration::Server &server = node.m_catalogue.m_servers.at(id);
        const auto run = node.m_health.m_book.m_failureRuns.find(id);
        capacities.push_back({id, server.m_slots * server.m_weight, server.m_use == Configuration::ServerUse::Leaving});
        if (run != node.m_health.m_book.m_failureRuns.end() && now < run->second.m_ejectedUntil) {
            ejected.push_back(id);
        }
    }
    std::map<ServerId, Standing> standings;
    const double floor = node.m_catalogue.m_services.contains(service) ? node.m_catalogue.m_services.at(service).m_floor : 1.0;
    for (const ServerId &id : Health::takeOutWithinFloor(capacities, floor, ejected)) {
        standings[id] = Standing::Barred;
    }
    return standings;
}

/// Tells whether nothing is held against any server, which is the usual case.
bool isUntroubled(const Node &node, const ServiceId &service)
{
    const auto following = node.m_health.m_following.find(service);
    const bool hasVerdicts = following != node.m_health.m_following.end() && !following->second.m_verdicts.empty();
    return !hasVerdicts && node.m_health.m_leaving.empty() && node.m_health.m_book.m_suspicions.empty() && node.m_health.m_book.m_failureRuns.empty();
}

bool hasIdempotentRoute(const Node &node, const ServiceId &service)
{
    const std::vector<Configuration::Route> &routes = node.m_catalogue.m_routes;
    return std::any_of(routes.begin(), routes.end(), [&](const Configuration::Route &route) { return route.m_service == service && route.m_idempotent; });
}

}

void noteAnswered(Node &node, const AttemptAnswered &answer, TimePoint now)
{
    const Attempt &attempt = node.m_attempts.at(answer.m_attempt);
    if (answer.m_load && answer.m_load->m_draining) {
        Health::noteDraining(node.m_health.m_book, attempt.m_server);
    }
    if (answer.m_notRun) {
        return; // A server that sheds isn't sick.
    }
    const bool failed = answer.m_status >= HttpInternalServerError;
    Health::Work work{attempt.m_server, failed ? WorkOutcome::Failed : WorkOutcome::Succeeded, {}, {}};
    if (failed) {
        return noteFailure(node, attempt, work, now);
    }
    work.m_time = timeOf(node, attempt, now);
    noteSuccess(node, node.m_exchanges.at(attempt.m_exchange), work, now);
}

void noteFailed(Node &node, const Attempt &attempt, Dispatch::AttemptFailure failure, TimePoint now)
{
    if (failure == Dispatch::AttemptFailure::Cancelled) {
        return;
    }
    const bool unreachable = failure == Dispatch::AttemptFailure::ConnectFailed;
    Health::Work work{attempt.m_server, unreachable ? WorkOutcome::Unreachable : WorkOutcome::Failed, {}, {}};
    noteFailure(node, attempt, work, now);
}

std::map<ServerId, Standing> standingsOf(const Node &node, const ServiceId &service, TimePoint now)
{
    std::map<ServerId, Standing> standings;
    if (isUntroubled(node, service) || !node.m_catalogue.m_serversOf.contains(service)) {
        return standings;
    }
    if (node.m_settings.m_health.m_policy == Health::EjectionPolicy::OwnFailures) {
        return standingsByOwnFailures(node, service, now);
    }
    Judgement judgement = judge(node, service, now);
    const double floor = node.m_catalogue.m_services.contains(service) ? node.m_catalogue.m_services.at(service).m_floor : 1.0;
    for (const ServerId &server : judgement.m_ejected) {
        standings[server] = Standing::Avoided;
    }
    for (const ServerId &server : Health::takeOutWithinFloor(judgement.m_capacities, floor, judgement.m_ejected)) {
        standings[server] = Standing::Barred;
    }
    for (const ServerId &server : Health::takeOutWithinFloor(judgement.m_capacities, floor, judgement.m_suspects)) {
        standings.emplace(server, Standing::Avoided);
    }
    for (const ServerId &server : judgement.m_leaving) {
        standings[server] = Standing::Barred;
    }
    return standings;
}

std::optional<ServerId> takeTrialServer(Node &node, const Exchange &exchange, TimePoint now)
{
    const ServiceId &service = exchange.m_route.m_service;
    const auto following = node.m_health.m_following.find(service);
    if (following == node.m_health.m_following.end() || following->second.m_observers.empty() || exchange.m_attempts > 0) {
        return std::nullopt;
    }
    if (!exchange.m_route.m_idempotent && hasIdempotentRoute(node, service)) {
        return std::nullopt;
    }
    const auto server = Health::takeTrial(following->second, node.m_settings.m_health, node.m_settings.m_host, now);
    const bool isUsable = server && node.m_catalogue.m_servers.contains(*server) && node.m_catalogue.m_servers.at(*server).m_service == service
        && !Balancing::isDraining(node.m_balancer, *server, now) && !node.m_health.m_leaving.contains(*server);
    return isUsable ? server : std::nullopt;
}

}
