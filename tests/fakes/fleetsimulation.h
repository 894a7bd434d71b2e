#pragma once

#include "fakestore.h"

#include <ragwortrelay/host/state.h>
#include <ragwortrelay/reporting/logline.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace RagwortRelay::Fakes {

/// Behavior of the store towards one host.
enum class StoreMode {
    Serving, ///< Performs each call and returns its result.
    Refusing, ///< Refuses each call.
    Silent, ///< Neither performs calls nor responds to them; they time out.
    LosingAnswers, ///< Performs each call, but its result is lost and the call times out.
};

/// Response that a caller received.
struct CallerResponse {
    bool m_isForwarded = false; ///< The response is that of a server.
    std::optional<Dispatch::StoredResponse> m_replayed; ///< Stored response of an earlier request with the same idempotency key.
    Dispatch::Problem m_problem; ///< Problem that the host reports when it forwards no response.
    TimePoint m_at;
};

/// Attempt that a server received.
struct ServedAttempt {
    HostId m_host;
    Host::StartAttempt m_start;
    TimePoint m_at;
};

/// Simulates hosts with fake servers, callers, network and store, in simulated time. A run is determined by its seed.
class FleetSimulation
{
public:
    /// Returns the delay and the event with which an attempt ends; without an event the server never responds.
    using Server = std::function<std::pair<Duration, std::optional<Host::Event>>(const ServedAttempt &)>;

    explicit FleetSimulation(std::uint64_t seed) : m_random(seed)
    {
        m_server = [](const ServedAttempt &attempt) { return std::pair(Duration(std::chrono::milliseconds(100)), responded(attempt.m_start.m_attempt, 200)); };
    }

    /// Returns the event of a complete response.
    static std::optional<Host::Event> responded(Host::AttemptId attempt, std::uint16_t status, bool notRun = false)
    {
        Host::AttemptResponded response;
        response.m_attempt = attempt;
        response.m_status = status;
        response.m_metadata.m_notRun = notRun;
        response.m_isComplete = true;
        return response;
    }

    /// Returns the event of an attempt that failed without a response.
    static std::optional<Host::Event> failed(Host::AttemptId attempt, Dispatch::AttemptFailure failure, bool sent)
    {
        return Host::AttemptFailed{attempt, failure, sent};
    }

    /// Returns the address of a host, which stays the same through restarts.
    std::string addressOf(const std::string &name)
    {
        for (const auto &[address, host] : m_addresses) {
            if (host.text() == name) {
                return address;
            }
        }
        const std::string address = "127.0.0.1:" + std::to_string(m_addresses.size() + 1);
        m_addresses.emplace(address, HostId(name));
        return address;
    }

    /// Starts a host, or restarts it as a new incarnation.
    void start(const std::string &name, const std::string &domain)
    {
        const HostId id(name);
        Host::HostSettings settings;
        settings.m_host = id;
        settings.m_domain = FailureDomainId(domain);
        settings.m_peerAddress = addressOf(name);
        m_configure(settings);
        ++m_incarnations[id];
        const Fleet::Incarnation incarnation = m_random();
        const std::uint64_t seed = m_random(); // The order of evaluation of arguments would depend on the compiler.
        m_hosts.insert_or_assign(id, Host::makeState(settings, m_source, incarnation, seed));
        m_nextTimerAt[id] = TimePoint::max();
        deliver(id, Host::TimerExpired{});
    }

    /// Starts the hosts h1, h2 and so on, spread over three failure domains.
    void startHosts(int count)
    {
        for (int i = 1; i <= count; ++i) {
            start("h" + std::to_string(i), "d" + std::to_string(i % 3));
        }
    }

    /// Ends a host without notice to others. Events on their way to it are lost.
    void kill(const HostId &host)
    {
        ++m_incarnations[host];
        m_hosts.erase(host);
    }

