#include <ragwortrelay/balancing/balancer.h>

#include <vector>

namespace RagwortRelay::Balancing {

namespace {

double utilisation(const Balancer &balancer, const Configuration::Server &server)
{
    const auto load = balancer.m_loads.find(server.m_id);
    const std::uint32_t inFlight = load == balancer.m_loads.end() ? 0 : load->second.m_inFlight;
    return (inFlight + 1.0) / (server.m_slots * server.m_weight);
}

std::vector<const Configuration::Server *> candidatesOf(const Configuration::Catalogue &catalogue, const ServiceId &service, const std::set<ServerId> &excluded)
{
    std::vector<const Configuration::Server *> candidates;
    const auto members = catalogue.m_serversOf.find(service);
    if (members == catalogue.m_serversOf.end()) {
        return candidates;
    }
    for (const ServerId &id : members->second) {
        const Configuration::Server &server = catalogue.m_servers.at(id);
        const bool isUsable = server.m_use == Configuration::ServerUse::Active && server.m_weight > 0.0 && !excluded.contains(id);
        if (isUsable) {
            candidates.push_back(&server);
        }
    }
    return candidates;
}

}

std::optional<ServerId> pickServer(
    const Balancer &balancer, const Configuration::Catalogue &catalogue, const ServiceId &service, const std::set<ServerId> &excluded, RandomGenerator &random)
{
    const std::vector<const Configuration::Server *> candidates = candidatesOf(catalogue, service, excluded);
    if (candidates.empty()) {
        return std::nullopt;
    }
    const Configuration::Server *first = candidates[drawBelow(random, candidates.size())];
    const Configuration::Server *second = candidates[drawBelow(random, candidates.size())];
    return utilisation(balancer, *first) <= utilisation(balancer, *second) ? first->m_id : second->m_id;
}

void startAttempt(Balancer &balancer, const ServerId &server)
{
    ++balancer.m_loads[server].m_inFlight;
}

void endAttempt(Balancer &balancer, const ServerId &server)
{
    --balancer.m_loads[server].m_inFlight;
}

}
