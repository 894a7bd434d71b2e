#include <ragwortrelay/scheduling/scheduler.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>
#include <map>
#include <numbers>

using namespace RagwortRelay;
using namespace RagwortRelay::Scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Desk("desk");
constexpr double PricePerKib = 0.0083;

/// Requests of one failure domain.
struct DomainLoad {
    std::uint32_t m_servers = 10;
    std::function<double(double)> m_rate; ///< Requests per second at a time in seconds.
};

struct Totals {
    std::uint64_t m_requests = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_crossed = 0;
    std::uint64_t m_largeRequests = 0;
    std::uint64_t m_largeCrossed = 0; ///< Large requests that left their failure domain.
    std::map<std::pair<FailureDomainId, FailureDomainId>, std::uint64_t> m_crossedBetween;
    std::uint64_t m_counted = 0; ///< Requests that the scheduler counted as sent to another failure domain.
};

/// Registers the servers of all failure domains. Returns one requester of each.
std::vector<Requester> addServers(ServerRegistry &registry, const std::vector<DomainLoad> &loads, TimePoint now)
{
    std::uint32_t servers = 0;
    std::vector<Requester> requesters;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        requesters.push_back({HostId("h" + std::to_string(i)), FailureDomainId("d" + std::to_string(i))});
        for (std::uint32_t j = 0; j < loads[i].m_servers; ++j) {
            Configuration::Server server;
            server.m_id = ServerId("s" + std::to_string(++servers));
            server.m_service = Desk;
            server.m_domain = requesters.back().m_domain;
            server.m_slots = 2;
            setServer(registry, server, now);
        }
    }
    return requesters;
}

/// Returns a request with a number: a tenth has a body of 100 KiB, the others one of 1 KiB.
PlacementRequest requestOf(std::uint64_t number, RandomGenerator &random)
{
    constexpr std::uint64_t Kib = 1024;
    PlacementRequest request;
    request.m_number = number;
    request.m_service = Desk;
    request.m_timeLeft = seconds(3);
    request.m_objectiveLeft = seconds(1);
    request.m_bodyBytes = randomBelow(random, 10) == 0 ? 100 * Kib : Kib;
    return request;
}

/// Simulates a scheduler of three failure domains for 40 s. Servers have two slots, each request takes 100 ms: ten servers take 200 requests/s.
Totals play(const std::vector<DomainLoad> &loads, double pricePerKib)
{
    Scheduler scheduler;
    scheduler.m_settings.m_selection.m_spillover.m_pricePerKib = pricePerKib;
    RandomGenerator random(7);
    const TimePoint start{seconds(100)};
    const std::vector<Requester> requesters = addServers(scheduler.m_registry, loads, start);
    Totals totals;
    std::map<std::uint64_t, PlacementRequest> open;
    std::multimap<TimePoint, std::pair<AttemptReport, Requester>> running;
    std::uint64_t number = 0;
    const auto settle = [&](const Requester &requester, const PlacementReply &reply, TimePoint now) {
        const PlacementRequest &request = open.at(reply.m_number);
        if (!reply.m_server) {
            ++totals.m_refused;
            return;
        }
        const FailureDomainId &target = scheduler.m_registry.m_servers.at(*reply.m_server).m_server.m_domain;
        if (target != requester.m_domain) {
            ++totals.m_crossed;
            ++totals.m_crossedBetween[{requester.m_domain, target}];
            totals.m_largeCrossed += request.m_bodyBytes > 10'000 ? 1 : 0;
        }
        running.emplace(now + milliseconds(100),
                        std::pair(AttemptReport{reply.m_number, *reply.m_server, AttemptEnd::Succeeded, milliseconds(100), 0, 0, false}, requester));
    };
    for (TimePoint now = start; now < start + seconds(40); now += milliseconds(1)) {
        while (!running.empty() && running.begin()->first <= now) {
            finish(scheduler, running.begin()->second.first, running.begin()->second.second, now);
            running.erase(running.begin());
        }
        for (const AddressedReply &reply : serve(scheduler, random, now)) {
            settle(requesters[static_cast<std::size_t>(reply.m_host.text().back() - '0')], reply.m_response, now);
        }
        for (std::size_t i = 0; i < loads.size(); ++i) {
            const double perMs = loads[i].m_rate(std::chrono::duration<double>(now - start).count()) / 1000.0;
            if (randomUnit(random) >= perMs) {
                continue;
            }
            const PlacementRequest request = requestOf(++number, random);
            ++totals.m_requests;
            totals.m_largeRequests += request.m_bodyBytes > 10'000 ? 1 : 0;
            open[request.m_number] = request;
            if (const auto reply = placement(scheduler, request, requesters[i], random, now)) {
                settle(requesters[i], *reply, now);
            }
        }
    }
    for (const auto &[reason, count] : scheduler.m_registry.m_services.at(Desk).m_spillovers) {
        totals.m_counted += count.m_requests;
    }
    return totals;
}

double shareOf(std::uint64_t part, std::uint64_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

std::function<double(double)> wave(double mean, double phase)
{
    constexpr double Amplitude = 0.55;
    constexpr double Period = 13.0;
    return [=](double time) { return mean * (1.0 + Amplitude * std::sin(2.0 * std::numbers::pi * (time / Period + phase))); };
}

std::function<double(double)> steady(double rate)
{
    return [=](double) { return rate; };
}

}

