// Slopes of deciding functions over the size of what they work on. Usage: ragwortrelay_slopes

#include <ragwortrelay/balancing/balancer.h>
#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/limits/tokenbucket.h>
#include <ragwortrelay/membership/storedform.h>
#include <ragwortrelay/wire/peercodec.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <benchmark/benchmark.h>

using namespace RagwortRelay;

namespace {

const ServiceId Booking("service-0");

Configuration::Row row(Configuration::RowKind kind, const std::string &name, const Configuration::Cells &cells)
{
    return {{kind, name}, 1, cells, false};
}

void addRow(Configuration::Table &table, Configuration::RowKind kind, const std::string &name, const Configuration::Cells &cells)
{
    table.m_rows[{kind, name}] = row(kind, name, cells);
}

Configuration::Table tableOf(std::int64_t routes, std::int64_t workspaces, std::int64_t servers)
{
    using Configuration::RowKind;
    Configuration::Table table;
    table.m_version = 1;
    addRow(table, RowKind::Service, "service-0", {});
    for (std::int64_t i = 0; i < routes; ++i) {
        const std::string path = "/area-" + std::to_string(i % 50) + "/resource-" + std::to_string(i);
        addRow(table, RowKind::Route, "route-" + std::to_string(i), {{"path", path}, {"service", "service-0"}});
    }
    for (std::int64_t i = 0; i < workspaces; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        addRow(table, RowKind::Workspace, name, {{"rate", "10"}, {"burst", "20"}});
        addRow(table, RowKind::Key, "key-" + std::to_string(i), {{"workspace", name}, {"salt", "0123456789abcdef"}, {"digest", std::string(64, 'a')}});
    }
    for (std::int64_t i = 0; i < servers; ++i) {
        addRow(table,
               RowKind::Server,
               "server-" + std::to_string(i),
               {{"service", "service-0"}, {"address", "10.0.0.1:80"}, {"domain", "d" + std::to_string(i % 9)}, {"slots", "4"}});
    }
    return table;
}

Configuration::Catalogue catalogueOf(std::int64_t routes, std::int64_t workspaces, std::int64_t servers)
{
    Findings findings;
    return Configuration::buildCatalogue(tableOf(routes, workspaces, servers), findings);
}

void findRouteAmong(benchmark::State &state)
{
    const Configuration::Catalogue catalogue = catalogueOf(state.range(0), 0, 0);
    std::int64_t next = 0;
    for (auto _ : state) {
        const std::int64_t number = next++ % state.range(0);
        const std::string path = "/area-" + std::to_string(number % 50) + "/resource-" + std::to_string(number) + "/7";
        benchmark::DoNotOptimize(Configuration::findRoute(catalogue, "GET", path));
    }
}
BENCHMARK(findRouteAmong)->Arg(8)->Arg(100)->Arg(1000)->Arg(5000);

void buildCatalogueOf(benchmark::State &state)
{
    const Configuration::Table table = tableOf(state.range(0) / 4, state.range(0), state.range(0) / 3);
    for (auto _ : state) {
        Findings findings;
        benchmark::DoNotOptimize(Configuration::buildCatalogue(table, findings));
    }
}
BENCHMARK(buildCatalogueOf)->Arg(100)->Arg(1000)->Arg(5000)->Arg(21000)->Unit(benchmark::kMillisecond);

void pickServerAmong(benchmark::State &state)
{
    const Configuration::Catalogue catalogue = catalogueOf(0, 0, state.range(0));
    Balancing::Balancer balancer;
    const Balancing::BalancerSettings settings;
    RandomGenerator random(1);
    const TimePoint now{std::chrono::hours(1)};
    const Balancing::PickQuery query{HostId("h1"), 470, Booking, nullptr, nullptr};
    for (auto _ : state) {
        benchmark::DoNotOptimize(Balancing::pickServer(balancer, settings, catalogue, query, now, random));
    }
}
BENCHMARK(pickServerAmong)->Arg(6)->Arg(27)->Arg(100)->Arg(1000);

void authenticateAmong(benchmark::State &state)
{
    const Configuration::Catalogue catalogue = catalogueOf(0, state.range(0), 0);
    std::int64_t next = 0;
    for (auto _ : state) {
        const Workspaces::PresentedKey key{KeyId("key-" + std::to_string(next++ % state.range(0))), "0123456789abcdef0123456789abcdef"};
        benchmark::DoNotOptimize(Workspaces::authenticate(catalogue, key));
    }
}
BENCHMARK(authenticateAmong)->Arg(8)->Arg(1000)->Arg(21000);

void takeTokenOfBucket(benchmark::State &state)
{
    TimePoint now{std::chrono::hours(1)};
    Limits::TokenBucket bucket{{1000, 1000}, 0, now};
    for (auto _ : state) {
        now += std::chrono::milliseconds(1);
        benchmark::DoNotOptimize(Limits::takeToken(bucket, now));
    }
}
BENCHMARK(takeTokenOfBucket);

Membership::Roster rosterOf(std::int64_t hosts)
{
    Membership::Roster roster;
    for (std::int64_t i = 0; i < hosts; ++i) {
        const Membership::SeatKey key{HostId("host-" + std::to_string(i)), 1};
        roster.m_seats[key] = {key, FailureDomainId("d" + std::to_string(i % 9)), "10.0.0.1:8082", 0};
    }
    return roster;
}

void choosePeersAmong(benchmark::State &state)
{
    const Membership::Roster roster = rosterOf(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(Membership::peersOf(roster, HostId("host-7")));
    }
}
BENCHMARK(choosePeersAmong)->Arg(48)->Arg(120)->Arg(470);

void heartbeatThroughCodec(benchmark::State &state)
{
    Membership::Heartbeat heartbeat;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        heartbeat.m_heard.emplace_back("host-" + std::to_string(i));
    }
    const Node::PeerBatch batch{HostId("h1"), 1, HostId("h2"), {heartbeat}};
    for (auto _ : state) {
        benchmark::DoNotOptimize(Wire::decodeBatch(Wire::encodeBatch(batch)));
    }
    state.counters["bytes"] = static_cast<double>(Wire::encodeBatch(batch).size());
}
BENCHMARK(heartbeatThroughCodec)->Arg(32)->Arg(48)->Arg(470);

}

BENCHMARK_MAIN();
