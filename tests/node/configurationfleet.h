#pragma once

#include "../fakes/fakefleet.h"

#include <ragwortrelay/configuration/storedform.h>
#include <ragwortrelay/workspaces/authentication.h>

#include <optional>
#include <set>
#include <string>

namespace RagwortRelay::Tests {

inline Configuration::Cells keyCells()
{
    return {{"workspace", "w1"}, {"salt", "s"}, {"digest", Workspaces::digestOf("s", "long-secret")}};
}

/// Hosts h0, h1, ... in three failure domains that know one another, and one key.
class ConfigurationFleet : public Fakes::FakeFleet
{
public:
    using FakeFleet::FakeFleet;

    void startAll(int hosts)
    {
        m_hosts = hosts;
        m_tune = [hosts](Node::NodeSettings &settings) {
            for (int i = 0; i < hosts; ++i) {
                settings.m_seedAddresses.push_back("h" + std::to_string(i));
            }
        };
        for (int i = 0; i < hosts; ++i) {
            startOne(i, 1);
        }
    }

    /// Replaces a host by a new life of it.
    void restart(const std::string &host)
    {
        startOne(std::stoi(host.substr(1)), ++m_incarnations[host] + 1);
    }

    void giveFirstTable()
    {
        using Configuration::RowKind;
        command(
            "h0",
            Node::EditTable{"first",
                            "operator",
                            {Fakes::rowEdit(RowKind::Service, "booking", {}),
                             Fakes::rowEdit(RowKind::Server, "b1", {{"service", "booking"}, {"address", "127.0.0.1:1"}, {"domain", "d1"}, {"slots", "1000"}}),
                             Fakes::rowEdit(RowKind::Route, "lookup", {{"method", "GET"}, {"path", "/"}, {"service", "booking"}}),
                             Fakes::rowEdit(RowKind::Workspace, "w1", {{"rate", "1000"}, {"burst", "1000"}}),
                             Fakes::rowEdit(RowKind::Workspace, "w2", {{"rate", "1000"}, {"burst", "1000"}}),
                             Fakes::rowEdit(RowKind::Key, "k1", keyCells())}});
        run(std::chrono::seconds(3));
    }

    /// Sends a request with the key and returns the refusal, or nothing when a backend server answered.
    std::optional<ErrorId> ask(const std::string &host)
    {
        Node::RequestArrived lookup;
        lookup.m_method = "GET";
        lookup.m_path = "/a";
        lookup.m_target = "/a";
        lookup.m_authorization = "Bearer k1.long-secret";
        const Node::ExchangeId exchange = request(host, lookup);
        run(std::chrono::milliseconds(100));
        for (const Fakes::CallerAnswer &answer : m_answers) {
            if (answer.m_exchange == exchange) {
                return answer.m_forwarded ? std::nullopt : std::optional(answer.m_problem.m_id);
            }
        }
        return ErrorId::RequestDeadlineExceeded;
    }

    /// Cuts hosts off from the store and from all others, each by itself.
    void cutOff(const std::set<std::string> &hosts)
    {
        for (const std::string &host : hosts) {
            m_network.m_cutFromPlatform.insert(HostId(host));
            for (int i = 0; i < m_hosts; ++i) {
                const HostId other("h" + std::to_string(i));
                m_network.m_cuts.insert({HostId(host), other});
                m_network.m_cuts.insert({other, HostId(host)});
            }
        }
    }

    void heal()
    {
        m_network.m_cutFromPlatform.clear();
        m_network.m_cuts.clear();
    }

    bool isAccepted(const std::string &host, std::uint64_t version)
    {
        command(host, Node::ShowSpread{version});
        run(std::chrono::seconds(1));
        const auto call = command(host, Node::ShowSpread{version});
        return std::get<Node::SpreadShown>(m_operatorReplies.at(call)).m_accepted;
    }

    std::set<std::uint64_t> versions() const
    {
        std::set<std::uint64_t> versions;
        for (const auto &[host, node] : m_nodes) {
            versions.insert(node.m_table.m_version);
        }
        return versions;
    }

    int m_hosts = 0;

private:
    void startOne(int number, Membership::Incarnation incarnation)
    {
        startHost("h" + std::to_string(number), domainOf(number), incarnation);
    }

    static std::string domainOf(int number)
    {
        return "d" + std::to_string(number % 3);
    }

    std::map<std::string, Membership::Incarnation> m_incarnations;
};

}
