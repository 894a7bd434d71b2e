#include <ragwortrelay/health/decider.h>
#include <ragwortrelay/health/evidence.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace RagwortRelay;
using namespace RagwortRelay::Health;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceId Booking("booking");
const std::vector<ServerId> Servers{ServerId("a"), ServerId("b"), ServerId("c"), ServerId("d")};

ServerEvidence evidenceOf(const ServerId &server, std::uint32_t succeeded, std::uint32_t failed)
{
    ServerEvidence evidence;
    evidence.m_server = server;
    evidence.m_succeeded = succeeded;
    evidence.m_failed = failed;
    return evidence;
}

/// The deciding host of one service, with two hosts that report to it.
struct Decider {
    Decider()
    {
        for (const ServerId &server : Servers) {
            m_view.m_servers.push_back({server, 2.0, false, false});
        }
        m_view.m_floor = 0.5;
        m_state.m_startedAt = m_now - seconds(100);
    }

    /// Lets half a second pass and takes a report of one host.
    void report(const std::string &host, const std::vector<ServerEvidence> &servers)
    {
        m_now += milliseconds(500);
        EvidenceReport report{1, m_now.time_since_epoch(), m_settings.m_supportLease, 2, {}};
        report.m_services.push_back({Booking, m_now.time_since_epoch() - milliseconds(1), servers, {}});
        takeReport(m_state, m_settings, HostId(host), 1, report, report.m_services[0], m_now);
        m_now += milliseconds(500);
        decide(m_state, m_settings, m_view, m_now);
    }

    [[nodiscard]] std::vector<ServerId> ejected() const
    {
        std::vector<ServerId> ejected;
        for (const auto &[id, record] : m_state.m_servers) {
            if (record.m_state != ServerState::InUse) {
                ejected.push_back(id);
            }
        }
        return ejected;
    }

    TimePoint m_now{seconds(1000)};
    HealthSettings m_settings;
    ServiceView m_view{Booking, 0.5, {}};
    DecidingState m_state;
};

}

TEST_CASE("suspicion against the largest sum over all suffixes")
{
    const bool holds = rc::check("CUSUM", [] {
        Decider decider;
        decider.m_settings.m_ejectionThreshold = 1e9; // Nothing is ejected, nothing is capped.
        std::vector<double> changes;
        const auto outcomes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
        for (const int outcome : outcomes) {
            const std::uint32_t failed = outcome == 0 ? 1 : 0;
            const std::uint32_t succeeded = outcome == 0 ? 0 : 1;
            decider.report(
                changes.size() % 2 == 0 ? "h1" : "h2",
                {evidenceOf(Servers[0], succeeded, failed), evidenceOf(Servers[1], 5, 0), evidenceOf(Servers[2], 5, 0), evidenceOf(Servers[3], 5, 0)});
            changes.push_back(failureEvidence(failed, succeeded, decider.m_settings.m_usualFailureRate, decider.m_settings.m_sickFailureRate));
            double largest = 0.0;
            for (auto start = changes.begin(); start != changes.end(); ++start) {
                largest = std::max(largest, std::accumulate(start, changes.end(), 0.0));
            }
            RC_ASSERT(std::abs(decider.m_state.m_servers.at(Servers[0]).m_failureSuspicion - largest) < 1e-6);
        }
    });
    CHECK(holds);
}

TEST_CASE("deciding on ejections")
{
    Decider decider;
    const auto reportSick = [&decider](const std::string &host) {
        decider.report(host, {evidenceOf(Servers[0], 0, 3), evidenceOf(Servers[1], 3, 0), evidenceOf(Servers[2], 3, 0), evidenceOf(Servers[3], 3, 0)});
    };

    SECTION("the evidence of two hosts ejects")
    {
        reportSick("h1");
        CHECK(decider.ejected().empty());
        reportSick("h2");
        CHECK(decider.ejected() == std::vector<ServerId>{Servers[0]});
    }

    SECTION("the evidence of one host does not, however much there is")
    {
        for (int i = 0; i < 20; ++i) {
            reportSick("h1");
        }
        CHECK(decider.ejected().empty());
    }

    SECTION("a repeated or delayed report counts once")
    {
        reportSick("h1");
        EvidenceReport report{1, decider.m_now.time_since_epoch() - milliseconds(500), decider.m_settings.m_supportLease, 2, {}};
        report.m_services.push_back({Booking, Duration(0), {}, {}});
        CHECK_FALSE(takeReport(decider.m_state, decider.m_settings, HostId("h1"), 1, report, report.m_services[0], decider.m_now));
    }

    SECTION("a request that fails at two servers is to blame itself")
    {
        for (int i = 0; i < 10; ++i) {
            const ServerId &server = Servers[static_cast<std::size_t>(i) % 2];
            ServerEvidence evidence = evidenceOf(server, 0, 1);
            evidence.m_samples.push_back({7, 1, false});
            decider.report(i % 3 == 0 ? "h1" : "h2", {evidence, evidenceOf(Servers[2], 3, 0), evidenceOf(Servers[3], 3, 0)});
        }
        CHECK(decider.ejected().empty());
    }

    SECTION("a request that then succeeded at another server is not")
    {
        for (int i = 0; i < 6; ++i) {
            ServerEvidence evidence = evidenceOf(Servers[0], 0, 1);
            evidence.m_samples.push_back({7, 1, true});
            decider.report(i % 2 == 0 ? "h1" : "h2", {evidence, evidenceOf(Servers[1], 3, 0), evidenceOf(Servers[2], 3, 0), evidenceOf(Servers[3], 3, 0)});
        }
        CHECK(decider.ejected() == std::vector<ServerId>{Servers[0]});
    }

    SECTION("ejections end when servers that leave bring the rest down to the floor")
    {
        reportSick("h1");
        reportSick("h2");
        REQUIRE(decider.ejected().size() == 1);
        decider.m_view.m_servers[1].m_isLeaving = true;
        decider.m_view.m_servers[2].m_isLeaving = true;
        decide(decider.m_state, decider.m_settings, decider.m_view, decider.m_now);
        CHECK(decider.ejected().empty());
    }

    SECTION("waits grow with each ejection up to a bound")
    {
        CHECK(waitAfter(decider.m_settings, 1) == seconds(5));
        CHECK(waitAfter(decider.m_settings, 3) == seconds(20));
        CHECK(waitAfter(decider.m_settings, 100) == decider.m_settings.m_longestWait);
    }
}
