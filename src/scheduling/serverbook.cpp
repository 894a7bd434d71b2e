#include <ragwortrelay/core/fading.h>
#include <ragwortrelay/scheduling/serverbook.h>

#include <algorithm>
#include <limits>

namespace RagwortRelay::Scheduling {

namespace {

using Configuration::Server;
using Configuration::ServerUse;

bool isSameServer(const Server &left, const Server &right)
{
    return left.m_service == right.m_service && left.m_address == right.m_address && left.m_incarnation == right.m_incarnation;
}

/// Tells whether a server may get new requests at all.
bool isUsable(const ServerState &state, TimePoint now)
{
    return !isLeaving(state, now) && state.m_server.m_weight > 0.0;
}

bool hasFreeSlot(const ServerState &state, TimePoint now)
{
    const bool isFull = state.m_fullUntil && now < *state.m_fullUntil;
    return !isFull && state.m_running.size() < state.m_server.m_slots;
}

/// Evidence against the path between the host and the server, not against the server as such.
bool isAboutPath(AttemptEnd end)
{
    return end == AttemptEnd::Unreachable || end == AttemptEnd::TimedOut;
}

bool isFailure(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Failed:
    case AttemptEnd::NotListening:
    case AttemptEnd::Unreachable:
    case AttemptEnd::Broken:
    case AttemptEnd::Garbled:
    case AttemptEnd::TimedOut:
        return true;
    case AttemptEnd::Succeeded:
    case AttemptEnd::Shed:
    case AttemptEnd::Misdirected:
    case AttemptEnd::Abandoned:
        return false;
    }
    return false;
}

/// Returns the evidence of one failed request: such that a server's suspicion neither grows nor fades at the share of failures from which
/// it counts as sick.
double failureEvidence(const ServicePolicy &policy, const Health::SuspicionSettings &settings)
{
    constexpr double LeastShare = 0.01;
    if (!policy.m_sickAbove) {
        return settings.m_failure;
    }
    const double share = std::max(LeastShare, *policy.m_sickAbove);
    return std::min(settings.m_most, -settings.m_success * (1.0 - share) / share);
}

void noteFailure(ServerState &state, const PickSettings &settings, const ServicePolicy &policy, AttemptEnd end, const Asker &asker, TimePoint now)
{
    const Health::SuspicionSettings &suspicion = settings.m_suspicion;
    const double failure = failureEvidence(policy, suspicion);
    if (isAboutPath(end)) {
        Health::addEvidence(suspicion, state.m_suspicion.m_byHost[asker.m_host], suspicion.m_most, now);
        // The rest of the fleet is told a little: a server that hangs looks like one that can't be reached.
        Health::addEvidence(suspicion, state.m_suspicion.m_byDomain[asker.m_domain], failure / 2, now);
        return;
    }
    const double evidence = end == AttemptEnd::NotListening ? suspicion.m_most : failure;
    Health::addEvidence(suspicion, state.m_suspicion.m_byDomain[asker.m_domain], evidence, now);
}

/// Returns how slow a server is: what was seen of it, the less the longer ago.
double slownessOf(const ServerState &state, const PickSettings &settings, TimePoint now)
{
    return 1.0 + (state.m_slowness - 1.0) * leftAfter(now - state.m_slownessAt, settings.m_slownessFading);
}

void noteSuccess(ServerBook &book, ServerState &state, const PickSettings &settings, const DrawDone &done, const Asker &asker, TimePoint now)
{
    constexpr double ServiceSmoothing = 0.02;
    constexpr double ServerSmoothing = 0.15;
    constexpr double MostSlowness = 10.0;
    const Health::SuspicionSettings &suspicion = settings.m_suspicion;
    Health::addEvidence(suspicion, state.m_suspicion.m_byDomain[asker.m_domain], suspicion.m_success, now);
    state.m_suspicion.m_byHost.erase(asker.m_host);
    if (now < state.m_warmAt) {
        return; // A cold server's time tells nothing.
    }
    ServiceState &service = book.m_services[state.m_server.m_service];
    const double elapsed = static_cast<double>(done.m_elapsed.count());
    const double usual = static_cast<double>(service.m_usualTime.count());
    service.m_usualTime = Duration(static_cast<std::int64_t>(usual + ServiceSmoothing * (elapsed - usual)));
    const double ratio = std::min(MostSlowness, elapsed / std::max(1.0, usual));
    const double known = slownessOf(state, settings, now);
    state.m_slowness = known + ServerSmoothing * (ratio - known);
    state.m_slownessAt = now;
}

/// Notes since when a server has looked sick to the asking host.
void noteSuspicion(ServerState &state, const PickSettings &settings, const Asker &asker, TimePoint now)
{
    const double sickness = Health::sicknessFor(settings.m_suspicion, state.m_suspicion, asker.m_host, asker.m_domain, now);
    if (sickness <= settings.m_avoidAbove) {
        state.m_suspectSince.reset();
    } else if (!state.m_suspectSince) {
        state.m_suspectSince = now;
    }
}

void noteOutcome(ServiceState &service, const PickSettings &settings, bool failed, TimePoint now)
{
    const double left = leftAfter(now - service.m_outcomesAt, settings.m_failureFading);
    service.m_outcomes = service.m_outcomes * left + 1.0;
    service.m_failures = service.m_failures * left + (failed ? 1.0 : 0.0);
    service.m_outcomesAt = now;
}

/// Tells whether so many attempts of a service fail that no sound server may be left unused.
bool isFailing(const ServiceState &service, const PickSettings &settings)
{
    constexpr double LeastOutcomes = 8.0;
    return service.m_outcomes >= LeastOutcomes && service.m_failures > settings.m_failingAbove * service.m_outcomes;
}

bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::ranges::find(servers, server) != servers.end();
}

