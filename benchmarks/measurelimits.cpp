// Limits over all hosts against an equal fixed split and one central bucket, in simulated time with the real node code.
// Usage: ragwortrelay_measure_limits [SEEDS [up]]

#include "fakefleet.h"

#include <ragwortrelay/configuration/storedform.h>
#include <ragwortrelay/limits/tokenbucket.h>
#include <ragwortrelay/wire/peercodec.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace RagwortRelay;
using Configuration::RowKind;
using Limits::MicrotokensPerToken;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One user's fleet.
struct User {
    const char *m_name = "";
    std::size_t m_hosts = 36;
    Duration m_peerDelay{}; ///< One way, between failure domains.
};

/// What happens to the platform before the measured time.
enum class Scenario { Up, DownTwoHours, DownTwoHoursHostsReplaced };

constexpr std::size_t Workspaces = 8;
constexpr std::array<std::uint32_t, Workspaces> Rates{400, 250, 120, 40, 30, 20, 10, 10};
constexpr std::size_t FloodedWorkspace = 1; ///< Sends five times its rate.
constexpr double NormalLoad = 0.7; ///< Of the other workspaces, as a part of their rate.
constexpr double FloodLoad = 5.0;
constexpr Duration MeasuredTime = seconds(60);

/// Requests of one workspace and what became of them.
struct Tally {
    std::uint64_t m_arrived = 0;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_admittedBySplit = 0;
    std::uint64_t m_admittedByCentral = 0;
};

struct Outcome {
    std::array<Tally, Workspaces> m_tallies;
    std::uint64_t m_exceeded = 0; ///< Admissions that a central bucket fed with them alone would have refused.
    double m_loanBytes = 0.0; ///< Of loans, sent by a host in a second.
    double m_peerBytes = 0.0; ///< Of all messages between hosts, likewise.
};

std::string hostName(std::size_t host)
{
    return "h" + std::to_string(host);
}

void storeTable(Fakes::FakeFleet &fleet)
{
    Configuration::Change change{1, "c1", "operator", {}};
    const auto add = [&change](RowKind kind, const std::string &name, const Configuration::Cells &cells) {
        change.m_rows.push_back({{kind, name}, 1, cells, false});
    };
    add(RowKind::Service, "lookup", {});
    for (int i = 0; i < 60; ++i) {
        const std::string domain = "d" + std::to_string(i % 3);
        add(RowKind::Server, "s" + std::to_string(i), {{"service", "lookup"}, {"address", "10.0.0.1:80"}, {"domain", domain}, {"slots", "64"}});
    }
    add(RowKind::Route, "all", {{"method", "GET"}, {"path", "/"}, {"service", "lookup"}});
    for (std::size_t i = 0; i < Workspaces; ++i) {
        const std::string name = "w" + std::to_string(i);
        add(RowKind::Workspace, name, {{"rate", std::to_string(Rates[i])}, {"burst", std::to_string(Rates[i])}});
        add(RowKind::Key, "k" + std::to_string(i), {{"workspace", name}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "secret")}});
    }
    for (const Platform::Write &write : Configuration::appendTransaction({{change, Configuration::encodeChange(change)}}).m_writes) {
        fleet.m_platform.m_items[write.m_key] = {write.m_key, write.m_version, write.m_body};
    }
}

/// Buckets of the baselines and of the check.
struct Baselines {
    std::vector<std::array<Limits::TokenBucket, Workspaces>> m_split; ///< By host; rates in thousandths, times run in thousandths too.
    std::array<Limits::TokenBucket, Workspaces> m_central;
    std::array<Limits::TokenBucket, Workspaces> m_check;
};

/// A thousandth of a token, so that a host's part of a small rate isn't rounded to nothing.
constexpr std::uint32_t SplitUnit = 1000;

