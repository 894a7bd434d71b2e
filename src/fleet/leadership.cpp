#include <ragwortrelay/fleet/leadership.h>

#include <algorithm>

namespace RagwortRelay::Fleet {

namespace {

std::size_t rankOf(const Leadership &leadership, const HostId &host)
{
    return static_cast<std::size_t>(std::ranges::find(leadership.m_ranking, host) - leadership.m_ranking.begin());
}

bool isKnown(const Leadership &leadership, const HostId &host)
{
    return rankOf(leadership, host) < leadership.m_ranking.size();
}

bool isSilent(const Leadership &leadership, const HostId &host, TimePoint now)
{
    const auto entry = leadership.m_silentUntil.find(host);
    return entry != leadership.m_silentUntil.end() && now < entry->second;
}

void followLeader(Leadership &leadership, const HostId &leader, TimePoint now)
{
    if (leadership.m_leader == leader) {
        return;
    }
    leadership.m_leader = leader;
    leadership.m_followers.clear();
    leadership.m_leases = {};
    leadership.m_unacknowledged = 0;
    leadership.m_undecidedReplies = 0;
    leadership.m_acknowledgedAt.reset();
    leadership.m_isStoreReader = false;
    leadership.m_expeditesNext = false;
    leadership.m_replyTime = {};
    leadership.m_leaderHeardAt = {};
    leadership.m_nextHeartbeatAt = now;
    leadership.m_nextDiscoveryAt = now;
}

/// Adds up the leases of the followers. Linear in their number.
LeaseSum sumOfLeases(const Leadership &leadership, TimePoint now)
{
    LeaseSum sum;
    sum.m_validUntil = TimePoint::max();
    for (const auto &[host, follower] : leadership.m_followers) {
        if (now < follower.m_leasedUntil) {
            sum.m_fractions += follower.m_isRegistered ? follower.m_leasedFraction : 0.0;
            ++sum.m_followers;
            sum.m_validUntil = std::min(sum.m_validUntil, follower.m_leasedUntil);
        }
    }
    return sum;
}

/// Returns the sum of the leases, which is only taken again if the last one is no longer true.
LeaseSum leasesOf(const Leadership &leadership, TimePoint now)
{
    return now < leadership.m_leases.m_validUntil ? leadership.m_leases : sumOfLeases(leadership, now);
}

/// Removes the followers that have fallen silent.
void removeSilentFollowers(Leadership &leadership, TimePoint now)
{
    constexpr Duration CheckInterval = std::chrono::milliseconds(100);
    if (now < leadership.m_nextFollowerCheckAt) {
        return;
    }
    leadership.m_nextFollowerCheckAt = now + CheckInterval;
    const auto isSilentFollower = [&](const auto &entry) { return now - entry.second.m_heardAt > leadership.m_settings.m_followerTimeout; };
    if (std::erase_if(leadership.m_followers, isSilentFollower) > 0) {
        leadership.m_leases = {};
    }
}

/// Follows the first host of the ranking that isn't silent, which may be this one.
void followHighestRanked(Leadership &leadership, TimePoint now)
{
    for (const HostId &host : leadership.m_ranking) {
        if (host == leadership.m_self || !isSilent(leadership, host, now)) {
            return followLeader(leadership, host, now);
        }
    }
    followLeader(leadership, leadership.m_self, now);
}

/// Returns the fraction of this host's own share that it may use or lease to a leader: all of it, unless an earlier leader may still use
/// it.
double availableFraction(const Leadership &leadership, const HostId &leader, TimePoint now)
{
    const bool isLeasedElsewhere = leadership.m_leaseHolder != leader && now < leadership.m_leaseExpiresAt;
    return isLeasedElsewhere ? leadership.m_settings.m_retainedFraction : 1.0;
}

void releaseLease(Leadership &leadership, const HostId &leader)
{
    if (leadership.m_leaseHolder == leader) {
        leadership.m_leaseExpiresAt = TimePoint{};
    }
}

/// Returns whether another leader is preferred to this one: it has more followers, or equally many and a better rank.
bool isBetterLeader(const Leadership &leadership, const HostId &other, std::uint32_t followers, TimePoint now)
{
    const std::size_t ownFollowers = followersOf(leadership, now);
    return followers != ownFollowers ? followers > ownFollowers : rankOf(leadership, other) < rankOf(leadership, leadership.m_self);
}

void updateFollower(Leadership &leadership, const HostId &from, Incarnation incarnation, const Heartbeat &heartbeat, TimePoint now)
{
    leadership.m_leases = {};
    Follower &follower = leadership.m_followers[from];
    if (follower.m_incarnation != incarnation) {
        follower = {};
        follower.m_incarnation = incarnation;
    }
    follower.m_domain = heartbeat.m_domain;
    follower.m_heardAt = now;
    follower.m_isRegistered = isKnown(leadership, from);
    recordMessage(follower.m_messageAge, heartbeat.m_sentAt, now);
    const auto writtenAt = writtenAfter(heartbeat);
    if (writtenAt) {
        follower.m_leasedFraction = heartbeat.m_leasedFraction;
        follower.m_leasedUntil = std::max(follower.m_leasedUntil, *writtenAt + leadership.m_settings.m_leaseDuration);
    }
}

void addDiscoveryTarget(Leadership &leadership, const HostId &host, TimePoint now)
{
    const bool isQueued = std::ranges::find(leadership.m_discoveryTargets, host) != leadership.m_discoveryTargets.end();
    if (!isQueued && host != leadership.m_self && isKnown(leadership, host) && !isSilent(leadership, host, now)) {
        leadership.m_discoveryTargets.push_back(host);
    }
}

/// Returns the time without a reply after which a heartbeat is sent again: longer to a leader that has been slow, as further heartbeats would make it slower.
Duration replyTimeoutOf(const Leadership &leadership)
{
    const LeadershipSettings &settings = leadership.m_settings;
    return std::clamp(2 * leadership.m_replyTime, settings.m_replyTimeout, settings.m_maxReplyTimeout);
}

/// Tells whether the leader is alive but slow: it sends messages, though no replies to heartbeats.
bool isLeaderSlow(const Leadership &leadership, TimePoint now)
{
    return now - leadership.m_leaderHeardAt < leadership.m_settings.m_signOfLifeDuration;
}

void applyLeaderHeartbeat(Leadership &leadership, const HostId &leader, const Heartbeat &heartbeat, TimePoint now)
{
    leadership.m_unacknowledged = 0;
    leadership.m_acknowledgedAt = now;
    const auto writtenAt = writtenAfter(heartbeat);
    leadership.m_replyTime = writtenAt ? now - *writtenAt : leadership.m_replyTime;
    // Counted from this host's own heartbeat: one that the leader sends unasked doesn't renew the lease.
    leadership.m_nextHeartbeatAt = std::max(now, leadership.m_leaderContactedAt + leadership.m_currentInterval);
    if (leadership.m_leaseHolder != leader && now < leadership.m_leaseExpiresAt) {
        leadership.m_nextHeartbeatAt = std::min(leadership.m_nextHeartbeatAt, leadership.m_leaseExpiresAt); // From then on the whole share can be leased.
    }
    if (std::exchange(leadership.m_expeditesNext, false)) {
        leadership.m_nextHeartbeatAt = now;
    }
    leadership.m_isStoreReader = heartbeat.m_isStoreReader;
    if (heartbeat.m_leader == leader) {
        leadership.m_undecidedReplies = 0;
        return;
    }
    releaseLease(leadership, leader); // It doesn't lead, so it uses only its own share.
    if (isSilent(leadership, heartbeat.m_leader, now) && leadership.m_undecidedReplies < leadership.m_settings.m_maxUndecidedReplies) {
        ++leadership.m_undecidedReplies; // It hasn't noticed the loss of its leader yet, or this host was wrong about the loss.
        leadership.m_disputedLeader = heartbeat.m_leader;
        leadership.m_acknowledgedAt.reset();
        leadership.m_nextHeartbeatAt = now + leadership.m_settings.m_replyTimeout;
        return;
    }
    if (heartbeat.m_leader == leadership.m_self || !isKnown(leadership, heartbeat.m_leader) || isSilent(leadership, heartbeat.m_leader, now)) {
        return followLeader(leadership, leadership.m_self, now);
    }
    followLeader(leadership, heartbeat.m_leader, now);
}

/// Handles a heartbeat from a host that follows another leader, or itself. Precondition: this host leads.
void handleOtherLeader(Leadership &leadership, const HostId &from, const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.m_leader != from) {
        return addDiscoveryTarget(leadership, heartbeat.m_leader, now);
    }
    if (isKnown(leadership, from) && isBetterLeader(leadership, from, heartbeat.m_followers, now)) {
        followLeader(leadership, from, now);
    }
}

void discoverLeaders(Leadership &leadership, RandomGenerator &random, TimePoint now)
{
    leadership.m_nextDiscoveryAt = now + leadership.m_settings.m_discoveryInterval;
    std::vector<HostId> others;
    for (const HostId &host : leadership.m_ranking) {
        if (host != leadership.m_self && !leadership.m_followers.contains(host)) {
            others.push_back(host);
        }
    }
    const std::size_t highestRanked = std::min(others.size(), leadership.m_settings.m_discoveryFanout - 1);
    for (std::size_t i = 0; i < highestRanked; ++i) {
        addDiscoveryTarget(leadership, others[i], now);
    }
    if (others.size() > highestRanked) {
        addDiscoveryTarget(leadership, others[highestRanked + randomBelow(random, others.size() - highestRanked)], now);
    }
}

/// Returns the interval to the next heartbeat, with its random part.
Duration randomInterval(const LeadershipSettings &settings, RandomGenerator &random)
{
    const double factor = 1.0 + settings.m_heartbeatJitter * (2.0 * randomUnit(random) - 1.0);
    return Duration(static_cast<std::int64_t>(factor * static_cast<double>(settings.m_heartbeatInterval.count())));
}

std::vector<HeartbeatRequest> tickFollower(Leadership &leadership, RandomGenerator &random, TimePoint now)
{
    if (now < leadership.m_nextHeartbeatAt) {
        return {};
    }
    if (leadership.m_unacknowledged >= leadership.m_settings.m_maxUnacknowledged && !isLeaderSlow(leadership, now)) {
        leadership.m_silentUntil[leadership.m_leader] = now + leadership.m_settings.m_silentHostBackoff;
        followHighestRanked(leadership, now);
        if (isLeader(leadership)) {
            return {};
        }
    }
    ++leadership.m_unacknowledged;
    leadership.m_currentInterval = randomInterval(leadership.m_settings, random);
    leadership.m_nextHeartbeatAt = now + replyTimeoutOf(leadership);
    std::vector<HeartbeatRequest> requests{{leadership.m_leader, true}};
    if (leadership.m_undecidedReplies > 0) {
        requests.push_back({leadership.m_disputedLeader, true});
    }
    return requests;
}

}

