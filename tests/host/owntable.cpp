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

EditTable setRate(const FleetSimulation &simulation, const std::string &changeId, const std::string &rate)
{
    return limitEdit(simulation, changeId, rate, "1000");
}

EditTable withdrawal(const FleetSimulation &simulation)
{
    Configuration::Cells cells = keyCells();
    cells["withdrawn"] = "yes";
    return {"withdrawal", "operator", {rowEdit(RowKind::Key, "k1", cells, versionOf(simulation, RowKind::Key, "k1"))}};
}

/// Asks a host with the key; returns the error, or nothing for an answer of a server.
std::optional<ErrorId> ask(FleetSimulation &simulation, const HostId &host)
{
    const auto id = simulation.request(host, "/a", OwnKey);
    simulation.run(seconds(1));
    const CallerResponse &response = simulation.m_responses.at(id);
    return response.m_isForwarded ? std::nullopt : std::optional(response.m_problem.m_id);
}

void cutOffStore(FleetSimulation &simulation, StoreMode mode)
{
    for (const auto &[host, state] : simulation.m_hosts) {
        simulation.m_storeModes[host] = mode;
    }
}

/// Cuts a host off from all others, both ways.
void isolate(FleetSimulation &simulation, const HostId &host)
{
    for (const auto &[other, state] : simulation.m_hosts) {
        simulation.m_partitions.insert({host, other});
        simulation.m_partitions.insert({other, host});
    }
}

}

