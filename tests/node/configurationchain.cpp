#include "configurationfleet.h"

#include <ragwortrelay/detail/node/duties.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace RagwortRelay;
using namespace RagwortRelay::Tests;
using Configuration::RowKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Hosts = 5;
constexpr Duration Bound = seconds(9); // Isolation and a tick; well below 18 s.

enum StepKind : int {
    SetRow,
    ToggleKey,
    RepeatEdit,
    Watch,
    CutOneWay,
    CutFromStore,
    Heal,
    ChangeStore,
    RestartHost,
    PauseOrResume,
    StepKinds,
};

/// Kind, two numbers that choose hosts and rows, and the time that goes by afterwards in units of 50 ms.
using Step = std::tuple<int, int, int, int>;

struct SentEdit {
    Node::EditTable m_edit;
    std::vector<Node::OperatorCallId> m_calls;
};

/// The chain as a sequential table, read from the store's log in the end.
struct Model {
    std::vector<Configuration::Change> m_changes;
    std::vector<Configuration::Table> m_tables{{}}; ///< By version.
};

class Run
{
public:
    explicit Run(std::uint64_t seed) : m_fleet(seed)
    {
        m_fleet.m_network.m_lossChance = 0.05;
        m_fleet.m_network.m_duplicateChance = 0.1;
        m_fleet.m_network.m_peerJitter = milliseconds(30);
        m_fleet.startAll(Hosts);
        m_fleet.giveFirstTable();
    }

    void take(const Step &step)
    {
        const auto [kind, first, second, pause] = step;
        const std::string host = "h" + std::to_string(first % Hosts);
        const std::string other = "h" + std::to_string(second % Hosts);
        switch (kind) {
        case SetRow:
            return setRow(host, second, pause);
        case ToggleKey:
            return toggleKey(host);
        case RepeatEdit:
            return repeat(host, second);
        case Watch:
            return watch(host);
        case CutOneWay:
            m_fleet.m_network.m_cuts.insert({HostId(host), HostId(other)});
            return;
        case CutFromStore:
            m_fleet.m_network.m_cutFromPlatform.insert(HostId(host));
            return;
        case Heal:
            return m_fleet.heal();
        case ChangeStore:
            return changeStore(second);
        case RestartHost:
            m_paused.erase(host);
            m_versions.erase(host);
            return m_fleet.restart(host);
        default:
            return pauseOrResume(host);
        }
    }

    /// Lets time go on and checks the invariants all along.
    void run(Duration duration)
    {
        constexpr Duration Slice = milliseconds(100);
        constexpr Duration RequestInterval = milliseconds(500);
        for (Duration passed{}; passed < duration; passed += Slice) {
            m_fleet.run(Slice);
            noteAcceptance();
            checkHosts();
            if (passed % RequestInterval == Duration::zero()) {
                checkRequests();
            }
        }
    }

    /// Ends all faults and checks the outcome against the sequential table.
    void finish()
    {
        m_fleet.heal();
        changeStore(0);
        for (const std::string &host : std::set<std::string>(m_paused)) {
            pauseOrResume(host);
        }
        run(seconds(30));
        const Model model = readModel();
        for (const auto &[host, node] : m_fleet.m_nodes) {
            RC_ASSERT(node.m_table == model.m_tables.back());
        }
        for (const SentEdit &sent : m_edits) {
            checkReplies(sent, model);
        }
    }

    std::size_t m_accepted = 0;

private:
    void send(const std::string &host, Node::EditTable edit)
    {
        edit.m_changeId = "e" + std::to_string(m_edits.size());
        m_edits.push_back({edit, {m_fleet.command(host, edit)}});
    }

    std::uint64_t versionOn(const std::string &host, const Configuration::RowKey &key) const
    {
        const auto node = m_fleet.m_nodes.find(HostId(host));
        const Configuration::Row *row = Configuration::findRow(node->second.m_table, {}, key);
        return row == nullptr ? 0 : row->m_version;
    }

    void setRow(const std::string &host, int row, int value)
    {
        const Configuration::RowKey key{RowKind::Workspace, "w" + std::to_string(row % 3 + 1)};
        const std::uint64_t base = versionOn(host, key);
        const Configuration::Cells cells{{"rate", std::to_string(value + 1)}, {"burst", "1000"}};
        send(host, {"", "operator", {{key, value % 7 == 0 && base > 0 ? base - 1 : base, cells, false}}});
    }

