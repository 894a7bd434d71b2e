#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/detail/scheduling/placement.h>
#include <ragwortrelay/detail/scheduling/servers.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace RagwortRelay::Scheduling {

namespace {

using namespace detail;

/// Interval between checks of the placements that wait for tokens, which accrue without an event.
constexpr Duration TokenCheckInterval = std::chrono::milliseconds(20);

/// Returns the sign of a crash in an attempt that may have crashed its server.
Dispatch::CrashSign signOf(AttemptEnd end)
{
    const bool isBroken = end == AttemptEnd::Broken || end == AttemptEnd::MalformedResponse;
    return isBroken ? Dispatch::CrashSign::BrokenConnection : Dispatch::CrashSign::NoResponse;
}

/// Returns what an attempt tells about its server; nothing if the server may have ended before the attempt.
std::optional<Dispatch::LifeSign> lifeSignOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Succeeded:
    case AttemptEnd::Failed:
    case AttemptEnd::Shed:
    case AttemptEnd::MalformedResponse:
        return Dispatch::LifeSign::Response;
    case AttemptEnd::Broken:
        return Dispatch::LifeSign::Connection;
    case AttemptEnd::Misdirected:
    case AttemptEnd::NotListening:
    case AttemptEnd::Unreachable:
    case AttemptEnd::TimedOut:
    case AttemptEnd::Abandoned:
        return std::nullopt;
    }
    return std::nullopt;
}

/// Updates the crash suspects by the end of an attempt, and removes expired suspects, idle connections and announcements once a second.
void recordRequestOutcome(Scheduler &scheduler, const AttemptReport &report, std::uint64_t fingerprint, const Requester &requester, TimePoint now)
{
    constexpr Duration ExpireInterval = std::chrono::seconds(1);
    if (now - scheduler.m_lastExpiryAt >= ExpireInterval) {
        scheduler.m_lastExpiryAt = now;
        Dispatch::expireSuspects(scheduler.m_suspects, scheduler.m_settings.m_suspects, now);
        forgetIdleConnections(scheduler.m_registry, scheduler.m_settings.m_selection, now);
        forgetLeavingServers(scheduler.m_registry, now);
    }
    const TimePoint startedAt = now - report.m_elapsed;
    if (const auto sign = lifeSignOf(report.m_end)) {
        Dispatch::recordLifeSign(scheduler.m_suspects, scheduler.m_settings.m_suspects, report.m_server, *sign, startedAt, now);
    }
    if (report.m_end == AttemptEnd::Succeeded) {
        Dispatch::clearSuspect(scheduler.m_suspects, fingerprint);
    } else if (report.m_fingerprint != 0) {
        recordCrash(scheduler, {report.m_fingerprint, {requester.m_host, report.m_number}, {report.m_server, now, startedAt, signOf(report.m_end), false}});
    }
}

/// Returns the phase of a workspace's token bucket on a host, evenly distributed over hosts and workspaces.
double phaseOf(std::uint64_t seed, const WorkspaceId &id)
{
    return static_cast<double>(hashOf(id.text(), seed)) / std::pow(2.0, std::numeric_limits<std::uint64_t>::digits);
}

void setLimit(Scheduler &scheduler, const WorkspaceId &id, const Configuration::Workspace *workspace, TimePoint now)
{
    if (workspace == nullptr || !workspace->m_isLimited) {
        scheduler.m_buckets.erase(id);
        return;
    }
    const auto [bucket, isNew] = scheduler.m_buckets.try_emplace(id);
    if (isNew) {
        bucket->second.m_share = scheduler.m_share;
        bucket->second.m_phase = phaseOf(scheduler.m_phaseSeed, id);
        bucket->second.m_refilledAt = now;
    }
    Limits::setLimit(bucket->second, workspace->m_rate, workspace->m_burst, now);
}

void setWeight(Scheduler &scheduler, const WorkspaceId &id, const Configuration::Workspace *workspace)
{
    if (workspace != nullptr && workspace->m_weight != 1.0 && workspace->m_weight > 0.0) {
        scheduler.m_weights[id] = workspace->m_weight;
    } else {
        scheduler.m_weights.erase(id);
    }
}

}

void setWorkspace(Scheduler &scheduler, const Configuration::Catalogue &catalogue, const WorkspaceId &id, TimePoint now)
{
    const auto found = catalogue.m_workspaces.find(id);
    const Configuration::Workspace *workspace = found == catalogue.m_workspaces.end() ? nullptr : &found->second;
    setLimit(scheduler, id, workspace, now);
    setWeight(scheduler, id, workspace);
}

