#include <ragwortrelay/core/random.h>
#include <ragwortrelay/health/decider.h>
#include <ragwortrelay/health/floor.h>
#include <ragwortrelay/health/follower.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <set>
#include <string>
#include <variant>

using namespace RagwortRelay;
using namespace RagwortRelay::Health;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Hosts = 5;
constexpr int Servers = 6;
const ServiceId Booking("booking");

HostId hostId(int number)
{
    return HostId("h" + std::to_string(number));
}

ServerId serverId(int number)
{
    return ServerId("s" + std::to_string(number));
}

/// A host with its own clock and its own view of which hosts live.
struct ModelHost {
    std::uint64_t m_incarnation = 1;
    Duration m_clockOffset{0};
    double m_clockRate = 1.0;
    Duration m_startedAt{0};
    Duration m_reportedAt{0};
    bool m_isPaused = false;
    std::vector<HostId> m_view;
    Following m_following;
    DecidingState m_deciding;
};

struct ModelMessage {
    Duration m_at{0};
    int m_from = 0;
    std::uint64_t m_fromIncarnation = 0;
    int m_to = 0;
    std::variant<EvidenceReport, ServiceVerdicts> m_message;
};

/// Hosts that report and decide over a bad network. Time is true time; each host sees it by its own clock.
struct Model {
    explicit Model(std::uint64_t seed) : m_random(seed)
    {
        for (int i = 0; i < Hosts; ++i) {
            m_hosts[i].m_clockOffset = seconds(1000 + 7000 * i);
            m_hosts[i].m_clockRate = 1.0 + 0.004 * (i - 2);
            m_hosts[i].m_startedAt = clockOf(i).time_since_epoch() - seconds(60);
            m_hosts[i].m_deciding.m_startedAt = clockOf(i);
            for (int other = 0; other < Hosts; ++other) {
                m_hosts[i].m_view.push_back(hostId(other));
            }
        }
    }

    [[nodiscard]] TimePoint clockOf(int host) const
    {
        const auto passed = static_cast<double>(m_now.count()) * m_hosts[host].m_clockRate;
        return TimePoint(m_hosts[host].m_clockOffset + Duration(static_cast<std::int64_t>(passed)));
    }

    [[nodiscard]] ServiceView view() const
    {
        ServiceView view{Booking, m_floor, {}};
        for (int i = 0; i < Servers; ++i) {
            view.m_servers.push_back({serverId(i), 2.0, m_leaving.contains(i), false});
        }
        return view;
    }

