// Measures balancing and health with the nodes of whole fleets in simulated time.
// Usage: ragwortrelay_measure_health bytes|load|tenant|faults|quiet [SEEDS [kilauan|associacao]]

#include "fakefleet.h"

#include <ragwortrelay/detail/node/duties.h>
#include <ragwortrelay/wire/peercodec.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace RagwortRelay;
using Configuration::RowKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Workspaces = 8;
constexpr double TrafficShares[Workspaces] = {0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02};
constexpr int Domains = 3;
constexpr double Floor = 0.6;
constexpr Duration JoinTime = seconds(20); ///< Until the roster and the table are known everywhere.
constexpr std::uint16_t HttpOk = 200;
constexpr std::uint16_t HttpError = 500;

struct ServiceSize {
    std::string m_name;
    int m_servers = 0;
    Duration m_work{};
    bool m_idempotent = true;
};

struct User {
    std::string m_name;
    int m_hosts = 0;
    Health::HealthSettings m_profile; ///< As in its example settings.
    int m_slots = 0;
    Duration m_betweenDomains{};
    std::vector<ServiceSize> m_services;
};

Health::HealthSettings profileOf(double ejectionThreshold, std::uint32_t trialSuccesses, Duration firstWait)
{
    Health::HealthSettings profile;
    profile.m_ejectionThreshold = ejectionThreshold;
    profile.m_trickleSuccesses = trialSuccesses;
    profile.m_firstWait = firstWait;
    return profile;
}

std::vector<User> users()
{
    return {{"Kilauan Kristal",
             36,
             profileOf(14.0, 8, seconds(5)),
             2,
             Duration(500),
             {{"status", 10, milliseconds(20), true}, {"booking", 20, milliseconds(40), false}, {"payments", 6, milliseconds(60), false}}},
            {"Associação",
             48,
             profileOf(7.0, 5, seconds(3)),
             4,
             Duration(1500),
             {{"catalogue", 7, milliseconds(20), true}, {"reservation", 15, milliseconds(40), false}, {"orders", 6, milliseconds(60), false}}}};
}

/// One way to balance and to eject.
struct Variant {
    std::string m_name;
    Balancing::Policy m_policy = Balancing::Policy::Estimated;
    Health::EjectionPolicy m_ejection = Health::EjectionPolicy::Pooled;
    bool m_queues = true;
    Health::HealthSettings m_profile;
};

const Variant Ours{"ours"};

/// Ours with the example profile of a user.
Variant oursFor(const User &user)
{
    Variant variant = Ours;
    variant.m_name = "ours, profile of the user";
    variant.m_profile = user.m_profile;
    return variant;
}

const Variant NaiveRandom{"random", Balancing::Policy::Random, Health::EjectionPolicy::OwnFailures, false};
const Variant NaiveLeastLoaded{"local least-loaded", Balancing::Policy::LeastInFlight, Health::EjectionPolicy::OwnFailures, false};
const Variant NaiveTwoChoices{"two choices by report", Balancing::Policy::TwoChoices, Health::EjectionPolicy::OwnFailures, false};
const Variant RandomWithQueue{"random + our queue", Balancing::Policy::Random, Health::EjectionPolicy::OwnFailures, true};

enum class Fault {
    None,
    Failing,
    Slow,
    Flapping,
    ColdStart,
    OneWayPartition, ///< One host can't reach one server.
    TwoAtOnce, ///< Two servers fail.
    Noise, ///< Some failures everywhere, one workspace with failing requests.
};

struct Scenario {
    User m_user;
    Variant m_variant;
    double m_load = 0.3; ///< Work offered, as part of the slots.
    double m_tenantFactor = 1.0; ///< Of the largest workspace.
    Fault m_fault = Fault::None;
    Duration m_warmUp = seconds(12);
    Duration m_measured = seconds(10);
    std::uint64_t m_seed = 1;
};

struct Result {
    double m_goodput = 0.0; ///< Part of the requests that were answered with success.
    double m_median = 0.0; ///< Milliseconds.
    double m_p99 = 0.0;
    double m_attempts = 0.0; ///< For each request.
    double m_worstWorkspace = 0.0;
    double m_worstSmall = 0.0; ///< Of the workspaces but the largest.
    double m_detection = -1.0; ///< Seconds until nine of ten hosts bar the faulty server; negative for never.
    double m_failed = 0.0; ///< Requests without success.
    double m_falseEjections = 0.0;
    double m_belowFloor = 0.0; ///< Samples.
    double m_serverDays = 0.0;
};

