#include <ragwortrelay/dispatch/claimexpiry.h>
#include <ragwortrelay/dispatch/claimrecord.h>

#include <charconv>
#include <cstdio>

namespace RagwortRelay::Dispatch {

namespace {

/// Returns the epoch stored in a row; 0 if there is no row or its value is not a number.
std::uint64_t parseEpoch(const std::optional<Store::Row> &row)
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

bool beginEpochRead(ClaimExpiry &expiry, const ClaimExpirySettings &settings, TimePoint now)
{
    constexpr Duration InitialReadInterval = std::chrono::seconds(1);
    const Duration interval = expiry.m_epoch == 0 ? InitialReadInterval : settings.m_epochReadInterval;
    if (expiry.m_lastReadAt && now - *expiry.m_lastReadAt < interval) {
        return false;
    }
    expiry.m_lastReadAt = now;
    return true;
}

std::optional<Store::Transaction> onEpochRead(ClaimExpiry &expiry, const ClaimExpirySettings &settings, const std::optional<Store::Row> &row, TimePoint now)
{
    const std::uint64_t stored = parseEpoch(row);
    if (stored > expiry.m_epoch) {
        expiry.m_epoch = stored;
        expiry.m_firstSeenAt = now;
    }
    const bool hasEnded = expiry.m_epoch > 0 && now - expiry.m_firstSeenAt >= settings.m_epochLength;
    if (stored != 0 && !hasEnded) {
        return std::nullopt;
    }
    expiry.m_lastReadAt.reset();
    return Store::Transaction{{{epochKey(), row ? row->m_version : 0}}, {{epochKey(), std::to_string(stored + 1)}}, {}};
}

std::optional<Store::ReadRows> beginSweep(ClaimExpiry &expiry, const ClaimExpirySettings &settings, RandomGenerator &random, TimePoint now)
{
    if (expiry.m_epoch <= settings.m_retainedEpochs || now < expiry.m_nextSweepAt) {
        return std::nullopt;
    }
    // The random part of the interval keeps hosts that started together from sweeping at the same time.
    expiry.m_nextSweepAt = now + settings.m_sweepInterval / 2 + Duration(randomBelow(random, static_cast<std::uint64_t>(settings.m_sweepInterval.count())));
    char start[32];
    std::snprintf(start, sizeof start, "%016llx", static_cast<unsigned long long>(random()));
    return Store::ReadRows{ClaimTable, ClaimPart, start, {}, settings.m_sweepPageRows};
}

std::optional<Store::Transaction> eraseExpired(const ClaimExpiry &expiry, const ClaimExpirySettings &settings, const Store::RowsRead &page)
{
    Store::Transaction transaction;
    for (const Store::Row &row : page.m_rows) {
        const auto record = decodeClaim(row.m_value);
        if (record && record->m_epoch + settings.m_retainedEpochs < expiry.m_epoch) {
            transaction.m_expected.push_back({row.m_key, row.m_version});
            transaction.m_erased.push_back(row.m_key);
        }
    }
    if (transaction.m_erased.empty()) {
        return std::nullopt;
    }
    return transaction;
}

}
