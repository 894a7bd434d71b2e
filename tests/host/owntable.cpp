#include "../fakes/owntable.h"

#include <catch2/catch.hpp>

using namespace RagwortRelay;
using namespace RagwortRelay::Fakes;
using Configuration::RowKind;
using Operators::EditCommitted;
using Operators::EditConflict;
using Operators::EditOutcomeUnknown;
using Operators::EditTable;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const HostId One("h1");
const HostId Two("h2");

EditTable setRate(const FakeWorld &world, const std::string &changeId, const std::string &rate)
{
    return limitEdit(world, changeId, rate, "1000");
}

EditTable withdrawal(const FakeWorld &world)
{
    Configuration::Cells cells = keyCells();
    cells["withdrawn"] = "yes";
    return {"withdrawal", "operator", {rowEdit(RowKind::Key, "k1", cells, versionOf(world, RowKind::Key, "k1"))}};
}

/// Asks a host with the key; returns the error, or nothing for an answer of a server.
std::optional<ErrorId> ask(FakeWorld &world, const HostId &host)
{
    const auto id = world.request(host, "/a", OwnKey);
    world.run(seconds(1));
    const CallerResponse &response = world.m_responses.at(id);
    return response.m_isForwarded ? std::nullopt : std::optional(response.m_problem.m_id);
}

void cutOffStore(FakeWorld &world, StoreMode mode)
{
    for (const auto &[host, state] : world.m_hosts) {
        world.m_storeModes[host] = mode;
    }
}

/// Cuts a host off from all others, both ways.
void isolate(FakeWorld &world, const HostId &host)
{
    for (const auto &[other, state] : world.m_hosts) {
        world.m_cuts.insert({host, other});
        world.m_cuts.insert({other, host});
    }
}

}