TEST_CASE("operators' own table")
{
    FleetSimulation simulation(5);
    startOperatorTableFleet(simulation, 5, 3);
    REQUIRE(ask(simulation, One) == std::nullopt);

    SECTION("an edit is in force on all hosts when its operator is told")
    {
        const auto call = simulation.command(One, setRate(simulation, "a", "10"));
        for (int i = 0; i < 200 && !simulation.m_replies.contains(call); ++i) {
            simulation.run(milliseconds(5));
        }
        const auto *done = simulation.replyTo<EditCommitted>(call);
        REQUIRE(done);
        for (const auto &[host, state] : simulation.m_hosts) {
            CHECK(state.m_catalogue->m_version >= done->m_version);
            CHECK(state.m_catalogue->m_workspaces.at(WorkspaceId("w1")).m_rate == 10);
        }
    }

    SECTION("of two operators on one row the later gets both values")
    {
        const EditTable first = setRate(simulation, "a", "10");
        const EditTable second = setRate(simulation, "b", "20");
        const auto one = simulation.command(One, first);
        const auto other = simulation.command(Two, second);
        simulation.run(seconds(3));
        const bool isFirst = simulation.replyTo<EditCommitted>(one) != nullptr;
        CHECK(simulation.replyTo<EditCommitted>(isFirst ? one : other));
        const auto *conflict = simulation.replyTo<EditConflict>(isFirst ? other : one);
        REQUIRE(conflict);
        REQUIRE(conflict->m_storedRows.size() == 1);
        CHECK(conflict->m_storedRows[0].m_cells.at("rate") == (isFirst ? "10" : "20"));
    }

    SECTION("an edit whose answer is lost is done once, and its operator is told so")
    {
        simulation.m_storeModes[One] = StoreMode::LosingAnswers;
        const auto call = simulation.command(One, setRate(simulation, "a", "10"));
        simulation.run(seconds(4));
        simulation.m_storeModes[One] = StoreMode::Serving;
        const std::uint64_t version = versionOf(simulation, RowKind::Workspace, "w1");
        simulation.run(seconds(4));
        const auto *done = simulation.replyTo<EditCommitted>(call);
        REQUIRE(done);
        CHECK(done->m_version == version);
        CHECK(versionOf(simulation, RowKind::Workspace, "w1") == version);
    }

    SECTION("a withdrawn key is refused on all hosts, also on one that lost the store and a third of its messages")
    {
        const HostId last("h5");
        simulation.m_storeModes[last] = StoreMode::Silent;
        simulation.m_lossChance = 0.3;
        simulation.run(seconds(20));
        CHECK(ask(simulation, last) == std::nullopt);
        simulation.command(One, withdrawal(simulation));
        simulation.run(seconds(9));
        for (const auto &[host, state] : simulation.m_hosts) {
            CHECK(ask(simulation, host) == ErrorId::RequestUnauthenticated);
        }
    }

    SECTION("an outage of the store for hours stops nobody, and no edit is taken meanwhile")
    {
        cutOffStore(simulation, StoreMode::Silent);
        simulation.run(std::chrono::hours(2));
        for (const auto &[host, state] : simulation.m_hosts) {
            CHECK(ask(simulation, host) == std::nullopt);
        }
        const auto call = simulation.command(One, setRate(simulation, "a", "10"));
        simulation.run(seconds(30));
        CHECK(simulation.replyTo<EditOutcomeUnknown>(call));
        cutOffStore(simulation, StoreMode::Serving);
        const auto repeat = simulation.command(Two, setRate(simulation, "a", "10"));
        simulation.run(seconds(10));
        CHECK(simulation.replyTo<EditCommitted>(repeat));
    }

    SECTION("a host without the store and most of the others stops serving, and takes no edit")
    {
        const HostId last("h5");
        simulation.m_storeModes[last] = StoreMode::Silent;
        isolate(simulation, last);
        simulation.run(seconds(10));
        CHECK(ask(simulation, last) == ErrorId::RequestHostIsolated);
        CHECK_FALSE(simulation.m_ready[last]);
        const auto call = simulation.command(last, setRate(simulation, "a", "10"));
        simulation.run(seconds(1));
        CHECK(simulation.replyTo<EditOutcomeUnknown>(call));
        CHECK_FALSE(simulation.replyTo<EditOutcomeUnknown>(call)->m_mayBeCommitted);
        CHECK(ask(simulation, One) == std::nullopt);
    }

    SECTION("a key withdrawn while a minority is cut off works nowhere, though the minority reaches no store")
    {
        const HostId last("h5");
        isolate(simulation, last);
        simulation.m_storeModes[last] = StoreMode::Silent;
        const auto call = simulation.command(One, withdrawal(simulation));
        simulation.run(seconds(10));
        CHECK(simulation.replyTo<EditCommitted>(call));
        cutOffStore(simulation, StoreMode::Silent);
        simulation.run(seconds(20));
        CHECK(ask(simulation, last) == ErrorId::RequestHostIsolated);
        simulation.m_partitions.clear();
        simulation.run(seconds(5));
        for (const auto &[host, state] : simulation.m_hosts) {
            CHECK(ask(simulation, host) == ErrorId::RequestUnauthenticated);
        }
    }

    SECTION("a host that starts while the store is down joins by the seeds")
    {
        cutOffStore(simulation, StoreMode::Silent);
        simulation.run(seconds(20));
        simulation.m_configure = [](Host::HostSettings &settings) {
            settings.m_seeds = {"h1", "h2"};
            settings.m_secret = "secret of the fleet";
        };
        const HostId newcomer("h9");
        simulation.m_storeModes[newcomer] = StoreMode::Silent;
        simulation.start("h9", "d1");
        simulation.run(seconds(5));
        CHECK(simulation.m_ready[newcomer]);
        CHECK(ask(simulation, newcomer) == std::nullopt);
    }
}

TEST_CASE("regression: an edit that came right after the start of a fleet was refused")
{
    for (const int age : {1, 5, 20, 100, 300, 600}) {
        FleetSimulation simulation(6);
        simulation.m_source = Host::operatorTableSource();
        simulation.startHosts(3);
        simulation.run(milliseconds(age));
        const auto call = simulation.command(One, firstTable(2));
        simulation.run(seconds(4));
        INFO("after " << age << " ms");
        CHECK(simulation.replyTo<EditCommitted>(call));
    }
}

TEST_CASE("regression: an edit was refused while a second host joined the first one")
{
    for (const char *newcomer : {"h2", "h3"}) {
        for (int age = 0; age <= 600; age += 40) {
            FleetSimulation simulation(6);
            simulation.m_source = Host::operatorTableSource();
            simulation.m_peerDelay = milliseconds(80);
            simulation.start("h1", "d1");
            simulation.run(milliseconds(400));
            simulation.start(newcomer, "d2");
            simulation.run(milliseconds(age));
            const auto call = simulation.command(One, firstTable(2));
            simulation.run(seconds(4));
            INFO("after " << age << " ms beside " << newcomer);
            CHECK(simulation.replyTo<EditCommitted>(call));
        }
    }
}

