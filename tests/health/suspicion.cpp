#include <ragwortrelay/health/suspicion.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace RagwortRelay;
using namespace RagwortRelay::Health;
using std::chrono::seconds;

namespace {

const HostId Host("h1");
const FailureDomainId East("east");
const FailureDomainId West("west");
constexpr TimePoint Now{seconds(100)};

/// Returns the suspicion of a server after the given number of failed requests from each of the failure domains.
ServerSuspicion suspicionAfterFailures(const SuspicionSettings &settings, int failures, const std::vector<FailureDomainId> &domains)
{
    ServerSuspicion server;
    for (const FailureDomainId &domain : domains) {
        for (int i = 0; i < failures; ++i) {
            addEvidence(settings, server.m_byDomain[domain], settings.m_failure, Now);
        }
    }
    return server;
}

}

TEST_CASE("suspicion of a backend server")
{
    const SuspicionSettings settings;

    SECTION("one broken connection makes the server more likely unhealthy than healthy")
    {
        CHECK(unhealthyProbability(settings, suspicionAfterFailures(settings, 1, {East}), Host, East, Now) > 0.5);
    }
    SECTION("suspicion decays over time")
    {
        const ServerSuspicion server = suspicionAfterFailures(settings, 2, {East});
        CHECK(unhealthyProbability(settings, server, Host, East, Now + seconds(2)) < unhealthyProbability(settings, server, Host, East, Now));
        CHECK(unhealthyProbability(settings, server, Host, East, Now + seconds(60)) < 0.05);
    }
    SECTION("suspicion is bounded, regardless of how many failure domains observed failures")
    {
        const double probabilityFromOneDomain = unhealthyProbability(settings, suspicionAfterFailures(settings, 9, {East}), Host, East, Now);
        const double probabilityFromBothDomains = unhealthyProbability(settings, suspicionAfterFailures(settings, 9, {East, West}), Host, East, Now);
        CHECK(probabilityFromBothDomains == Approx(probabilityFromOneDomain));
    }
    SECTION("evidence from another failure domain has less weight")
    {
        const ServerSuspicion server = suspicionAfterFailures(settings, 1, {East});
        CHECK(unhealthyProbability(settings, server, Host, West, Now) < unhealthyProbability(settings, server, Host, East, Now));
        CHECK(unhealthyProbability(settings, server, Host, West, Now) > unhealthyProbability(settings, {}, Host, West, Now));
    }
    SECTION("a success lowers the suspicion in all failure domains")
    {
        ServerSuspicion server = suspicionAfterFailures(settings, 1, {West});
        const double before = unhealthyProbability(settings, server, Host, West, Now);
        addSuccess(settings, server, Host, East, Now);
        CHECK(unhealthyProbability(settings, server, Host, West, Now) < before);
    }
}