struct SimulatedServer {
    int m_busy = 0;
    int m_domain = 0;
    bool m_isFaulty = false;
};

struct SimulatedRequest {
    TimePoint m_at;
    int m_workspace = 0;
    bool m_succeeds = false;
    bool m_isDone = false;
    TimePoint m_doneAt;
};

/// A fleet with its servers and callers.
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario) : m_scenario(scenario), m_fleet(scenario.m_seed), m_random(scenario.m_seed + 1000)
    {
        m_fleet.m_network.m_peerDelay = scenario.m_user.m_betweenDomains;
        m_fleet.m_network.m_peerJitter = scenario.m_user.m_betweenDomains;
        m_fleet.m_tune = [this](Node::NodeSettings &settings) {
            settings.m_balancing.m_policy = m_scenario.m_variant.m_policy;
            settings.m_health = m_scenario.m_variant.m_profile;
            settings.m_health.m_policy = m_scenario.m_variant.m_ejection;
            settings.m_queue.m_perService = m_scenario.m_variant.m_queues ? settings.m_queue.m_perService : 0;
        };
        m_fleet.m_backend = [this](const HostId &host, const Node::StartAttempt &start, TimePoint) { return attempt(host, start); };
        for (int i = 0; i < scenario.m_user.m_hosts; ++i) {
            const std::string name = hostName(i);
            m_fleet.m_platform.m_targets.push_back({name, "host", name, "1", false});
            m_fleet.startHost(name, "d" + std::to_string(i % Domains));
            m_domainOf[HostId(name)] = i % Domains;
        }
        m_fleet.command(hostName(0), table());
    }

    Result run()
    {
        m_fleet.run(JoinTime);
        m_measureFrom = m_fleet.m_now + m_scenario.m_warmUp;
        m_end = m_measureFrom + m_scenario.m_measured;
        for (const ServiceSize &service : m_scenario.m_user.m_services) {
            scheduleArrival(service);
        }
        m_fleet.run(m_scenario.m_warmUp);
        startFault();
        sample();
        m_fleet.run(m_scenario.m_measured + seconds(6));
        return result();
    }