/// A server that could be picked.
struct Candidate {
    const ServerState *m_state = nullptr;
    double m_sickness = 0.0;
};

double costOf(const PickSettings &settings, const Candidate &candidate, const Draw &draw, const Asker &asker, TimePoint now)
{
    const ServerState &state = *candidate.m_state;
    const double occupied = static_cast<double>(state.m_running.size()) / static_cast<double>(state.m_server.m_slots);
    double cost = candidate.m_sickness * (draw.m_idempotent ? settings.m_retryCost : settings.m_failureCost);
    cost += occupied * settings.m_occupiedCost / state.m_server.m_weight;
    cost += state.m_server.m_domain == asker.m_domain ? 0.0 : settings.m_otherDomainCost;
    cost += now < state.m_warmAt ? settings.m_warmupCost : 0.0;
    cost += std::max(0.0, slownessOf(state, settings, now) - 1.0) * settings.m_slownessCost;
    return cost;
}

/// Returns the servers that may be looked at: all of a small service, a random run of a large one.
std::vector<Candidate>
candidatesOf(const ServerBook &book, const PickSettings &settings, const ServiceState &service, const Asker &asker, RandomGenerator &random, TimePoint now)
{
    const std::size_t count = service.m_servers.size();
    const std::size_t start = count > settings.m_candidatesAtMost ? drawBelow(random, count) : 0;
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < std::min(count, settings.m_candidatesAtMost); ++i) {
        const ServerState &state = book.m_servers.at(service.m_servers[(start + i) % count]);
        if (isUsable(state, now)) {
            candidates.push_back({&state, Health::sicknessFor(settings.m_suspicion, state.m_suspicion, asker.m_host, asker.m_domain, now)});
        }
    }
    return candidates;
}

/// Splits off the servers that look sick, as many as the floor allows; those that look worst first.
std::vector<Candidate> takeAvoided(const PickSettings &settings, const ServicePolicy &policy, std::vector<Candidate> &candidates, TimePoint now)
{
    const auto isSick = [&](const Candidate &candidate) {
        const std::optional<TimePoint> &since = candidate.m_state->m_suspectSince;
        return candidate.m_sickness > settings.m_avoidAbove && now - since.value_or(now) >= policy.m_sickAfter;
    };
    std::ranges::sort(candidates, [](const Candidate &left, const Candidate &right) { return left.m_sickness > right.m_sickness; });
    const double floor = policy.m_floor.value_or(settings.m_floor);
    const auto most = static_cast<std::size_t>((1.0 - floor) * static_cast<double>(candidates.size()));
    std::vector<Candidate> avoided;
    std::vector<Candidate> others;
    for (const Candidate &candidate : candidates) {
        (avoided.size() < most && isSick(candidate) ? avoided : others).push_back(candidate);
    }
    candidates = std::move(others);
    return avoided;
}

const Candidate *
cheapest(const PickSettings &settings, const std::vector<Candidate> &candidates, const Draw &draw, const Asker &asker, RandomGenerator &random, TimePoint now)
{
    constexpr double Tie = 0.002; // Servers of about the same cost take turns by chance.
    const Candidate *best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (const Candidate &candidate : candidates) {
        if (contains(draw.m_excluded, candidate.m_state->m_server.m_id) || !hasFreeSlot(*candidate.m_state, now)) {
            continue;
        }
        const double cost = costOf(settings, candidate, draw, asker, now) + Tie * drawUnit(random);
        if (cost < least) {
            least = cost;
            best = &candidate;
        }
    }
    return best;
}

