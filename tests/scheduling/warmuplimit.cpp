#include <ragwortrelay/core/random.h>
#include <ragwortrelay/scheduling/warmuplimit.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace RagwortRelay;
using namespace RagwortRelay::Scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double ColdRate = 6.7;
constexpr WarmupBounds Bounds{1.5, 8.0};
constexpr double MaxPerSecond = 18.05; // 6.7 x 1.5 + 8
constexpr TimePoint Start{seconds(1000)};

/// One host that starts requests at a cold server whenever its part of the limit allows one.
struct Host {
    WarmupShare m_share;
    RecentStarts m_recent;
};

/// Lets a host with a share of the limit start as many requests as it may.
void startAll(Host &host, double share, TimePoint now, std::vector<TimePoint> &starts)
{
    updateShare(host.m_share, share, now);
    while (allowsStart(host.m_recent, maxColdStarts(Bounds, ColdRate, host.m_share.m_usable), now)) {
        recordStart(host.m_recent, now);
        starts.push_back(now);
    }
}

/// Returns the greatest number of starts within any one second. Precondition: the starts are sorted.
std::size_t maxWithinSecond(const std::vector<TimePoint> &starts)
{
    std::size_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first) {
        const auto end = std::lower_bound(first, starts.end(), *first + seconds(1));
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

}

TEST_CASE("starts at a cold server stay within the bound in any second")
{
    std::vector<TimePoint> starts;
    SECTION("of one host that may use the whole bound")
    {
        Host host;
        for (Duration t{}; t < seconds(20); t += milliseconds(10)) {
            startAll(host, 1.0, Start + t, starts);
        }
        CHECK(starts.size() > 100);
    }
    SECTION("of a leader and of the host that takes over from it in mid-second")
    {
        Host former;
        Host latter;
        for (Duration t{}; t < seconds(20); t += milliseconds(10)) {
            const bool hasChanged = t >= milliseconds(5400); // The former leader starts as many as it may until then.
            startAll(former, hasChanged ? 0.0 : 1.0, Start + t, starts);
            startAll(latter, hasChanged ? 1.0 : 0.0, Start + t, starts);
        }
        CHECK(std::ranges::count_if(starts, [](TimePoint start) { return start > Start + seconds(7); }) > 50);
    }
    SECTION("of hosts that decide alone")
    {
        std::vector<Host> hosts(3);
        for (Duration t{}; t < seconds(20); t += milliseconds(10)) {
            for (Host &host : hosts) {
                startAll(host, 1.0 / 3.0, Start + t, starts);
            }
        }
        CHECK(starts.size() > 100);
    }
    SECTION("of hosts whose shares move between them at random")
    {
        std::vector<Host> hosts(4);
        std::vector<double> shares(hosts.size(), 0.25);
        RandomGenerator random(7);
        for (Duration t{}; t < seconds(60); t += milliseconds(10)) {
            if (randomBelow(random, 20) == 0) {
                const std::size_t from = randomBelow(random, hosts.size());
                const std::size_t to = randomBelow(random, hosts.size());
                const double moved = shares[from] * randomUnit(random);
                shares[from] -= moved;
                shares[to] += moved;
            }
            for (std::size_t i = 0; i < hosts.size(); ++i) {
                startAll(hosts[i], shares[i], Start + t, starts);
            }
        }
        CHECK(starts.size() > 100);
    }
    CHECK(maxWithinSecond(starts) <= static_cast<std::size_t>(MaxPerSecond));
}

TEST_CASE("the part of the limit at a cold server")
{
    CHECK(maxColdStarts(Bounds, ColdRate, 1.0) == 18);
    CHECK(maxColdStarts(Bounds, ColdRate, 0.5) == 9);
    CHECK(maxColdStarts(Bounds, ColdRate, 1.0 / 123.0) == 0);
    CHECK(maxColdStarts({1e300, 8.0}, 1e300, 1.0) == 1'000'000);
}

TEST_CASE("a share of the limit at cold servers")
{
    WarmupShare share;
    updateShare(share, 0.5, Start);
    CHECK(share.m_usable == 0.0);
    SECTION("comes into force after the window")
    {
        updateShare(share, 0.5, Start + WarmupWindow);
        CHECK(share.m_usable == 0.5);
    }
    SECTION("comes into force even if it goes on growing")
    {
        updateShare(share, 0.6, Start + WarmupWindow / 2);
        updateShare(share, 0.7, Start + WarmupWindow);
        CHECK(share.m_usable == 0.5);
    }
    SECTION("that shrinks meanwhile comes into force as the lesser")
    {
        updateShare(share, 0.2, Start + WarmupWindow / 2);
        updateShare(share, 0.5, Start + WarmupWindow * 3 / 4);
        updateShare(share, 0.5, Start + WarmupWindow);
        CHECK(share.m_usable == 0.2);
    }
}
