// Measures the spread of the configuration in simulated time: from an edit to its being accepted and in force on every host, with
// the store up and slow, with and without hints, over growing fleets; and what it costs each node.
// Usage: ragwortrelay_measure_configuration [HOSTS ...]

#include "../tests/fakes/fakefleet.h"

#include <ragwortrelay/wire/peercodec.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace {

using namespace RagwortRelay;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Edits = 40;
constexpr int Rows = 1000; ///< Of the table, beside those that are edited.

struct Scenario {
    int m_hosts = 0;
    const char *m_store = "up";
    Duration m_storeDelay{milliseconds(5)};
    bool m_hints = true;
};

/// What one scenario has shown.
struct Outcome {
    std::vector<double> m_done; ///< Seconds from an edit to the answer that it is durable.
    std::vector<double> m_accepted; ///< Until more than half of the roster has it.
    std::vector<double> m_everywhere;
    std::size_t m_missing = 0; ///< Edits that weren't everywhere in time.
    double m_bytes = 0.0; ///< Of messages about the configuration sent, a node and second, while edits come each second.
    double m_quietBytes = 0.0; ///< The same without edits.
    double m_reads = 0.0; ///< Of the whole fleet, a second, without edits; of the roster too.
    double m_processor = 0.0; ///< Percent of a core for a node and all of its control work, the simulation included.
};

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

class Measurement
{
public:
    explicit Measurement(const Scenario &scenario) : m_scenario(scenario), m_fleet(20261204)
    {
        m_fleet.m_tune = [scenario](Node::NodeSettings &settings) {
            settings.m_configuration.m_hintPeers = scenario.m_hints ? settings.m_configuration.m_hintPeers : 0;
        };
        m_fleet.m_onSend = [this](const HostId &from, const Node::SendPeer &send) {
            const bool isConfiguration = !std::holds_alternative<Membership::Heartbeat>(send.m_message);
            if (isConfiguration) {
                m_bytes += Wire::encodeBatch({from, 1, send.m_host, {send.m_message}}).size();
            }
        };
    }

    Outcome run()
    {
        startHosts();
        m_fleet.m_network.m_platformDelay = m_scenario.m_storeDelay;
        m_fleet.run(seconds(10));
        Outcome outcome;
        measureQuiet(outcome);
        m_bytes = 0;
        const TimePoint begin = m_fleet.m_now;
        for (int i = 0; i < Edits; ++i) {
            measureEdit(i, outcome);
        }
        outcome.m_bytes = static_cast<double>(m_bytes) / secondsOf(m_fleet.m_now - begin) / m_scenario.m_hosts;
        return outcome;
    }

private:
    static constexpr Duration Quiet = seconds(20);

    void startHosts()
    {
        for (int i = 0; i < m_scenario.m_hosts; ++i) {
            m_fleet.startHost("h" + std::to_string(i), "d" + std::to_string(i % 9));
            m_fleet.run(milliseconds(100));
        }
        Node::EditTable first{"first", "operator", {}};
        for (int i = 0; i < Rows; ++i) {
            first.m_rows.push_back(Fakes::rowEdit(Configuration::RowKind::Workspace, "w" + std::to_string(i), {{"rate", "5"}, {"burst", "10"}}));
        }
        m_fleet.command("h0", first);
        m_fleet.run(seconds(90));
    }

    void measureQuiet(Outcome &outcome)
    {
        m_bytes = 0;
        const std::uint64_t reads = m_fleet.m_platform.m_reads;
        const std::clock_t clock = std::clock();
        m_fleet.run(Quiet);
        const double processor = static_cast<double>(std::clock() - clock) / CLOCKS_PER_SEC;
        outcome.m_processor = 100.0 * processor / secondsOf(Quiet) / m_scenario.m_hosts;
        outcome.m_quietBytes = static_cast<double>(m_bytes) / secondsOf(Quiet) / m_scenario.m_hosts;
        outcome.m_reads = static_cast<double>(m_fleet.m_platform.m_reads - reads) / secondsOf(Quiet);
    }

    std::size_t countInForce(std::uint64_t version) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_fleet.m_nodes.begin(), m_fleet.m_nodes.end(), [version](const auto &entry) { return entry.second.m_table.m_version >= version; }));
    }

    void measureEdit(int number, Outcome &outcome)
    {
        constexpr Duration Step = milliseconds(5);
        constexpr Duration Longest = seconds(18);
        const std::string host = "h" + std::to_string(number * 7 % m_scenario.m_hosts);
        const std::string name = "w" + std::to_string(number);
        const TimePoint begin = m_fleet.m_now;
        const auto call = m_fleet.command(
            host, Node::EditTable{"e" + std::to_string(number), "operator", {Fakes::rowEdit(Configuration::RowKind::Workspace, name, {{"rate", "6"}}, 1)}});
        bool isDone = false;
        bool isAccepted = false;
        std::uint64_t version = 0;
        while (m_fleet.m_now - begin < Longest) {
            m_fleet.run(Step);
            const double passed = secondsOf(m_fleet.m_now - begin);
            const auto reply = m_fleet.m_operatorReplies.find(call);
            if (!isDone && reply != m_fleet.m_operatorReplies.end()) {
                isDone = true;
                version = std::get<Node::EditDone>(reply->second).m_version;
                outcome.m_done.push_back(passed);
            }
            if (isDone && !isAccepted) {
                const auto spread = m_fleet.command(host, Node::ShowSpread{version});
                isAccepted = std::get<Node::SpreadShown>(m_fleet.m_operatorReplies.at(spread)).m_accepted;
                if (isAccepted) {
                    outcome.m_accepted.push_back(passed);
                }
            }
            if (isDone && countInForce(version) == m_fleet.m_nodes.size()) {
                outcome.m_everywhere.push_back(passed);
                m_fleet.run(seconds(1));
                return;
            }
        }
        ++outcome.m_missing;
    }

    Scenario m_scenario;
    Fakes::FakeFleet m_fleet;
    std::uint64_t m_bytes = 0;
};

void print(const Scenario &scenario, const Outcome &outcome)
{
    std::printf("| %d | %s | %s | %.2f / %.2f | %.2f / %.2f | %.2f / %.2f | %zu | %.0f | %.0f | %.1f | %.3f |\n",
                scenario.m_hosts,
                scenario.m_store,
                scenario.m_hints ? "on" : "off",
                percentile(outcome.m_done, 0.5),
                percentile(outcome.m_done, 1.0),
                percentile(outcome.m_accepted, 0.5),
                percentile(outcome.m_accepted, 1.0),
                percentile(outcome.m_everywhere, 0.5),
                percentile(outcome.m_everywhere, 1.0),
                outcome.m_missing,
                outcome.m_quietBytes,
                outcome.m_bytes,
                outcome.m_reads,
                outcome.m_processor);
    std::fflush(stdout);
}

}

int main(int argc, char **argv)
{
    std::vector<int> sizes;
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(std::atoi(argv[i]));
    }
    if (sizes.empty()) {
        sizes = {36, 48, 120, 240, 470};
    }
    std::printf("| hosts | store | hints | durable s (median / most) | accepted s | everywhere s | not in 18 s | quiet B/s a node | B/s a node, an edit each "
                "second or two "
                "| reads/s of the fleet | %% of a core a node |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const int hosts : sizes) {
        for (const bool hints : {true, false}) {
            for (const auto &[store, delay] : {std::pair("up", Duration(milliseconds(5))), std::pair("slow", Duration(milliseconds(800)))}) {
                const Scenario scenario{hosts, store, delay, hints};
                print(scenario, Measurement(scenario).run());
            }
        }
    }
    return 0;
}
