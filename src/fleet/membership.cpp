#include <ragwortrelay/core/address.h>
#include <ragwortrelay/core/hash.h>
#include <ragwortrelay/fleet/membership.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace RagwortRelay::Fleet {

std::string encodeHostRecord(const HostRecord &record)
{
    return nlohmann::json{
        {"address", record.m_address}, {"domain", record.m_domain.text()}, {"incarnation", record.m_incarnation}, {"capacity", record.m_capacity}}
        .dump();
}

tl::expected<HostRecord, Error> decodeHostRecord(const HostId &host, const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        HostRecord record;
        record.m_host = host;
        record.m_address = json.at("address").get<std::string>();
        if (!isRemoteAddress(record.m_address)) {
            throw std::invalid_argument("'" + record.m_address + "' is not of the form IP:PORT");
        }
        record.m_domain = FailureDomainId(json.at("domain").get<std::string>());
        if (!json.at("incarnation").is_number_unsigned()) {
            throw std::invalid_argument("the incarnation is not a whole number");
        }
        record.m_incarnation = json.at("incarnation").get<Incarnation>();
        record.m_capacity = json.at("capacity").get<double>();
        return record;
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::PlatformBadAnswer, exception.what()});
    }
}

std::vector<HostId> ranking(const Membership &membership)
{
    std::vector<HostId> hosts;
    hosts.reserve(membership.size());
    for (const auto &[host, record] : membership) {
        hosts.push_back(host);
    }
    std::ranges::sort(hosts, [&](const HostId &left, const HostId &right) {
        const double leftCapacity = membership.at(left).m_capacity;
        const double rightCapacity = membership.at(right).m_capacity;
        return leftCapacity != rightCapacity ? leftCapacity > rightCapacity : hashOf(left.text()) < hashOf(right.text());
    });
    return hosts;
}

}