    void toggleKey(const std::string &host)
    {
        const Configuration::RowKey key{RowKind::Key, "k1"};
        const Configuration::Row *row = Configuration::findRow(m_fleet.m_nodes.at(HostId(host)).m_table, {}, key);
        if (row == nullptr) {
            return;
        }
        Configuration::Cells cells = row->m_cells;
        cells["withdrawn"] = cells["withdrawn"] == "yes" ? "no" : "yes";
        send(host, {"", "operator", {{key, row->m_version, cells, false}}});
    }

    void repeat(const std::string &host, int which)
    {
        if (!m_edits.empty()) {
            SentEdit &sent = m_edits[m_edits.size() - 1 - static_cast<std::size_t>(which) % m_edits.size()];
            sent.m_calls.push_back(m_fleet.command(host, sent.m_edit));
        }
    }

    void watch(const std::string &host)
    {
        std::uint64_t newest = 0;
        for (const SentEdit &sent : m_edits) {
            for (const auto call : sent.m_calls) {
                const auto reply = m_fleet.m_operatorReplies.find(call);
                const auto *done = reply == m_fleet.m_operatorReplies.end() ? nullptr : std::get_if<Node::EditDone>(&reply->second);
                newest = done == nullptr ? newest : std::max(newest, done->m_version);
            }
        }
        m_watched = {host, newest};
    }

    void changeStore(int mode)
    {
        using Fakes::PlatformMode;
        m_fleet.m_platformMode = mode % 4 == 1 ? PlatformMode::Down : mode % 4 == 2 ? PlatformMode::LosesAnswers : PlatformMode::Up;
        m_fleet.m_network.m_platformDelay = mode % 4 == 3 ? Duration(seconds(3)) : Duration(milliseconds(5));
    }

    void pauseOrResume(const std::string &host)
    {
        if (m_paused.insert(host).second) {
            return m_fleet.pauseHost(host);
        }
        m_paused.erase(host);
        m_fleet.resumeHost(host);
    }

    void noteAcceptance()
    {
        if (m_watched.second == 0) {
            return;
        }
        const auto call = m_fleet.command(m_watched.first, Node::ShowSpread{m_watched.second});
        const auto reply = m_fleet.m_operatorReplies.find(call);
        const bool isAccepted = reply != m_fleet.m_operatorReplies.end() && std::get<Node::SpreadShown>(reply->second).m_accepted;
        if (isAccepted && m_acceptedAt.emplace(m_watched.second, m_fleet.m_now).second) {
            ++m_accepted;
        }
    }

    /// Returns the highest version that was accepted so long ago that all hosts which serve must have it.
    std::uint64_t boundVersion() const
    {
        std::uint64_t version = 0;
        for (const auto &[accepted, at] : m_acceptedAt) {
            version = m_fleet.m_now - at >= Bound ? std::max(version, accepted) : version;
        }
        return version;
    }

    void checkHosts()
    {
        for (auto &[host, node] : m_fleet.m_nodes) {
            std::uint64_t &before = m_versions[host.text()];
            RC_ASSERT(node.m_table.m_version >= before);
            before = node.m_table.m_version;
            const bool serves = !m_paused.contains(host.text()) && Node::detail::mayServeWorkspaces(node, m_fleet.m_now);
            RC_ASSERT(!serves || node.m_table.m_version >= boundVersion());
        }
    }

    /// Sends a request to each host; none may run when the key has been withdrawn since a version that all must have.
    void checkRequests()
    {
        const std::uint64_t bound = boundVersion();
        if (bound == 0 || !isWithdrawnSince(bound)) {
            return;
        }
        for (int i = 0; i < Hosts; ++i) {
            const std::string host = "h" + std::to_string(i);
            const bool wasRefused = m_paused.contains(host) || m_fleet.ask(host).has_value();
            // The key may have been given again meanwhile.
            RC_ASSERT(wasRefused || !isWithdrawnSince(bound));
        }
    }

    bool isWithdrawnSince(std::uint64_t version) const
    {
        const Model model = readModel();
        for (std::size_t i = version; i < model.m_tables.size(); ++i) {
            const auto row = model.m_tables[i].m_rows.find({RowKind::Key, "k1"});
            if (row == model.m_tables[i].m_rows.end() || !row->second.m_cells.contains("withdrawn") || row->second.m_cells.at("withdrawn") != "yes") {
                return false;
            }
        }
        return true;
    }