private:
    static std::string hostName(int number)
    {
        return "host" + std::to_string(number);
    }

    Node::EditTable table()
    {
        Node::EditTable edit{"c1", "operator", {}};
        for (const ServiceSize &service : m_scenario.m_user.m_services) {
            edit.m_rows.push_back(Fakes::rowEdit(RowKind::Service, service.m_name, {{"floor", std::to_string(Floor)}}));
            edit.m_rows.push_back(Fakes::rowEdit(RowKind::Route,
                                                 service.m_name,
                                                 {{"method", service.m_idempotent ? "GET" : "POST"},
                                                  {"path", "/" + service.m_name},
                                                  {"service", service.m_name},
                                                  {"idempotent", service.m_idempotent ? "yes" : "no"},
                                                  {"deadline_ms", "4000"}}));
            for (int i = 0; i < service.m_servers; ++i) {
                const std::string name = service.m_name + std::to_string(i);
                m_servers[ServerId(name)] = {0, i % Domains, false};
                edit.m_rows.push_back(Fakes::rowEdit(RowKind::Server,
                                                     name,
                                                     {{"service", service.m_name},
                                                      {"address", "127.0.0.1:1"},
                                                      {"domain", "d" + std::to_string(i % Domains)},
                                                      {"slots", std::to_string(m_scenario.m_user.m_slots)}}));
            }
        }
        for (int i = 0; i < Workspaces; ++i) {
            const std::string name = "w" + std::to_string(i);
            edit.m_rows.push_back(Fakes::rowEdit(RowKind::Workspace, name, {{"rate", "1000000"}, {"burst", "1000000"}}));
            edit.m_rows.push_back(
                Fakes::rowEdit(RowKind::Key, "k" + name, {{"workspace", name}, {"salt", "s"}, {"digest", RagwortRelay::Workspaces::digestOf("s", "secret")}}));
        }
        return edit;
    }

    int drawWorkspace()
    {
        double whole = 0.0;
        for (int i = 0; i < Workspaces; ++i) {
            whole += TrafficShares[i] * (i == 0 ? m_scenario.m_tenantFactor : 1.0);
        }
        double draw = drawUnit(m_random) * whole;
        for (int i = 0; i < Workspaces; ++i) {
            draw -= TrafficShares[i] * (i == 0 ? m_scenario.m_tenantFactor : 1.0);
            if (draw < 0.0) {
                return i;
            }
        }
        return Workspaces - 1;
    }

    void scheduleArrival(const ServiceSize &service)
    {
        const double shares = 1.0 + TrafficShares[0] * (m_scenario.m_tenantFactor - 1.0);
        const double slots = service.m_servers * m_scenario.m_user.m_slots;
        const double rate = m_scenario.m_load * shares * slots / static_cast<double>(service.m_work.count()); // For each microsecond.
        const Duration wait(static_cast<std::int64_t>(-std::log(1.0 - drawUnit(m_random)) / rate));
        if (m_fleet.m_now + wait >= m_end) {
            return;
        }
        m_fleet.at(wait, [this, service] {
            arrive(service);
            scheduleArrival(service);
        });
    }

    void arrive(const ServiceSize &service)
    {
        const int workspace = drawWorkspace();
        Node::RequestArrived request;
        request.m_method = service.m_idempotent ? "GET" : "POST";
        request.m_path = "/" + service.m_name;
        request.m_target = request.m_path + "/" + std::to_string(drawBelow(m_random, 1000));
        request.m_authorization = "Bearer kw" + std::to_string(workspace) + ".secret";
        request.m_idempotencyKey = service.m_idempotent ? "" : "key" + std::to_string(++m_lastKey);
        request.m_bodyDigest = request.m_idempotencyKey;
        const std::string host = hostName(static_cast<int>(drawBelow(m_random, m_scenario.m_user.m_hosts)));
        const TimePoint now = m_fleet.m_now;
        const Node::ExchangeId id = m_fleet.request(host, request);
        m_requests[id].m_at = now;
        m_requests[id].m_workspace = workspace;
    }

    [[nodiscard]] bool isActive(const SimulatedServer &server) const
    {
        return server.m_isFaulty && m_fleet.m_now >= m_measureFrom;
    }

    Duration drawWork(const ServerId &id, const SimulatedServer &server)
    {
        Duration mean{};
        for (const ServiceSize &service : m_scenario.m_user.m_services) {
            mean = id.text().starts_with(service.m_name) ? service.m_work : mean;
        }
        const Duration sinceFault = m_fleet.m_now - m_measureFrom;
        if (m_scenario.m_fault == Fault::Slow && isActive(server)) {
            mean *= 10;
        } else if (m_scenario.m_fault == Fault::ColdStart && isActive(server) && sinceFault < seconds(12)) {
            mean *= 5;
        }
        // Half fixed, half exponential.
        return mean / 2 + Duration(static_cast<std::int64_t>(-std::log(1.0 - drawUnit(m_random)) * static_cast<double>(mean.count()) / 2.0));
    }

    bool fails(const HostId &host, Node::ExchangeId exchange, const SimulatedServer &server)
    {
        const Duration sinceFault = m_fleet.m_now - m_measureFrom;
        switch (m_scenario.m_fault) {
        case Fault::Failing:
        case Fault::TwoAtOnce:
            return isActive(server);
        case Fault::Flapping:
            return isActive(server) && (sinceFault / seconds(5)) % 2 == 0;
        case Fault::Noise: {
            constexpr double NoiseChance = 0.005;
            const auto found = m_fleet.m_nodes.at(host).m_exchanges.find(exchange);
            const bool isBadWorkspace = found != m_fleet.m_nodes.at(host).m_exchanges.end() && found->second.m_workspace == WorkspaceId("w7");
            return drawUnit(m_random) < (isBadWorkspace ? 0.5 : NoiseChance);
        }
        default:
            return false;
        }
    }

    std::pair<Duration, Node::Event> attempt(const HostId &host, const Node::StartAttempt &start)
    {
        m_attempts += m_fleet.m_now >= m_measureFrom && m_fleet.m_now < m_end ? 1 : 0;
        SimulatedServer &server = m_servers.at(start.m_server);
        const Duration way = m_domainOf.at(host) == server.m_domain ? Duration(200) : m_scenario.m_user.m_betweenDomains;
        const Duration sinceFault = m_fleet.m_now - m_measureFrom;
        const bool isCut = m_scenario.m_fault == Fault::OneWayPartition && isActive(server) && host == HostId("host1");
        if (isCut) {
            return {seconds(1), Node::AttemptFailed{start.m_attempt, Dispatch::AttemptFailure::ConnectFailed, false}};
        }
        if (m_scenario.m_fault == Fault::ColdStart && isActive(server) && sinceFault < seconds(2)) {
            return {2 * way, Node::AttemptFailed{start.m_attempt, Dispatch::AttemptFailure::ConnectFailed, false}};
        }
        m_fleet.at(way, [this, host, start, way] { serve(host, start, way); });
        return {Duration(-1), Node::Ticked{}};
    }

    void serve(const HostId &host, const Node::StartAttempt &start, Duration way)
    {
        SimulatedServer &server = m_servers.at(start.m_server);
        const auto busy = static_cast<std::uint32_t>(server.m_busy);
        if (server.m_busy >= m_scenario.m_user.m_slots) {
            answer(host, way, {start.m_attempt, 503, true, true, Node::LoadReport{busy, false}});
            return;
        }
        if (fails(host, start.m_exchange, server)) {
            const Duration failAfter = milliseconds(2); // A server that fails is often fast.
            answer(host, way + failAfter, {start.m_attempt, HttpError, true, false, Node::LoadReport{busy, false}});
            return;
        }
        ++server.m_busy;
        m_fleet.at(drawWork(start.m_server, server), [this, host, start, way] {
            SimulatedServer &done = m_servers.at(start.m_server);
            --done.m_busy;
            answer(host, way, {start.m_attempt, HttpOk, true, false, Node::LoadReport{static_cast<std::uint32_t>(done.m_busy), false}});
        });
    }

    void answer(const HostId &host, Duration way, const Node::AttemptAnswered &answered)
    {
        m_fleet.at(way, [this, host, answered] {
            Node::Node &node = m_fleet.m_nodes.at(host);
            const auto attempt = node.m_attempts.find(answered.m_attempt);
            const Node::ExchangeId exchange = attempt == node.m_attempts.end() ? 0 : attempt->second.m_exchange;
            const std::size_t before = m_fleet.m_answers.size();
            m_fleet.deliver(host, answered);
            for (std::size_t i = before; i < m_fleet.m_answers.size(); ++i) {
                if (m_fleet.m_answers[i].m_exchange == exchange && m_fleet.m_answers[i].m_forwarded) {
                    SimulatedRequest &request = m_requests[exchange];
                    request.m_isDone = true;
                    request.m_succeeds = answered.m_status == HttpOk;
                    request.m_doneAt = m_fleet.m_now;
                }
            }
        });
    }

    void startFault()
    {
        const std::string first = m_scenario.m_user.m_services[0].m_name;
        if (m_scenario.m_fault != Fault::None && m_scenario.m_fault != Fault::Noise) {
            m_servers.at(ServerId(first + "0")).m_isFaulty = true;
        }
        if (m_scenario.m_fault == Fault::TwoAtOnce) {
            m_servers.at(ServerId(first + "1")).m_isFaulty = true;
        }
    }

    /// Looks at all hosts every 100 ms.
    void sample()
    {
        constexpr double HostsToDetect = 0.9;
        for (const ServiceSize &service : m_scenario.m_user.m_services) {
            std::map<ServerId, int> barred;
            for (const auto &[host, node] : m_fleet.m_nodes) {
                for (const auto &[server, standing] : Node::detail::standingsOf(node, ServiceId(service.m_name), m_fleet.m_now)) {
                    barred[server] += standing == Balancing::Standing::Barred ? 1 : 0;
                }
            }
            int out = 0;
            for (const auto &[server, hosts] : barred) {
                out += hosts > 0 ? 1 : 0;
                const bool isFaulty = m_servers.at(server).m_isFaulty;
                if (hosts > 0 && !isFaulty && !m_barredBefore.contains(server)) {
                    ++m_falseEjections;
                }
                if (isFaulty && m_detectedAt < m_measureFrom && hosts >= HostsToDetect * m_scenario.m_user.m_hosts) {
                    m_detectedAt = m_fleet.m_now;
                }
                hosts > 0 ? void(m_barredBefore.insert(server)) : void(m_barredBefore.erase(server));
            }
            m_belowFloor += service.m_servers - out < Floor * service.m_servers - 1e-9 ? 1 : 0;
        }
        m_fleet.at(milliseconds(100), [this] { sample(); });
    }

    Result result()
    {
        Result result;
        std::vector<double> times;
        double offered[Workspaces] = {};
        double good[Workspaces] = {};
        double all = 0.0;
        for (const auto &[id, request] : m_requests) {
            if (request.m_at < m_measureFrom || request.m_at >= m_end) {
                continue;
            }
            all += 1.0;
            offered[request.m_workspace] += 1.0;
            if (request.m_isDone && request.m_succeeds) {
                good[request.m_workspace] += 1.0;
                times.push_back(static_cast<double>((request.m_doneAt - request.m_at).count()) / 1000.0);
            }
        }
        std::sort(times.begin(), times.end());
        result.m_goodput = static_cast<double>(times.size()) / all;
        result.m_failed = all - static_cast<double>(times.size());
        result.m_median = times[times.size() / 2];
        result.m_p99 = times[times.size() * 99 / 100];
        result.m_attempts = static_cast<double>(m_attempts) / all;
        result.m_worstWorkspace = 1.0;
        result.m_worstSmall = 1.0;
        for (int i = 0; i < Workspaces; ++i) {
            result.m_worstWorkspace = std::min(result.m_worstWorkspace, good[i] / offered[i]);
            result.m_worstSmall = i == 0 ? result.m_worstSmall : std::min(result.m_worstSmall, good[i] / offered[i]);
        }
        result.m_detection = m_detectedAt < m_measureFrom ? -1.0 : static_cast<double>((m_detectedAt - m_measureFrom).count()) / 1e6;
        result.m_falseEjections = m_falseEjections;
        result.m_belowFloor = m_belowFloor;
        result.m_serverDays = static_cast<double>(m_servers.size()) * static_cast<double>(m_scenario.m_measured.count()) / 86'400e6;
        return result;
    }

    Scenario m_scenario;
    Fakes::FakeFleet m_fleet;
    RandomGenerator m_random;
    std::map<ServerId, SimulatedServer> m_servers;
    std::map<HostId, int> m_domainOf;
    std::map<Node::ExchangeId, SimulatedRequest> m_requests;
    std::set<ServerId> m_barredBefore;
    TimePoint m_measureFrom;
    TimePoint m_end;
    TimePoint m_detectedAt;
    std::uint64_t m_lastKey = 0;
    std::uint64_t m_attempts = 0;
    int m_falseEjections = 0;
    int m_belowFloor = 0;
};

