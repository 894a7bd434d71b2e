#include <ragwortrelay/dispatch/claimexpiry.h>
#include <ragwortrelay/dispatch/claimrecord.h>

#include <cstdio>

namespace RagwortRelay::Dispatch {

Platform::ItemKey epochKey()
{
    return {"claim-epoch", "head"};
}

bool takeEpochRead(ClaimExpiry &expiry, const ClaimExpirySettings &settings, TimePoint now)
{
    constexpr Duration FirstReadInterval = std::chrono::seconds(1);
    const Duration interval = expiry.m_epoch == 0 ? FirstReadInterval : settings.m_epochReadInterval;
    if (expiry.m_readAt && now - *expiry.m_readAt < interval) {
        return false;
    }
    expiry.m_readAt = now;
    return true;
}

std::optional<Platform::Transact> noteEpoch(ClaimExpiry &expiry, const ClaimExpirySettings &settings, const Platform::ItemRead &read, TimePoint now)
{
    const std::uint64_t stored = read.m_item ? read.m_item->m_version : 0;
    if (stored > expiry.m_epoch) {
        expiry.m_epoch = stored;
        expiry.m_seenSince = now;
    }
    const bool isOver = expiry.m_epoch > 0 && now - expiry.m_seenSince >= settings.m_epochLength;
    if (stored != 0 && !isOver) {
        return std::nullopt;
    }
    Platform::Write write;
    write.m_key = epochKey();
    write.m_expectedVersion = stored;
    write.m_version = stored + 1;
    expiry.m_readAt.reset();
    return Platform::Transact{{write}};
}

std::optional<Platform::QueryItems> takeSweep(ClaimExpiry &expiry, const ClaimExpirySettings &settings, RandomGenerator &random, TimePoint now)
{
    if (expiry.m_epoch <= settings.m_epochsKept || now < expiry.m_sweepAt) {
        return std::nullopt;
    }
    // Hosts that started together must not sweep in step.
    expiry.m_sweepAt = now + settings.m_sweepInterval / 2 + Duration(drawBelow(random, static_cast<std::uint64_t>(settings.m_sweepInterval.count())));
    char start[32];
    std::snprintf(start, sizeof start, "%016llx", static_cast<unsigned long long>(random()));
    Platform::QueryItems query;
    query.m_partition = claimPartition(drawBelow(random, ClaimPartitions));
    query.m_afterSort = start;
    query.m_limit = settings.m_sweepPage;
    return query;
}

std::optional<Platform::Transact> eraseExpired(const ClaimExpiry &expiry, const ClaimExpirySettings &settings, const Platform::ItemsRead &page)
{
    Platform::Transact transact;
    for (const Platform::Item &item : page.m_items) {
        const auto record = decodeClaim(item.m_body);
        if (!record || record->m_epoch + settings.m_epochsKept >= expiry.m_epoch) {
            continue;
        }
        Platform::Write write;
        write.m_kind = Platform::WriteKind::Erase;
        write.m_key = item.m_key;
        write.m_expectedVersion = item.m_version;
        transact.m_writes.push_back(write);
    }
    if (transact.m_writes.empty()) {
        return std::nullopt;
    }
    return transact;
}

}