    Model readModel() const
    {
        Model model;
        std::set<std::string> ids;
        for (std::uint64_t version = 1;; ++version) {
            const auto item = m_fleet.m_platform.m_items.find(Configuration::logKey(version));
            if (item == m_fleet.m_platform.m_items.end()) {
                return model;
            }
            model.m_changes.push_back(*Configuration::decodeChange(item->second.m_body, version));
            RC_ASSERT(ids.insert(model.m_changes.back().m_changeId).second);
            Configuration::Table next = model.m_tables.back();
            for (const Configuration::Row &row : model.m_changes.back().m_rows) {
                next.m_rows.insert_or_assign(row.m_key, row);
            }
            next.m_version = version;
            model.m_tables.push_back(next);
        }
    }

    static std::uint64_t versionIn(const Configuration::Table &table, const Configuration::RowKey &key)
    {
        const auto row = table.m_rows.find(key);
        return row == table.m_rows.end() ? 0 : row->second.m_version;
    }

    void checkReplies(const SentEdit &sent, const Model &model) const
    {
        const Node::RowEdit &row = sent.m_edit.m_rows.front();
        const auto applied =
            std::find_if(model.m_changes.begin(), model.m_changes.end(), [&](const auto &change) { return change.m_changeId == sent.m_edit.m_changeId; });
        if (applied != model.m_changes.end()) {
            RC_ASSERT(*applied == Configuration::changeOf(sent.m_edit, applied->m_version));
            RC_ASSERT(versionIn(model.m_tables[applied->m_version - 1], row.m_key) == row.m_baseVersion);
        }
        for (const auto call : sent.m_calls) {
            const auto reply = m_fleet.m_operatorReplies.find(call);
            if (reply == m_fleet.m_operatorReplies.end()) {
                continue; // The host was restarted.
            }
            if (const auto *done = std::get_if<Node::EditDone>(&reply->second)) {
                RC_ASSERT(applied != model.m_changes.end());
                RC_ASSERT(done->m_version == applied->m_version);
            } else if (const auto *conflict = std::get_if<Node::EditConflict>(&reply->second)) {
                RC_ASSERT(applied == model.m_changes.end());
                const Configuration::Row &stored = conflict->m_storedRows.front();
                RC_ASSERT(stored.m_version != row.m_baseVersion);
                RC_ASSERT(stored == model.m_tables.at(stored.m_version).m_rows.at(row.m_key));
            } else if (std::get<Node::EditUnresolved>(reply->second).m_mayBeWritten == false && sent.m_calls.size() == 1) {
                RC_ASSERT(applied == model.m_changes.end());
            }
        }
    }

    ConfigurationFleet m_fleet;
    std::vector<SentEdit> m_edits;
    std::set<std::string> m_paused;
    std::map<std::string, std::uint64_t> m_versions;
    std::pair<std::string, std::uint64_t> m_watched;
    std::map<std::uint64_t, TimePoint> m_acceptedAt;
};

rc::Gen<Step> genStep()
{
    const auto kind = rc::gen::weightedOneOf<int>(
        {{4, rc::gen::element<int>(SetRow, ToggleKey)}, {2, rc::gen::just<int>(Watch)}, {4, rc::gen::inRange<int>(RepeatEdit, StepKinds)}});
    return rc::gen::tuple(kind, rc::gen::inRange(0, 20), rc::gen::inRange(0, 20), rc::gen::inRange(0, 60));
}

}

TEST_CASE("configuration chain")
{
    SECTION("any faults and edits: the chain is a sequential table, in force within the bound on all hosts that serve")
    {
        std::size_t accepted = 0;
        CHECK(rc::check("chain", [&accepted] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const auto steps = *rc::gen::container<std::vector<Step>>(genStep());
            Run run(seed);
            for (const Step &step : steps) {
                run.take(step);
                run.run(milliseconds(50) * std::get<3>(step));
            }
            run.finish();
            accepted += run.m_accepted;
        }));
        // The runs must have come to acceptances, or the bound was never put to the test.
        CHECK(accepted > 100);
    }
}
