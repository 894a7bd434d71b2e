#pragma once

#include "faketable.h"

#include <ragwortrelay/node/node.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace RagwortRelay::Fakes {

/// How the platform behaves at present.
enum class PlatformMode {
    Up,
    Down,
    LosesAnswers, ///< Calls take effect, their answers are lost.
};

/// Answer that a caller got.
struct CallerAnswer {
    HostId m_host;
    Node::ExchangeId m_exchange = 0;
    TimePoint m_at;
    bool m_forwarded = false; ///< A backend server's answer.
    Dispatch::Problem m_problem; ///< Of the proxy, when not forwarded.
    Node::AttemptId m_attempt = 0; ///< Whose answer it is, when forwarded.
    std::optional<Dispatch::StoredAnswer> m_replayed; ///< Of an earlier request with the key.
};

/// How the network and the platform treat messages. Chances are between 0 and 1.
struct FakeNetwork {
    Duration m_peerDelay{std::chrono::milliseconds(1)};
    Duration m_peerJitter{std::chrono::milliseconds(1)};
    double m_lossChance = 0.0;
    double m_duplicateChance = 0.0;
    Duration m_platformDelay{std::chrono::milliseconds(5)};
    std::set<std::pair<HostId, HostId>> m_cuts; ///< From, to: one way.
    std::set<HostId> m_cutFromPlatform;
};

/// Nodes in simulated time, with fakes for all that surrounds them. One seed, one run.
class FakeFleet
{
public:
    /// Decides what becomes of an attempt: returns the delay and the event that it ends with; a negative delay when it delivers by itself.
    using Backend = std::function<std::pair<Duration, Node::Event>(const HostId &, const Node::StartAttempt &, TimePoint)>;

    explicit FakeFleet(std::uint64_t seed) : m_random(seed)
    {
        m_backend = [](const HostId &, const Node::StartAttempt &start, TimePoint) {
            return std::pair<Duration, Node::Event>(std::chrono::milliseconds(5), Node::AttemptAnswered{start.m_attempt, 200, true, false, {}});
        };
    }

    /// Starts a host, or a new life of it.
    void startHost(const std::string &name, const std::string &domain, Membership::Incarnation incarnation = 1)
    {
        Node::NodeSettings settings;
        settings.m_host = HostId(name);
        settings.m_domain = FailureDomainId(domain);
        settings.m_peerAddress = name;
        settings.m_incarnation = incarnation;
        m_tune(settings);
        ++m_lives[settings.m_host];
        m_paused.erase(settings.m_host);
        m_nodes.insert_or_assign(settings.m_host, Node::makeNode(settings, m_random()));
        tick(settings.m_host, m_lives[settings.m_host]);
    }

    /// Ends a host without notice.
    void killHost(const std::string &name)
    {
        ++m_lives[HostId(name)];
        m_nodes.erase(HostId(name));
    }

    /// Stops a host from doing anything until resumeHost(); what arrives waits.
    void pauseHost(const std::string &name)
    {
        m_paused[HostId(name)];
    }

    void resumeHost(const std::string &name)
    {
        const auto waiting = std::move(m_paused[HostId(name)]);
        m_paused.erase(HostId(name));
        for (const Node::Event &event : waiting) {
            deliver(HostId(name), event);
        }
    }

    /// Lets time go on.
    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (!m_queue.empty() && m_queue.begin()->first <= end) {
            const auto next = m_queue.begin();
            m_now = next->first;
            const auto task = std::move(next->second);
            m_queue.erase(next);
            task();
        }
        m_now = end;
    }

    /// Does something later.
    void at(Duration delay, std::function<void()> task)
    {
        m_queue.emplace(m_now + delay, std::move(task));
    }

    /// Gives a host a request; returns its number.
    Node::ExchangeId request(const std::string &host, Node::RequestArrived request)
    {
        request.m_exchange = ++m_lastExchange;
        deliver(HostId(host), request);
        return request.m_exchange;
    }

    /// Gives a host an operator's command; the reply lands in m_operatorReplies.
    Node::OperatorCallId command(const std::string &host, const Node::OperatorCommand &command)
    {
        const Node::OperatorCallId call = ++m_lastOperatorCall;
        deliver(HostId(host), Node::OperatorAsked{call, command});
        return call;
    }

    /// Gives a host an event; nothing happens when there is no such host.
    void deliver(const HostId &host, const Node::Event &event)
    {
        const auto paused = m_paused.find(host);
        if (paused != m_paused.end()) {
            paused->second.push_back(event);
            return;
        }
        const auto node = m_nodes.find(host);
        if (node == m_nodes.end()) {
            return;
        }
        for (const Node::Action &action : Node::handle(node->second, event, m_now)) {
            perform(host, action);
        }
    }

    TimePoint m_now{std::chrono::hours(1)};
    RandomGenerator m_random;
    FakeNetwork m_network;
    FakePlatform m_platform;
    PlatformMode m_platformMode = PlatformMode::Up;
    Backend m_backend;
    std::function<void(Node::NodeSettings &)> m_tune = [](Node::NodeSettings &) {};
    std::map<HostId, Node::Node> m_nodes;
    std::vector<CallerAnswer> m_answers;
    std::vector<std::pair<HostId, Node::StartAttempt>> m_attempts;
    std::map<Node::OperatorCallId, Node::OperatorReply> m_operatorReplies;
    std::set<HostId> m_exited;
    std::uint64_t m_peerMessages = 0;
    std::function<void(const HostId &, const Node::SendPeer &)> m_onSend = [](const HostId &, const Node::SendPeer &) {};

