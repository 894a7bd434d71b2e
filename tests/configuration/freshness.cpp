#include <ragwortrelay/configuration/freshness.h>

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Configuration;
using std::chrono::seconds;

namespace {

constexpr Duration Memory = seconds(8);
const HostId Self("h0");

std::map<HostId, HostEntry> rosterOf(int hosts)
{
    std::map<HostId, HostEntry> roster;
    for (int i = 0; i < hosts; ++i) {
        const HostId host("h" + std::to_string(i));
        roster.emplace(host, HostEntry{host, "", FailureDomainId("d")});
    }
    return roster;
}

Attest attestOf(const Ask &ask, std::uint64_t version, std::optional<Duration> confirmedAgo = {}, bool established = true)
{
    return {ask.m_nonce, version, confirmedAgo, established, FailureDomainId("d"), {}};
}

}

TEST_CASE("freshness")
{
    const auto roster = rosterOf(5);
    const TimePoint start(seconds(100));
    FreshnessState state;
    state.m_established = true;
    state.m_startedAt = start - seconds(50);
    const Ask ask = makeAsk(state, false, start, Memory);
    const auto judge = [&](TimePoint now) { return judgeFreshness(state, roster, Self, 7, now, Memory); };

    SECTION("a late answer counts as of the time of the question")
    {
        CHECK(takeAttest(state, HostId("h1"), attestOf(ask, 7, seconds(2)), 7));
        CHECK(judge(start + seconds(6)) == Freshness::Confirmed);
        CHECK(judge(start + seconds(7)) == Freshness::Isolated);
    }

    SECTION("an answer with a higher version confirms nothing and isn't reached")
    {
        for (const char *host : {"h1", "h2", "h3", "h4"}) {
            takeAttest(state, HostId(host), attestOf(ask, 8, seconds(0)), 7);
        }
        CHECK(judge(start + seconds(1)) == Freshness::Isolated);
    }

    SECTION("without the store, more than half of the roster is needed, this host included")
    {
        takeAttest(state, HostId("h1"), attestOf(ask, 7), 7);
        CHECK(judge(start + seconds(1)) == Freshness::Isolated);
        takeAttest(state, HostId("h2"), attestOf(ask, 6), 7);
        CHECK(judge(start + seconds(1)) == Freshness::Outage);
        CHECK(judge(start + seconds(9)) == Freshness::Isolated);
    }

    SECTION("hosts that aren't established, strangers and unasked answers don't count")
    {
        takeAttest(state, HostId("h1"), attestOf(ask, 7, {}, false), 7);
        takeAttest(state, HostId("stranger"), attestOf(ask, 7), 7);
        CHECK_FALSE(takeAttest(state, HostId("h2"), attestOf({99, false, {}}, 7), 7));
        takeAttest(state, HostId("h3"), attestOf(ask, 7), 7);
        CHECK(judge(start + seconds(1)) == Freshness::Isolated);
    }

    SECTION("a new host doesn't count for others by a confirmation from before its start")
    {
        state.m_established = false;
        state.m_startedAt = start;
        takeAttest(state, HostId("h1"), attestOf(ask, 7, seconds(1)), 7);
        CHECK(judge(start + seconds(1)) == Freshness::Confirmed);
        CHECK_FALSE(state.m_established);
        confirmVersion(state, start + seconds(1));
        judge(start + seconds(1));
        CHECK(state.m_established);
    }

    SECTION("a new host doesn't count itself until it has heard a majority of others")
    {
        state.m_established = false;
        takeAttest(state, HostId("h1"), attestOf(ask, 7), 7);
        takeAttest(state, HostId("h2"), attestOf(ask, 7), 7);
        CHECK(judge(start + seconds(1)) == Freshness::Isolated);
        takeAttest(state, HostId("h3"), attestOf(ask, 7), 7);
        CHECK(judge(start + seconds(1)) == Freshness::Outage);
        CHECK(state.m_established);
    }
}
