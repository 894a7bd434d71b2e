#include <ragwortrelay/membership/storedform.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdio>

namespace RagwortRelay::Membership {

namespace {

using Json = nlohmann::json;

Json encodeKey(const SeatKey &key)
{
    return Json::array({key.m_host.text(), key.m_incarnation});
}

SeatKey decodeKey(const Json &json)
{
    return {HostId(json.at(0).get<std::string>()), json.at(1).get<Incarnation>()};
}

Json encodeSeat(const Seat &seat)
{
    return Json::array({seat.m_key.m_host.text(), seat.m_key.m_incarnation, seat.m_domain.text(), seat.m_address, seat.m_nonce});
}

Seat decodeSeat(const Json &json)
{
    return {decodeKey(json), FailureDomainId(json.at(2).get<std::string>()), json.at(3).get<std::string>(), json.at(4).get<std::uint64_t>()};
}

/// Holders grouped by seat: each seat's key followed by its shards.
Json encodeHolders(const std::map<ShardId, SeatKey> &holders)
{
    std::map<SeatKey, std::vector<ShardId>> shards;
    for (const auto &[shard, key] : holders) {
        shards[key].push_back(shard);
    }
    Json json = Json::array();
    for (const auto &[key, held] : shards) {
        json.push_back({{"seat", encodeKey(key)}, {"shards", held}});
    }
    return json;
}

std::map<ShardId, SeatKey> decodeHolders(const Json &json)
{
    std::map<ShardId, SeatKey> holders;
    for (const Json &group : json) {
        const SeatKey key = decodeKey(group.at("seat"));
        for (const Json &shard : group.at("shards")) {
            holders.insert_or_assign(shard.get<ShardId>(), key);
        }
    }
    return holders;
}

std::vector<Seat> decodeSeats(const Json &json)
{
    std::vector<Seat> seats;
    for (const Json &seat : json) {
        seats.push_back(decodeSeat(seat));
    }
    return seats;
}

/// Decodes with `read`, which may throw.
template<typename Value, typename Read> tl::expected<Value, Error> decodeWith(const std::string &body, const char *what, Read read)
{
    try {
        return read(Json::parse(body));
    } catch (const std::exception &exception) {
        return tl::unexpected(Error{ErrorId::PlatformBadAnswer, std::string("unreadable ") + what + ": " + exception.what()});
    }
}

Platform::ItemKey logKey(std::uint64_t version)
{
    char text[32];
    std::snprintf(text, sizeof text, "log/%020llu", static_cast<unsigned long long>(version));
    return {RosterPartition, text};
}

void addSnapshot(Platform::Transact &transact, const Roster &next)
{
    const std::uint64_t version = next.m_version;
    const std::uint64_t previous = version - SnapshotInterval;
    transact.m_writes.push_back({Platform::WriteKind::Put, snapshotKey(), previous, version, encodeRoster(next)});
    for (std::uint64_t old = previous < SnapshotInterval ? previous : previous - SnapshotInterval; old < previous; ++old) {
        transact.m_writes.push_back({Platform::WriteKind::Erase, logKey(old + 1), 1, 0, ""});
    }
}

}

Platform::ItemKey snapshotKey()
{
    return {RosterPartition, "snapshot"};
}

Platform::ItemKey confirmationKey(const SeatKey &key)
{
    return {ConfirmationPartition, "seat/" + key.m_host.text() + '/' + std::to_string(key.m_incarnation)};
}

std::optional<SeatKey> seatFrom(const std::string &sort)
{
    constexpr std::string_view Prefix = "seat/";
    const std::size_t slash = sort.rfind('/');
    if (!sort.starts_with(Prefix) || slash < Prefix.size()) {
        return std::nullopt;
    }
    SeatKey key{HostId(sort.substr(Prefix.size(), slash - Prefix.size())), 0};
    const char *end = sort.data() + sort.size();
    const auto [rest, error] = std::from_chars(sort.data() + slash + 1, end, key.m_incarnation);
    return error == std::errc() && rest == end ? std::optional(key) : std::nullopt;
}

Platform::QueryItems rosterChangesAfter(std::uint64_t version)
{
    Platform::QueryItems query;
    query.m_partition = RosterPartition;
    query.m_afterSort = logKey(version).m_sort;
    query.m_belowSort = "log/~";
    return query;
}

Platform::Transact appendTransaction(const RosterChange &change, const Roster &next)
{
    Platform::Transact transact;
    transact.m_writes.push_back({Platform::WriteKind::Put, {RosterPartition, "head"}, change.m_version - 1, change.m_version, ""});
    transact.m_writes.push_back({Platform::WriteKind::Put, logKey(change.m_version), 0, 1, encodeChange(change)});
    if (change.m_version % SnapshotInterval == 0) {
        addSnapshot(transact, next);
    }
    return transact;
}

Platform::Write confirmationWrite(const SeatKey &key, const Confirmation &confirmation, std::uint64_t version)
{
    return {Platform::WriteKind::Put, confirmationKey(key), version, version + 1, encodeConfirmation(confirmation)};
}

std::string encodeRoster(const Roster &roster)
{
    Json seats = Json::array();
    for (const auto &[key, seat] : roster.m_seats) {
        seats.push_back(encodeSeat(seat));
    }
    return Json{{"version", roster.m_version}, {"seats", seats}, {"holders", encodeHolders(roster.m_holders)}}.dump();
}

tl::expected<Roster, Error> decodeRoster(const std::string &body)
{
    return decodeWith<Roster>(body, "roster", [](const Json &json) {
        Roster roster;
        roster.m_version = json.at("version").get<std::uint64_t>();
        for (const Seat &seat : decodeSeats(json.at("seats"))) {
            roster.m_seats.emplace(seat.m_key, seat);
        }
        roster.m_holders = decodeHolders(json.at("holders"));
        return roster;
    });
}

std::string encodeChange(const RosterChange &change)
{
    Json removed = Json::array();
    for (const SeatKey &key : change.m_removed) {
        removed.push_back(encodeKey(key));
    }
    Json joined = Json::array();
    for (const Seat &seat : change.m_joined) {
        joined.push_back(encodeSeat(seat));
    }
    return Json{{"version", change.m_version}, {"removed", removed}, {"joined", joined}, {"assigned", encodeHolders(change.m_assigned)}}.dump();
}

tl::expected<RosterChange, Error> decodeChange(const std::string &body)
{
    return decodeWith<RosterChange>(body, "change of the roster", [](const Json &json) {
        RosterChange change;
        change.m_version = json.at("version").get<std::uint64_t>();
        for (const Json &key : json.at("removed")) {
            change.m_removed.push_back(decodeKey(key));
        }
        change.m_joined = decodeSeats(json.at("joined"));
        change.m_assigned = decodeHolders(json.at("assigned"));
        return change;
    });
}

std::string encodeConfirmation(const Confirmation &confirmation)
{
    return Json{{"configuration", confirmation.m_configurationVersion}, {"listed-as", confirmation.m_listedAs}}.dump();
}

tl::expected<Confirmation, Error> decodeConfirmation(const std::string &body)
{
    return decodeWith<Confirmation>(body, "confirmation", [](const Json &json) {
        return Confirmation{json.at("configuration").get<std::uint64_t>(), json.at("listed-as").get<std::string>()};
    });
}

}