std::vector<Result> runSeeds(Scenario scenario, int seeds)
{
    std::vector<Result> results;
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.m_seed = static_cast<std::uint64_t>(seed);
        results.push_back(Simulation(scenario).run());
    }
    return results;
}

/// Prints the mean over the seeds, and the least and the most.
std::string spread(const std::vector<Result> &results, double Result::*member, const char *format, double factor = 1.0)
{
    double sum = 0.0;
    double least = results[0].*member;
    double most = least;
    for (const Result &result : results) {
        sum += result.*member;
        least = std::min(least, result.*member);
        most = std::max(most, result.*member);
    }
    char text[128];
    const std::string pattern = std::string(format) + " (" + format + ".." + format + ")";
    std::snprintf(text, sizeof(text), pattern.c_str(), factor * sum / static_cast<double>(results.size()), factor * least, factor * most);
    return text;
}

void printRow(const std::string &label, const std::vector<std::string> &cells)
{
    std::printf("| %s |", label.c_str());
    for (const std::string &cell : cells) {
        std::printf(" %s |", cell.c_str());
    }
    std::printf("\n");
    std::fflush(stdout);
}

void measureLoad(const std::vector<User> &chosen, int seeds)
{
    for (const User &user : chosen) {
        std::printf("\n%s, %d hosts; mean (least..most) of %d seeds\n\n", user.m_name.c_str(), user.m_hosts, seeds);
        std::printf("| load, way | goodput %% | p50 ms | p99 ms | attempts a request | worst workspace %% |\n|---|---|---|---|---|---|\n");
        for (const double load : {0.3, 0.8, 0.95}) {
            for (const Variant &variant : {Ours, NaiveRandom, NaiveLeastLoaded, NaiveTwoChoices, RandomWithQueue}) {
                Scenario scenario{user, variant, load};
                const auto results = runSeeds(scenario, seeds);
                printRow(std::to_string(load).substr(0, 4) + ", " + variant.m_name,
                         {spread(results, &Result::m_goodput, "%.2f", 100.0),
                          spread(results, &Result::m_median, "%.1f"),
                          spread(results, &Result::m_p99, "%.0f"),
                          spread(results, &Result::m_attempts, "%.2f"),
                          spread(results, &Result::m_worstWorkspace, "%.1f", 100.0)});
            }
        }
    }
}

