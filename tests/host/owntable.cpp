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

const HostId FirstHost("h1");
const HostId SecondHost("h2");

EditTable rateEdit(const FleetSimulation &simulation, const std::string &changeId, const std::string &rate)
{
    return limitEdit(simulation, changeId, rate, "1000");
}

EditTable keyWithdrawal(const FleetSimulation &simulation)
{
    Configuration::Cells cells = keyCells();
    cells["withdrawn"] = "yes";
    return {"withdrawal", "operator", {rowEdit(RowKind::Key, "k1", cells, versionOf(simulation, RowKind::Key, "k1"))}};
}

/// Sends a request with the key to a host. Returns the error, or nothing when a response of a server was forwarded.
std::optional<ErrorId> sendRequest(FleetSimulation &simulation, const HostId &host)
{
    const auto id = simulation.request(host, "/a", OwnKey);
    simulation.run(seconds(1));
    const CallerResponse &response = simulation.m_responses.at(id);
    return response.m_isForwarded ? std::nullopt : std::optional(response.m_problem.m_id);
}

void setStoreMode(FleetSimulation &simulation, StoreMode mode)
{
    for (const auto &[host, state] : simulation.m_hosts) {
        simulation.m_storeModes[host] = mode;
    }
}

/// Partitions a host from all others in both directions.
void isolate(FleetSimulation &simulation, const HostId &host)
{
    for (const auto &[other, state] : simulation.m_hosts) {
        simulation.m_partitions.insert({host, other});
        simulation.m_partitions.insert({other, host});
    }
}

}

