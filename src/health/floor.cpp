#include <ragwortrelay/health/floor.h>

#include <algorithm>

namespace RagwortRelay::Health {

bool isAboveFloor(const std::vector<ServerCapacity> &servers, double floor)
{
    constexpr double RoundingError = 1e-9;
    double whole = 0.0;
    double left = 0.0;
    for (const ServerCapacity &server : servers) {
        whole += server.m_capacity;
        left += server.m_isOut ? 0.0 : server.m_capacity;
    }
    return left + RoundingError >= floor * whole;
}

std::vector<ServerId> takeOutWithinFloor(std::vector<ServerCapacity> &servers, double floor, const std::vector<ServerId> &candidates)
{
    std::vector<ServerId> taken;
    for (const ServerId &candidate : candidates) {
        const auto server = std::find_if(servers.begin(), servers.end(), [&candidate](const ServerCapacity &entry) { return entry.m_server == candidate; });
        if (server == servers.end()) {
            continue;
        }
        const bool wasOut = server->m_isOut;
        server->m_isOut = true;
        if (wasOut || isAboveFloor(servers, floor)) {
            taken.push_back(candidate);
        } else {
            server->m_isOut = false;
        }
    }
    return taken;
}

}
