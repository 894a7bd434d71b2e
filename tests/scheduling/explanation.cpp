#include <ragwortrelay/scheduling/explanation.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace RagwortRelay;
using namespace RagwortRelay::Scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Desk("desk");
const WorkspaceId Hotel("hotel");
const Requester Self{HostId("h1"), FailureDomainId("d1")};
const ServerId First("s1");

PlacementRequest placementOf(std::uint64_t number)
{
    PlacementRequest placement;
    placement.m_number = number;
    placement.m_service = Desk;
    placement.m_workspace = Hotel;
    placement.m_timeLeft = seconds(3);
    placement.m_objectiveLeft = seconds(2);
    return placement;
}

/// Returns a scheduler for servers of 2 slots in three failure domains and a workspace with a limit.
Scheduler makeScheduler(int servers, std::uint32_t rate, std::uint32_t burst, TimePoint now)
{
    Scheduler scheduler;
    for (int i = 1; i <= servers; ++i) {
        Configuration::Server server;
        server.m_id = ServerId("s" + std::to_string(i));
        server.m_service = Desk;
        server.m_domain = FailureDomainId("d" + std::to_string(i % 3));
        server.m_slots = 2;
        setServer(scheduler.m_registry, server, now);
    }
    Configuration::Catalogue catalogue;
    catalogue.m_workspaces[Hotel] = {Hotel, rate, burst, 1.0, true, {}};
    setCatalogue(scheduler, catalogue, now - seconds(100)); // The bucket has filled since.
    return scheduler;
}

std::vector<ServerExclusion> exclusionsOf(const Scheduler &scheduler, const PlacementRequest &placement, const ServerId &server, TimePoint now)
{
    const auto explanation = explainSelection(scheduler.m_registry, scheduler.m_settings.m_selection, placement, Self, RandomGenerator(1), now);
    const auto found = std::ranges::find_if(explanation.m_servers, [&](const ServerExplanation &known) { return known.m_server == server; });
    REQUIRE(found != explanation.m_servers.end());
    return found->m_exclusions;
}

/// Fails attempts of other hosts on a server until it is avoided.
void makeUnhealthy(Scheduler &scheduler, const ServerId &server, TimePoint now)
{
    for (std::uint64_t i = 1; i <= 8; ++i) {
        const PlacementRequest placement = placementOf(1000 + i);
        startAttempt(scheduler.m_registry, scheduler.m_settings.m_selection, placement, server, Self, now);
        const AttemptReport report{placement.m_number, server, AttemptEnd::Broken, milliseconds(50), 0, 0, false};
        endAttempt(scheduler.m_registry, scheduler.m_settings.m_selection, report, Self, now);
    }
}

}

// An explanation with a copy of a rule drifts from the selection: the reported server wasn't the one that got the request.
TEST_CASE("an explanation names the server that the next placement gets")
{
    const int servers = GENERATE(7, 120); // 120 are sampled.
    TimePoint now{seconds(1000)};
    Scheduler scheduler = makeScheduler(servers, 100000, 100000, now);
    scheduler.m_settings.m_selection.m_spillover.m_pricePerKib = GENERATE(0.0, 0.01);
    scheduler.m_settings.m_retries = {0.05, 10.0, 0.25}; // Fewer than the retries below, so that some are refused.
    RandomGenerator random(11);
    std::map<PlacementOutcome, int> outcomes;
    std::multimap<TimePoint, PlacementReply> running;
    for (std::uint64_t i = 1; i <= 600; ++i) {
        now += milliseconds(i / 50 % 2 == 0 ? 4 : 1); // Bursts exceed the slots of 7 servers.
        while (!running.empty() && running.begin()->first <= now) {
            const PlacementReply ended = running.begin()->second;
            running.erase(running.begin());
            const AttemptEnd end = *ended.m_server == First ? AttemptEnd::Broken : AttemptEnd::Succeeded;
            finish(scheduler, {ended.m_number, *ended.m_server, end, milliseconds(30), 0, 0, false}, Self, now);
        }
        for (const AddressedReply &served : serve(scheduler, random, now)) {
            if (served.m_response.m_server) {
                running.emplace(now + milliseconds(30), served.m_response);
            }
        }
        PlacementRequest placement = placementOf(i);
        placement.m_idempotent = i % 3 != 0;
        placement.m_purpose = i % 7 == 0 ? AttemptKind::Retry : AttemptKind::First;
        const PlacementExplanation explained = explainPlacement(scheduler, placement, Self, random, now);
        const auto reply = Scheduling::placement(scheduler, placement, Self, random, now);
        ++outcomes[explained.m_outcome];
        REQUIRE((explained.m_outcome == PlacementOutcome::Refused) == (reply && !reply->m_server));
        REQUIRE(explained.m_server == (reply ? reply->m_server : std::nullopt));
        if (reply && reply->m_server) {
            CHECK((explained.m_hasSpilloverPrice || explained.m_selection.m_server == reply->m_server));
            running.emplace(now + milliseconds(30), *reply);
        }
    }
    CHECK(outcomes[PlacementOutcome::Granted] > 0);
    CHECK(outcomes[PlacementOutcome::Refused] > 0);
    CHECK((servers > 7 || outcomes[PlacementOutcome::Queued] > 0));
}

