#include <ragwortrelay/dispatch/claimexpiry.h>
#include <ragwortrelay/dispatch/claimrecord.h>

#include <charconv>
#include <cstdio>

namespace RagwortRelay::Dispatch {

namespace {

/// Returns the epoch that a row holds; 0 when it holds none.
std::uint64_t epochIn(const std::optional<Store::Row> &row)
{
    std::uint64_t epoch = 0;
    if (row) {
        std::from_chars(row->m_value.data(), row->m_value.data() + row->m_value.size(), epoch);
    }
    return epoch;
}

}

Store::RowKey epochKey()
{
    return {ClaimTable, "epoch", "present"};
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

std::optional<Store::Transaction> noteEpoch(ClaimExpiry &expiry, const ClaimExpirySettings &settings, const std::optional<Store::Row> &row, TimePoint now)
{
    const std::uint64_t stored = epochIn(row);
    if (stored > expiry.m_epoch) {
        expiry.m_epoch = stored;
        expiry.m_seenSince = now;
    }
    const bool isOver = expiry.m_epoch > 0 && now - expiry.m_seenSince >= settings.m_epochLength;
    if (stored != 0 && !isOver) {
        return std::nullopt;
    }
    expiry.m_readAt.reset();
    return Store::Transaction{{{epochKey(), row ? row->m_version : 0}}, {{epochKey(), std::to_string(stored + 1)}}, {}};
}

std::optional<Store::ReadRows> takeSweep(ClaimExpiry &expiry, const ClaimExpirySettings &settings, RandomGenerator &random, TimePoint now)
{
    if (expiry.m_epoch <= settings.m_epochsKept || now < expiry.m_sweepAt) {
        return std::nullopt;
    }
    // Hosts that started together must not sweep in step.
    expiry.m_sweepAt = now + settings.m_sweepInterval / 2 + Duration(randomBelow(random, static_cast<std::uint64_t>(settings.m_sweepInterval.count())));
    char start[32];
    std::snprintf(start, sizeof start, "%016llx", static_cast<unsigned long long>(random()));
    return Store::ReadRows{ClaimTable, ClaimPart, start, {}, settings.m_sweepPage};
}

std::optional<Store::Transaction> eraseExpired(const ClaimExpiry &expiry, const ClaimExpirySettings &settings, const Store::RowsRead &page)
{
    Store::Transaction transact;
    for (const Store::Row &row : page.m_rows) {
        const auto record = decodeClaim(row.m_value);
        if (record && record->m_epoch + settings.m_epochsKept < expiry.m_epoch) {
            transact.m_expected.push_back({row.m_key, row.m_version});
            transact.m_erased.push_back(row.m_key);
        }
    }
    if (transact.m_erased.empty()) {
        return std::nullopt;
    }
    return transact;
}

}