TEST_CASE("operators edit the table of the fleet")
{
    FleetSimulation simulation(5);
    startOperatorTableFleet(simulation, 5, 3);
    REQUIRE(sendRequest(simulation, FirstHost) == std::nullopt);

    SECTION("an edit is in force on all hosts when it is acknowledged")
    {
        const auto call = simulation.command(FirstHost, rateEdit(simulation, "a", "10"));
        for (int i = 0; i < 200 && !simulation.m_replies.contains(call); ++i) {
            simulation.run(milliseconds(5));
        }
        const auto *committed = simulation.replyTo<EditCommitted>(call);
        REQUIRE(committed);
        for (const auto &[host, state] : simulation.m_hosts) {
            CHECK(state.m_catalogue->m_version >= committed->m_version);
            CHECK(state.m_catalogue->m_workspaces.at(WorkspaceId("w1")).m_rate == 10);
        }
    }

    SECTION("the second of two concurrent edits of a row gets the stored value")
    {
        const EditTable first = rateEdit(simulation, "a", "10");
        const EditTable second = rateEdit(simulation, "b", "20");
        const auto one = simulation.command(FirstHost, first);
        const auto other = simulation.command(SecondHost, second);
        simulation.run(seconds(3));
        const bool isFirst = simulation.replyTo<EditCommitted>(one) != nullptr;
        CHECK(simulation.replyTo<EditCommitted>(isFirst ? one : other));
        const auto *conflict = simulation.replyTo<EditConflict>(isFirst ? other : one);
        REQUIRE(conflict);
        REQUIRE(conflict->m_storedRows.size() == 1);
        CHECK(conflict->m_storedRows[0].m_cells.at("rate") == (isFirst ? "10" : "20"));
    }

    SECTION("an edit whose store responses are lost is applied once and acknowledged")
    {
        simulation.m_storeModes[FirstHost] = StoreMode::LosingAnswers;
        const auto call = simulation.command(FirstHost, rateEdit(simulation, "a", "10"));
        simulation.run(seconds(4));
        simulation.m_storeModes[FirstHost] = StoreMode::Serving;
        const std::uint64_t version = versionOf(simulation, RowKind::Workspace, "w1");
        simulation.run(seconds(4));
        const auto *committed = simulation.replyTo<EditCommitted>(call);
        REQUIRE(committed);
        CHECK(committed->m_version == version);
        CHECK(versionOf(simulation, RowKind::Workspace, "w1") == version);
    }

    SECTION("a withdrawn key is refused on all hosts, including one without the store, while 30 % of the messages are lost")
    {
        const HostId lastHost("h5");
        simulation.m_storeModes[lastHost] = StoreMode::Silent;
        simulation.m_lossChance = 0.3;
        simulation.run(seconds(20));
        CHECK(sendRequest(simulation, lastHost) == std::nullopt);
        simulation.command(FirstHost, keyWithdrawal(simulation));
        simulation.run(seconds(9));
        for (const auto &[host, state] : simulation.m_hosts) {
            CHECK(sendRequest(simulation, host) == ErrorId::RequestUnauthenticated);
        }
    }

    SECTION("all hosts serve during a store outage of hours, and edits are not acknowledged meanwhile")
    {
        setStoreMode(simulation, StoreMode::Silent);
        simulation.run(std::chrono::hours(2));
        for (const auto &[host, state] : simulation.m_hosts) {
            CHECK(sendRequest(simulation, host) == std::nullopt);
        }
        const auto call = simulation.command(FirstHost, rateEdit(simulation, "a", "10"));
        simulation.run(seconds(30));
        CHECK(simulation.replyTo<EditOutcomeUnknown>(call));
        setStoreMode(simulation, StoreMode::Serving);
        const auto repeat = simulation.command(SecondHost, rateEdit(simulation, "a", "10"));
        simulation.run(seconds(10));
        CHECK(simulation.replyTo<EditCommitted>(repeat));
    }

    SECTION("a host without the store and the quorum stops serving and accepts no edits")
    {
        const HostId lastHost("h5");
        simulation.m_storeModes[lastHost] = StoreMode::Silent;
        isolate(simulation, lastHost);
        simulation.run(seconds(10));
        CHECK(sendRequest(simulation, lastHost) == ErrorId::RequestHostIsolated);
        CHECK_FALSE(simulation.m_ready[lastHost]);
        const auto call = simulation.command(lastHost, rateEdit(simulation, "a", "10"));
        simulation.run(seconds(1));
        CHECK(simulation.replyTo<EditOutcomeUnknown>(call));
        CHECK_FALSE(simulation.replyTo<EditOutcomeUnknown>(call)->m_mayBeCommitted);
        CHECK(sendRequest(simulation, FirstHost) == std::nullopt);
    }

    SECTION("a key withdrawn during a partition works on no host, including the isolated one without the store")
    {
        const HostId lastHost("h5");
        isolate(simulation, lastHost);
        simulation.m_storeModes[lastHost] = StoreMode::Silent;
        const auto call = simulation.command(FirstHost, keyWithdrawal(simulation));
        simulation.run(seconds(10));
        CHECK(simulation.replyTo<EditCommitted>(call));
        setStoreMode(simulation, StoreMode::Silent);
        simulation.run(seconds(20));
        CHECK(sendRequest(simulation, lastHost) == ErrorId::RequestHostIsolated);
        simulation.m_partitions.clear();
        simulation.run(seconds(5));
        for (const auto &[host, state] : simulation.m_hosts) {
            CHECK(sendRequest(simulation, host) == ErrorId::RequestUnauthenticated);
        }
    }

    SECTION("a host that starts while the store is down joins through its seeds")
    {
        setStoreMode(simulation, StoreMode::Silent);
        simulation.run(seconds(20));
        simulation.m_configure = [&simulation](Host::HostSettings &settings) {
            settings.m_seeds = {simulation.addressOf("h1"), simulation.addressOf("h2")};
            settings.m_secret = "secret of the fleet";
        };
        const HostId newHost("h9");
        simulation.m_storeModes[newHost] = StoreMode::Silent;
        simulation.start("h9", "d1");
        simulation.run(seconds(5));
        CHECK(simulation.m_ready[newHost]);
        CHECK(sendRequest(simulation, newHost) == std::nullopt);
    }
}

TEST_CASE("regression: an edit right after the start of a fleet is acknowledged")
{
    for (const int age : {1, 5, 20, 100, 300, 600}) {
        FleetSimulation simulation(6);
        simulation.m_source = Host::operatorTableSource();
        simulation.startHosts(3);
        simulation.run(milliseconds(age));
        const auto call = simulation.command(FirstHost, firstTable(2));
        simulation.run(seconds(4));
        INFO("after " << age << " ms");
        CHECK(simulation.replyTo<EditCommitted>(call));
    }
}