TEST_CASE("operators' own table")
{
    FakeWorld world(5);
    startOwnFleet(world, 5, 3);
    REQUIRE(ask(world, One) == std::nullopt);

    SECTION("an edit is in force on all hosts when its operator is told")
    {
        const auto call = world.command(One, setRate(world, "a", "10"));
        for (int i = 0; i < 200 && !world.m_replies.contains(call); ++i) {
            world.run(milliseconds(5));
        }
        const auto *done = world.replyTo<EditCommitted>(call);
        REQUIRE(done);
        for (const auto &[host, state] : world.m_hosts) {
            CHECK(state.m_catalogue->m_version >= done->m_version);
            CHECK(state.m_catalogue->m_workspaces.at(WorkspaceId("w1")).m_rate == 10);
        }
    }

    SECTION("of two operators on one row the later gets both values")
    {
        const EditTable first = setRate(world, "a", "10");
        const EditTable second = setRate(world, "b", "20");
        const auto one = world.command(One, first);
        const auto other = world.command(Two, second);
        world.run(seconds(3));
        const bool isFirst = world.replyTo<EditCommitted>(one) != nullptr;
        CHECK(world.replyTo<EditCommitted>(isFirst ? one : other));
        const auto *conflict = world.replyTo<EditConflict>(isFirst ? other : one);
        REQUIRE(conflict);
        REQUIRE(conflict->m_storedRows.size() == 1);
        CHECK(conflict->m_storedRows[0].m_cells.at("rate") == (isFirst ? "10" : "20"));
    }

    SECTION("an edit whose answer is lost is done once, and its operator is told so")
    {
        world.m_storeModes[One] = StoreMode::LosingAnswers;
        const auto call = world.command(One, setRate(world, "a", "10"));
        world.run(seconds(4));
        world.m_storeModes[One] = StoreMode::Serving;
        const std::uint64_t version = versionOf(world, RowKind::Workspace, "w1");
        world.run(seconds(4));
        const auto *done = world.replyTo<EditCommitted>(call);
        REQUIRE(done);
        CHECK(done->m_version == version);
        CHECK(versionOf(world, RowKind::Workspace, "w1") == version);
    }

    SECTION("a withdrawn key is refused on all hosts, also on one that lost the store and a third of its messages")
    {
        const HostId last("h5");
        world.m_storeModes[last] = StoreMode::Silent;
        world.m_lossChance = 0.3;
        world.run(seconds(20));
        CHECK(ask(world, last) == std::nullopt);
        world.command(One, withdrawal(world));
        world.run(seconds(9));
        for (const auto &[host, state] : world.m_hosts) {
            CHECK(ask(world, host) == ErrorId::RequestUnauthenticated);
        }
    }

    SECTION("an outage of the store for hours stops nobody, and no edit is taken meanwhile")
    {
        cutOffStore(world, StoreMode::Silent);
        world.run(std::chrono::hours(2));
        for (const auto &[host, state] : world.m_hosts) {
            CHECK(ask(world, host) == std::nullopt);
        }
        const auto call = world.command(One, setRate(world, "a", "10"));
        world.run(seconds(30));
        CHECK(world.replyTo<EditOutcomeUnknown>(call));
        cutOffStore(world, StoreMode::Serving);
        const auto repeat = world.command(Two, setRate(world, "a", "10"));
        world.run(seconds(10));
        CHECK(world.replyTo<EditCommitted>(repeat));
    }

    SECTION("a host without the store and most of the others stops serving, and takes no edit")
    {
        const HostId last("h5");
        world.m_storeModes[last] = StoreMode::Silent;
        isolate(world, last);
        world.run(seconds(10));
        CHECK(ask(world, last) == ErrorId::RequestHostIsolated);
        CHECK_FALSE(world.m_ready[last]);
        const auto call = world.command(last, setRate(world, "a", "10"));
        world.run(seconds(1));
        CHECK(world.replyTo<EditOutcomeUnknown>(call));
        CHECK_FALSE(world.replyTo<EditOutcomeUnknown>(call)->m_mayBeCommitted);
        CHECK(ask(world, One) == std::nullopt);
    }

    SECTION("a key withdrawn while a minority is cut off works nowhere, though the minority reaches no store")
    {
        const HostId last("h5");
        isolate(world, last);
        world.m_storeModes[last] = StoreMode::Silent;
        const auto call = world.command(One, withdrawal(world));
        world.run(seconds(10));
        CHECK(world.replyTo<EditCommitted>(call));
        cutOffStore(world, StoreMode::Silent);
        world.run(seconds(20));
        CHECK(ask(world, last) == ErrorId::RequestHostIsolated);
        world.m_cuts.clear();
        world.run(seconds(5));
        for (const auto &[host, state] : world.m_hosts) {
            CHECK(ask(world, host) == ErrorId::RequestUnauthenticated);
        }
    }

    SECTION("a host that starts while the store is down joins by the seeds")
    {
        cutOffStore(world, StoreMode::Silent);
        world.run(seconds(20));
        world.m_tune = [](Host::HostSettings &settings) {
            settings.m_seeds = {"h1", "h2"};
            settings.m_secret = "secret of the fleet";
        };
        const HostId newcomer("h9");
        world.m_storeModes[newcomer] = StoreMode::Silent;
        world.start("h9", "d1");
        world.run(seconds(5));
        CHECK(world.m_ready[newcomer]);
        CHECK(ask(world, newcomer) == std::nullopt);
    }
}

TEST_CASE("regression: an edit that came right after the start of a fleet was refused")
{
    for (const int age : {1, 5, 20, 100, 300, 600}) {
        FakeWorld world(6);
        world.m_source = Host::operatorTableSource();
        world.startMany(3);
        world.run(milliseconds(age));
        const auto call = world.command(One, firstTable(2));
        world.run(seconds(4));
        INFO("after " << age << " ms");
        CHECK(world.replyTo<EditCommitted>(call));
    }
}