// A server without requests couldn't be told from one that was merely expensive.
TEST_CASE("an explanation tells what excludes each server")
{
    const TimePoint now{seconds(1000)};
    Scheduler scheduler = makeScheduler(6, 100, 100, now);
    ServerState &server = scheduler.m_registry.m_servers.at(First);
    PlacementRequest placement = placementOf(1);
    REQUIRE(exclusionsOf(scheduler, placement, First, now).empty());
    ServerExclusion expected{};

    SECTION("evacuated")
    {
        setEvacuatedDomains(scheduler.m_registry, {FailureDomainId("d1")}, now);
        expected = ServerExclusion::Evacuated;
    }
    SECTION("draining")
    {
        server.m_server.m_use = Configuration::ServerUse::Draining;
        expected = ServerExclusion::Draining;
    }
    SECTION("no weight")
    {
        server.m_server.m_weight = 0.0;
        expected = ServerExclusion::NoWeight;
    }
    SECTION("no slot")
    {
        startAttempt(scheduler.m_registry, scheduler.m_settings.m_selection, placementOf(7), First, Self, now);
        startAttempt(scheduler.m_registry, scheduler.m_settings.m_selection, placementOf(8), First, Self, now);
        expected = ServerExclusion::NoSlot;
    }
    SECTION("shed")
    {
        server.m_fullUntil = now + milliseconds(1);
        expected = ServerExclusion::Shed;
    }
    SECTION("cold")
    {
        scheduler.m_settings.m_selection.m_warmupBounds = WarmupBounds{1.0, 0.0};
        scheduler.m_registry.m_services.at(Desk).m_policy.m_coldRate = 0.5;
        server.m_warmupEndsAt = now + seconds(1);
        expected = ServerExclusion::Cold;
    }
    SECTION("returning")
    {
        scheduler.m_settings.m_selection.m_minRestoredShare = 0.0;
        server.m_restoredAt = now;
        expected = ServerExclusion::Returning;
    }
    SECTION("tried")
    {
        placement.m_excluded = {First};
        expected = ServerExclusion::Excluded;
    }
    SECTION("avoided")
    {
        makeUnhealthy(scheduler, First, now);
        expected = ServerExclusion::Avoided;
    }
    CHECK(exclusionsOf(scheduler, placement, First, now) == std::vector{expected});
}

// The wait of a queued request and of one without a token was invisible to operators.
TEST_CASE("an explanation tells what a placement waits for and changes nothing")
{
    const TimePoint now{seconds(1000)};
    Scheduler scheduler = makeScheduler(1, 20, 3, now);
    RandomGenerator random(5);
    const auto place = [&](std::uint64_t number) { return Scheduling::placement(scheduler, placementOf(number), Self, random, now); };
    REQUIRE(place(1)->m_server);
    REQUIRE(place(2)->m_server);

    const PlacementExplanation queued = explainPlacement(scheduler, placementOf(0), Self, RandomGenerator(1), now);
    CHECK(queued.m_outcome == PlacementOutcome::Queued);
    CHECK(queued.m_queue.m_ahead == std::size_t(0));
    CHECK(queued.m_queue.m_expectedWait == queued.m_queue.m_usualTime / 2);
    CHECK(queued.m_limit->m_tokens == Approx(1.0));

    REQUIRE_FALSE(place(3));
    const auto bucket = scheduler.m_buckets.at(Hotel);
    const auto budgets = scheduler.m_budgets;
    const std::uint64_t selections = scheduler.m_selections;
    const PlacementExplanation waiting = explainPlacement(scheduler, placementOf(0), Self, RandomGenerator(1), now);
    CHECK(waiting.m_outcome == PlacementOutcome::AwaitsToken);
    CHECK(waiting.m_limit->m_wait == Duration(milliseconds(50)));
    CHECK(waiting.m_queue.m_size == 1);

    PlacementRequest urgent = placementOf(0);
    urgent.m_objectiveLeft = Duration(0); // No time to wait for a token.
    const PlacementExplanation refused = explainPlacement(scheduler, urgent, Self, RandomGenerator(1), now);
    CHECK(refused.m_outcome == PlacementOutcome::Refused);
    CHECK(refused.m_reason == RefusalReason::OverLimit);

    CHECK(scheduler.m_buckets.at(Hotel) == bucket);
    CHECK(scheduler.m_budgets == budgets);
    CHECK(scheduler.m_selections == selections);
    CHECK(scheduler.m_awaitingTokens.empty());
    CHECK(scheduler.m_queues.at(Desk).m_size == 1);
}