    void send(int from, int to, const std::variant<EvidenceReport, ServiceVerdicts> &message)
    {
        const int copies = drawUnit(m_random) < 0.1 ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (drawUnit(m_random) < m_loss || m_cuts.contains({from, to})) {
                continue;
            }
            const bool isLate = drawUnit(m_random) < 0.1;
            const Duration delay(static_cast<std::int64_t>(drawBelow(m_random, isLate ? 8'000'000 : 50'000)));
            m_network.push_back({m_now + delay, from, m_hosts[from].m_incarnation, to, message});
        }
    }

    void report(int host)
    {
        ModelHost &self = m_hosts[host];
        const TimePoint now = clockOf(host);
        const auto decider = decidingHost(Booking, self.m_view);
        const int target = std::stoi(decider->text().substr(1));
        if (!follow(self.m_following, m_settings, *decider, m_hosts[target].m_incarnation, TimePoint(self.m_startedAt), now)) {
            return;
        }
        noteReported(self.m_following, m_settings, now);
        EvidenceReport report{self.m_following.m_incarnation, now.time_since_epoch(), m_settings.m_supportLease, Hosts, {}};
        ServiceEvidence evidence{Booking, self.m_following.m_echo, {}, self.m_following.m_verdicts};
        for (int i = 0; i < Servers; ++i) {
            ServerEvidence server;
            server.m_server = serverId(i);
            server.m_failed = m_sick.contains(i) ? 3 : 0;
            server.m_succeeded = m_sick.contains(i) ? 0 : 3;
            evidence.m_servers.push_back(server);
        }
        report.m_services.push_back(evidence);
        send(host, target, report);
    }

    void deliver(const ModelMessage &message)
    {
        ModelHost &self = m_hosts[message.m_to];
        const TimePoint now = clockOf(message.m_to);
        if (const auto *verdicts = std::get_if<ServiceVerdicts>(&message.m_message)) {
            takeVerdicts(self.m_following, hostId(message.m_from), message.m_fromIncarnation, *verdicts, now);
            return;
        }
        const auto &report = std::get<EvidenceReport>(message.m_message);
        if (report.m_toIncarnation != self.m_incarnation) {
            return;
        }
        takeReport(self.m_deciding, m_settings, hostId(message.m_from), message.m_fromIncarnation, report, report.m_services[0], now);
        decide(self.m_deciding, m_settings, view(), now);
        for (int host = 0; host < Hosts; ++host) {
            if (self.m_deciding.m_supporters.contains(hostId(host))) {
                send(message.m_to, host, verdictsFor(self.m_deciding, m_settings, hostId(host), now));
            }
        }
    }

    void step()
    {
        m_now += milliseconds(25);
        std::vector<ModelMessage> due;
        std::erase_if(m_network, [&](const ModelMessage &message) {
            const bool isDue = message.m_at <= m_now && !m_hosts[message.m_to].m_isPaused;
            if (isDue) {
                due.push_back(message);
            }
            return isDue;
        });
        for (const ModelMessage &message : due) {
            deliver(message);
        }
        for (int host = 0; host < Hosts; ++host) {
            if (!m_hosts[host].m_isPaused && m_now - m_hosts[host].m_reportedAt >= seconds(1)) {
                m_hosts[host].m_reportedAt = m_now;
                report(host);
            }
        }
    }

    /// Brings about one fault, or ends one.
    void disturb(int kind, int host, int other)
    {
        ModelHost &self = m_hosts[host];
        switch (kind) {
        case 0:
            self.m_isPaused = !self.m_isPaused;
            break;
        case 1:
            self.m_view.clear();
            for (int i = 0; i < Hosts; ++i) {
                if (i == host || drawUnit(m_random) < 0.6) {
                    self.m_view.push_back(hostId(i));
                }
            }
            break;
        case 2:
            m_cuts.contains({host, other}) ? void(m_cuts.erase({host, other})) : void(m_cuts.insert({host, other}));
            break;
        case 3:
            m_sick.contains(other) ? void(m_sick.erase(other)) : void(m_sick.insert(other));
            break;
        case 4:
            ++self.m_incarnation;
            self.m_startedAt = clockOf(host).time_since_epoch();
            self.m_following = {};
            self.m_deciding = {};
            self.m_deciding.m_startedAt = clockOf(host);
            break;
        case 5:
            m_sick = {other};
            break;
        case 6: // All but one host turn away from a host.
            for (int i = 0; i < Hosts; ++i) {
                if (i != host) {
                    std::erase(m_hosts[i].m_view, hostId(other));
                }
                if (m_hosts[i].m_view.empty()) {
                    m_hosts[i].m_view = {hostId(i)};
                }
            }
            break;
        default:
            break;
        }
    }

    /// Returns the servers that some host goes by as ejected.
    [[nodiscard]] std::set<ServerId> barred() const
    {
        std::set<ServerId> barred;
        for (int host = 0; host < Hosts; ++host) {
            for (const ServerVerdict &verdict : verdictsInForce(m_hosts[host].m_following, m_settings, clockOf(host))) {
                if (verdict.m_verdict == Verdict::Ejected || verdict.m_verdict == Verdict::Trial) {
                    barred.insert(verdict.m_server);
                }
            }
        }
        return barred;
    }

    [[nodiscard]] bool isFloorKept() const
    {
        const std::set<ServerId> out = barred();
        int inUse = 0;
        for (int i = 0; i < Servers; ++i) {
            inUse += out.contains(serverId(i)) || m_leaving.contains(i) ? 0 : 1;
        }
        return inUse >= m_floor * Servers - 1e-9;
    }

    RandomGenerator m_random;
    HealthSettings m_settings;
    double m_floor = 0.5;
    double m_loss = 0.0;
    Duration m_now{0};
    ModelHost m_hosts[Hosts];
    std::vector<ModelMessage> m_network;
    std::set<std::pair<int, int>> m_cuts;
    std::set<int> m_sick;
    std::set<int> m_leaving;
};

}

TEST_CASE("floor against a plain sum")
{
    const bool holds = rc::check("servers are taken out in order while the rest is enough", [] {
        const double floor = *rc::gen::inRange(0, 11) / 10.0;
        std::vector<ServerCapacity> servers;
        std::vector<ServerId> candidates;
        double whole = 0.0;
        double left = 0.0;
        const int count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            servers.push_back({serverId(i), static_cast<double>(*rc::gen::inRange(1, 5)), *rc::gen::inRange(0, 4) == 0});
            whole += servers.back().m_capacity;
            left += servers.back().m_isOut ? 0.0 : servers.back().m_capacity;
            if (*rc::gen::inRange(0, 2) == 0) {
                candidates.push_back(servers.back().m_server);
            }
        }
        const std::vector<ServerCapacity> before = servers;
        const auto taken = takeOutWithinFloor(servers, floor, candidates);
        std::vector<ServerId> expected;
        for (const ServerId &candidate : candidates) {
            const auto server = std::find_if(before.begin(), before.end(), [&](const ServerCapacity &entry) { return entry.m_server == candidate; });
            if (server->m_isOut) {
                expected.push_back(candidate);
            } else if (left - server->m_capacity >= floor * whole - 1e-9) {
                left -= server->m_capacity;
                expected.push_back(candidate);
            }
        }
        RC_ASSERT(taken == expected);
    });
    CHECK(holds);
}

