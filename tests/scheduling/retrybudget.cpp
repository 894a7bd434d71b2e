#include <ragwortrelay/scheduling/retrybudget.h>
#include <ragwortrelay/scheduling/scheduler.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace RagwortRelay;
using namespace RagwortRelay::Scheduling;

namespace {

/// Returns how many of so many further attempts a scheduler allows.
int allowedOf(Scheduler &scheduler, int attempts, TimePoint now)
{
    RandomGenerator random(1);
    int allowed = 0;
    for (int i = 0; i < attempts; ++i) {
        PlacementRequest further;
        further.m_service = ServiceId("desk");
        further.m_purpose = AttemptKind::Retry;
        const auto response = placement(scheduler, further, {HostId("h1"), FailureDomainId("d1")}, random, now);
        allowed += response && response->m_reason == RefusalReason::NoBudget ? 0 : 1;
    }
    return allowed;
}

void makeRequests(Scheduler &scheduler, int requests, TimePoint now)
{
    RandomGenerator random(1);
    for (int i = 0; i < requests; ++i) {
        PlacementRequest first;
        first.m_service = ServiceId("desk");
        (void)placement(scheduler, first, {HostId("h1"), FailureDomainId("d1")}, random, now);
    }
}

}

TEST_CASE("retry budget")
{
    SECTION("no sequence of requests gets more retries than the ratio and the reserve allow, in any part of it")
    {
        CHECK(rc::check("retries are bounded", [] {
            const RetryLimit limit{0.2, 5.0};
            RetryBudget budget;
            const auto kinds = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
            std::vector<double> retriesUpTo{0.0};
            std::vector<double> requestsUpTo{0.0};
            for (const int kind : kinds) {
                double retries = retriesUpTo.back();
                double requests = requestsUpTo.back();
                if (kind == 0) {
                    budget = afterRequest(budget, limit);
                    ++requests;
                } else if (allowsRetry(budget, limit, 1.0)) {
                    budget = afterRetry(budget);
                    ++retries;
                }
                retriesUpTo.push_back(retries);
                requestsUpTo.push_back(requests);
            }
            for (std::size_t end = 0; end < retriesUpTo.size(); ++end) {
                for (std::size_t begin = 0; begin < end; ++begin) {
                    const double retries = retriesUpTo[end] - retriesUpTo[begin];
                    RC_ASSERT(retries <= limit.m_ratio * (requestsUpTo[end] - requestsUpTo[begin]) + limit.m_reserve + 1e-6);
                }
            }
        }));
    }

    SECTION("a host with a part of the reserve stops earlier")
    {
        const RetryLimit limit{0.2, 8.0, 0.0};
        RetryBudget budget;
        for (int i = 0; i < 2; ++i) {
            REQUIRE(allowsRetry(budget, limit, 0.25));
            budget = afterRetry(budget);
        }
        CHECK_FALSE(allowsRetry(budget, limit, 0.25));
        CHECK(allowsRetry(budget, limit, 0.5));
        CHECK_FALSE(allowsRetry(budget, limit, 0.0));
    }
}

TEST_CASE("regression: each new leader handed out a whole reserve of further attempts")
{
    // All hosts were lost and came back; what the leader before had handed out in the same seconds was forgotten.
    const TimePoint now{std::chrono::seconds(100)};
    Scheduler scheduler;
    scheduler.m_settings.m_retries = {0.2, 10.0, 0.3};
    constexpr int AtOnce = 7;
    constexpr int ForStarts = 3;

    SECTION("a scheduler that starts has a part of the reserve, and the ratio")
    {
        setShare(scheduler, 1.0, now);
        makeRequests(scheduler, 21, now);
        CHECK(allowedOf(scheduler, 30, now) == ForStarts + 4);
    }
    SECTION("the reserve fills with requests, and holds no more than its bound")
    {
        setShare(scheduler, 1.0, now);
        makeRequests(scheduler, 200, now);
        CHECK(allowedOf(scheduler, 30, now) == AtOnce);
    }
    SECTION("a greater share brings no further attempts of its own")
    {
        setShare(scheduler, 0.1, now);
        makeRequests(scheduler, 200, now);
        setShare(scheduler, 1.0, now);
        CHECK(allowedOf(scheduler, 30, now) <= 1); // A tenth of it.
    }
    SECTION("a smaller share leaves what it has room for")
    {
        setShare(scheduler, 1.0, now);
        makeRequests(scheduler, 200, now);
        setShare(scheduler, 0.5, now);
        CHECK(allowedOf(scheduler, 30, now) == AtOnce / 2);
    }
}