Leadership makeLeadership(const LeadershipSettings &settings, const HostId &self)
{
    Leadership leadership;
    leadership.m_settings = settings;
    leadership.m_self = self;
    leadership.m_leader = self;
    leadership.m_ranking = {self};
    return leadership;
}

bool isLeader(const Leadership &leadership)
{
    return leadership.m_leader == leadership.m_self;
}

void setMembership(Leadership &leadership, const Membership &membership, TimePoint now)
{
    Membership members = membership;
    leadership.m_isRegistered = members.contains(leadership.m_self);
    members.try_emplace(leadership.m_self);
    const bool knewNoHosts = leadership.m_ranking.size() == 1;
    leadership.m_ranking = ranking(members);
    if (knewNoHosts) { // This host has just started; another may lead although it ranks lower.
        leadership.m_nextDiscoveryAt = std::min(leadership.m_nextDiscoveryAt, now + leadership.m_settings.m_firstDiscoveryDelay);
    }
    for (auto &[host, follower] : leadership.m_followers) {
        follower.m_isRegistered = members.contains(host);
    }
    leadership.m_leases = {};
    const bool hasNoFollowers = isLeader(leadership) && leadership.m_followers.empty();
    if (hasNoFollowers || !isKnown(leadership, leadership.m_leader)) {
        followHighestRanked(leadership, now);
    }
}

