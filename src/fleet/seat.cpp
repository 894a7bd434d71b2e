#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/fleet/seat.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace RagwortRelay::Fleet {

std::string encodeSeat(const Seat &seat)
{
    return nlohmann::json{{"address", seat.m_address}, {"domain", seat.m_domain.text()}, {"incarnation", seat.m_incarnation}, {"capacity", seat.m_capacity}}
        .dump();
}

tl::expected<Seat, Error> decodeSeat(const HostId &host, const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        Seat seat;
        seat.m_host = host;
        seat.m_address = json.at("address").get<std::string>();
        seat.m_domain = FailureDomainId(json.at("domain").get<std::string>());
        seat.m_incarnation = json.at("incarnation").get<Incarnation>();
        seat.m_capacity = json.at("capacity").get<double>();
        return seat;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::PlatformBadAnswer, exception.what()});
    }
}

std::vector<HostId> ranking(const Roster &roster)
{
    std::vector<HostId> hosts;
    hosts.reserve(roster.size());
    for (const auto &[host, seat] : roster) {
        hosts.push_back(host);
    }
    std::ranges::sort(hosts, [&](const HostId &left, const HostId &right) {
        const double leftCapacity = roster.at(left).m_capacity;
        const double rightCapacity = roster.at(right).m_capacity;
        return leftCapacity != rightCapacity ? leftCapacity > rightCapacity : hashOf(left.text()) < hashOf(right.text());
    });
    return hosts;
}

}
