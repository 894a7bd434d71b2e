#include <ragwortrelay/fleet/leadership.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace RagwortRelay;
using namespace RagwortRelay::Fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Hosts that exchange heartbeats in simulated time, each with its own clock.
class HeartbeatSimulation
{
public:
    explicit HeartbeatSimulation(int hosts)
    {
        for (int i = 1; i <= hosts; ++i) {
            const HostId id("h" + std::to_string(i));
            m_membership[id] = {id, id.text(), FailureDomainId("d"), 1, 1.0};
        }
        for (const auto &[id, state] : m_membership) {
            start(id);
        }
    }

    void start(const HostId &id)
    {
        startWithoutTable(id);
        readTable(id);
    }

    /// Starts a host that can't read the table of the hosts.
    void startWithoutTable(const HostId &id)
    {
        ++m_incarnations[id];
        m_hosts[id] = makeLeadership({}, id);
    }

    void readTable(const HostId &id)
    {
        setMembership(m_hosts[id], m_membership, clockOf(id));
    }

    void stop(const HostId &id)
    {
        m_hosts.erase(id);
    }

    TimePoint clockOf(const HostId &id) const
    {
        return m_now + seconds(100 * static_cast<int>(id.text().back())); // Each host's clock has a different offset.
    }

    void run(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += milliseconds(10)) {
            for (const auto &[id, incarnation] : m_incarnations) {
                if (m_hosts.contains(id)) {
                    for (const HeartbeatRequest &request : tick(m_hosts[id], m_random, clockOf(id))) {
                        send(id, request);
                    }
                }
            }
            recordLeasedShare();
        }
    }

    /// Returns the distinct leaders that the hosts follow.
    std::set<HostId> leaders() const
    {
        std::set<HostId> leaders;
        for (const auto &[id, leadership] : m_hosts) {
            leaders.insert(leadership.m_leader);
        }
        return leaders;
    }

    double sumOfShares() const
    {
        double sum = 0.0;
        for (const auto &[id, leadership] : m_hosts) {
            sum += isLeader(leadership) ? shareOf(leadership, clockOf(id)) : 0.0;
        }
        return sum;
    }

    /// Returns the sum of the shares that all hosts may use by themselves or hand out.
    double sumOfAllShares() const
    {
        double sum = 0.0;
        for (const auto &[id, leadership] : m_hosts) {
            sum += shareOf(leadership, clockOf(id));
        }
        return sum;
    }

    std::map<HostId, Leadership> m_hosts;
    std::set<std::pair<HostId, HostId>> m_partitions; ///< Pairs of sender and receiver whose messages are lost.
    double m_maxLeasedShare = 0.0;
    RandomGenerator m_random{7};
    double m_lossProbability = 0.0;

private:
    void send(const HostId &from, const HeartbeatRequest &request)
    {
        const Heartbeat heartbeat = makeHeartbeat(m_hosts[from], request, clockOf(from));
        const bool isLost = m_partitions.contains({from, request.m_host}) || randomUnit(m_random) < m_lossProbability;
        if (isLost || !m_hosts.contains(request.m_host)) {
            return;
        }
        Heartbeat received = heartbeat;
        received.m_domain = FailureDomainId("d");
        if (receiveHeartbeat(m_hosts[request.m_host], from, m_incarnations[from], received, clockOf(request.m_host))) {
            send(request.m_host, {from, false});
        }
    }

    /// Records the share that leaders may hand out from leases, if it is the largest so far.
    void recordLeasedShare()
    {
        double leased = 0.0;
        for (const auto &[id, leadership] : m_hosts) {
            for (const auto &[follower, state] : leadership.m_followers) {
                const bool isLeased = state.m_isRegistered && clockOf(id) < state.m_leasedUntil;
                leased += isLeader(leadership) && isLeased ? state.m_leasedFraction : 0.0;
            }
        }
        m_maxLeasedShare = std::max(m_maxLeasedShare, leased / static_cast<double>(m_membership.size()));
    }

    Membership m_membership;
    std::map<HostId, Incarnation> m_incarnations;
    TimePoint m_now{seconds(1000)};
};

}

