#include <ragwortrelay/health/decider.h>
#include <ragwortrelay/health/evidence.h>
#include <ragwortrelay/health/floor.h>

#include <algorithm>
#include <cmath>

namespace RagwortRelay::Health {

namespace {

constexpr Duration SumsHalfLife = std::chrono::seconds(20);
constexpr Duration OriginLifetime = std::chrono::seconds(30);
constexpr Duration UnreachableLifetime = std::chrono::seconds(5);
constexpr Duration DrainingLifetime = std::chrono::seconds(60);
constexpr Duration AdoptionTime = std::chrono::seconds(10); ///< After the begin of a term, for verdicts of the one before.
constexpr int ClockMarginPart = 30; ///< Of a lease that is left out, for clocks that run at different speeds.
constexpr Duration SupporterLifetime = std::chrono::minutes(10);
constexpr Duration WindowTime = std::chrono::milliseconds(500);
constexpr Duration LongestWindow = std::chrono::seconds(5); ///< When there is evidence on too few servers.
constexpr std::size_t ServersInWindow = 3; ///< With evidence, before they are compared.
constexpr std::size_t MostInWindow = 8192;
constexpr std::size_t MostOrigins = 512;
constexpr std::size_t MostAccusers = 64;
constexpr double MostThresholds = 2.0; ///< The suspicion grows no further than this many times its threshold.
constexpr double SuspectShare = 0.5; ///< Of the threshold, from which hosts are told to prefer other servers.

/// Medians over the servers of a service, which a server is compared with.
struct Peers {
    double m_failureRate = 0.0;
    double m_logTime = 0.0;
    double m_variance = 1.0;
    std::size_t m_timedServers = 0;
};

bool isBefore(TimePoint now, const std::optional<TimePoint> &end)
{
    return end.has_value() && now < *end;
}

double suspicionOf(const ServerRecord &record)
{
    return std::max(record.m_failureSuspicion, record.m_slownessSuspicion);
}

void fade(FadingSums &sums, TimePoint now)
{
    const auto age = static_cast<double>((now - sums.m_updatedAt).count());
    const double factor = std::exp2(-age / static_cast<double>(SumsHalfLife.count()));
    sums.m_runs *= factor;
    sums.m_failures *= factor;
    sums.m_timed *= factor;
    sums.m_logTimes *= factor;
    sums.m_squaredLogTimes *= factor;
    sums.m_updatedAt = now;
}

void addToSums(FadingSums &sums, const ServerEvidence &evidence)
{
    sums.m_runs += evidence.m_succeeded + evidence.m_failed;
    sums.m_failures += evidence.m_failed;
    sums.m_timed += evidence.m_timed;
    sums.m_logTimes += evidence.m_logTimes;
    sums.m_squaredLogTimes += evidence.m_squaredLogTimes;
}

/// Returns the middle value, of two the lower one; 0 for no values.
double lowerMedian(std::vector<double> values)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Returns the medians over servers with at least so many runs and timed answers.
Peers mediansOf(const std::vector<FadingSums> &servers, double leastRuns, double leastTimed)
{
    std::vector<double> rates;
    std::vector<double> times;
    std::vector<double> variances;
    for (const FadingSums &sums : servers) {
        if (sums.m_runs >= leastRuns) {
            rates.push_back(sums.m_failures / sums.m_runs);
        }
        if (sums.m_timed >= leastTimed) {
            const double mean = sums.m_logTimes / sums.m_timed;
            times.push_back(mean);
            variances.push_back(sums.m_squaredLogTimes / sums.m_timed - mean * mean);
        }
    }
    return {lowerMedian(rates), lowerMedian(times), lowerMedian(variances), times.size()};
}

/// Returns the higher of the medians of late and of those in the window itself.
Peers peersOf(const DecidingState &state)
{
    constexpr double LeastRuns = 2.0;
    constexpr double LeastTimed = 3.0;
    std::vector<FadingSums> ofLate;
    for (const auto &[id, record] : state.m_servers) {
        ofLate.push_back(record.m_sums);
    }
    std::map<ServerId, FadingSums> inWindow;
    for (const WindowEntry &entry : state.m_window) {
        addToSums(inWindow[entry.m_evidence.m_server], entry.m_evidence);
    }
    std::vector<FadingSums> ofWindow;
    for (const auto &[id, sums] : inWindow) {
        ofWindow.push_back(sums);
    }
    Peers peers = mediansOf(ofLate, LeastRuns, LeastTimed);
    const Peers now = mediansOf(ofWindow, 1.0, 1.0);
    peers.m_failureRate = std::max(peers.m_failureRate, now.m_failureRate);
    peers.m_logTime = now.m_timedServers > 0 ? std::max(peers.m_logTime, now.m_logTime) : peers.m_logTime;
    return peers;
}

FailureOrigin &originOf(std::map<std::uint32_t, FailureOrigin> &origins, std::uint32_t hash, TimePoint now)
{
    if (origins.size() >= MostOrigins) {
        std::erase_if(origins, [now](const auto &entry) { return now - entry.second.m_seenAt > OriginLifetime; });
    }
    if (origins.size() >= MostOrigins) {
        origins.erase(origins.begin());
    }
    FailureOrigin &origin = origins[hash];
    if (now - origin.m_seenAt > OriginLifetime) {
        origin = {};
    }
    origin.m_seenAt = now;
    return origin;
}

/// Tells whether a failure is bound to the request: that failed elsewhere too, or has been counted at this server.
bool isBoundToRequest(DecidingState &state, const ServerId &server, const FailureSample &sample, TimePoint now)
{
    FailureOrigin &origin = originOf(state.m_requests, sample.m_request, now);
    origin.m_succeededElsewhere = origin.m_succeededElsewhere || sample.m_succeededElsewhere;
    const bool isRepeated = !origin.m_servers.insert(server).second;
    return !origin.m_succeededElsewhere && (isRepeated || origin.m_servers.size() > 1);
}

/// Tells whether a failure is bound to the workspace: that fails at many servers, and alone at this one.
bool isBoundToWorkspace(DecidingState &state, ServerRecord &record, const ServerId &server, const FailureSample &sample, TimePoint now)
{
    constexpr std::size_t MostWorkspaces = 8;
    constexpr std::size_t ServersPerBad = 3; ///< Of so many servers one fails, when the workspace is to blame.
    FailureOrigin &origin = originOf(state.m_workspaces, sample.m_workspace, now);
    origin.m_servers.insert(server);
    if (record.m_failingWorkspaces.size() < MostWorkspaces) {
        record.m_failingWorkspaces.insert(sample.m_workspace);
    }
    const bool failsAlone = record.m_failingWorkspaces.size() == 1;
    const bool failsWidely = origin.m_servers.size() > 1 && origin.m_servers.size() * ServersPerBad > state.m_servers.size();
    return failsAlone && failsWidely && !sample.m_succeededElsewhere;
}

/// Returns how many failures are the server's own.
double ownFailures(DecidingState &state, ServerRecord &record, const ServerEvidence &evidence, TimePoint now)
{
    const double unreachable = std::min(evidence.m_unreachable, evidence.m_failed);
    const double others = evidence.m_failed - unreachable;
    if (evidence.m_samples.empty()) {
        return evidence.m_failed;
    }
    double own = 0.0;
    for (const FailureSample &sample : evidence.m_samples) {
        const bool boundToRequest = isBoundToRequest(state, evidence.m_server, sample, now);
        const bool boundToWorkspace = isBoundToWorkspace(state, record, evidence.m_server, sample, now);
        own += boundToRequest || boundToWorkspace ? 0.0 : 1.0;
    }
    return unreachable + others * own / static_cast<double>(evidence.m_samples.size());
}

double failureChange(const HealthSettings &settings, const Peers &peers, double failed, double succeeded)
{
    constexpr double LeastContrast = 2.0;
    const double usualRate = std::max(settings.m_usualFailureRate, peers.m_failureRate);
    if (usualRate * LeastContrast > settings.m_sickFailureRate) {
        return 0.0; // The service fails as a whole.
    }
    return failureEvidence(failed, succeeded, usualRate, settings.m_sickFailureRate);
}

/// Returns the log-likelihood ratio of a shift of the mean logarithm against no shift, for normal variates.
double slownessChange(const HealthSettings &settings, const Peers &peers, const ServerEvidence &evidence)
{
    constexpr double LeastVariance = 0.5;
    constexpr double MostVariance = 4.0;
    constexpr double MostShifts = 1.5; ///< A few very late answers count no more than this many shifts.
    if (evidence.m_timed == 0 || peers.m_timedServers < 2) {
        return 0.0;
    }
    const double shift = std::log2(settings.m_slowFactor);
    const double variance = std::clamp(peers.m_variance, LeastVariance, MostVariance);
    const double distance = std::min(evidence.m_logTimes / evidence.m_timed - peers.m_logTime, MostShifts * shift);
    return evidence.m_timed * (shift / variance) * (distance - shift / 2.0);
}

void clearSuspicion(ServerRecord &record)
{
    record.m_failureSuspicion = 0.0;
    record.m_slownessSuspicion = 0.0;
    record.m_accusers.clear();
    record.m_failingWorkspaces.clear();
}

void accuse(ServerRecord &record, const HostId &from, double amount)
{
    if (amount > 0.0 && (record.m_accusers.contains(from) || record.m_accusers.size() < MostAccusers)) {
        record.m_accusers[from] += amount;
    }
}

void weighInUse(ServerRecord &record, const HealthSettings &settings, const HostId &from, double failureChange, double slownessChange)
{
    const double most = MostThresholds * settings.m_ejectionThreshold;
    record.m_failureSuspicion = std::clamp(record.m_failureSuspicion + failureChange, 0.0, most);
    record.m_slownessSuspicion = std::clamp(record.m_slownessSuspicion + slownessChange, 0.0, most);
    if (suspicionOf(record) == 0.0) {
        clearSuspicion(record);
        return;
    }
    accuse(record, from, std::max(failureChange, 0.0) + std::max(slownessChange, 0.0));
}

void eject(ServerRecord &record, TimePoint now)
{
    record.m_state = ServerState::Ejected;
    record.m_since = now;
    ++record.m_ejections;
    clearSuspicion(record);
}

/// Weighs the outcomes of trial requests.
void weighTrial(ServerRecord &record, const ServerEvidence &evidence, double slownessChange, TimePoint now)
{
    if (evidence.m_failed > 0 || slownessChange > 0.0) {
        return eject(record, now);
    }
    record.m_trialSuccesses += evidence.m_succeeded;
}

void noteReachability(ServerRecord &record, const HealthSettings &settings, const HostId &from, const ServerEvidence &evidence, TimePoint now)
{
    if (evidence.m_succeeded > 0) {
        if (record.m_unreachableFrom.size() > 1) {
            record.m_coldUntil = now + settings.m_coldTime;
        }
        record.m_unreachableFrom.clear();
    } else if (evidence.m_unreachable > 0 && record.m_unreachableFrom.size() < MostAccusers) {
        record.m_unreachableFrom[from] = now;
    }
    if (evidence.m_draining) {
        record.m_drainingUntil = now + DrainingLifetime;
    }
}

void takeServerEvidence(DecidingState &state, const HealthSettings &settings, const HostId &from, const ServerEvidence &evidence, TimePoint now)
{
    ServerRecord &record = state.m_servers[evidence.m_server];
    noteReachability(record, settings, from, evidence, now);
    if (state.m_window.size() >= MostInWindow) {
        return;
    }
    if (state.m_window.empty()) {
        state.m_windowSince = now;
    }
    WindowEntry entry{from, evidence, ownFailures(state, record, evidence, now)};
    entry.m_evidence.m_samples.clear();
    state.m_window.push_back(std::move(entry));
}

/// Weighs one entry of the window; returns whether the state of its server has changed.
bool weigh(DecidingState &state, const HealthSettings &settings, const Peers &peers, const WindowEntry &entry, TimePoint now)
{
    ServerRecord &record = state.m_servers[entry.m_evidence.m_server];
    const double slowness = isBefore(now, record.m_coldUntil) ? 0.0 : slownessChange(settings, peers, entry.m_evidence);
    switch (record.m_state) {
    case ServerState::InUse:
        fade(record.m_sums, now);
        addToSums(record.m_sums, entry.m_evidence);
        weighInUse(record, settings, entry.m_from, failureChange(settings, peers, entry.m_ownFailures, entry.m_evidence.m_succeeded), slowness);
        return false;
    case ServerState::Trial:
        weighTrial(record, entry.m_evidence, slowness, now);
        return record.m_state != ServerState::Trial;
    case ServerState::Ejected:
        return false; // Of requests that were sent before.
    }
    return false;
}

/// Weighs the evidence of the window once there is enough to compare servers; returns whether the state of one has changed.
bool weighWindow(DecidingState &state, const HealthSettings &settings, const ServiceView &view, TimePoint now)
{
    std::set<ServerId> servers;
    for (const WindowEntry &entry : state.m_window) {
        servers.insert(entry.m_evidence.m_server);
    }
    const Duration age = now - state.m_windowSince;
    const bool hasEnough = servers.size() >= std::min(ServersInWindow, view.m_servers.size());
    if (state.m_window.empty() || age < WindowTime || (!hasEnough && age < LongestWindow)) {
        return false;
    }
    const Peers peers = peersOf(state);
    bool changed = false;
    for (const WindowEntry &entry : state.m_window) {
        changed = weigh(state, settings, peers, entry, now) || changed;
    }
    state.m_window.clear();
    return changed;
}

/// Takes over the ejections of the deciding host before this one, as if their evidence had come again.
void adoptHeld(DecidingState &state, const HealthSettings &settings, const HostId &from, const ServiceEvidence &evidence, TimePoint now)
{
    if (now - state.m_startedAt > AdoptionTime) {
        return;
    }
    for (const ServerVerdict &held : evidence.m_held) {
        ServerRecord &record = state.m_servers[held.m_server];
        const bool isEjection = held.m_verdict == Verdict::Ejected || held.m_verdict == Verdict::Trial;
        if (isEjection && record.m_state == ServerState::InUse && !record.m_accusers.contains(from)) {
            record.m_failureSuspicion = settings.m_ejectionThreshold;
            record.m_ejections = std::max(record.m_ejections, held.m_ejections > 0 ? held.m_ejections - 1 : 0);
            accuse(record, from, settings.m_ejectionThreshold / 2.0);
        }
    }
}

bool isUnreachable(const DecidingState &state, const ServerRecord &record, TimePoint now)
{
    const auto count = std::count_if(
        record.m_unreachableFrom.begin(), record.m_unreachableFrom.end(), [now](const auto &entry) { return now - entry.second < UnreachableLifetime; });
    return static_cast<std::uint32_t>(count) >= std::min<std::uint32_t>(2, state.m_knownHosts);
}

/// Tells whether the suspicion stands without the host that adds most to it.
bool isCorroborated(const DecidingState &state, const HealthSettings &settings, const ServerRecord &record)
{
    constexpr double OthersShare = 0.3;
    if (state.m_knownHosts == 1) {
        return true;
    }
    double all = 0.0;
    double most = 0.0;
    for (const auto &[host, amount] : record.m_accusers) {
        all += amount;
        most = std::max(most, amount);
    }
    return all - most >= OthersShare * settings.m_ejectionThreshold;
}

bool isSick(const DecidingState &state, const HealthSettings &settings, const ServerRecord &record)
{
    const bool isInUse = record.m_state == ServerState::InUse;
    return isInUse && suspicionOf(record) >= settings.m_ejectionThreshold && isCorroborated(state, settings, record);
}

/// Which ejections the capacity is reckoned with.
enum class Ejections : std::uint8_t {
    Decided,
    MaybeInForce, ///< Those that were decided, and those that some host may still go by.
};

std::vector<ServerCapacity> capacitiesOf(DecidingState &state, const ServiceView &view, Ejections ejections, TimePoint now)
{
    std::vector<ServerCapacity> capacities;
    for (const ServerView &server : view.m_servers) {
        const ServerRecord &record = state.m_servers[server.m_server];
        const bool isAway = server.m_isLeaving || isBefore(now, record.m_drainingUntil) || isUnreachable(state, record, now);
        const bool isCold = server.m_isCold || isBefore(now, record.m_coldUntil);
        const bool isEjected = record.m_state != ServerState::InUse || (ejections == Ejections::MaybeInForce && now < record.m_maybeBarredUntil);
        capacities.push_back({server.m_server, server.m_capacity, isAway || isCold || isEjected});
    }
    return capacities;
}

/// Advances the states that change by time and by trial requests; returns whether one did.
bool advanceStates(DecidingState &state, const HealthSettings &settings, TimePoint now)
{
    bool changed = false;
    for (auto &[id, record] : state.m_servers) {
        if (record.m_state == ServerState::Ejected && now >= record.m_since + waitAfter(settings, record.m_ejections)) {
            record.m_state = ServerState::Trial;
            record.m_since = now;
            record.m_trialSuccesses = 0;
            changed = true;
        } else if (record.m_state == ServerState::Trial && record.m_trialSuccesses >= settings.m_trickleSuccesses) {
            record.m_state = ServerState::InUse;
            record.m_since = now;
            record.m_coldUntil = now + settings.m_coldTime;
            record.m_sums = {};
            changed = true;
        } else if (record.m_state == ServerState::InUse && now >= record.m_since + settings.m_forgetAfter) {
            record.m_ejections = 0;
        }
    }
    return changed;
}

/// Ends ejections when other servers went out, so that the floor holds again; the servers stay suspect.
bool withdrawBelowFloor(DecidingState &state, const HealthSettings &settings, const ServiceView &view, TimePoint now)
{
    bool changed = false;
    while (!isAboveFloor(capacitiesOf(state, view, Ejections::Decided, now), view.m_floor)) {
        const auto least = std::min_element(state.m_servers.begin(), state.m_servers.end(), [](const auto &left, const auto &right) {
            const auto rank = [](const ServerRecord &record) {
                return record.m_state == ServerState::InUse ? std::uint64_t{1} << 32U : std::uint64_t{record.m_ejections};
            };
            return rank(left.second) < rank(right.second);
        });
        if (least == state.m_servers.end() || least->second.m_state == ServerState::InUse) {
            return changed;
        }
        least->second.m_state = ServerState::InUse;
        least->second.m_since = now;
        least->second.m_failureSuspicion = settings.m_ejectionThreshold;
        changed = true;
    }
    return changed;
}

bool ejectSick(DecidingState &state, const HealthSettings &settings, const ServiceView &view, TimePoint now)
{
    std::vector<ServerId> sick;
    for (const auto &[id, record] : state.m_servers) {
        if (isSick(state, settings, record)) {
            sick.push_back(id);
        }
    }
    if (sick.empty() || !authorityUntil(state, now)) {
        return false;
    }
    std::stable_sort(sick.begin(), sick.end(), [&state](const ServerId &left, const ServerId &right) {
        return suspicionOf(state.m_servers.at(left)) > suspicionOf(state.m_servers.at(right));
    });
    std::vector<ServerCapacity> capacities = capacitiesOf(state, view, Ejections::MaybeInForce, now);
    const std::vector<ServerId> ejected = takeOutWithinFloor(capacities, view.m_floor, sick);
    for (const ServerId &id : ejected) {
        eject(state.m_servers.at(id), now);
    }
    return !ejected.empty();
}

/// Forgets hosts that are silent for long, and what they thought the fleet to be.
void forgetSupporters(DecidingState &state, TimePoint now)
{
    const std::size_t forgotten = std::erase_if(state.m_supporters, [now](const auto &entry) { return now - entry.second.m_heardAt > SupporterLifetime; });
    if (forgotten == 0) {
        return;
    }
    state.m_knownHosts = 1;
    for (const auto &[host, supporter] : state.m_supporters) {
        state.m_knownHosts = std::max(state.m_knownHosts, supporter.m_knownHosts);
    }
}

std::vector<HostId> observersOf(const DecidingState &state, TimePoint now)
{
    constexpr std::size_t MostObservers = 4;
    constexpr Duration Fresh = std::chrono::seconds(5);
    std::vector<HostId> observers;
    for (const auto &[host, supporter] : state.m_supporters) {
        if (supporter.m_hasTraffic && now - supporter.m_heardAt < Fresh && observers.size() < MostObservers) {
            observers.push_back(host);
        }
    }
    return observers;
}

std::optional<Verdict> verdictOf(const HealthSettings &settings, const ServerRecord &record, bool hasAuthority, TimePoint now)
{
    if (record.m_state != ServerState::InUse) {
        const Verdict barred = record.m_state == ServerState::Ejected ? Verdict::Ejected : Verdict::Trial;
        return hasAuthority ? barred : Verdict::Suspect;
    }
    if (isBefore(now, record.m_drainingUntil)) {
        return Verdict::Leaving;
    }
    const bool isSuspect = suspicionOf(record) >= SuspectShare * settings.m_ejectionThreshold;
    return isSuspect ? std::optional(Verdict::Suspect) : std::nullopt;
}

}

bool takeReport(DecidingState &state,
                const HealthSettings &settings,
                const HostId &from,
                std::uint64_t incarnation,
                const EvidenceReport &report,
                const ServiceEvidence &evidence,
                TimePoint now)
{
    Supporter &supporter = state.m_supporters[from];
    if (incarnation < supporter.m_incarnation || (incarnation == supporter.m_incarnation && report.m_sentAt <= supporter.m_sentAt)) {
        return false;
    }
    const bool isSameLife = incarnation == supporter.m_incarnation;
    const TimePoint echoed =
        evidence.m_echo > Duration(0) ? TimePoint(evidence.m_echo) + report.m_supportFor - report.m_supportFor / ClockMarginPart : TimePoint();
    supporter.m_supportsUntil = isSameLife ? std::max(supporter.m_supportsUntil, echoed) : echoed;
    supporter.m_incarnation = incarnation;
    supporter.m_sentAt = report.m_sentAt;
    supporter.m_heardAt = now;
    supporter.m_hasTraffic = !evidence.m_servers.empty();
    supporter.m_knownHosts = report.m_knownHosts;
    state.m_knownHosts = std::max(state.m_knownHosts, report.m_knownHosts);
    adoptHeld(state, settings, from, evidence, now);
    for (const ServerEvidence &server : evidence.m_servers) {
        takeServerEvidence(state, settings, from, server, now);
    }
    return true;
}

bool decide(DecidingState &state, const HealthSettings &settings, const ServiceView &view, TimePoint now)
{
    forgetSupporters(state, now);
    std::set<ServerId> known;
    for (const ServerView &server : view.m_servers) {
        known.insert(server.m_server);
    }
    std::erase_if(state.m_servers, [&known](const auto &entry) { return !known.contains(entry.first); });
    std::erase_if(state.m_window, [&known](const WindowEntry &entry) { return !known.contains(entry.m_evidence.m_server); });
    const bool weighed = weighWindow(state, settings, view, now);
    const bool advanced = advanceStates(state, settings, now);
    const bool withdrawn = withdrawBelowFloor(state, settings, view, now);
    const bool ejected = ejectSick(state, settings, view, now);
    return weighed || advanced || withdrawn || ejected;
}

std::optional<TimePoint> authorityUntil(const DecidingState &state, TimePoint now)
{
    std::vector<TimePoint> ends;
    for (const auto &[host, supporter] : state.m_supporters) {
        ends.push_back(supporter.m_supportsUntil);
    }
    const std::size_t majority = state.m_knownHosts / 2 + 1;
    if (ends.size() < majority) {
        return std::nullopt;
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    const TimePoint until = ends[majority - 1];
    return now < until ? std::optional(until) : std::nullopt;
}

ServiceVerdicts verdictsFor(DecidingState &state, const HealthSettings &settings, const HostId &host, TimePoint now)
{
    ServiceVerdicts verdicts;
    verdicts.m_echo = state.m_supporters.at(host).m_sentAt;
    verdicts.m_sentAt = now.time_since_epoch();
    const auto authority = authorityUntil(state, now);
    verdicts.m_validFor = authority ? *authority - now : Duration(0);
    bool hasTrials = false;
    for (auto &[id, record] : state.m_servers) {
        const auto verdict = verdictOf(settings, record, authority.has_value(), now);
        if (!verdict) {
            continue;
        }
        verdicts.m_servers.push_back({id, *verdict, record.m_ejections});
        if (*verdict == Verdict::Ejected || *verdict == Verdict::Trial) {
            record.m_maybeBarredUntil = std::max(record.m_maybeBarredUntil, *authority);
        }
        hasTrials = hasTrials || *verdict == Verdict::Trial;
    }
    if (hasTrials) {
        verdicts.m_observers = observersOf(state, now);
    }
    return verdicts;
}

Duration waitAfter(const HealthSettings &settings, std::uint32_t ejections)
{
    constexpr std::uint32_t MostDoublings = 16;
    const std::uint32_t doublings = std::min(ejections > 0 ? ejections - 1 : 0, MostDoublings);
    return std::min(settings.m_longestWait, settings.m_firstWait * (1U << doublings));
}

}