TEST_CASE("regression: an edit is acknowledged while a second host joins the first one")
{
    for (const char *newHost : {"h2", "h3"}) {
        for (int age = 0; age <= 600; age += 40) {
            FleetSimulation simulation(6);
            simulation.m_source = Host::operatorTableSource();
            simulation.m_peerDelay = milliseconds(80);
            simulation.start("h1", "d1");
            simulation.run(milliseconds(400));
            simulation.start(newHost, "d2");
            simulation.run(milliseconds(age));
            const auto call = simulation.command(FirstHost, firstTable(2));
            simulation.run(seconds(4));
            INFO("after " << age << " ms beside " << newHost);
            CHECK(simulation.replyTo<EditCommitted>(call));
        }
    }
}

TEST_CASE("requests with an idempotency key run at most once")
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

    SECTION("the response is stored after the caller has disconnected")
    {
        const auto first = simulation.post(FirstHost, "/book", OwnKey, "key");
        simulation.run(milliseconds(30));
        simulation.deliver(FirstHost, Host::CallerDisconnected{first});
        simulation.run(seconds(2));
        const auto second = simulation.post(HostId("h3"), "/book", OwnKey, "key");
        simulation.run(seconds(2));
        CHECK(simulation.m_responses.at(second).m_replayed);
        CHECK(runs.at("key") == 1);
    }

    SECTION("a request whose host is killed has an unknown outcome and is never run again")
    {
        simulation.post(FirstHost, "/book", OwnKey, "key");
        simulation.run(milliseconds(30));
        REQUIRE(runs.at("key") == 1);
        simulation.kill(FirstHost);
        const auto second = simulation.post(SecondHost, "/book", OwnKey, "key");
        simulation.run(seconds(15));
        CHECK(simulation.m_responses.at(second).m_problem.m_outcome == Dispatch::Outcome::Unknown);
        CHECK(runs.at("key") == 1);
    }

    SECTION("a connection that breaks after the request was sent leaves an unknown outcome, also for later requests")
    {
        simulation.m_server = [&](const ServedAttempt &attempt) {
            ++runs["key"];
            return std::pair(Duration(milliseconds(5)), FleetSimulation::failed(attempt.m_start.m_attempt, Dispatch::AttemptFailure::Broken, true));
        };
        for (const HostId &host : {FirstHost, SecondHost}) {
            const auto id = simulation.post(host, "/book", OwnKey, "key");
            simulation.run(seconds(2));
            CHECK(simulation.m_responses.at(id).m_problem.m_id == ErrorId::RequestOutcomeUnknown);
        }
        CHECK(runs.at("key") == 1);
    }

    SECTION("requests are refused as not run while the store is down and run once it has recovered")
    {
        setStoreMode(simulation, StoreMode::Silent);
        const auto first = simulation.post(FirstHost, "/book", OwnKey, "key");
        simulation.run(seconds(10));
        CHECK(simulation.m_responses.at(first).m_problem.m_id == ErrorId::RequestClaimUnavailable);
        CHECK(simulation.m_responses.at(first).m_problem.m_outcome == Dispatch::Outcome::NotRun);
        CHECK(simulation.m_responses.at(first).m_problem.m_retryAfter);
        setStoreMode(simulation, StoreMode::Serving);
        simulation.run(seconds(10));
        CHECK(runs.empty());
        const auto second = simulation.post(SecondHost, "/book", OwnKey, "key");
        simulation.run(seconds(5));
        CHECK(simulation.m_responses.at(second).m_isForwarded);
        CHECK(runs.at("key") == 1);
    }

    SECTION("a repeated request to another host gets the stored response and runs nothing")
    {
        const auto first = simulation.post(FirstHost, "/book", OwnKey, "key");
        simulation.run(seconds(2));
        const auto second = simulation.post(SecondHost, "/book", OwnKey, "key");
        simulation.run(seconds(2));
        REQUIRE(simulation.m_responses.at(second).m_replayed);
        CHECK(simulation.m_responses.at(second).m_replayed->m_body == "run " + std::to_string(first));
        CHECK(runs.at("key") == 1);
    }
}
