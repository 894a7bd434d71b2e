#include <ragwortrelay/health/suspicion.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace RagwortRelay;
using namespace RagwortRelay::Health;
using std::chrono::seconds;

namespace {

const HostId One("h1");
const FailureDomainId East("east");
const FailureDomainId West("west");
constexpr TimePoint Now{seconds(100)};

/// Returns what speaks against a server of which so many requests failed, as seen from each of the failure domains.
ServerSuspicion suspicionAfter(const SuspicionSettings &settings, int failures, const std::vector<FailureDomainId> &domains)
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

TEST_CASE("the suspicion of a server")
{
    const SuspicionSettings settings;

    SECTION("one broken connection makes it more likely sick than not")
    {
        CHECK(unhealthyProbability(settings, suspicionAfter(settings, 1, {East}), One, East, Now) > 0.5);
    }
    SECTION("it fades")
    {
        const ServerSuspicion server = suspicionAfter(settings, 2, {East});
        CHECK(unhealthyProbability(settings, server, One, East, Now + seconds(2)) < unhealthyProbability(settings, server, One, East, Now));
        CHECK(unhealthyProbability(settings, server, One, East, Now + seconds(60)) < 0.05);
    }
    SECTION("it is bounded, however many failure domains saw the server fail")
    {
        const double seenByOne = unhealthyProbability(settings, suspicionAfter(settings, 9, {East}), One, East, Now);
        const double seenByBoth = unhealthyProbability(settings, suspicionAfter(settings, 9, {East, West}), One, East, Now);
        CHECK(seenByBoth == Approx(seenByOne));
    }
    SECTION("what another failure domain saw counts less")
    {
        const ServerSuspicion server = suspicionAfter(settings, 1, {East});
        CHECK(unhealthyProbability(settings, server, One, West, Now) < unhealthyProbability(settings, server, One, East, Now));
        CHECK(unhealthyProbability(settings, server, One, West, Now) > unhealthyProbability(settings, {}, One, West, Now));
    }
    SECTION("a success speaks for it in all failure domains")
    {
        ServerSuspicion server = suspicionAfter(settings, 1, {West});
        const double before = unhealthyProbability(settings, server, One, West, Now);
        addSuccess(settings, server, One, East, Now);
        CHECK(unhealthyProbability(settings, server, One, West, Now) < before);
    }
}