void measureTenant(const std::vector<User> &chosen, int seeds)
{
    for (const User &user : chosen) {
        std::printf("\n%s, %d hosts, load 0.7, the largest workspace sends five times its part, no limit in force\n\n", user.m_name.c_str(), user.m_hosts);
        std::printf("| way | goodput %% | p99 ms | attempts a request | worst of the seven others %% |\n|---|---|---|---|---|\n");
        for (const Variant &variant : {Ours, NaiveRandom, NaiveLeastLoaded, NaiveTwoChoices, RandomWithQueue}) {
            Scenario scenario{user, variant, 0.7, 5.0};
            const auto results = runSeeds(scenario, seeds);
            printRow(variant.m_name,
                     {spread(results, &Result::m_goodput, "%.2f", 100.0),
                      spread(results, &Result::m_p99, "%.0f"),
                      spread(results, &Result::m_attempts, "%.2f"),
                      spread(results, &Result::m_worstSmall, "%.1f", 100.0)});
        }
    }
}

void measureFaults(const std::vector<User> &chosen, int seeds)
{
    const std::vector<std::pair<Fault, std::string>> faults = {{Fault::Failing, "failing"},
                                                               {Fault::Slow, "slow x10"},
                                                               {Fault::Flapping, "flapping 5 s"},
                                                               {Fault::ColdStart, "restart, cold"},
                                                               {Fault::OneWayPartition, "one host cut off"},
                                                               {Fault::TwoAtOnce, "two failing"}};
    for (const User &user : chosen) {
        std::printf(
            "\n%s, %d hosts, load 0.3, 40 s from the fault on; detected: barred on nine of ten hosts, -1 for never\n\n", user.m_name.c_str(), user.m_hosts);
        std::printf("| fault, way | detected after s | requests without success | p99 ms | attempts a request | healthy ejected | below the floor "
                    "|\n|---|---|---|---|---|---|---|\n");
        for (const auto &[fault, name] : faults) {
            for (const Variant &variant : {oursFor(user), NaiveRandom, NaiveLeastLoaded}) {
                Scenario scenario{user, variant, 0.3, 1.0, fault, seconds(12), seconds(40)};
                const auto results = runSeeds(scenario, seeds);
                printRow(name + ", " + variant.m_name,
                         {spread(results, &Result::m_detection, "%.1f"),
                          spread(results, &Result::m_failed, "%.0f"),
                          spread(results, &Result::m_p99, "%.0f"),
                          spread(results, &Result::m_attempts, "%.3f"),
                          spread(results, &Result::m_falseEjections, "%.1f"),
                          spread(results, &Result::m_belowFloor, "%.0f")});
            }
        }
    }
}

