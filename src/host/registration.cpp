#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Fleet::TableKind;
using Reporting::LogLine;
using Reporting::Severity;

/// Row of the table of the hosts that holds the secret of the fleet; no host has this name.
constexpr const char *SecretRow = "_secret";

constexpr std::size_t SecretBytes = 32;

/// Backoff after a registration that was refused or not answered.
constexpr Duration RegisterBackoff = std::chrono::milliseconds(250);

/// Time without a heartbeat after which a host whose record hasn't changed is considered gone. By then its configuration is too old for it to
/// use its share of any limit.
constexpr Duration GoneTimeout = std::chrono::seconds(10);

constexpr Duration UnregisterInterval = std::chrono::seconds(1);

Fleet::HostRecord ownRecord(const State &state)
{
    const HostSettings &settings = state.m_settings;
    return {settings.m_host, settings.m_peerAddress, settings.m_domain, state.m_incarnation, settings.m_capacity};
}

std::string newSecret(RandomGenerator &random)
{
    std::string secret;
    for (std::size_t i = 0; i < SecretBytes; ++i) {
        secret += static_cast<char>(randomBelow(random, 256));
    }
    return secret;
}

Store::RowKey hostRecordKey(const State &state, const std::string &name)
{
    return {state.m_source.m_hostTable, {}, name};
}

Store::Version versionOf(const State &state, const std::string &name)
{
    const auto &rows = tableOf(state, TableKind::Hosts).m_replica.m_rows;
    const auto row = rows.find(name);
    return row == rows.end() || row->second.m_erased ? 0 : row->second.m_version;
}

/// Returns whether the store has the present record of this host. The membership may have it although the store has lost it.
bool isRegistered(State &state)
{
    const auto &rows = tableOf(state, TableKind::Hosts).m_replica.m_rows;
    const auto row = rows.find(state.m_settings.m_host.text());
    if (row == rows.end() || row->second.m_erased) {
        return false;
    }
    Registration &registration = state.m_registration;
    if (registration.m_recordVersion != row->second.m_version) { // Decoded once for each version: this is asked at each event.
        const auto record = Fleet::decodeHostRecord(state.m_settings.m_host, row->second.m_value);
        registration.m_recordVersion = row->second.m_version;
        registration.m_record = record ? std::optional(*record) : std::nullopt;
    }
    return registration.m_record == ownRecord(state);
}

/// Returns whether this host has the table of the hosts as of the latest era. Versions of an earlier one may stand for other rows.
bool isTableOfStoreEra(const State &state)
{
    return isOfStoreEra(state, tableOf(state, TableKind::Hosts).m_replica.m_version);
}

void registerSelf(State &state, TimePoint now, Actions &actions)
{
    Registration &registration = state.m_registration;
    const bool isTableRead = tableOf(state, TableKind::Hosts).m_replica.m_confirmedAt.has_value() && isTableOfStoreEra(state);
    if (!isTableRead || registration.m_isRunning || now < registration.m_nextAt || state.m_stopRequestedAt || isRegistered(state)) {
        return;
    }
    const std::string &name = state.m_settings.m_host.text();
    Store::Transaction transaction;
    transaction.m_expected.push_back({hostRecordKey(state, name), versionOf(state, name)});
    transaction.m_writes.push_back({hostRecordKey(state, name), Fleet::encodeHostRecord(ownRecord(state))});
    if (state.m_settings.m_secret.empty() && versionOf(state, SecretRow) == 0) {
        transaction.m_expected.push_back({hostRecordKey(state, SecretRow), 0});
        // A host that knows the secret writes the same one again after the store has lost it, so that hosts go on understanding each other.
        const std::string secret = state.m_secret.empty() ? newSecret(state.m_random) : state.m_secret;
        transaction.m_writes.push_back({hostRecordKey(state, SecretRow), secret});
    }
    registration.m_isRunning = true;
    startCall(state, {CallPurpose::Register, {}}, transaction, actions);
}

/// Returns a registered host that is gone, or nothing.
std::optional<HostId> findGoneHost(const State &state, TimePoint now)
{
    for (const auto &[host, record] : state.m_membership) {
        const auto contact = state.m_leadership.m_contacts.find(host);
        const bool isInContact = contact != state.m_leadership.m_contacts.end() && now - contact->second.m_receivedAt < GoneTimeout;
        const bool hasRecord = versionOf(state, host.text()) > 0;
        if (!isInContact && hasRecord && host != state.m_settings.m_host) {
            return host;
        }
    }
    return std::nullopt;
}