/// Returns an avoided server that is due for a trial request, so that it can prove itself.
const Candidate *dueForTrial(const PickSettings &settings, const std::vector<Candidate> &avoided, const Draw &draw, TimePoint now)
{
    for (const Candidate &candidate : avoided) {
        const ServerState &state = *candidate.m_state;
        const bool isDue = state.m_running.empty() && hasFreeSlot(state, now) && now - state.m_triedAt >= settings.m_trialInterval;
        if (isDue && draw.m_idempotent && draw.m_purpose == DrawPurpose::First && !contains(draw.m_excluded, state.m_server.m_id)) {
            return &candidate;
        }
    }
    return nullptr;
}

/// Tells whether a service has so much to do that each of its servers can get some of it.
bool isBusy(const ServiceState &service, const PickSettings &settings, std::size_t servers)
{
    return service.m_outcomes >= settings.m_busyPerServer * static_cast<double>(servers);
}

/// Returns the least suspect of the servers that got nothing for a while, when they are too many for a service that fails, or for one that
/// has enough to do for all. Neither avoiding servers nor preferring some must go so far that sound ones are left out.
const Candidate *tooLongUnused(const PickSettings &settings, const std::vector<Candidate> &all, const ServiceState &service, const Draw &draw, TimePoint now)
{
    const bool failing = isFailing(service, settings);
    if (!failing && !isBusy(service, settings, all.size())) {
        return nullptr;
    }
    std::size_t counted = 0;
    std::size_t untouched = 0;
    const Candidate *best = nullptr;
    for (const Candidate &candidate : all) {
        const ServerState &state = *candidate.m_state;
        if (!failing && candidate.m_sickness > settings.m_avoidAbove) {
            continue; // While the service does well, those that look sick get trials only.
        }
        ++counted;
        if (now - state.m_usedAt < settings.m_untouchedAfter) {
            continue;
        }
        ++untouched;
        const bool isBetter = best == nullptr || candidate.m_sickness < best->m_sickness;
        if (isBetter && hasFreeSlot(state, now) && !contains(draw.m_excluded, state.m_server.m_id)) {
            best = &candidate;
        }
    }
    const bool isBold = failing || draw.m_idempotent;
    const double most = (isBold ? settings.m_untouchedAtMost : settings.m_untouchedAtMostOnce) * static_cast<double>(counted);
    return static_cast<double>(untouched) > most ? best : nullptr;
}

}

bool isLeaving(const ServerState &state, TimePoint now)
{
    const bool saidSo = state.m_leavingUntil && now < *state.m_leavingUntil;
    return saidSo || state.m_server.m_use == ServerUse::Leaving;
}

bool setServer(ServerBook &book, const Configuration::Server &server, TimePoint now)
{
    const auto known = book.m_servers.find(server.m_id);
    const bool isAnother = known != book.m_servers.end() && !isSameServer(known->second.m_server, server);
    if (isAnother) {
        eraseServer(book, server.m_id);
    }
    const auto [found, isNew] = book.m_servers.try_emplace(server.m_id);
    found->second.m_server = server;
    if (isNew) {
        found->second.m_warmAt = now + server.m_warmupLeft;
        std::vector<ServerId> &servers = book.m_services[server.m_service].m_servers;
        servers.insert(std::ranges::upper_bound(servers, server.m_id), server.m_id);
    }
    return isAnother;
}

bool eraseServer(ServerBook &book, const ServerId &id)
{
    const auto known = book.m_servers.find(id);
    if (known == book.m_servers.end()) {
        return false;
    }
    std::erase(book.m_services[known->second.m_server.m_service].m_servers, id);
    book.m_servers.erase(known);
    return true;
}