TEST_CASE("load waves of three failure domains")
{
    const std::vector<DomainLoad> loads{{10, wave(150.0, 0.0)}, {10, wave(150.0, 1.0 / 3)}, {10, wave(150.0, 2.0 / 3)}};
    const Totals priced = play(loads, PricePerKib);
    const Totals unpriced = play(loads, 0.0);
    // At the peaks 232 requests/s arrive where servers take 200: some 7 % of all must leave, and more to leave a reserve.
    CHECK(shareOf(priced.m_crossed, priced.m_requests) < 0.2);
    CHECK(priced.m_crossed < unpriced.m_crossed);
    CHECK(priced.m_counted == priced.m_crossed);
    CHECK(unpriced.m_counted == 0);
    CHECK(priced.m_refused == 0);
    CHECK(shareOf(priced.m_largeCrossed, priced.m_largeRequests) < 0.02); // Large bodies stay: each costs 0.83 of a request.
}

TEST_CASE("failure domains within their own capacity send nothing to others")
{
    // A share of utilization in the cost made lightly loaded servers elsewhere cheaper than half-busy own ones.
    const Totals totals = play({{10, steady(100.0)}, {10, steady(40.0)}, {10, steady(20.0)}}, PricePerKib);
    CHECK(shareOf(totals.m_crossed, totals.m_requests) < 0.005);
}

TEST_CASE("two failure domains that are full at the same time send nothing to each other")
{
    const FailureDomainId first("d0");
    const FailureDomainId second("d1");
    Totals totals = play({{10, steady(215.0)}, {10, steady(215.0)}, {10, steady(60.0)}}, PricePerKib);
    const std::uint64_t between = totals.m_crossedBetween[{first, second}] + totals.m_crossedBetween[{second, first}];
    const std::uint64_t toThird = totals.m_crossedBetween[{first, FailureDomainId("d2")}] + totals.m_crossedBetween[{second, FailureDomainId("d2")}];
    CHECK(toThird > 0);
    CHECK(shareOf(between, toThird) < 0.05);
    CHECK(totals.m_refused == 0);
}

TEST_CASE("a failure domain with a third of the servers sends on what its own can't take")
{
    const Totals totals = play({{4, steady(120.0)}, {10, steady(120.0)}, {10, steady(120.0)}}, PricePerKib);
    CHECK(totals.m_refused == 0);
    CHECK(shareOf(totals.m_crossed, totals.m_requests) < 0.2); // A ninth has to leave.
}

TEST_CASE("spillover of a failure domain")
{
    SpilloverSettings settings;
    settings.m_pricePerKib = PricePerKib;
    DomainDemand demand;
    demand.m_capacity = 100.0;
    TimePoint now{seconds(100)};
    const auto arrive = [&](double rate, Duration length, double kib) {
        const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / rate));
        for (const TimePoint end = now + length; now < end; now += interval) {
            demand = afterArrival(demand, settings, kib, now);
        }
    };

    SECTION("starts before the rate exceeds the capacity, and ends only well below")
    {
        arrive(60.0, seconds(8), 1.0);
        CHECK_FALSE(demand.m_isSpilling);
        double rate = 60.0;
        for (; rate < 95.0 && !demand.m_isSpilling; rate += 1.0) {
            arrive(rate, milliseconds(100), 1.0);
        }
        CHECK(demand.m_isSpilling);
        CHECK(rate < 95.0);
        arrive(90.0, seconds(8), 1.0);
        CHECK(demand.m_isSpilling);
        arrive(75.0, seconds(8), 1.0);
        CHECK_FALSE(demand.m_isSpilling);
    }
    SECTION("never goes to a failure domain that spills itself or is as full")
    {
        arrive(120.0, seconds(8), 1.0);
        DomainDemand other;
        other.m_capacity = 100.0;
        CHECK(mayReceive(other, demand, settings, now));
        CHECK_FALSE(mayReceive(demand, demand, settings, now));
        other.m_isSpilling = true;
        CHECK_FALSE(mayReceive(other, demand, settings, now));
    }
    SECTION("sends small bodies first")
    {
        for (int i = 0; i < 200; ++i) {
            arrive(120.0, milliseconds(9), i % 4 == 0 ? 60.0 : 1.0);
        }
        CHECK(shouldLeave(demand, settings, 0.5));
        CHECK_FALSE(shouldLeave(demand, settings, 60.0));
    }
    SECTION("sends the share that is too much when all requests are small")
    {
        int left = 0;
        constexpr int Requests = 2000;
        arrive(125.0, seconds(6), 0.5);
        for (int i = 0; i < Requests; ++i) {
            left += shouldLeave(demand, settings, 0.5) ? 1 : 0;
            arrive(125.0, milliseconds(8), 0.5);
        }
        CHECK(shareOf(left, Requests) == Approx(1.0 - 0.95 / 1.25).margin(0.03));
    }
    SECTION("compares the price with the cost of waiting")
    {
        CHECK(spilloverPrice(settings, 100.0) == Approx(0.83));
        CHECK(waitingCost(milliseconds(100), seconds(1)) == Approx(0.1));
        CHECK(waitingCost(milliseconds(100), milliseconds(-5)) == 1.0);
    }
}