void setServices(Scheduler &scheduler, const Configuration::Catalogue &catalogue)
{
    for (const auto &[id, service] : catalogue.m_services) {
        ServicePolicy policy;
        policy.m_floor = service.m_floor;
        if (service.m_detectFailures > 0.0) {
            policy.m_unhealthyFailureShare = service.m_detectFailures;
        }
        policy.m_avoidanceDelay = service.m_detectAfter;
        policy.m_coldRate = service.m_coldRate;
        policy.m_warmup = service.m_warmup;
        scheduler.m_registry.m_services[id].m_policy = policy;
    }
}

void setCatalogue(Scheduler &scheduler, const Configuration::Catalogue &catalogue, TimePoint now)
{
    const auto isGone = [&](const auto &entry) { return !catalogue.m_workspaces.contains(entry.first); };
    std::erase_if(scheduler.m_buckets, isGone);
    std::erase_if(scheduler.m_weights, isGone);
    for (const auto &[id, workspace] : catalogue.m_workspaces) {
        setLimit(scheduler, id, &workspace, now);
        setWeight(scheduler, id, &workspace);
    }
    setServices(scheduler, catalogue);
}

void setShare(Scheduler &scheduler, double share, TimePoint now)
{
    updateShare(scheduler.m_registry.m_warmupShare, share, now);
    if (share == scheduler.m_share) {
        return;
    }
    for (auto &[service, budget] : scheduler.m_budgets) {
        budget = withShare(budget, scheduler.m_settings.m_retries, scheduler.m_share, share);
    }
    scheduler.m_share = share;
    for (auto &[id, bucket] : scheduler.m_buckets) {
        Limits::setShare(bucket, share, now);
    }
}

std::optional<PlacementReply>
placement(Scheduler &scheduler, const PlacementRequest &placement, const Requester &requester, RandomGenerator &random, TimePoint now)
{
    scheduler.m_hostDomains[requester.m_host] = requester.m_domain;
    if (const auto quarantined = quarantineRemaining(scheduler, placement, now)) {
        return refusal(placement, RefusalReason::Quarantined, *quarantined);
    }
    if (isServiceEvacuated(scheduler.m_registry, placement.m_service, now)) {
        return refuseEvacuated(placement);
    }
    switch (takeWorkspaceToken(scheduler, placement, requester, now)) {
    case LimitOutcome::Waits:
        return std::nullopt;
    case LimitOutcome::Refused:
        return refuseOverLimit(scheduler, placement, now);
    case LimitOutcome::Passed:
        break;
    }
    return placeOrEnqueue(scheduler, placement, requester, random, now);
}

bool isLimited(const Scheduler &scheduler, const PlacementRequest &placement)
{
    return placement.m_purpose == AttemptKind::First && scheduler.m_buckets.contains(placement.m_workspace);
}

std::optional<PlacementReply> refuseIfOverLimit(Scheduler &scheduler, const PlacementRequest &placement, TimePoint now)
{
    if (!isLimited(scheduler, placement) || Limits::hasToken(scheduler.m_buckets.at(placement.m_workspace), now)) {
        return std::nullopt;
    }
    return refuseOverLimit(scheduler, placement, now);
}

void cancel(Scheduler &scheduler, const PlacementId &id)
{
    if (scheduler.m_waiting.erase(id) == 0) {
        return;
    }
    const auto hasId = [&](const QueuedPlacement &entry) { return idOf(entry) == id; };
    for (auto &[service, queue] : scheduler.m_queues) {
        (void)extractIf(queue, hasId);
    }
    for (auto &[workspace, waiting] : scheduler.m_awaitingTokens) {
        std::erase_if(waiting, hasId);
    }
}

bool isQueued(const Scheduler &scheduler, const PlacementId &id)
{
    return scheduler.m_waiting.contains(id);
}

void reconcile(Scheduler &scheduler, const HostId &host, const std::vector<std::uint64_t> &running, TimePoint startedBefore)
{
    const auto first = scheduler.m_granted.lower_bound({host, 0});
    for (auto granted = first; granted != scheduler.m_granted.end() && granted->first.m_host == host;) {
        const bool isNamed = std::ranges::find(running, granted->first.m_number) != running.end();
        const bool isLost = granted->second.m_grantedAt < startedBefore && !isNamed;
        if (isLost) {
            forgetAttempt(scheduler.m_registry, granted->second.m_server, granted->first);
        }
        granted = isLost ? scheduler.m_granted.erase(granted) : std::next(granted);
    }
}