private:
    static constexpr Duration TickInterval = std::chrono::milliseconds(20);

    void tick(const HostId &host, std::uint64_t life)
    {
        if (m_lives[host] != life) {
            return;
        }
        if (!m_paused.contains(host)) {
            deliver(host, Node::Ticked{wallSeconds()});
        }
        at(TickInterval, [this, host, life] { tick(host, life); });
    }

    [[nodiscard]] std::int64_t wallSeconds() const
    {
        constexpr std::int64_t WallClockAtZero = 1'800'000'000;
        return WallClockAtZero + std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch()).count();
    }

    /// Delivers later, unless the host has another life by then.
    void deliverLater(const HostId &host, Duration delay, const Node::Event &event)
    {
        at(delay, [this, host, event, life = m_lives[host]] {
            if (m_lives[host] == life) {
                deliver(host, event);
            }
        });
    }

    void perform(const HostId &host, const Node::Action &action)
    {
        if (const auto *start = std::get_if<Node::StartAttempt>(&action)) {
            m_attempts.emplace_back(host, *start);
            const auto [delay, event] = m_backend(host, *start, m_now);
            if (delay >= Duration(0)) {
                deliverLater(host, delay, event);
            }
        } else if (const auto *call = std::get_if<Node::CallPlatform>(&action)) {
            callPlatform(host, *call);
        } else if (const auto *send = std::get_if<Node::SendPeer>(&action)) {
            sendPeer(host, *send);
        } else if (const auto *forward = std::get_if<Node::ForwardAnswer>(&action)) {
            m_answers.push_back({host, forward->m_exchange, m_now, true, {}, forward->m_attempt, {}});
        } else if (const auto *replay = std::get_if<Node::ReplayAnswer>(&action)) {
            m_answers.push_back({host, replay->m_exchange, m_now, true, {}, 0, replay->m_answer});
        } else if (const auto *problem = std::get_if<Node::AnswerProblem>(&action)) {
            m_answers.push_back({host, problem->m_exchange, m_now, false, problem->m_problem, 0, {}});
        } else if (const auto *reply = std::get_if<Node::AnswerOperator>(&action)) {
            m_operatorReplies.insert_or_assign(reply->m_call, reply->m_reply);
        } else if (std::holds_alternative<Node::Exit>(action)) {
            m_exited.insert(host);
        }
    }

    void callPlatform(const HostId &host, const Node::CallPlatform &call)
    {
        constexpr Duration CallTimeout = std::chrono::seconds(2);
        if (m_platformMode == PlatformMode::Down || m_network.m_cutFromPlatform.contains(host)) {
            deliverLater(host, CallTimeout, Node::PlatformAnswered{call.m_call, Platform::Unavailable{"down"}});
            return;
        }
        const bool inTime = 2 * m_network.m_platformDelay < CallTimeout;
        if (!inTime) {
            // The caller gives up; the call takes effect later nevertheless.
            deliverLater(host, CallTimeout, Node::PlatformAnswered{call.m_call, Platform::Unavailable{"timeout"}});
        }
        at(m_network.m_platformDelay, [this, host, call, inTime, life = m_lives[host]] {
            Platform::Result result = apply(m_platform, call.m_request);
            if (!inTime) {
                return;
            }
            if (m_platformMode == PlatformMode::LosesAnswers) {
                result = Platform::Unavailable{"answer lost"};
            }
            at(m_network.m_platformDelay, [this, host, call, life, result] {
                if (m_lives[host] == life) {
                    deliver(host, Node::PlatformAnswered{call.m_call, result});
                }
            });
        });
    }

    void sendPeer(const HostId &from, Node::SendPeer send)
    {
        if (send.m_host.isEmpty()) {
            send.m_host = HostId(send.m_address);
        }
        ++m_peerMessages;
        m_onSend(from, send);
        const Membership::Incarnation incarnation = m_nodes.at(from).m_settings.m_incarnation;
        const int copies = drawUnit(m_random) < m_network.m_duplicateChance ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_network.m_cuts.contains({from, send.m_host}) || drawUnit(m_random) < m_network.m_lossChance) {
                continue;
            }
            const auto jitter = static_cast<std::int64_t>(drawUnit(m_random) * static_cast<double>(m_network.m_peerJitter.count()));
            at(m_network.m_peerDelay + Duration(jitter), [this, from, incarnation, send] {
                // A cut also holds back what is under way.
                if (!m_network.m_cuts.contains({from, send.m_host})) {
                    deliver(send.m_host, Node::PeerSpoke{from, incarnation, send.m_message});
                }
            });
        }
    }

    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::map<HostId, std::uint64_t> m_lives;
    std::map<HostId, std::vector<Node::Event>> m_paused;
    Node::ExchangeId m_lastExchange = 0;
    Node::OperatorCallId m_lastOperatorCall = 0;
};

/// Edit of one row.
inline Node::RowEdit rowEdit(Configuration::RowKind kind, const std::string &name, const Configuration::Cells &cells, std::uint64_t baseVersion = 0)
{
    return {{kind, name}, baseVersion, cells, false};
}

}
