#include <ragwortrelay/scheduling/retrybudget.h>
#include <ragwortrelay/scheduling/scheduler.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace RagwortRelay;
using namespace RagwortRelay::Scheduling;

namespace {

/// Returns how many of the given number of retries a scheduler allows.
int countAllowedRetries(Scheduler &scheduler, int attempts, TimePoint now)
{
    RandomGenerator random(1);
    int allowed = 0;
    for (int i = 0; i < attempts; ++i) {
        PlacementRequest retry;
        retry.m_service = ServiceId("desk");
        retry.m_purpose = AttemptKind::Retry;
        const auto response = placement(scheduler, retry, {HostId("h1"), FailureDomainId("d1")}, random, now);
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
    SECTION("bounds the retries in every part of any sequence of requests by the ratio and the reserve")
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

    SECTION("limits a host to its share of the reserve")
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

TEST_CASE("regression: a new leader doesn't allow a whole reserve of retries again")
{
    // After a restart of all hosts, the retries that the previous leader had allowed in the same seconds were not counted.
    const TimePoint now{std::chrono::seconds(100)};
    Scheduler scheduler;
    scheduler.m_settings.m_retries = {0.2, 10.0, 0.3};
    constexpr int MaxBurst = 7;
    constexpr int StartupRetries = 3;

    SECTION("a starting scheduler allows its part of the reserve plus the ratio")
    {
        setShare(scheduler, 1.0, now);
        makeRequests(scheduler, 21, now);
        CHECK(countAllowedRetries(scheduler, 30, now) == StartupRetries + 4);
    }
    SECTION("requests refill the reserve up to its bound")
    {
        setShare(scheduler, 1.0, now);
        makeRequests(scheduler, 200, now);
        CHECK(countAllowedRetries(scheduler, 30, now) == MaxBurst);
    }
    SECTION("a greater share allows no additional retries at once")
    {
        setShare(scheduler, 0.1, now);
        makeRequests(scheduler, 200, now);
        setShare(scheduler, 1.0, now);
        CHECK(countAllowedRetries(scheduler, 30, now) <= 1); // A tenth of the reserve.
    }
    SECTION("a smaller share limits the retries to that share")
    {
        setShare(scheduler, 1.0, now);
        makeRequests(scheduler, 200, now);
        setShare(scheduler, 0.5, now);
        CHECK(countAllowedRetries(scheduler, 30, now) == MaxBurst / 2);
    }
}