tl::expected<ServerId, PickFailure>
pickServer(const ServerBook &book, const PickSettings &settings, const Draw &draw, const Asker &asker, RandomGenerator &random, TimePoint now)
{
    const auto service = book.m_services.find(draw.m_service);
    if (service == book.m_services.end()) {
        return tl::unexpected(PickFailure::NoServer);
    }
    std::vector<Candidate> candidates = candidatesOf(book, settings, service->second, asker, random, now);
    const std::size_t usable = candidates.size();
    if (const Candidate *unused = tooLongUnused(settings, candidates, service->second, draw, now)) {
        return unused->m_state->m_server.m_id;
    }
    const std::vector<Candidate> avoided = takeAvoided(settings, service->second.m_policy, candidates, now);
    const Candidate *trial = dueForTrial(settings, avoided, draw, now);
    const Candidate *best = trial != nullptr ? trial : cheapest(settings, candidates, draw, asker, random, now);
    if (best != nullptr) {
        return best->m_state->m_server.m_id;
    }
    const auto isExcluded = [&](const Candidate &candidate) { return contains(draw.m_excluded, candidate.m_state->m_server.m_id); };
    const bool allTried = std::ranges::all_of(candidates, isExcluded);
    if (allTried) { // Only servers that look sick are left.
        best = cheapest(settings, avoided, draw, asker, random, now);
        if (best != nullptr) {
            return best->m_state->m_server.m_id;
        }
    }
    const bool hasAny = usable > 0 && !(allTried && std::ranges::all_of(avoided, isExcluded));
    return tl::unexpected(hasAny ? PickFailure::AllBusy : PickFailure::NoServer);
}

void startDraw(ServerBook &book, const PickSettings &settings, const DrawId &id, const ServerId &server, const Asker &asker, TimePoint now)
{
    ServerState &state = book.m_servers.at(server);
    state.m_running.push_back({id, now, false});
    state.m_usedAt = now;
    if (Health::sicknessFor(settings.m_suspicion, state.m_suspicion, asker.m_host, asker.m_domain, now) > settings.m_avoidAbove) {
        state.m_triedAt = now;
    }
}

void endDraw(ServerBook &book, const PickSettings &settings, const DrawDone &done, const Asker &asker, TimePoint now)
{
    const auto found = book.m_servers.find(done.m_server);
    if (found == book.m_servers.end()) {
        return;
    }
    ServerState &state = found->second;
    const DrawId id{asker.m_host, done.m_number};
    std::erase_if(state.m_running, [&](const RunningDraw &running) { return running.m_id == id; });
    const ServicePolicy policy = book.m_services[state.m_server.m_service].m_policy;
    const bool failed = isFailure(done.m_end);
    if (failed || done.m_end == AttemptEnd::Succeeded) {
        noteOutcome(book.m_services[state.m_server.m_service], settings, failed, now);
    }
    if (done.m_end == AttemptEnd::Shed) {
        state.m_fullUntil = now + settings.m_shedHold;
    } else if (done.m_end == AttemptEnd::Misdirected) {
        state.m_leavingUntil = now + settings.m_drainHold;
    } else if (failed) {
        noteFailure(state, settings, policy, done.m_end, asker, now);
    } else if (done.m_end == AttemptEnd::Succeeded) {
        noteSuccess(book, state, settings, done, asker, now);
    }
    noteSuspicion(state, settings, asker, now);
}

void reconcile(ServerBook &book, const HostId &host, const std::vector<std::uint64_t> &running, TimePoint startedBefore)
{
    for (auto &[id, state] : book.m_servers) {
        std::erase_if(state.m_running, [&](const RunningDraw &draw) {
            const bool isNamed = std::ranges::find(running, draw.m_id.m_number) != running.end();
            return draw.m_id.m_host == host && draw.m_startedAt < startedBefore && !isNamed;
        });
    }
}

void noteOverdue(ServerBook &book, const PickSettings &settings, const std::map<HostId, FailureDomainId> &domains, TimePoint now)
{
    constexpr int OverdueFactor = 5;
    for (auto &[id, state] : book.m_servers) {
        const ServiceState &service = book.m_services[state.m_server.m_service];
        for (RunningDraw &running : state.m_running) {
            const auto domain = domains.find(running.m_id.m_host);
            if (!running.m_isOverdue && now - running.m_startedAt > OverdueFactor * service.m_usualTime && domain != domains.end()) {
                running.m_isOverdue = true;
                const Asker asker{running.m_id.m_host, domain->second};
                noteFailure(state, settings, service.m_policy, AttemptEnd::TimedOut, asker, now);
                noteSuspicion(state, settings, asker, now);
            }
        }
    }
}

std::uint32_t slotsOf(const ServerBook &book, const ServiceId &service, TimePoint now)
{
    std::uint32_t slots = 0;
    const auto found = book.m_services.find(service);
    if (found == book.m_services.end()) {
        return 0;
    }
    for (const ServerId &id : found->second.m_servers) {
        const ServerState &state = book.m_servers.at(id);
        slots += isUsable(state, now) ? state.m_server.m_slots : 0;
    }
    return slots;
}

}