Baselines makeBaselines(std::size_t hosts, TimePoint now)
{
    Baselines baselines;
    baselines.m_split.resize(hosts);
    for (std::size_t w = 0; w < Workspaces; ++w) {
        const Limits::Share limit{Rates[w], Rates[w]};
        baselines.m_central[w] = {limit, limit.m_burst * MicrotokensPerToken, now};
        baselines.m_check[w] = baselines.m_central[w];
        for (auto &host : baselines.m_split) {
            // At least one whole token of burst: without it a small workspace would never be served.
            const auto part = static_cast<std::uint32_t>(SplitUnit * Rates[w] / hosts);
            const Limits::Share share{part, std::max(part, SplitUnit)};
            host[w] = {share, share.m_burst * MicrotokensPerToken, now};
        }
    }
    return baselines;
}

bool takeSplit(Limits::TokenBucket &bucket, TimePoint now)
{
    Limits::refill(bucket, now);
    const std::int64_t token = SplitUnit * MicrotokensPerToken;
    if (bucket.m_microtokens < token) {
        return false;
    }
    bucket.m_microtokens -= token;
    return true;
}

class Run
{
public:
    Run(const User &user, Scenario scenario, std::uint64_t seed) : m_user(user), m_scenario(scenario), m_fleet(seed), m_random(seed + 1)
    {
        m_fleet.m_network.m_peerDelay = user.m_peerDelay;
        m_fleet.m_network.m_peerJitter = user.m_peerDelay / 2;
        storeTable(m_fleet);
        for (std::size_t host = 0; host < user.m_hosts; ++host) {
            m_fleet.startHost(hostName(host), domainOf(host));
        }
        m_hosts = user.m_hosts;
        m_fleet.run(seconds(90));
        if (scenario != Scenario::Up) {
            takePlatformDown();
        }
        drawSkew();
    }

    Outcome measure()
    {
        m_baselines = makeBaselines(m_hosts, m_fleet.m_now);
        m_start = m_fleet.m_now;
        for (std::size_t w = 0; w < Workspaces; ++w) {
            scheduleNext(w);
        }
        m_fleet.m_answers.clear();
        m_fleet.m_backend = [this](const HostId &, const Node::StartAttempt &start, TimePoint now) {
            checkStart(start.m_exchange, now);
            return std::pair<Duration, Node::Event>(milliseconds(5), Node::AttemptAnswered{start.m_attempt, 200, true, false, {}, {}});
        };
        m_fleet.m_onSend = [this](const HostId &from, const Node::SendPeer &send) { countBytes(from, send); };
        m_fleet.run(MeasuredTime);
        m_fleet.m_onSend = [](const HostId &, const Node::SendPeer &) {};
        m_fleet.run(seconds(2));
        for (const Fakes::CallerAnswer &answer : m_fleet.m_answers) {
            countAnswer(answer);
        }
        const double perHost = static_cast<double>(m_hosts) * std::chrono::duration<double>(MeasuredTime).count();
        m_outcome.m_loanBytes /= perHost;
        m_outcome.m_peerBytes /= perHost;
        return m_outcome;
    }

private:
    static std::string domainOf(std::size_t host)
    {
        return "d" + std::to_string(host % 3);
    }

    /// Two hours without the platform; in the last scenario a host is replaced every half hour, with no seat for its successor.
    void takePlatformDown()
    {
        m_fleet.m_platformMode = Fakes::PlatformMode::Down;
        for (std::size_t quarter = 0; quarter < 4; ++quarter) {
            m_fleet.run(Duration(hours(2)) / 4);
            if (m_scenario == Scenario::DownTwoHoursHostsReplaced) {
                m_fleet.killHost(hostName(quarter));
            }
        }
    }

    /// Each workspace prefers some hosts: the weight of the host at rank i is 1 / i^0.8.
    void drawSkew()
    {
        for (auto &weights : m_weights) {
            for (std::size_t host = 0; host < m_hosts; ++host) {
                weights.push_back(1.0 / std::pow(static_cast<double>(host + 1), 0.8));
            }
            std::shuffle(weights.begin(), weights.end(), m_random);
            if (m_scenario == Scenario::DownTwoHoursHostsReplaced) {
                std::fill_n(weights.begin(), 4, 0.0); // The balancer sends nothing to hosts that are gone.
            }
        }
    }