TEST_CASE("hosts with different views together keep the floor")
{
    SECTION("sick servers are ejected on every host, up to the floor")
    {
        Model model(1);
        model.m_sick = {0, 1, 2};
        model.m_leaving = {5};
        model.m_settings.m_usualFailureRate = 0.3; // Half of the servers fail.
        model.m_settings.m_sickFailureRate = 0.9;
        for (int i = 0; i < 400; ++i) {
            model.step();
            REQUIRE(model.isFloorKept());
        }
        CHECK(model.barred().size() == 2);
    }

    SECTION("under loss, delay, duplicates, reordering, pauses, restarts and one-way partitions")
    {
        int casesWithEjections = 0;
        const bool holds = rc::check("the floor", [&casesWithEjections] {
            Model model(*rc::gen::arbitrary<std::uint64_t>());
            model.m_loss = *rc::gen::inRange(0, 4) / 10.0;
            model.m_floor = *rc::gen::element(0.5, 0.66, 0.8);
            model.m_settings.m_firstWait = milliseconds(500);
            model.m_settings.m_longestWait = seconds(2);
            model.m_settings.m_coldTime = Duration(0);
            model.m_settings.m_trickleSuccesses = 1;
            model.m_leaving = *rc::gen::element(std::set<int>{}, std::set<int>{4});
            model.m_sick = {*rc::gen::inRange(0, Servers)};
            bool hasEjected = false;
            const auto faults = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                rc::gen::tuple(rc::gen::element(0, 1, 2, 3, 4, 5, 5, 5, 6, 6, 7), rc::gen::inRange(0, Hosts), rc::gen::inRange(0, Hosts)));
            for (const auto &[kind, host, other] : faults) {
                model.disturb(kind, host, other);
                for (int i = 0; i < 60; ++i) {
                    model.step();
                    RC_ASSERT(model.isFloorKept());
                }
                hasEjected = hasEjected || !model.barred().empty();
            }
            casesWithEjections += hasEjected ? 1 : 0;
        });
        CHECK(holds);
        CHECK(casesWithEjections > 20);
    }
}