void measureQuiet(const std::vector<User> &chosen, int seeds)
{
    for (const User &user : chosen) {
        std::printf("\n%s, %d hosts, load 0.3, no fault but 0.5 %% failures at random and a workspace with half of its requests failing\n\n",
                    user.m_name.c_str(),
                    user.m_hosts);
        std::printf("| way | healthy servers ejected | server-days | a server-day | below the floor |\n|---|---|---|---|---|\n");
        for (const Variant &variant : {oursFor(user), NaiveRandom, NaiveLeastLoaded}) {
            Scenario scenario{user, variant, 0.3, 1.0, Fault::Noise, seconds(12), seconds(300)};
            double ejections = 0.0;
            double days = 0.0;
            double below = 0.0;
            for (const Result &result : runSeeds(scenario, seeds)) {
                ejections += result.m_falseEjections;
                days += result.m_serverDays;
                below += result.m_belowFloor;
            }
            char cells[4][32];
            std::snprintf(cells[0], sizeof(cells[0]), "%.0f", ejections);
            std::snprintf(cells[1], sizeof(cells[1]), "%.3f", days);
            std::snprintf(cells[2], sizeof(cells[2]), "%.1f", ejections / days);
            std::snprintf(cells[3], sizeof(cells[3]), "%.0f", below);
            printRow(variant.m_name, {cells[0], cells[1], cells[2], cells[3]});
        }
    }
}