std::vector<HeartbeatRequest> tick(Leadership &leadership, RandomGenerator &random, TimePoint now)
{
    std::erase_if(leadership.m_silentUntil, [&](const auto &entry) { return entry.second <= now; });
    if (!isLeader(leadership)) {
        leadership.m_discoveryTargets.clear();
        return tickFollower(leadership, random, now);
    }
    removeSilentFollowers(leadership, now);
    leadership.m_leases = leasesOf(leadership, now);
    if (now >= leadership.m_nextDiscoveryAt) {
        discoverLeaders(leadership, random, now);
    }
    std::vector<HeartbeatRequest> requests;
    for (const HostId &host : std::exchange(leadership.m_discoveryTargets, {})) {
        requests.push_back({host, true});
    }
    return requests;
}

Heartbeat makeHeartbeat(Leadership &leadership, const HeartbeatRequest &request, TimePoint now)
{
    Heartbeat heartbeat;
    heartbeat.m_sentAt = now.time_since_epoch();
    const auto contact = leadership.m_contacts.find(request.m_host);
    if (contact != leadership.m_contacts.end()) {
        heartbeat.m_echo = contact->second.m_sentAt;
        heartbeat.m_heldFor = now - contact->second.m_receivedAt;
    }
    heartbeat.m_leader = leadership.m_leader;
    heartbeat.m_wantsReply = request.m_wantsReply;
    heartbeat.m_followers = static_cast<std::uint32_t>(followersOf(leadership, now));
    if (request.m_host == leadership.m_leader) {
        leadership.m_leaderContactedAt = now;
        heartbeat.m_leasedFraction = availableFraction(leadership, leadership.m_leader, now);
        if (heartbeat.m_leasedFraction == 1.0) {
            leadership.m_leaseHolder = leadership.m_leader;
            leadership.m_leaseExpiresAt = now + leadership.m_settings.m_leaseDuration;
        }
    }
    return heartbeat;
}

