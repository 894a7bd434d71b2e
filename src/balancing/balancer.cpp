#include <ragwortrelay/balancing/balancer.h>
#include <ragwortrelay/balancing/subset.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace RagwortRelay::Balancing {

namespace {

/// Weight of a new value in a moving average.
constexpr double AverageGain = 0.05;

/// Difference of utilisation up to which servers count as about equal, so that weights decide.
constexpr double Temperature = 0.05;

/// Part of its capacity that a server gets at the begin of its slow start.
constexpr double LeastWarmth = 0.1;

struct Candidate {
    const Configuration::Server *m_server = nullptr;
    const ServerLoad *m_load = nullptr; ///< Null when nothing is known.
    Standing m_standing = Standing::Usable;
};

bool isBefore(TimePoint now, const std::optional<TimePoint> &end)
{
    return end.has_value() && now < *end;
}

bool isFull(const Candidate &candidate, TimePoint now)
{
    return candidate.m_load != nullptr && (candidate.m_load->m_inFlight >= candidate.m_server->m_slots || isBefore(now, candidate.m_load->m_fullUntil));
}

/// Returns the part of its capacity that a server may use, 0 to 1.
double warmthOf(const Candidate &candidate, const BalancerSettings &settings, TimePoint now)
{
    if (candidate.m_load == nullptr || !isBefore(now, candidate.m_load->m_warmAt)) {
        return 1.0;
    }
    const auto left = static_cast<double>((*candidate.m_load->m_warmAt - now).count());
    const auto whole = static_cast<double>(settings.m_slowStart.count());
    return std::max(LeastWarmth, 1.0 - left / whole);
}

/// Returns the estimated part of the slots in use. A report decays towards the mean of the service within the time of a request.
double estimatedUtilisation(const Candidate &candidate, const ServiceLoad &service, TimePoint now)
{
    const double slots = candidate.m_server->m_slots;
    if (candidate.m_load == nullptr) {
        return service.m_meanUtilisation;
    }
    const ServerLoad &load = *candidate.m_load;
    double estimate = service.m_meanUtilisation;
    if (load.m_reportedAt) {
        const auto age = static_cast<double>((now - *load.m_reportedAt).count());
        const auto work = static_cast<double>(std::max<std::int64_t>(1, service.m_meanWork.count()));
        estimate += (load.m_reportedBusy / slots - estimate) * std::exp(-age / work);
    }
    return std::max(estimate, load.m_inFlight / slots);
}

double scoreOf(const Candidate &candidate, const BalancerSettings &settings, const ServiceLoad &service, TimePoint now, RandomGenerator &random)
{
    switch (settings.m_policy) {
    case Policy::Random:
        return drawUnit(random);
    case Policy::LeastInFlight:
        return (candidate.m_load == nullptr ? 0.0 : candidate.m_load->m_inFlight) + drawUnit(random);
    case Policy::TwoChoices:
        return (candidate.m_load == nullptr ? 0.0 : candidate.m_load->m_reportedBusy) + drawUnit(random);
    case Policy::Estimated:
        break;
    }
    // Of exponential variates the least belongs to each with a chance in proportion to its rate.
    const double rate = candidate.m_server->m_weight * candidate.m_server->m_slots;
    const double variate = -std::log(1.0 - drawUnit(random)) / rate;
    return estimatedUtilisation(candidate, service, now) + Temperature * variate;
}

Standing standingOf(const PickQuery &query, const ServerId &server)
{
    if (query.m_standings == nullptr) {
        return Standing::Usable;
    }
    const auto found = query.m_standings->find(server);
    return found == query.m_standings->end() ? Standing::Usable : found->second;
}

const std::vector<ServerId> &orderOf(Balancer &balancer, const Configuration::Catalogue &catalogue, const PickQuery &query)
{
    ServerOrder &order = balancer.m_orders[query.m_service];
    if (order.m_catalogueVersion != catalogue.m_version || order.m_servers.empty()) {
        order = {catalogue.m_version, orderServers(catalogue, query.m_service, query.m_host)};
    }
    return order.m_servers;
}

/// Returns the servers that may be picked: the first of this host's order that are in use, as many as its subset holds.
std::vector<Candidate>
candidatesOf(Balancer &balancer, const BalancerSettings &settings, const Configuration::Catalogue &catalogue, const PickQuery &query, TimePoint now)
{
    const std::vector<ServerId> &order = orderOf(balancer, catalogue, query);
    const std::size_t subset = subsetSize(query.m_hosts, order.size(), settings.m_connectionsAtMost);
    std::vector<Candidate> candidates;
    std::size_t inUse = 0;
    for (const ServerId &id : order) {
        const Configuration::Server &server = catalogue.m_servers.at(id);
        const Standing standing = standingOf(query, id);
        const bool isActive = server.m_use == Configuration::ServerUse::Active && server.m_weight > 0.0 && !isDraining(balancer, id, now);
        const bool isExcluded = query.m_excluded != nullptr && query.m_excluded->contains(id);
        if (!isActive || standing == Standing::Barred || isExcluded) {
            continue;
        }
        if (++inUse > subset) {
            break;
        }
        const auto load = balancer.m_loads.find(id);
        candidates.push_back({&server, load == balancer.m_loads.end() ? nullptr : &load->second, standing});
    }
    return candidates;
}

/// Returns the best of the candidates with a standing that aren't full, or nullptr.
const Candidate *bestOf(const std::vector<Candidate> &candidates,
                        Standing standing,
                        const BalancerSettings &settings,
                        const ServiceLoad &service,
                        TimePoint now,
                        RandomGenerator &random)
{
    const Candidate *best = nullptr;
    const Candidate *leftOut = nullptr;
    double bestScore = std::numeric_limits<double>::infinity();
    for (const Candidate &candidate : candidates) {
        if (candidate.m_standing != standing || (settings.m_policy == Policy::Estimated && isFull(candidate, now))) {
            continue;
        }
        if (drawUnit(random) >= warmthOf(candidate, settings, now)) {
            leftOut = &candidate;
            continue;
        }
        const double score = scoreOf(candidate, settings, service, now, random);
        if (score < bestScore) {
            bestScore = score;
            best = &candidate;
        }
    }
    return best != nullptr ? best : leftOut;
}

/// Leaves two random candidates.
void drawTwo(std::vector<Candidate> &candidates, RandomGenerator &random)
{
    if (candidates.size() > 2) {
        std::swap(candidates[0], candidates[drawBelow(random, candidates.size())]);
        std::swap(candidates[1], candidates[1 + drawBelow(random, candidates.size() - 1)]);
        candidates.resize(2);
    }
}

}

