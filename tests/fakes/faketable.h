#pragma once

#include <ragwortrelay/platform/table.h>

#include <cstdint>
#include <map>
#include <string>

namespace RagwortRelay::Fakes {

/// Platform in memory: the plain meaning of each call, without faults.
struct FakePlatform {
    std::map<Platform::ItemKey, Platform::Item> m_items;
    std::map<std::string, std::string> m_objects;
    std::vector<Platform::Target> m_targets;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

inline Platform::Result applyTo(FakePlatform &platform, const Platform::GetItem &get)
{
    ++platform.m_reads;
    const auto item = platform.m_items.find(get.m_key);
    return item == platform.m_items.end() ? Platform::ItemRead{} : Platform::ItemRead{item->second};
}

inline Platform::Result applyTo(FakePlatform &platform, const Platform::QueryItems &query)
{
    ++platform.m_reads;
    Platform::ItemsRead read;
    for (auto item = platform.m_items.upper_bound({query.m_partition, query.m_afterSort}); item != platform.m_items.end(); ++item) {
        const bool isBelow = query.m_belowSort.empty() || item->first.m_sort < query.m_belowSort;
        if (item->first.m_partition != query.m_partition || !isBelow) {
            break;
        }
        if (read.m_items.size() == query.m_limit) {
            read.m_more = true;
            break;
        }
        read.m_items.push_back(item->second);
    }
    return read;
}

inline Platform::Result applyTo(FakePlatform &platform, const Platform::Transact &transact)
{
    ++platform.m_writes;
    Platform::Refused refused;
    for (std::size_t i = 0; i < transact.m_writes.size(); ++i) {
        const auto item = platform.m_items.find(transact.m_writes[i].m_key);
        const std::uint64_t version = item == platform.m_items.end() ? 0 : item->second.m_version;
        if (version != transact.m_writes[i].m_expectedVersion) {
            refused.m_failedWrites.push_back(i);
        }
    }
    if (!refused.m_failedWrites.empty()) {
        return refused;
    }
    for (const Platform::Write &write : transact.m_writes) {
        if (write.m_kind == Platform::WriteKind::Put) {
            platform.m_items[write.m_key] = {write.m_key, write.m_version, write.m_body};
        } else if (write.m_kind == Platform::WriteKind::Erase) {
            platform.m_items.erase(write.m_key);
        }
    }
    return Platform::Written{};
}

inline Platform::Result applyTo(FakePlatform &platform, const Platform::GetObject &get)
{
    const auto object = platform.m_objects.find(get.m_name);
    return object == platform.m_objects.end() ? Platform::ObjectRead{} : Platform::ObjectRead{object->second};
}

inline Platform::Result applyTo(FakePlatform &platform, const Platform::PutObject &put)
{
    platform.m_objects[put.m_name] = put.m_content;
    return Platform::Written{};
}

inline Platform::Result applyTo(FakePlatform &platform, const Platform::ListTargets & /*list*/)
{
    return Platform::TargetsRead{platform.m_targets};
}

/// Does a call at once.
inline Platform::Result apply(FakePlatform &platform, const Platform::Call &call)
{
    return std::visit([&platform](const auto &typed) { return applyTo(platform, typed); }, call);
}

}
