#include <ragwortrelay/balancing/subset.h>
#include <ragwortrelay/core/hash.h>

#include <algorithm>
#include <cmath>
#include <map>

namespace RagwortRelay::Balancing {

namespace {

struct ScoredServer {
    double m_score = 0.0;
    ServerId m_server;
};

bool scoresHigher(const ScoredServer &left, const ScoredServer &right)
{
    return left.m_score != right.m_score ? left.m_score > right.m_score : left.m_server < right.m_server;
}

bool isWithinLimit(std::size_t hosts, std::size_t servers, std::size_t subset, std::uint32_t connectionsAtMost)
{
    constexpr double StandardDeviations = 5.0;
    const double share = static_cast<double>(subset) / static_cast<double>(servers);
    const double mean = static_cast<double>(hosts) * share;
    const double deviation = std::sqrt(mean * (1.0 - share));
    return mean + StandardDeviations * deviation <= connectionsAtMost;
}

}

std::vector<ServerId> orderServers(const Configuration::Catalogue &catalogue, const ServiceId &service, const HostId &host)
{
    const auto members = catalogue.m_serversOf.find(service);
    if (members == catalogue.m_serversOf.end()) {
        return {};
    }
    std::map<FailureDomainId, std::vector<ScoredServer>> domains;
    for (const ServerId &id : members->second) {
        const double score = rendezvousScore(host.text(), id.text(), 1.0);
        domains[catalogue.m_servers.at(id).m_domain].push_back({score, id});
    }
    struct Ranked {
        std::size_t m_round = 0;
        ScoredServer m_server;
    };
    std::vector<Ranked> ranked;
    for (auto &[domain, servers] : domains) {
        std::sort(servers.begin(), servers.end(), scoresHigher);
        for (std::size_t i = 0; i < servers.size(); ++i) {
            ranked.push_back({i, servers[i]});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return left.m_round != right.m_round ? left.m_round < right.m_round : scoresHigher(left.m_server, right.m_server);
    });
    std::vector<ServerId> order;
    order.reserve(ranked.size());
    for (const Ranked &entry : ranked) {
        order.push_back(entry.m_server.m_server);
    }
    return order;
}

std::size_t subsetSize(std::size_t hosts, std::size_t servers, std::uint32_t connectionsAtMost)
{
    std::size_t subset = servers;
    while (subset > 1 && !isWithinLimit(hosts, servers, subset, connectionsAtMost)) {
        --subset;
    }
    return subset;
}

}
