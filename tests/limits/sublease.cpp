#include <ragwortrelay/limits/sublease.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace RagwortRelay;
using namespace RagwortRelay::Limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};
const WorkspaceId Busy("w1");

std::map<WorkspaceId, TokenBucket> limits()
{
    TokenBucket bucket;
    bucket.m_rate = 100.0;
    bucket.m_burst = 100.0;
    return {{Busy, bucket}};
}

void use(Lender &lender, const HostId &host, int tokens, TimePoint now)
{
    for (int i = 0; i < tokens; ++i) {
        recordUse(lender, host, Busy, now);
    }
}

}

TEST_CASE("sub-leases")
{
    const SubleaseSettings settings;
    const HostId host("h1");
    Lender lender;
    use(lender, host, 40, Start);
    const TimePoint now = Start + seconds(1);

    SECTION("a host gets a part of its use, which is lent until its end and not longer")
    {
        const auto granted = grantSubleases(lender, settings, host, limits(), backingOf({{1.0, TimePoint::max()}}, now), now);
        REQUIRE(granted.size() == 1);
        CHECK(granted[0].m_fraction == Approx(0.5 * 1.5 * 0.4)); // The moving average has half of the use after the first second.
        CHECK(lentFraction(lender, Busy, now + settings.m_duration - Duration(1)) == Approx(granted[0].m_fraction));
        CHECK(lentFraction(lender, Busy, now + settings.m_duration + SubleaseSlot) == 0.0);
    }
    SECTION("nothing is lent that the leases of the followers don't cover until the end")
    {
        const Backing backing = backingOf({{1.0, now + settings.m_duration - milliseconds(100)}}, now);
        CHECK(grantSubleases(lender, settings, host, limits(), backing, now).empty());
    }
    SECTION("a smaller sub-lease doesn't free what the earlier one may still use")
    {
        const Backing backing = backingOf({{1.0, TimePoint::max()}}, now);
        const double first = grantSubleases(lender, settings, host, limits(), backing, now).at(0).m_fraction;
        const TimePoint later = now + seconds(1);
        use(lender, host, 4, later);
        CHECK(grantSubleases(lender, settings, host, limits(), backing, later).at(0).m_fraction < first);
        CHECK(lentFraction(lender, Busy, later) == Approx(first));
    }
    SECTION("a reply that was written for an earlier process or is late gives nothing")
    {
        Borrowings borrowings;
        applySubleases(borrowings, settings, {{Busy, 0.3}}, now + seconds(1), now);
        applySubleases(borrowings, settings, {{Busy, 0.3}}, now - settings.m_duration, now);
        CHECK(borrowings.empty());
        applySubleases(borrowings, settings, {{Busy, 0.3}}, now, now);
        applySubleases(borrowings, settings, {{Busy, 0.5}}, now - milliseconds(100), now);
        CHECK(borrowings.at(Busy) == Borrowed{0.3, now + settings.m_duration});
    }
}

TEST_CASE("what is lent")
{
    rc::prop("is covered by the leases until its end", [](const std::vector<std::uint16_t> &steps) {
        const SubleaseSettings settings;
        Lender lender;
        TimePoint now = Start;
        std::vector<LeasedPart> parts(5, {0.2, Start});
        for (const std::uint16_t step : steps) {
            now += milliseconds(step % 7 * 60);
            const HostId host("h" + std::to_string(step % 5));
            parts[step % 5].m_until = now + milliseconds(2000 + step % 200);
            use(lender, host, step % 97, now);
            grantSubleases(lender, settings, host, limits(), backingOf(parts, now), now);
            for (int later = 0; later < 2500; later += 25) {
                const TimePoint at = now + milliseconds(later);
                double covered = 0.0;
                for (const LeasedPart &part : parts) {
                    covered += at < part.m_until ? part.m_fraction : 0.0;
                }
                RC_ASSERT(lentFraction(lender, Busy, at) <= covered + 1e-9);
            }
        }
    });
}
