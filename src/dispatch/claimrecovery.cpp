#include <ragwortrelay/dispatch/claimrecovery.h>

#include <algorithm>

namespace RagwortRelay::Dispatch {

namespace {

/// Decides on a claim whose row the store has. Returns whether it remains to be written.
/// @param giveUpAt time from which a claim that another attempt holds isn't tried again
bool comparePresentRow(PendingRecovery &pending, const Store::Row &row, Duration retryInterval, TimePoint giveUpAt, TimePoint now)
{
    const auto stored = decodeClaim(row.m_value);
    if (!stored) {
        return false; // The key counts as finished for all hosts.
    }
    const bool isOwn = stored->m_attempt == pending.m_record.m_attempt;
    const bool isUnfinished = isOwn && stored->m_state == ClaimState::Running && pending.m_record.m_state != ClaimState::Running;
    const bool isFree = !isOwn && stored->m_state == ClaimState::Released;
    if (isUnfinished || isFree) {
        pending.m_expected = row.m_version;
        return true;
    }
    pending.m_expected = 0;
    pending.m_nextAt = now + retryInterval;
    return !isOwn && stored->m_state == ClaimState::Running && now < giveUpAt;
}

const Store::Row *findRow(const Store::Conflict &conflict, const Store::RowKey &key)
{
    const auto row = std::ranges::find_if(conflict.m_rows, [&](const Store::Row &stored) { return stored.m_key == key && !stored.m_erased; });
    return row == conflict.m_rows.end() ? nullptr : &*row;
}

}

void rememberClaim(ClaimRecovery &recovery, const ClaimRecoverySettings &settings, const Store::RowKey &key, ClaimRecord record, TimePoint now)
{
    while (!recovery.m_order.empty() && (recovery.m_order.front().first <= now || recovery.m_order.size() >= settings.m_maxRemembered)) {
        const auto [until, oldest] = recovery.m_order.front();
        recovery.m_order.pop_front();
        const auto remembered = recovery.m_remembered.find(oldest);
        if (remembered != recovery.m_remembered.end() && remembered->second.m_until == until) { // It was not written again later.
            recovery.m_remembered.erase(remembered);
        }
    }
    record.m_response.reset();
    recovery.m_remembered[key] = {std::move(record), now + settings.m_memory};
    recovery.m_order.emplace_back(now + settings.m_memory, key);
}

void startRecovery(ClaimRecovery &recovery, TimePoint now)
{
    for (const auto &[key, remembered] : recovery.m_remembered) {
        recoverClaim(recovery, key, remembered.m_record);
    }
    recovery.m_isInGrace = true;
    recovery.m_respondingSince.reset();
    recovery.m_nextProbeAt = now;
}

void recordStoreCall(ClaimRecovery &recovery, bool hasFailed, TimePoint now)
{
    if (hasFailed) {
        recovery.m_respondingSince.reset();
    } else if (!recovery.m_respondingSince) {
        recovery.m_respondingSince = now;
    }
}

bool tickGrace(ClaimRecovery &recovery, const ClaimRecoverySettings &settings, TimePoint now)
{
    const bool hasElapsed = recovery.m_respondingSince && now >= *recovery.m_respondingSince + settings.m_grace;
    recovery.m_isInGrace = recovery.m_isInGrace && !hasElapsed;
    if (!recovery.m_isInGrace || now < recovery.m_nextProbeAt) {
        return false;
    }
    recovery.m_nextProbeAt = now + settings.m_probeInterval;
    return true;
}

void recoverClaim(ClaimRecovery &recovery, const Store::RowKey &key, ClaimRecord record)
{
    PendingRecovery &pending = recovery.m_pending[key];
    pending.m_record = std::move(record);
    pending.m_expected = 0;
    pending.m_nextAt = {};
}

std::optional<Store::Transaction> nextRecoveryWrite(ClaimRecovery &recovery, const ClaimRecoverySettings &settings, TimePoint now)
{
    if (recovery.m_isWriting) {
        return std::nullopt;
    }
    Store::Transaction transaction;
    for (auto &[key, pending] : recovery.m_pending) {
        if (now < pending.m_nextAt) {
            continue;
        }
        pending.m_isInFlight = true;
        transaction.m_expected.push_back({key, pending.m_expected});
        transaction.m_writes.push_back({key, encodeClaim(pending.m_record)});
        if (transaction.m_writes.size() >= settings.m_maxBatchWrites) {
            break;
        }
    }
    recovery.m_isWriting = !transaction.m_writes.empty();
    return recovery.m_isWriting ? std::optional(std::move(transaction)) : std::nullopt;
}

void onRecoveryWritten(
    ClaimRecovery &recovery, const ClaimRecoverySettings &settings, const Store::Result &result, Reporting::Counters &counters, TimePoint now)
{
    recovery.m_isWriting = false;
    const auto *conflict = std::get_if<Store::Conflict>(&result);
    const TimePoint giveUpAt =
        recovery.m_respondingSince.value_or(now) + settings.m_grace + settings.m_memory; // The other host may be gone, and its claim stays as it is.
    const bool isCommitted = std::holds_alternative<Store::Committed>(result);
    for (auto entry = recovery.m_pending.begin(); entry != recovery.m_pending.end();) {
        PendingRecovery &pending = entry->second;
        const bool wasInFlight = std::exchange(pending.m_isInFlight, false);
        bool remains = true;
        if (wasInFlight && isCommitted) {
            Reporting::count(counters, "claims_recovered");
            if (pending.m_record.m_state != ClaimState::Running) {
                rememberClaim(recovery, settings, entry->first, pending.m_record, now); // The store may be restored once more.
            }
            remains = false;
        } else if (wasInFlight && conflict == nullptr) {
            pending.m_nextAt = now + settings.m_retryInterval;
        } else if (wasInFlight) {
            const Store::Row *row = findRow(*conflict, entry->first);
            pending.m_expected = 0;
            remains = row == nullptr || comparePresentRow(pending, *row, settings.m_retryInterval, giveUpAt, now);
        }
        entry = remains ? std::next(entry) : recovery.m_pending.erase(entry);
    }
}

}
