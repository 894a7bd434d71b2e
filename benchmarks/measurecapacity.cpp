// Control cost of a host over the size of the fleet and of the table, in simulated time with the real node code.
// Usage: ragwortrelay_measure_capacity [quick]

#include "fakefleet.h"

#include <ragwortrelay/configuration/storedform.h>
#include <ragwortrelay/wire/peercodec.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <chrono>
#include <cstdio>
#include <cstring>
#include <malloc.h>

using namespace RagwortRelay;
using Configuration::RowKind;

namespace {

struct Size {
    int m_hosts = 48;
    int m_domains = 3;
    int m_services = 3;
    int m_servers = 36;
    int m_workspaces = 8;
    int m_routes = 8;
    int m_requestsPerHost = 0; ///< Each second.
};

/// What one simulated second costs.
struct Cost {
    double m_processor = 0.0; ///< Microseconds of a core, for each host and second.
    double m_sentBytes = 0.0; ///< For each host and second, each message encoded by itself.
    double m_messages = 0.0; ///< For each host and second.
    double m_reads = 0.0; ///< Of the platform's table, by the whole fleet, each second.
    double m_writes = 0.0; ///< Likewise.
    double m_memory = 0.0; ///< Bytes, for each host.
};

/// Stores a whole table as one change, as if an operator had written it before the hosts started.
void storeTable(Fakes::FakeFleet &fleet, const Size &size)
{
    Configuration::Change change{1, "c1", "operator", {}};
    const auto add = [&change](RowKind kind, const std::string &name, const Configuration::Cells &cells) {
        change.m_rows.push_back({{kind, name}, 1, cells, false});
    };
    for (int i = 0; i < size.m_services; ++i) {
        add(RowKind::Service, "service-" + std::to_string(i), {{"floor", "0.5"}});
    }
    for (int i = 0; i < size.m_servers; ++i) {
        add(RowKind::Server,
            "server-" + std::to_string(i),
            {{"service", "service-" + std::to_string(i % size.m_services)},
             {"address", "10.0.0.1:80"},
             {"domain", "d" + std::to_string(i % size.m_domains)},
             {"slots", "4"}});
    }
    for (int i = 0; i < size.m_routes; ++i) {
        add(RowKind::Route,
            "route-" + std::to_string(i),
            {{"path", "/resource-" + std::to_string(i)}, {"service", "service-" + std::to_string(i % size.m_services)}});
    }
    for (int i = 0; i < size.m_workspaces; ++i) {
        const std::string name = "workspace-" + std::to_string(i);
        add(RowKind::Workspace, name, {{"rate", i % 10 == 0 ? "400" : "40"}, {"burst", i % 10 == 0 ? "800" : "80"}});
        add(RowKind::Key, "key-" + std::to_string(i), {{"workspace", name}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "secret")}});
    }
    const auto transaction = Configuration::appendTransaction({{change, Configuration::encodeChange(change)}});
    Fakes::apply(fleet.m_platform, transaction);
}

void sendRequests(Fakes::FakeFleet &fleet, const Size &size, RandomGenerator &random)
{
    for (int host = 0; host < size.m_hosts; ++host) {
        for (int i = 0; i < size.m_requestsPerHost; ++i) {
            Node::RequestArrived request;
            request.m_method = "GET";
            request.m_path = "/resource-" + std::to_string(drawBelow(random, static_cast<std::uint64_t>(size.m_routes)));
            request.m_target = request.m_path;
            request.m_authorization = "Bearer key-" + std::to_string(drawBelow(random, static_cast<std::uint64_t>(size.m_workspaces))) + ".secret";
            fleet.at(Duration(static_cast<std::int64_t>(drawBelow(random, 1'000'000))),
                     [&fleet, host, request] { fleet.request("host-" + std::to_string(host), request); });
        }
    }
}

Cost measure(const Size &size, int seconds)
{
    const std::size_t memoryBefore = mallinfo2().uordblks;
    Fakes::FakeFleet fleet(1);
    RandomGenerator random(2);
    storeTable(fleet, size);
    for (int i = 0; i < size.m_hosts; ++i) {
        fleet.m_platform.m_targets.push_back({"", "host", "host-" + std::to_string(i), "1", false});
    }
    for (int i = 0; i < size.m_hosts; ++i) {
        fleet.startHost("host-" + std::to_string(i), "d" + std::to_string(i % size.m_domains));
    }
    fleet.run(std::chrono::seconds(90));
    double bytes = 0.0;
    fleet.m_onSend = [&bytes](const HostId &from, const Node::SendPeer &send) {
        bytes += static_cast<double>(Wire::encodeBatch({from, 1, send.m_host, {send.m_message}}).size());
    };
    const std::uint64_t messages = fleet.m_peerMessages;
    const std::uint64_t reads = fleet.m_platform.m_reads;
    const std::uint64_t writes = fleet.m_platform.m_writes;
    const auto begin = std::chrono::steady_clock::now();
    for (int second = 0; second < seconds; ++second) {
        sendRequests(fleet, size, random);
        fleet.run(std::chrono::seconds(1));
    }
    const double wall = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
    const double hostSeconds = static_cast<double>(size.m_hosts) * seconds;
    Cost cost;
    cost.m_processor = wall / hostSeconds;
    cost.m_sentBytes = bytes / hostSeconds;
    cost.m_messages = static_cast<double>(fleet.m_peerMessages - messages) / hostSeconds;
    cost.m_reads = static_cast<double>(fleet.m_platform.m_reads - reads) / seconds;
    cost.m_writes = static_cast<double>(fleet.m_platform.m_writes - writes) / seconds;
    cost.m_memory = static_cast<double>(mallinfo2().uordblks - memoryBefore) / size.m_hosts;
    return cost;
}

void report(const char *what, const Size &size, int seconds)
{
    const Cost cost = measure(size, seconds);
    std::printf("%-11s %5d %6d %6d %6d %5d %9.0f %8.2f%% %9.0f %8.1f %8.1f %8.1f %8.2f\n",
                what,
                size.m_hosts,
                size.m_servers,
                size.m_workspaces,
                size.m_routes,
                size.m_requestsPerHost,
                cost.m_processor,
                cost.m_processor / 1e4,
                cost.m_sentBytes,
                cost.m_messages,
                cost.m_reads,
                cost.m_writes,
                cost.m_memory / 1e6);
    std::fflush(stdout);
}

}

int main(int argc, char **argv)
{
    const bool isQuick = argc > 1 && std::strcmp(argv[1], "quick") == 0;
    const int seconds = isQuick ? 5 : 20;
    std::printf("%-11s %5s %6s %6s %6s %5s %9s %9s %9s %8s %8s %8s %8s\n",
                "slope over",
                "hosts",
                "server",
                "wspace",
                "route",
                "req/s",
                "us/s",
                "of a core",
                "sent B/s",
                "msg/s",
                "reads/s",
                "writes/s",
                "MB/host");
    for (const int hosts : {12, 48, 120, 240, 470}) {
        report("hosts", {hosts, hosts > 48 ? 9 : 3, 3, 36, 8, 8, 0}, seconds);
    }
    for (const int workspaces : {8, 100, 1000, isQuick ? 1000 : 5000}) {
        report("workspaces", {12, 3, 3, 36, workspaces, 8, 70}, seconds);
    }
    for (const int servers : {36, 360, isQuick ? 360 : 3600}) {
        report("servers", {12, 3, servers / 12, servers, 8, 8, 70}, seconds);
    }
    for (const int requests : {0, 70, 280}) {
        report("requests", {48, 3, 3, 36, 8, 8, requests}, seconds);
    }
    return 0;
}