TEST_CASE("requests with an idempotency key")
{
    FleetSimulation simulation(1);
    std::map<std::string, int> runs;
    simulation.m_server = [&](const ServedAttempt &attempt) {
        const Host::RequestArrived &request = simulation.m_requests.at(attempt.m_start.m_exchange);
        ++runs[request.m_metadata.m_idempotencyKey];
        Host::AttemptResponded response{attempt.m_start.m_attempt, 200, {}, true, {}};
        response.m_stored = Dispatch::StoredResponse{200, {{"A", "b"}}, "run " + std::to_string(request.m_exchange)};
        return std::pair(Duration(milliseconds(50)), std::optional<Host::Event>(response));
    };
    startOperatorTableFleet(simulation, 3, 4);

    SECTION("the answer is kept for a caller that went away")
    {
        const auto first = simulation.post(One, "/book", OwnKey, "key");
        simulation.run(milliseconds(30));
        simulation.deliver(One, Host::CallerDisconnected{first});
        simulation.run(seconds(2));
        const auto second = simulation.post(HostId("h3"), "/book", OwnKey, "key");
        simulation.run(seconds(2));
        CHECK(simulation.m_responses.at(second).m_replayed);
        CHECK(runs.at("key") == 1);
    }

    SECTION("a host that dies with a run leaves it unknown, and nobody runs it again")
    {
        simulation.post(One, "/book", OwnKey, "key");
        simulation.run(milliseconds(30));
        REQUIRE(runs.at("key") == 1);
        simulation.kill(One);
        const auto second = simulation.post(Two, "/book", OwnKey, "key");
        simulation.run(seconds(15));
        CHECK(simulation.m_responses.at(second).m_problem.m_outcome == Dispatch::Outcome::Unknown);
        CHECK(runs.at("key") == 1);
    }

    SECTION("a connection that breaks after the request was sent is told as unknown, also later")
    {
        simulation.m_server = [&](const ServedAttempt &attempt) {
            ++runs["key"];
            return std::pair(Duration(milliseconds(5)), FleetSimulation::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::Broken, true));
        };
        for (const HostId &host : {One, Two}) {
            const auto id = simulation.post(host, "/book", OwnKey, "key");
            simulation.run(seconds(2));
            CHECK(simulation.m_responses.at(id).m_problem.m_id == ErrorId::RequestOutcomeUnknown);
        }
        CHECK(runs.at("key") == 1);
    }

    SECTION("without the store they are refused as not run, and run after it is back")
    {
        cutOffStore(simulation, StoreMode::Silent);
        const auto first = simulation.post(One, "/book", OwnKey, "key");
        simulation.run(seconds(10));
        CHECK(simulation.m_responses.at(first).m_problem.m_id == ErrorId::RequestClaimUnavailable);
        CHECK(simulation.m_responses.at(first).m_problem.m_outcome == Dispatch::Outcome::NotRun);
        CHECK(simulation.m_responses.at(first).m_problem.m_retryAfter);
        cutOffStore(simulation, StoreMode::Serving);
        simulation.run(seconds(10));
        CHECK(runs.empty());
        const auto second = simulation.post(Two, "/book", OwnKey, "key");
        simulation.run(seconds(5));
        CHECK(simulation.m_responses.at(second).m_isForwarded);
        CHECK(runs.at("key") == 1);
    }

    SECTION("a resend to another host gets the stored answer and runs nothing")
    {
        const auto first = simulation.post(One, "/book", OwnKey, "key");
        simulation.run(seconds(2));
        const auto second = simulation.post(Two, "/book", OwnKey, "key");
        simulation.run(seconds(2));
        REQUIRE(simulation.m_responses.at(second).m_replayed);
        CHECK(simulation.m_responses.at(second).m_replayed->m_body == "run " + std::to_string(first));
        CHECK(runs.at("key") == 1);
    }
}
