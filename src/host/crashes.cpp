#include <ragwortrelay/detail/host/handlers.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace RagwortRelay::Host::detail {

namespace {

using Dispatch::QuarantineVerdict;
using Fleet::CrashReport;
using Fleet::CrashReports;
using Reporting::LogLine;
using Scheduling::RecordedCrash;

/// Number of followers that hold a replica of what the leader knows: those that lead next if the leader is lost.
constexpr std::size_t SuccessorCount = 2;

/// Maximum number of crashes in one message, so that it fits into a datagram.
constexpr std::size_t MaxReports = 20;

/// Maximum number of crashes that a host remembers for its leader.
constexpr std::size_t MaxReplicated = 64;

/// Time for which a host reports all crashes that it knows to a new leader.
constexpr Duration HandoverTime = std::chrono::milliseconds(1500);

/// Age up to which each heartbeat repeats a crash, as the report of the attempt may have been lost.
constexpr Duration RepeatedAge = std::chrono::seconds(2);

CrashReport reportOf(const RecordedCrash &recorded, TimePoint now)
{
    const Dispatch::Crash &crash = recorded.m_crash;
    const auto &[host, number] = recorded.m_id;
    return {recorded.m_fingerprint, host, number, crash.m_server, crash.m_sign, crash.m_isDoubtful, now - crash.m_at, crash.m_at - crash.m_startedAt};
}

RecordedCrash recordedCrashOf(const CrashReport &report, TimePoint now)
{
    const TimePoint at = now - report.m_age;
    return {report.m_fingerprint, {report.m_host, report.m_number}, {report.m_server, at, at - report.m_elapsed, report.m_sign, report.m_isDoubtful}};
}

/// Returns the latest crashes that this host has recorded, those of requests with the most crashes first.
std::vector<RecordedCrash> recordedCrashes(const State &state)
{
    using Rank = std::tuple<std::size_t, TimePoint>;
    std::vector<std::pair<Rank, RecordedCrash>> ranked;
    for (const auto &[fingerprint, crashes] : state.m_scheduler.m_suspects.m_crashes) {
        for (const auto &[id, crash] : crashes) {
            ranked.push_back({{crashes.size(), crash.m_at}, {fingerprint, id, crash}});
        }
    }
    std::ranges::sort(ranked, std::greater(), [](const auto &entry) { return entry.first; });
    ranked.resize(std::min(ranked.size(), MaxReports));
    std::vector<RecordedCrash> recorded;
    for (auto &entry : ranked) {
        recorded.push_back(std::move(entry.second));
    }
    return recorded;
}

/// Returns the followers that come first in the ranking of leaders.
std::vector<HostId> successors(const State &state)
{
    std::vector<HostId> hosts;
    for (const HostId &host : state.m_leadership.m_ranking) {
        if (hosts.size() < SuccessorCount && state.m_leadership.m_followers.contains(host)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

void sendReports(State &state, const HostId &host, const std::vector<RecordedCrash> &crashes, bool isComplete, TimePoint now)
{
    CrashReports message;
    message.m_isComplete = isComplete;
    for (const RecordedCrash &crash : crashes) {
        message.m_reports.push_back(reportOf(crash, now));
    }
    sendTo(state, host, std::move(message));
}

/// Sends a possible successor what this host knows as the leader, also that it knows nothing any more.
void sendReplica(State &state, const HostId &host, TimePoint now)
{
    const std::vector<RecordedCrash> crashes = recordedCrashes(state);
    const bool isHolder = state.m_crashReplication.m_holders.contains(host);
    if (crashes.empty() && !isHolder) {
        return;
    }
    sendReports(state, host, crashes, true, now);
    if (crashes.empty()) {
        state.m_crashReplication.m_holders.erase(host);
    } else {
        state.m_crashReplication.m_holders.insert(host);
    }
}

/// Sends the leader the crashes that it may not know.
void sendToLeader(State &state, TimePoint now)
{
    const bool isHandover = now < state.m_crashReplication.m_followedSince + HandoverTime;
    std::vector<RecordedCrash> crashes = recordedCrashes(state);
    if (!isHandover) {
        std::erase_if(crashes, [&](const RecordedCrash &crash) { return crash.m_crash.m_at < now - RepeatedAge; });
    }
    if (!crashes.empty()) {
        sendReports(state, state.m_leadership.m_leader, crashes, false, now);
    }
    if (isHandover && !state.m_crashReplication.m_replicated.empty()) {
        sendReports(state, state.m_leadership.m_leader, state.m_crashReplication.m_replicated, false, now);
    }
}

QuarantineVerdict verdictOn(const State &state, Dispatch::Fingerprint fingerprint, TimePoint now)
{
    return Dispatch::quarantineVerdict(state.m_scheduler.m_suspects, state.m_settings.m_scheduling.m_suspects, fingerprint, now);
}

/// Sends all followers a heartbeat, which names the quarantined requests.
void sendHeartbeatToFollowers(State &state, TimePoint now)
{
    makeFollowerReports(state, now);
    for (const auto &[host, follower] : state.m_leadership.m_followers) {
        sendHeartbeat(state, {host, false}, now);
    }
}

/// Logs a crash with the verdict on its request.
void logNewCrash(const State &state, const RecordedCrash &crash, TimePoint now, Actions &actions)
{
    const Dispatch::CrashSuspects &suspects = state.m_scheduler.m_suspects;
    const auto crashes = suspects.m_crashes.find(crash.m_fingerprint);
    log(actions,
        LogLine("crash-recorded")
            .with("fingerprint", std::to_string(crash.m_fingerprint))
            .with("server", crash.m_crash.m_server.text())
            .with("sign", Dispatch::toString(crash.m_crash.m_sign))
            .with("by", crash.m_id.first.text())
            .with("placement", static_cast<std::int64_t>(crash.m_id.second))
            .with("age_us", (now - crash.m_crash.m_at).count())
            .with("crashes", crashes == suspects.m_crashes.end() ? 0 : static_cast<std::int64_t>(crashes->second.size()))
            .with("suspects", static_cast<std::int64_t>(suspects.m_crashes.size()))
            .with("candidates", static_cast<std::int64_t>(suspects.m_candidates.size()))
            .with("verdict", Dispatch::toString(verdictOn(state, crash.m_fingerprint, now))));
}

}

void propagateNewCrashes(State &state, TimePoint now, Actions &actions)
{
    const std::vector<RecordedCrash> crashes = Scheduling::takeNewCrashes(state.m_scheduler);
    if (crashes.empty()) {
        return;
    }
    for (const RecordedCrash &crash : crashes) {
        logNewCrash(state, crash, now, actions);
    }
    const bool isLeader = Fleet::isLeader(state.m_leadership);
    for (const HostId &host : isLeader ? successors(state) : std::vector{state.m_leadership.m_leader}) {
        sendReports(state, host, crashes, false, now);
    }
    const auto isQuarantined = [&](const RecordedCrash &crash) { return verdictOn(state, crash.m_fingerprint, now) == QuarantineVerdict::Quarantined; };
    if (isLeader && std::ranges::any_of(crashes, isQuarantined)) { // Hosts that lose the leader decide by what they know.
        sendHeartbeatToFollowers(state, now);
    }
}

void sendKnownCrashes(State &state, const HostId &host, TimePoint now)
{
    if (!Fleet::isLeader(state.m_leadership)) {
        if (host == state.m_leadership.m_leader) {
            sendToLeader(state, now);
        }
        return;
    }
    const std::vector<HostId> hosts = successors(state);
    if (std::ranges::find(hosts, host) != hosts.end()) {
        sendReplica(state, host, now);
    }
}

void onLeaderHeard(State &state, Fleet::Incarnation incarnation, TimePoint now)
{
    CrashReplication &replication = state.m_crashReplication;
    const HostId &leader = state.m_leadership.m_leader;
    if (replication.m_leader == leader && replication.m_leaderIncarnation == incarnation) {
        return;
    }
    replication.m_leader = leader;
    replication.m_leaderIncarnation = incarnation;
    replication.m_followedSince = now;
    sendToLeader(state, now);
}

void adoptReplicatedCrashes(State &state)
{
    CrashReplication &replication = state.m_crashReplication;
    for (const RecordedCrash &crash : replication.m_replicated) {
        Scheduling::recordCrash(state.m_scheduler, crash);
    }
    replication = {};
}

void onCrashReports(State &state, const HostId &from, const CrashReports &message, TimePoint now)
{
    std::vector<RecordedCrash> &replicated = state.m_crashReplication.m_replicated;
    if (message.m_isComplete && from == state.m_leadership.m_leader) {
        replicated.clear();
    }
    for (const CrashReport &report : message.m_reports) {
        const RecordedCrash crash = recordedCrashOf(report, now);
        if (Fleet::isLeader(state.m_leadership)) {
            Scheduling::recordCrash(state.m_scheduler, crash);
        } else if (replicated.size() < MaxReplicated) {
            replicated.push_back(crash);
        }
    }
}

}