std::size_t bytesOf(const Node::PeerMessage &message)
{
    const Node::PeerBatch empty{HostId("host123"), 1'764'800'000'000, HostId("host456"), {}};
    Node::PeerBatch batch = empty;
    batch.m_messages.push_back(message);
    return Wire::encodeBatch(batch).size() - Wire::encodeBatch(empty).size();
}

/// Prints the sizes of the messages at the size to design for.
void measureBytes()
{
    constexpr double Services = 270.0;
    constexpr double RequestsOfHost = 33'000.0 / 470.0; ///< A second.
    constexpr double Interval = 5.0; ///< Seconds between reports with so many services.
    Health::EvidenceReport report{1'764'800'000'000, Duration(9'000'000'000), seconds(30), 470, {{ServiceId("service123"), Duration(9'000'000'000), {}, {}}}};
    const std::size_t emptyReport = bytesOf(report);
    Health::ServerEvidence evidence{ServerId("server1234"), 2, 0, 0, 2, 9.5, 45.2, false, {}};
    report.m_services[0].m_servers.push_back(evidence);
    const std::size_t entry = bytesOf(report) - emptyReport;
    Health::ServiceVerdicts verdicts{ServiceId("service123"), Duration(9'000'000'000), Duration(9'000'000'000), seconds(24), {}, {}};
    const std::size_t emptyVerdicts = bytesOf(verdicts);
    verdicts.m_servers.push_back({ServerId("server1234"), Health::Verdict::Ejected, 1});
    const std::size_t verdict = bytesOf(verdicts) - emptyVerdicts;
    const double reports = Services / Interval * static_cast<double>(emptyReport + emptyVerdicts);
    const double entries = RequestsOfHost * static_cast<double>(entry);
    std::printf("| part | bytes |\n|---|---|\n");
    std::printf("| report on one service without evidence | %zu |\n| evidence on one server | %zu |\n", emptyReport, entry);
    std::printf("| verdicts on one service without any | %zu |\n| one verdict | %zu |\n", emptyVerdicts, verdict);
    std::printf("| sent by a host each second at 470 hosts and 270 services: reports and replies | %.0f |\n", reports);
    std::printf("| the same: evidence, at most one entry for each request | %.0f |\n", entries);
}

}

int main(int argc, char **argv)
{
    const std::string what = argc > 1 ? argv[1] : "";
    const int seeds = argc > 2 ? std::stoi(argv[2]) : 3;
    std::vector<User> chosen = users();
    if (argc > 3) {
        chosen = {std::string(argv[3]) == "kilauan" ? chosen[0] : chosen[1]};
    }
    if (what == "bytes") {
        measureBytes();
    } else if (what == "load") {
        measureLoad(chosen, seeds);
    } else if (what == "tenant") {
        measureTenant(chosen, seeds);
    } else if (what == "faults") {
        measureFaults(chosen, seeds);
    } else if (what == "quiet") {
        measureQuiet(chosen, seeds);
    } else {
        std::fprintf(stderr, "usage: ragwortrelay_measure_health bytes|load|tenant|faults|quiet [SEEDS [kilauan|associacao]]\n");
        return 2;
    }
    return 0;
}