void unregisterGoneHost(State &state, TimePoint now, Actions &actions)
{
    const bool isDue =
        Fleet::isLeader(state.m_leadership) && now - state.m_leadingSince >= GoneTimeout && now >= state.m_unregisterAt && isTableOfStoreEra(state);
    if (!isDue) {
        return;
    }
    state.m_unregisterAt = now + UnregisterInterval;
    const auto gone = findGoneHost(state, now);
    const bool leadsMajority = 2 * Fleet::followersOf(state.m_leadership, now) >= state.m_membership.size();
    if (gone && leadsMajority) {
        Store::Transaction transaction;
        transaction.m_expected.push_back({hostRecordKey(state, gone->text()), versionOf(state, gone->text())});
        transaction.m_erased.push_back(hostRecordKey(state, gone->text()));
        log(actions, LogLine("host-gone").with("gone", gone->text()));
        startCall(state, {CallPurpose::Unregister, {}}, transaction, actions);
    }
}

}

void tickRegistration(State &state, TimePoint now, Actions &actions)
{
    if (state.m_settings.m_peerAddress.empty()) {
        return;
    }
    if (!state.m_unconfirmedMembers.empty() && now >= state.m_unconfirmedUntil) {
        state.m_unconfirmedMembers.clear();
        applyMembership(state, now, actions);
    }
    registerSelf(state, now, actions);
    unregisterGoneHost(state, now, actions);
}

void onRegistrationCompleted(State &state, CallPurpose purpose, const Store::Result &result, TimePoint now, Actions &actions)
{
    if (purpose != CallPurpose::Register) {
        return; // The watched table shows the result.
    }
    state.m_registration.m_isRunning = false;
    state.m_registration.m_nextAt = now + RegisterBackoff;
    if (std::holds_alternative<Store::Committed>(result)) {
        state.m_registration.m_nextAt = now + std::chrono::seconds(2); // Leaves time for the record to show in the watched table.
        log(actions, LogLine("registered").with("address", state.m_settings.m_peerAddress));
        return;
    }
    const auto *conflict = std::get_if<Store::Conflict>(&result);
    log(actions, LogLine("registration-failed", Severity::Warning).with("conflict", conflict != nullptr ? "yes" : "no"));
    if (conflict == nullptr) {
        return;
    }
    if (!isTableOfStoreEra(state)) {
        return; // The rows of the conflict are of an era of which the table has yet to be read.
    }
    state.m_registration.m_nextAt = now;
    bool isChanged = false;
    for (const Store::Row &row : conflict->m_rows) {
        isChanged = Fleet::applyRow(tableOf(state, TableKind::Hosts).m_replica, row) || isChanged;
    }
    if (isChanged) {
        applyMembership(state, now, actions);
    }
}

void applyMembership(State &state, TimePoint now, Actions &actions)
{
    Fleet::TableReplica &table = tableOf(state, TableKind::Hosts).m_replica;
    Fleet::takeChanges(table); // The membership is made of all rows.
    Fleet::Membership membership;
    for (const auto &[name, row] : table.m_rows) {
        if (row.m_erased) {
            continue;
        }
        if (name == SecretRow) {
            if (state.m_settings.m_secret.empty() && row.m_value != state.m_secret) {
                state.m_secret = row.m_value;
                actions.emplace_back(SetPeerSecret{state.m_secret});
            }
            continue;
        }
        const auto record = Fleet::decodeHostRecord(HostId(name), row.m_value);
        if (record) {
            membership.emplace(record->m_host, *record);
        } else {
            log(actions, LogLine("host-record-unreadable", Severity::Warning).with("record", name).with("detail", record.error().m_message));
        }
    }
    if (now < state.m_unconfirmedUntil) {
        membership.insert(state.m_unconfirmedMembers.begin(), state.m_unconfirmedMembers.end());
    }
    if (membership != state.m_membership) {
        state.m_membership = std::move(membership);
        state.m_membershipChangedAt = now;
        Fleet::setMembership(state.m_leadership, state.m_membership, now);
        log(actions, LogLine("membership-changed").with("hosts", static_cast<std::int64_t>(state.m_membership.size())));
    }
}

}