    void scheduleNext(std::size_t workspace)
    {
        const double load = Rates[workspace] * (workspace == FloodedWorkspace ? FloodLoad : NormalLoad);
        const double wait = -std::log(1.0 - drawUnit(m_random)) / load;
        const Duration delay(static_cast<std::int64_t>(wait * 1e6) + 1);
        if (m_fleet.m_now + delay >= m_start + MeasuredTime) {
            return;
        }
        m_fleet.at(delay, [this, workspace] {
            arrive(workspace);
            scheduleNext(workspace);
        });
    }

    void arrive(std::size_t workspace)
    {
        std::discrete_distribution<std::size_t> draw(m_weights[workspace].begin(), m_weights[workspace].end());
        const std::size_t host = draw(m_random);
        Tally &tally = m_outcome.m_tallies[workspace];
        ++tally.m_arrived;
        tally.m_admittedByCentral += Limits::takeToken(m_baselines.m_central[workspace], m_fleet.m_now) ? 1 : 0;
        tally.m_admittedBySplit += takeSplit(m_baselines.m_split[host][workspace], m_fleet.m_now) ? 1 : 0;
        Node::RequestArrived request;
        request.m_method = "GET";
        request.m_path = "/a";
        request.m_target = "/a";
        request.m_authorization = "Bearer k" + std::to_string(workspace) + ".secret";
        m_arriving = workspace;
        m_workspaceOf[m_fleet.request(hostName(host), request)] = workspace;
    }

    void countAnswer(const Fakes::CallerAnswer &answer)
    {
        const auto workspace = m_workspaceOf.find(answer.m_exchange);
        const bool isRefusal = !answer.m_forwarded && answer.m_problem.m_id == ErrorId::RequestOverLimit;
        if (workspace == m_workspaceOf.end() || isRefusal) {
            return;
        }
        ++m_outcome.m_tallies[workspace->second].m_admitted;
    }

    /// Checks a request that starts, right after it was admitted.
    void checkStart(Node::ExchangeId exchange, TimePoint now)
    {
        if (m_started.insert(exchange).second) {
            const auto known = m_workspaceOf.find(exchange);
            const std::size_t workspace = known == m_workspaceOf.end() ? m_arriving : known->second;
            m_outcome.m_exceeded += Limits::takeToken(m_baselines.m_check[workspace], now) ? 0 : 1;
        }
    }

    void countBytes(const HostId &from, const Node::SendPeer &send)
    {
        const auto bytes = static_cast<double>(Wire::encodeBatch({from, 1, send.m_host, {send.m_message}}).size());
        const bool isLoan = std::holds_alternative<Limits::LoanRequest>(send.m_message) || std::holds_alternative<Limits::LoanAnswer>(send.m_message);
        m_outcome.m_loanBytes += isLoan ? bytes : 0.0;
        m_outcome.m_peerBytes += bytes;
    }

    User m_user;
    Scenario m_scenario;
    Fakes::FakeFleet m_fleet;
    RandomGenerator m_random;
    std::size_t m_hosts = 0;
    TimePoint m_start;
    Baselines m_baselines;
    std::array<std::vector<double>, Workspaces> m_weights;
    std::map<Node::ExchangeId, std::size_t> m_workspaceOf;
    std::set<Node::ExchangeId> m_started;
    std::size_t m_arriving = 0;
    Outcome m_outcome;
};