    /// Advances the simulated time and performs the tasks that come due.
    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (!m_queue.empty() && m_queue.begin()->first <= end) {
            const auto next = m_queue.begin();
            m_now = std::max(m_now, next->first);
            const auto task = std::move(next->second);
            m_queue.erase(next);
            task();
            m_store.tick(m_now);
        }
        m_now = end;
    }

    /// Schedules a task.
    void at(Duration delay, std::function<void()> task)
    {
        m_queue.emplace(m_now + delay, std::move(task));
    }

    /// Sends a GET request to a host and returns its number.
    Host::ExchangeId request(const HostId &host, const std::string &path, const std::string &key = {}, std::uint64_t bodyDigest = 0)
    {
        Host::RequestArrived request;
        request.m_method = "GET";
        request.m_metadata.m_path = path;
        request.m_metadata.m_key = key;
        request.m_bodyDigest = bodyDigest;
        return arrive(host, request);
    }

    /// Sends a POST request with an idempotency key to a host and returns its number.
    Host::ExchangeId post(const HostId &host, const std::string &path, const std::string &key, const std::string &idempotencyKey)
    {
        Host::RequestArrived request;
        request.m_method = "POST";
        request.m_metadata.m_path = path;
        request.m_metadata.m_key = key;
        request.m_metadata.m_idempotencyKey = idempotencyKey;
        return arrive(host, request);
    }

    /// Sends an operator's command to a host and returns its number.
    Operators::CommandId command(const HostId &host, const Operators::Command &command)
    {
        const Operators::CommandId call = ++m_lastCommand;
        deliver(host, Host::OperatorCommandReceived{call, command});
        return call;
    }

    /// Returns the reply to a command, or nullptr if there is none yet or it has another type.
    template<typename Reply> [[nodiscard]] const Reply *replyTo(Operators::CommandId call) const
    {
        const auto reply = m_replies.find(call);
        return reply == m_replies.end() ? nullptr : std::get_if<Reply>(&reply->second);
    }

    /// Passes an event to a host and performs the resulting actions. Ignored when the host isn't running.
    void deliver(const HostId &host, const Host::Event &event)
    {
        const auto state = m_hosts.find(host);
        if (state == m_hosts.end()) {
            return;
        }
        for (const Host::Action &action : Host::handle(state->second, event, m_now)) {
            std::visit([&](const auto &typed) { perform(host, typed); }, action);
        }
        armTimer(host);
    }

    /// Returns the state of a host. Precondition: the host is running.
    [[nodiscard]] const Host::State &state(const HostId &host) const
    {
        return m_hosts.at(host);
    }

    /// Returns the first host other than the leader.
    [[nodiscard]] HostId follower() const
    {
        const HostId leaderId = leader();
        const auto other = std::ranges::find_if(m_hosts, [&](const auto &host) { return host.first != leaderId; });
        return other == m_hosts.end() ? HostId() : other->first;
    }

    /// Returns the leader on which all hosts agree; empty when they don't.
    [[nodiscard]] HostId leader() const
    {
        HostId leader;
        for (const auto &[id, state] : m_hosts) {
            const HostId &followed = state.m_leadership.m_leader;
            if (!leader.isEmpty() && leader != followed) {
                return {};
            }
            leader = followed;
        }
        return leader;
    }

    /// Returns the number of problems with a status that hosts have reported, or of forwarded responses when the status is 0.
    [[nodiscard]] std::size_t countAnswers(std::uint16_t status) const
    {
        std::size_t count = 0;
        for (const auto &[id, response] : m_responses) {
            count += (status == 0 ? response.m_isForwarded : !response.m_isForwarded && response.m_problem.m_status == status) ? 1 : 0;
        }
        return count;
    }

    FakeStore m_store;
    Host::ConfigurationSource m_source;
    Server m_server;
    std::function<void(Host::HostSettings &)> m_configure = [](Host::HostSettings &) {};
    std::map<HostId, StoreMode> m_storeModes;
    std::set<std::pair<HostId, HostId>> m_partitions; ///< Pairs of sender and receiver whose datagrams are lost; one direction each.
    double m_lossChance = 0.0;
    Duration m_peerDelay{std::chrono::milliseconds(1)};
    Duration m_datagramCost{}; ///< Time that a host takes to process a datagram of another host.
    Duration m_storeDelay{std::chrono::milliseconds(4)};
    std::map<HostId, Host::State> m_hosts;
    std::map<Host::ExchangeId, CallerResponse> m_responses;
    std::map<Operators::CommandId, Operators::Reply> m_replies;
    std::map<Host::ExchangeId, Host::RequestArrived> m_requests;
    std::vector<ServedAttempt> m_receivedAttempts;
    std::map<HostId, bool> m_ready;
    std::map<std::pair<HostId, HostId>, std::size_t> m_datagrams; ///< Number of datagrams sent, by sender and receiver.
    std::map<HostId, std::size_t> m_deltaParts; ///< Number of parts of table changes sent, by sender.
    std::set<HostId> m_exited;
    std::vector<std::pair<HostId, Reporting::LogLine>> m_log;
    TimePoint m_now{std::chrono::seconds(1000)};
    RandomGenerator m_random;

