#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>

namespace RagwortRelay::Host::detail {

namespace {

using Fleet::TableKind;
using Reporting::LogLine;
using Reporting::Severity;

/// Row of the hosts' table that holds the secret of the fleet; no host has this name.
constexpr const char *SecretRow = "_secret";

constexpr std::size_t SecretBytes = 32;

/// Pause after a try to register that was refused or not answered.
constexpr Duration RegisterPause = std::chrono::milliseconds(250);

/// A host that was not heard of for so long, and whose host record didn't change, is taken to be gone. By then its configuration is too old
/// for it to use its part of any limit.
constexpr Duration GoneAfter = std::chrono::seconds(10);

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

bool isRegistered(const State &state)
{
    const auto record = state.m_membership.find(state.m_settings.m_host);
    return record != state.m_membership.end() && record->second == ownRecord(state);
}

void registerSelf(State &state, TimePoint now, Actions &actions)
{
    Registration &registration = state.m_registration;
    const bool isKnown = tableOf(state, TableKind::Hosts).m_replica.m_confirmedAt.has_value();
    if (!isKnown || registration.m_isRunning || now < registration.m_nextAt || state.m_stopRequestedAt || isRegistered(state)) {
        return;
    }
    const std::string &name = state.m_settings.m_host.text();
    Store::Transaction transact;
    transact.m_expected.push_back({hostRecordKey(state, name), versionOf(state, name)});
    transact.m_writes.push_back({hostRecordKey(state, name), Fleet::encodeHostRecord(ownRecord(state))});
    if (state.m_settings.m_secret.empty() && versionOf(state, SecretRow) == 0) {
        transact.m_expected.push_back({hostRecordKey(state, SecretRow), 0});
        transact.m_writes.push_back({hostRecordKey(state, SecretRow), newSecret(state.m_random)});
    }
    registration.m_isRunning = true;
    startCall(state, {CallPurpose::Register, {}}, transact, actions);
}

/// Returns a host that is registered and gone, or nothing.
std::optional<HostId> goneHost(const State &state, TimePoint now)
{
    for (const auto &[host, record] : state.m_membership) {
        const auto contact = state.m_leadership.m_contacts.find(host);
        const bool wasHeard = contact != state.m_leadership.m_contacts.end() && now - contact->second.m_receivedAt < GoneAfter;
        if (!wasHeard && host != state.m_settings.m_host) {
            return host;
        }
    }
    return std::nullopt;
}

void unregisterGone(State &state, TimePoint now, Actions &actions)
{
    const bool isTime = Fleet::isLeader(state.m_leadership) && now - state.m_leadingSince >= GoneAfter && now >= state.m_unregisterAt;
    if (!isTime) {
        return;
    }
    state.m_unregisterAt = now + UnregisterInterval;
    const auto gone = goneHost(state, now);
    const bool leadsMost = 2 * Fleet::followersOf(state.m_leadership, now) >= state.m_membership.size();
    if (gone && leadsMost) {
        Store::Transaction transact;
        transact.m_expected.push_back({hostRecordKey(state, gone->text()), versionOf(state, gone->text())});
        transact.m_erased.push_back(hostRecordKey(state, gone->text()));
        log(actions, LogLine("host-gone").with("gone", gone->text()));
        startCall(state, {CallPurpose::Unregister, {}}, transact, actions);
    }
}

}

void tickRegistration(State &state, TimePoint now, Actions &actions)
{
    if (state.m_settings.m_peerAddress.empty()) {
        return;
    }
    registerSelf(state, now, actions);
    unregisterGone(state, now, actions);
}

void onRegistrationCompleted(State &state, CallPurpose purpose, const Store::Result &result, TimePoint now, Actions &actions)
{
    if (purpose != CallPurpose::Register) {
        return; // The table tells what became of it.
    }
    state.m_registration.m_isRunning = false;
    state.m_registration.m_nextAt = now + RegisterPause;
    if (std::holds_alternative<Store::Committed>(result)) {
        state.m_registration.m_nextAt = now + std::chrono::seconds(2); // Until the table shows the host record.
        log(actions, LogLine("registered").with("address", state.m_settings.m_peerAddress));
        return;
    }
    const auto *conflict = std::get_if<Store::Conflict>(&result);
    log(actions, LogLine("registration-failed", Severity::Warning).with("conflict", conflict != nullptr ? "yes" : "no"));
    if (conflict == nullptr) {
        return;
    }
    state.m_registration.m_nextAt = now;
    bool isNews = false;
    for (const Store::Row &row : conflict->m_rows) {
        isNews = Fleet::applyRow(tableOf(state, TableKind::Hosts).m_replica, row) || isNews;
    }
    if (isNews) {
        applyMembership(state, now, actions);
    }
}

void applyMembership(State &state, TimePoint now, Actions &actions)
{
    Fleet::Membership membership;
    for (const auto &[name, row] : tableOf(state, TableKind::Hosts).m_replica.m_rows) {
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
    if (membership != state.m_membership) {
        state.m_membership = std::move(membership);
        state.m_membershipChangedAt = now;
        Fleet::setMembership(state.m_leadership, state.m_membership, now);
        log(actions, LogLine("membership-changed").with("hosts", static_cast<std::int64_t>(state.m_membership.size())));
    }
}

}