TEST_CASE("leader election")
{
    HeartbeatSimulation simulation(7);
    simulation.run(seconds(5));
    REQUIRE(simulation.leaders().size() == 1);
    const HostId leader = *simulation.leaders().begin();

    SECTION("the leader holds the shares of all hosts")
    {
        CHECK(simulation.sumOfShares() == Approx(1.0));
    }

    SECTION("another leader takes over within a second with the retained shares, and holds all remaining shares once the leases expire")
    {
        simulation.stop(leader);
        simulation.run(milliseconds(1700));
        CHECK(simulation.leaders().size() == 1);
        CHECK_FALSE(simulation.leaders().contains(leader));
        simulation.run(seconds(3));
        CHECK(simulation.sumOfShares() == Approx(6.0 / 7.0));
    }

    SECTION("regression: hosts that lost the leader at the same time followed different leaders and needed another second to agree")
    {
        simulation.run(milliseconds(GENERATE(0, 100, 200, 300, 400, 500, 600, 700, 800, 900)));
        simulation.stop(leader);
        simulation.run(milliseconds(1500));
        CHECK(simulation.leaders().size() == 1);
        CHECK_FALSE(simulation.leaders().contains(leader));
        CHECK(std::ranges::all_of(simulation.m_hosts, [](const auto &host) { return host.second.m_undecidedReplies == 0; }));
        simulation.run(milliseconds(2100)); // The leases expire 2.2 s after the last heartbeat, which was sent at most 1.3 s after the loss.
        CHECK(simulation.sumOfShares() == Approx(6.0 / 7.0));
    }

    SECTION("hosts follow a restarted leader again")
    {
        simulation.stop(leader);
        simulation.run(seconds(5));
        simulation.start(leader);
        simulation.run(seconds(8));
        CHECK(simulation.leaders().size() == 1);
        CHECK(simulation.sumOfShares() == Approx(1.0));
    }

    SECTION("each side of a network partition follows one leader, and all hosts agree on one after it heals")
    {
        for (const char *left : {"h1", "h2", "h3"}) {
            for (const char *right : {"h4", "h5", "h6", "h7"}) {
                simulation.m_partitions.insert({HostId(left), HostId(right)});
                simulation.m_partitions.insert({HostId(right), HostId(left)});
            }
        }
        simulation.run(seconds(8));
        CHECK(simulation.leaders().size() == 2);
        CHECK(simulation.sumOfShares() == Approx(1.0));
        simulation.m_partitions.clear();
        simulation.run(seconds(8));
        CHECK(simulation.leaders().size() == 1);
        CHECK(simulation.sumOfShares() == Approx(1.0));
    }
}

namespace {

constexpr double Tolerance = 1e-9;

/// Plays one random event: a loss of messages in one direction, its end, or the loss or the start of a host, which may be unable to read the table of hosts.
void playStep(HeartbeatSimulation &simulation, std::uint8_t step)
{
    const HostId one("h" + std::to_string(step % 5 + 1));
    const HostId other("h" + std::to_string(step / 5 % 5 + 1));
    if (step % 4 == 0) {
        simulation.m_partitions.insert({one, other});
    } else if (step % 4 == 1) {
        simulation.m_partitions.clear();
    } else if (simulation.m_hosts.contains(one)) {
        simulation.stop(one);
    } else if (step % 3 == 0) {
        simulation.startWithoutTable(one);
    } else {
        simulation.start(one);
    }
    simulation.run(milliseconds(100 + step * 10));
}

}

TEST_CASE("leased shares")
{
    rc::prop("exceed the limit by at most half under host loss, partitions and restarts", [](const std::vector<std::uint8_t> &steps, std::uint8_t lossStep) {
        HeartbeatSimulation simulation(5);
        simulation.m_lossProbability = (lossStep % 5) * 0.1;
        simulation.run(seconds(3));
        for (const std::uint8_t step : steps) {
            playStep(simulation, step);
        }
        RC_ASSERT(simulation.m_maxLeasedShare <= 1.0 + 0.5 + 1e-9);
    });
}