/// Per cent of the requests within the rate that were refused although the central bucket admitted as many more.
double wrongfulRefusals(const Outcome &outcome, std::uint64_t Tally::*admitted)
{
    std::uint64_t arrived = 0;
    std::uint64_t wrongful = 0;
    for (std::size_t w = 0; w < Workspaces; ++w) {
        const Tally &tally = outcome.m_tallies[w];
        if (w != FloodedWorkspace) {
            arrived += tally.m_arrived;
            wrongful += tally.m_admittedByCentral - std::min(tally.m_admittedByCentral, tally.*admitted);
        }
    }
    return 100.0 * static_cast<double>(wrongful) / static_cast<double>(arrived);
}

/// Per cent of what the central bucket admits that the worst-served workspace gets.
double worstServed(const Outcome &outcome, std::uint64_t Tally::*admitted)
{
    double worst = 100.0;
    for (const Tally &tally : outcome.m_tallies) {
        worst = std::min(worst, 100.0 * static_cast<double>(tally.*admitted) / static_cast<double>(tally.m_admittedByCentral));
    }
    return worst;
}

struct Spread {
    double m_least = 1e9;
    double m_sum = 0.0;
    double m_most = -1e9;
    int m_count = 0;

    void add(double value)
    {
        m_least = std::min(m_least, value);
        m_most = std::max(m_most, value);
        m_sum += value;
        ++m_count;
    }

    void print(const char *name, const char *unit) const
    {
        std::printf("  %-42s %8.2f  (%.2f to %.2f) %s\n", name, m_sum / m_count, m_least, m_most, unit);
    }
};

void report(const User &user, Scenario scenario, int seeds)
{
    Spread wrongful, wrongfulSplit, worst, worstSplit, flooded, loanBytes, peerBytes;
    std::uint64_t exceeded = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        const Outcome outcome = Run(user, scenario, static_cast<std::uint64_t>(seed)).measure();
        const Tally &flood = outcome.m_tallies[FloodedWorkspace];
        wrongful.add(wrongfulRefusals(outcome, &Tally::m_admitted));
        wrongfulSplit.add(wrongfulRefusals(outcome, &Tally::m_admittedBySplit));
        worst.add(worstServed(outcome, &Tally::m_admitted));
        worstSplit.add(worstServed(outcome, &Tally::m_admittedBySplit));
        flooded.add(100.0 * static_cast<double>(flood.m_admitted) / static_cast<double>(flood.m_admittedByCentral));
        loanBytes.add(outcome.m_loanBytes);
        peerBytes.add(outcome.m_peerBytes);
        exceeded += outcome.m_exceeded;
    }
    const char *names[] = {"platform up", "platform down for two hours", "platform down for two hours, four hosts lost in it"};
    std::printf("%s, %zu hosts, %s, %d seeds: mean (least to most)\n", user.m_name, user.m_hosts, names[static_cast<int>(scenario)], seeds);
    wrongful.print("wrongful refusals", "% of requests within the rate");
    wrongfulSplit.print("wrongful refusals, equal fixed split", "%");
    worst.print("worst-served workspace", "% of what one central bucket admits");
    worstSplit.print("worst-served workspace, equal fixed split", "%");
    flooded.print("workspace at five times its rate", "% of what one central bucket admits");
    loanBytes.print("loan messages", "bytes/s sent by a host");
    peerBytes.print("all messages between hosts", "bytes/s sent by a host");
    std::printf("  %-42s %8llu  requests, over all hosts and seeds\n", "admitted above rate and burst", static_cast<unsigned long long>(exceeded));
    std::fflush(stdout);
}

}

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 3;
    const bool isQuick = argc > 2 && std::strcmp(argv[2], "up") == 0;
    const std::array<User, 2> users{{{"small fleet", 36, Duration(500)}, {"larger fleet", 48, Duration(1500)}}};
    for (const User &user : users) {
        for (const Scenario scenario : {Scenario::Up, Scenario::DownTwoHours, Scenario::DownTwoHoursHostsReplaced}) {
            if (!isQuick || scenario == Scenario::Up) {
                report(user, scenario, seeds);
            }
        }
    }
    return 0;
}