private:
    /// Numbers a request and passes it to a host.
    Host::ExchangeId arrive(const HostId &host, Host::RequestArrived request)
    {
        request.m_exchange = ++m_lastExchange;
        request.m_metadata.m_attemptId = std::to_string(m_lastExchange);
        request.m_target = request.m_metadata.m_path;
        m_requests[request.m_exchange] = request;
        deliver(host, request);
        return request.m_exchange;
    }

    /// Schedules the next TimerExpired of a host, unless an earlier one is scheduled.
    void armTimer(const HostId &host)
    {
        const TimePoint due = std::max(m_now, Host::nextTimerAt(m_hosts.at(host)));
        if (due >= m_nextTimerAt[host]) {
            return;
        }
        m_nextTimerAt[host] = due;
        const int incarnation = m_incarnations[host];
        m_queue.emplace(due, [this, host, incarnation] {
            if (m_incarnations[host] == incarnation) {
                m_nextTimerAt[host] = TimePoint::max();
                deliver(host, Host::TimerExpired{});
            }
        });
    }

    /// Schedules an event for a host. It is lost if the host is killed or restarted before.
    void deliverLater(const HostId &host, Duration delay, const Host::Event &event)
    {
        const int incarnation = m_incarnations[host];
        at(delay, [this, host, incarnation, event] {
            if (m_incarnations[host] == incarnation) {
                deliver(host, event);
            }
        });
    }

    void perform(const HostId &host, const Host::StartAttempt &start)
    {
        m_receivedAttempts.push_back({host, start, m_now});
        const auto [delay, event] = m_server(m_receivedAttempts.back());
        if (event) {
            deliverLater(host, delay, *event);
        }
    }

    void perform(const HostId & /*host*/, const Host::ForwardResponse &forward)
    {
        m_responses[forward.m_exchange] = {true, {}, {}, m_now};
    }

    void perform(const HostId & /*host*/, const Host::SendProblem &refusal)
    {
        m_responses[refusal.m_exchange] = {false, {}, refusal.m_problem, m_now};
    }

    void perform(const HostId & /*host*/, const Host::ReplayResponse &replay)
    {
        m_responses[replay.m_exchange] = {false, replay.m_response, {}, m_now};
    }

    void perform(const HostId & /*host*/, const Host::ReplyToOperator &reply)
    {
        m_replies.emplace(reply.m_call, reply.m_reply);
    }

    void perform(const HostId &host, const Host::CallStore &call)
    {
        constexpr Duration Timeout = std::chrono::milliseconds(1800);
        const StoreMode mode = m_storeModes[host];
        if (mode == StoreMode::Refusing) {
            return deliverLater(host, m_storeDelay, Host::StoreResponded{call.m_call, Store::Refused{"refused"}});
        }
        if (mode == StoreMode::Silent) {
            return deliverLater(host, Timeout, Host::StoreResponded{call.m_call, Store::NoResponse{"silent"}});
        }
        if (const auto *watch = std::get_if<Store::WatchTable>(&call.m_request)) {
            at(watch->m_wait, [] {}); // The store checks its watches after each task; this one ends the wait.
        }
        const int incarnation = m_incarnations[host];
        m_store.call(call.m_request, m_now, [this, host, incarnation, call](const Store::Result &result) {
            if (m_incarnations[host] != incarnation) {
                return;
            }
            const bool isLost = m_storeModes[host] != StoreMode::Serving; // The mode may have changed during the call.
            deliverLater(host, isLost ? Timeout : m_storeDelay, Host::StoreResponded{call.m_call, isLost ? Store::Result(Store::NoResponse{"lost"}) : result});
        });
    }

    void perform(const HostId &host, const Host::SendDatagram &message)
    {
        const HostId to = m_addresses.contains(message.m_address) ? m_addresses.at(message.m_address) : HostId();
        ++m_datagrams[{host, to}];
        const auto isDelta = [](const Fleet::Message &part) { return std::holds_alternative<Fleet::DeltaPart>(part); };
        m_deltaParts[host] += static_cast<std::size_t>(std::ranges::count_if(message.m_datagram.m_messages, isDelta));
        if (m_partitions.contains({host, to}) || randomUnit(m_random) < m_lossChance) {
            return;
        }
        // A host processes one datagram after the other; those that come faster wait.
        TimePoint &busyUntil = m_busyUntil[to];
        busyUntil = std::max(busyUntil, m_now + m_peerDelay) + m_datagramCost;
        deliverLater(to, busyUntil - m_now, Host::PeerDatagramReceived{addressOf(host.text()), message.m_datagram});
    }

    void perform(const HostId &host, const Host::SetReadiness &readiness)
    {
        m_ready[host] = readiness.m_ready;
    }

    void perform(const HostId &host, const Host::Log &line)
    {
        m_log.emplace_back(host, line.m_line);
    }

    void perform(const HostId &host, const Host::Exit & /*exit*/)
    {
        m_exited.insert(host);
    }

    template<typename Other> void perform(const HostId & /*host*/, const Other & /*action*/)
    {
    }

    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::map<std::string, HostId> m_addresses;
    std::map<HostId, int> m_incarnations;
    std::map<HostId, TimePoint> m_nextTimerAt;
    std::map<HostId, TimePoint> m_busyUntil; ///< Times at which the hosts have processed the datagrams sent so far.
    Host::ExchangeId m_lastExchange = 0;
    Operators::CommandId m_lastCommand = 0;
};

}