// Guards against hosts that take themselves for the only ones: 27 of 48 hosts restarted without the table of hosts, and each handed out the whole of each
// limit.
TEST_CASE("regression: a host that hasn't read the table of the hosts took the whole of each limit")
{
    HeartbeatSimulation simulation(5);
    simulation.run(seconds(3));
    for (const char *name : {"h1", "h2", "h3"}) {
        const HostId id(name);
        simulation.startWithoutTable(id);
        CHECK(shareOf(simulation.m_hosts[id], simulation.clockOf(id)) == 0.0);
    }
    simulation.run(seconds(5));
    CHECK(simulation.sumOfShares() <= 1.0 + Tolerance);
    for (const char *name : {"h1", "h2", "h3"}) {
        simulation.readTable(HostId(name));
    }
    simulation.run(seconds(5));
    CHECK(simulation.sumOfShares() == Approx(1.0));
}

TEST_CASE("the shares of all leaders")
{
    // A leader that is lost or cut off holds what was leased to it until the leases are over, see docs/limits.md.
    rc::prop("add up to at most the whole two leases after hosts restarted, lost the table of hosts, or were cut off",
             [](const std::vector<std::uint8_t> &steps, std::uint8_t lossStep) {
                 HeartbeatSimulation simulation(5);
                 simulation.m_lossProbability = (lossStep % 5) * 0.1;
                 simulation.run(seconds(3));
                 for (const std::uint8_t step : steps) {
                     playStep(simulation, step);
                 }
                 simulation.startWithoutTable(HostId("h" + std::to_string(lossStep % 5 + 1)));
                 simulation.run(2 * LeadershipSettings().m_leaseDuration);
                 RC_ASSERT(simulation.sumOfShares() <= 1.0 + Tolerance);
             });
}

// Followers use half of their parts by themselves when a leader replies late, although the leader has these parts, too.
TEST_CASE("the share of a leader and the parts that its followers use by themselves don't exceed the whole", "[known-red]")
{
    HeartbeatSimulation simulation(5);
    simulation.run(seconds(3));
    CHECK(simulation.sumOfAllShares() <= 1.0 + Tolerance);
}

TEST_CASE("regression: heartbeats that a leader sends unasked don't keep its followers from renewing their leases")
{
    // Each heartbeat of the leader postponed the next one of its follower. A leader that reported something to all followers several times in a row lost all
    // leases, and with them its share of all limits.
    const TimePoint start{seconds(100)};
    const HostId leader("h1");
    const HostId follower("h2");
    Membership membership;
    membership[leader] = {leader, leader.text(), FailureDomainId("d"), 1, 1.0};
    membership[follower] = {follower, follower.text(), FailureDomainId("d"), 1, 1.0};
    Leadership followerState = makeLeadership({}, follower);
    setMembership(followerState, {{leader, membership[leader]}}, start);
    Leadership leaderState = makeLeadership({}, leader);
    RandomGenerator random(1);
    REQUIRE(followerState.m_leader == leader);
    setMembership(leaderState, membership, start);

    for (Duration elapsed{}; elapsed < seconds(10); elapsed += milliseconds(10)) {
        const TimePoint now = start + elapsed;
        for (const HeartbeatRequest &request : tick(followerState, random, now)) {
            const Heartbeat heartbeat = makeHeartbeat(followerState, request, now);
            receiveHeartbeat(leaderState, follower, 1, heartbeat, now);
            receiveHeartbeat(followerState, leader, 1, makeHeartbeat(leaderState, {follower, false}, now), now);
        }
        if (elapsed > seconds(2) && elapsed.count() % Duration(milliseconds(600)).count() == 0) {
            receiveHeartbeat(followerState, leader, 1, makeHeartbeat(leaderState, {follower, false}, now), now);
        }
        if (elapsed > seconds(2)) {
            REQUIRE(now < leaderState.m_followers.at(follower).m_leasedUntil);
        }
    }
}