tl::expected<ServerId, PickFailure> pickServer(Balancer &balancer,
                                               const BalancerSettings &settings,
                                               const Configuration::Catalogue &catalogue,
                                               const PickQuery &query,
                                               TimePoint now,
                                               RandomGenerator &random)
{
    std::vector<Candidate> candidates = candidatesOf(balancer, settings, catalogue, query, now);
    if (candidates.empty()) {
        return tl::unexpected(PickFailure::NoServer);
    }
    if (settings.m_policy == Policy::TwoChoices) {
        drawTwo(candidates, random);
    }
    const ServiceLoad service = balancer.m_services[query.m_service];
    for (const Standing standing : {Standing::Usable, Standing::Avoided}) {
        const Candidate *best = bestOf(candidates, standing, settings, service, now, random);
        if (best != nullptr) {
            return best->m_server->m_id;
        }
    }
    return tl::unexpected(PickFailure::AllBusy);
}

void noteCatalogue(Balancer &balancer, const BalancerSettings &settings, const Configuration::Catalogue &catalogue, TimePoint now)
{
    const bool isFirst = balancer.m_catalogueVersion == 0;
    balancer.m_catalogueVersion = catalogue.m_version;
    std::set<ServerId> known;
    for (const auto &[id, server] : catalogue.m_servers) {
        if (!isFirst && !balancer.m_known.contains(id)) {
            noteCold(balancer, settings, id, now);
        }
        known.insert(id);
    }
    balancer.m_known = std::move(known);
    std::erase_if(balancer.m_loads, [&](const auto &entry) { return entry.second.m_inFlight == 0 && !catalogue.m_servers.contains(entry.first); });
    std::erase_if(balancer.m_services, [&](const auto &entry) { return !catalogue.m_serversOf.contains(entry.first); });
    std::erase_if(balancer.m_orders, [&](const auto &entry) { return !catalogue.m_serversOf.contains(entry.first); });
}

void noteCold(Balancer &balancer, const BalancerSettings &settings, const ServerId &server, TimePoint now)
{
    balancer.m_loads[server].m_warmAt = now + settings.m_slowStart;
}

bool isCold(const Balancer &balancer, const ServerId &server, TimePoint now)
{
    const auto load = balancer.m_loads.find(server);
    return load != balancer.m_loads.end() && isBefore(now, load->second.m_warmAt);
}

bool isDraining(const Balancer &balancer, const ServerId &server, TimePoint now)
{
    const auto load = balancer.m_loads.find(server);
    return load != balancer.m_loads.end() && isBefore(now, load->second.m_drainingUntil);
}

void startAttempt(Balancer &balancer, const ServerId &server)
{
    ServerLoad &load = balancer.m_loads[server];
    ++load.m_inFlight;
    load.m_reportedBusy += 1.0;
}

void endAttempt(Balancer &balancer, const ServerId &server)
{
    ServerLoad &load = balancer.m_loads[server];
    --load.m_inFlight;
    load.m_reportedBusy = std::max(0.0, load.m_reportedBusy - 1.0);
}

void noteWork(Balancer &balancer, const ServiceId &service, Duration work)
{
    ServiceLoad &load = balancer.m_services[service];
    const auto change = static_cast<double>((work - load.m_meanWork).count());
    load.m_meanWork += Duration(static_cast<std::int64_t>(AverageGain * change));
}

void noteReport(
    Balancer &balancer, const BalancerSettings &settings, const Configuration::Server &server, std::uint32_t busySlots, bool draining, TimePoint now)
{
    ServerLoad &load = balancer.m_loads[server.m_id];
    const double busy = std::min(busySlots, server.m_slots);
    load.m_reportedBusy = busy;
    load.m_reportedAt = now;
    load.m_drainingUntil = draining ? std::optional(now + settings.m_drainHold) : std::nullopt;
    ServiceLoad &service = balancer.m_services[server.m_service];
    service.m_meanUtilisation += AverageGain * (busy / server.m_slots - service.m_meanUtilisation);
}

void noteShed(Balancer &balancer, const BalancerSettings &settings, const Configuration::Server &server, TimePoint now)
{
    ServerLoad &load = balancer.m_loads[server.m_id];
    load.m_reportedBusy = server.m_slots;
    load.m_reportedAt = now;
    load.m_fullUntil = now + settings.m_shedHold;
    ServiceLoad &service = balancer.m_services[server.m_service];
    service.m_meanUtilisation += AverageGain * (1.0 - service.m_meanUtilisation);
}

}