bool receiveHeartbeat(Leadership &leadership, const HostId &from, Incarnation incarnation, const Heartbeat &heartbeat, TimePoint now)
{
    Contact &contact = leadership.m_contacts[from];
    if (contact.m_incarnation != incarnation) {
        contact = {};
        contact.m_incarnation = incarnation;
        releaseLease(leadership, from); // The process that held the lease has ended.
    }
    if (heartbeat.m_sentAt > contact.m_sentAt) {
        contact.m_sentAt = heartbeat.m_sentAt;
        contact.m_receivedAt = now;
    }
    leadership.m_silentUntil.erase(from);
    const bool isFirstReply = !isLeader(leadership) && from == leadership.m_leader && !leadership.m_acknowledgedAt;
    if (heartbeat.m_leader == leadership.m_self) {
        updateFollower(leadership, from, incarnation, heartbeat, now);
        expediteHeartbeat(leadership, now); // Another host considers this one the leader, so this host's own leader may be gone.
    } else if (leadership.m_followers.erase(from) > 0) {
        leadership.m_leases = {};
    }
    if (from == leadership.m_leader && !isLeader(leadership)) {
        applyLeaderHeartbeat(leadership, from, heartbeat, now);
        if (isFirstReply && leadership.m_acknowledgedAt && leadership.m_leader == from) {
            leadership.m_nextHeartbeatAt = now; // The next heartbeat echoes this first reply, which lets the leader date the lease.
        }
    } else if (isLeader(leadership) && heartbeat.m_leader != leadership.m_self) {
        handleOtherLeader(leadership, from, heartbeat, now);
    }
    return heartbeat.m_wantsReply;
}

void recordSignOfLife(Leadership &leadership, const HostId &from, TimePoint now)
{
    if (from == leadership.m_leader) {
        leadership.m_leaderHeardAt = now;
    }
}

void expediteHeartbeat(Leadership &leadership, TimePoint now)
{
    if (isLeader(leadership)) {
        return;
    }
    if (leadership.m_unacknowledged > 0) {
        leadership.m_expeditesNext = true;
        return;
    }
    leadership.m_nextHeartbeatAt = std::min(leadership.m_nextHeartbeatAt, now);
}

std::optional<TimePoint> writtenAfter(const Heartbeat &heartbeat)
{
    return heartbeat.m_echo.count() == 0 ? std::nullopt : std::optional(TimePoint(heartbeat.m_echo + heartbeat.m_heldFor));
}

double shareOf(const Leadership &leadership, TimePoint now)
{
    const double hostCount = static_cast<double>(std::max<std::size_t>(1, leadership.m_ranking.size()));
    const double own = leadership.m_isRegistered ? 1.0 : 0.0;
    if (!isLeader(leadership)) {
        const bool isLeased = now < leadership.m_leaseExpiresAt;
        return own * (isLeased ? leadership.m_settings.m_retainedFraction : 1.0) / hostCount;
    }
    const double shares = own * availableFraction(leadership, leadership.m_self, now) + leasesOf(leadership, now).m_fractions;
    return std::min(1.0, shares / hostCount);
}

bool isFullyLeased(const Follower &follower, TimePoint now)
{
    return follower.m_isRegistered && follower.m_leasedFraction == 1.0 && now < follower.m_leasedUntil;
}

bool isShareUnleased(const Leadership &leadership, TimePoint now)
{
    return leadership.m_leaseHolder == leadership.m_self || now >= leadership.m_leaseExpiresAt;
}

std::size_t followersOf(const Leadership &leadership, TimePoint now)
{
    return isLeader(leadership) ? leasesOf(leadership, now).m_followers : 0;
}

TimePoint nextTickAt(const Leadership &leadership)
{
    if (!isLeader(leadership)) {
        return leadership.m_nextHeartbeatAt;
    }
    return leadership.m_discoveryTargets.empty() ? leadership.m_nextDiscoveryAt : TimePoint{};
}

}