TEST_CASE("regression: an edit was refused while a second host joined the first one")
{
    for (const char *newcomer : {"h2", "h3"}) {
        for (int age = 0; age <= 600; age += 40) {
            FakeWorld world(6);
            world.m_source = Host::operatorTableSource();
            world.m_peerDelay = milliseconds(80);
            world.start("h1", "d1");
            world.run(milliseconds(400));
            world.start(newcomer, "d2");
            world.run(milliseconds(age));
            const auto call = world.command(One, firstTable(2));
            world.run(seconds(4));
            INFO("after " << age << " ms beside " << newcomer);
            CHECK(world.replyTo<EditCommitted>(call));
        }
    }
}

TEST_CASE("requests with an idempotency key")
{
    FakeWorld world(1);
    std::map<std::string, int> runs;
    world.m_server = [&](const ServedAttempt &attempt) {
        const Host::RequestArrived &request = world.m_requests.at(attempt.m_start.m_exchange);
        ++runs[request.m_metadata.m_idempotencyKey];
        Host::AttemptResponded response{attempt.m_start.m_attempt, 200, {}, true, {}};
        response.m_stored = Dispatch::StoredResponse{200, {{"A", "b"}}, "run " + std::to_string(request.m_exchange)};
        return std::pair(Duration(milliseconds(50)), std::optional<Host::Event>(response));
    };
    startOwnFleet(world, 3, 4);

    SECTION("the answer is kept for a caller that went away")
    {
        const auto first = world.post(One, "/book", OwnKey, "key");
        world.run(milliseconds(30));
        world.deliver(One, Host::CallerDisconnected{first});
        world.run(seconds(2));
        const auto second = world.post(HostId("h3"), "/book", OwnKey, "key");
        world.run(seconds(2));
        CHECK(world.m_responses.at(second).m_replayed);
        CHECK(runs.at("key") == 1);
    }

    SECTION("a host that dies with a run leaves it unknown, and nobody runs it again")
    {
        world.post(One, "/book", OwnKey, "key");
        world.run(milliseconds(30));
        REQUIRE(runs.at("key") == 1);
        world.kill(One);
        const auto second = world.post(Two, "/book", OwnKey, "key");
        world.run(seconds(15));
        CHECK(world.m_responses.at(second).m_problem.m_outcome == Dispatch::Outcome::Unknown);
        CHECK(runs.at("key") == 1);
    }

    SECTION("a connection that breaks after the request was sent is told as unknown, also later")
    {
        world.m_server = [&](const ServedAttempt &attempt) {
            ++runs["key"];
            return std::pair(Duration(milliseconds(5)), FakeWorld::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::Broken, true));
        };
        for (const HostId &host : {One, Two}) {
            const auto id = world.post(host, "/book", OwnKey, "key");
            world.run(seconds(2));
            CHECK(world.m_responses.at(id).m_problem.m_id == ErrorId::RequestOutcomeUnknown);
        }
        CHECK(runs.at("key") == 1);
    }

    SECTION("without the store they are refused as not run, and run after it is back")
    {
        cutOffStore(world, StoreMode::Silent);
        const auto first = world.post(One, "/book", OwnKey, "key");
        world.run(seconds(10));
        CHECK(world.m_responses.at(first).m_problem.m_id == ErrorId::RequestClaimUnavailable);
        CHECK(world.m_responses.at(first).m_problem.m_outcome == Dispatch::Outcome::NotRun);
        CHECK(world.m_responses.at(first).m_problem.m_retryAfter);
        cutOffStore(world, StoreMode::Serving);
        world.run(seconds(10));
        CHECK(runs.empty());
        const auto second = world.post(Two, "/book", OwnKey, "key");
        world.run(seconds(5));
        CHECK(world.m_responses.at(second).m_isForwarded);
        CHECK(runs.at("key") == 1);
    }

    SECTION("a resend to another host gets the stored answer and runs nothing")
    {
        const auto first = world.post(One, "/book", OwnKey, "key");
        world.run(seconds(2));
        const auto second = world.post(Two, "/book", OwnKey, "key");
        world.run(seconds(2));
        REQUIRE(world.m_responses.at(second).m_replayed);
        CHECK(world.m_responses.at(second).m_replayed->m_body == "run " + std::to_string(first));
        CHECK(runs.at("key") == 1);
    }
}