void recordCrash(Scheduler &scheduler, const RecordedCrash &crash)
{
    if (Dispatch::recordCrash(scheduler.m_suspects, scheduler.m_settings.m_suspects, crash.m_fingerprint, crash.m_id, crash.m_crash)) {
        scheduler.m_newCrashes.push_back(crash);
    }
}

std::vector<RecordedCrash> takeNewCrashes(Scheduler &scheduler)
{
    return std::exchange(scheduler.m_newCrashes, {});
}

std::vector<Dispatch::Fingerprint> quarantinedRequests(const Scheduler &scheduler, TimePoint now)
{
    std::vector<Dispatch::Fingerprint> quarantined;
    for (const Dispatch::Fingerprint fingerprint : scheduler.m_suspects.m_candidates) {
        if (Dispatch::quarantineRemaining(scheduler.m_suspects, scheduler.m_settings.m_suspects, fingerprint, now)) {
            quarantined.push_back(fingerprint);
        }
    }
    return quarantined;
}

void quarantineRequests(Scheduler &scheduler, const std::vector<Dispatch::Fingerprint> &fingerprints, TimePoint now)
{
    std::erase_if(scheduler.m_quarantined, [&](const auto &entry) { return entry.second <= now; });
    for (const Dispatch::Fingerprint fingerprint : fingerprints) {
        scheduler.m_quarantined[fingerprint] = now + scheduler.m_settings.m_suspects.m_trialDelay;
    }
}

void finish(Scheduler &scheduler, const AttemptReport &report, const Requester &requester, TimePoint now)
{
    const auto granted = scheduler.m_granted.find({requester.m_host, report.m_number});
    std::uint64_t fingerprint = report.m_fingerprint;
    if (granted != scheduler.m_granted.end()) {
        fingerprint = granted->second.m_fingerprint;
        scheduler.m_granted.erase(granted);
    }
    recordRequestOutcome(scheduler, report, fingerprint, requester, now);
    scheduler.m_hostDomains[requester.m_host] = requester.m_domain;
    const auto server = scheduler.m_registry.m_servers.find(report.m_server);
    const bool wasFull = server != scheduler.m_registry.m_servers.end() && !detail::hasFreeSlot(server->second, now);
    endAttempt(scheduler.m_registry, scheduler.m_settings.m_selection, report, requester, now);
    if (!wasFull || !detail::hasFreeSlot(server->second, now)) {
        return; // Placements that wait were not helped by a free slot of this server before.
    }
    const auto queue = scheduler.m_queues.find(server->second.m_server.m_service);
    if (queue != scheduler.m_queues.end() && queue->second.m_size > 0) {
        const bool hasPrice = isEnabled(scheduler.m_settings.m_selection.m_spillover);
        noteFreedSlot(queue->second, report.m_server, hasPrice ? std::optional(server->second.m_server.m_domain) : std::nullopt, now);
    }
}

std::vector<AddressedReply> serve(Scheduler &scheduler, RandomGenerator &random, TimePoint now)
{
    std::vector<AddressedReply> responses;
    if (now - scheduler.m_overdueCheckedAt >= scheduler.m_settings.m_overdueCheckInterval) {
        scheduler.m_overdueCheckedAt = now;
        recordOverdueAttempts(scheduler.m_registry, scheduler.m_settings.m_selection, scheduler.m_hostDomains, now);
    }
    if (now >= scheduler.m_nextTokenCheckAt) {
        scheduler.m_nextTokenCheckAt = now + TokenCheckInterval;
        serveTokens(scheduler, random, now, responses);
    }
    for (auto &[service, queue] : scheduler.m_queues) {
        if (queue.m_size > 0 && now >= queue.m_nextCheckAt) {
            serveQueue(scheduler, service, queue, random, now, responses);
            queue.m_nextCheckAt = queue.m_nextFullCheckAt;
        }
    }
    return responses;
}

Duration usualTimeOf(const Scheduler &scheduler, const ServiceId &service)
{
    const auto found = scheduler.m_registry.m_services.find(service);
    return found == scheduler.m_registry.m_services.end() ? Duration(0) : found->second.m_usualTime;
}

TimePoint nextServeAt(const Scheduler &scheduler)
{
    TimePoint next = scheduler.m_awaitingTokens.empty() ? TimePoint::max() : scheduler.m_nextTokenCheckAt;
    for (const auto &[service, queue] : scheduler.m_queues) {
        next = queue.m_size == 0 ? next : std::min(next, queue.m_nextCheckAt);
    }
    return scheduler.m_granted.empty() ? next : std::min(next, scheduler.m_overdueCheckedAt + scheduler.m_settings.m_overdueCheckInterval);
}

}
