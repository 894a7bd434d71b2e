#include "../fakes/claimsimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace RagwortRelay;
using Dispatch::Outcome;
using Dispatch::Problem;
using Fakes::ClaimAttempt;
using Fakes::ClaimSimulation;
using Fakes::RunKind;
using Fakes::StoreFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Hosts = 3;
constexpr int Keys = 3;

/// One thing that happens to the hosts, their table or their callers.
struct Happening {
    int m_kind = 0;
    int m_first = 0;
    int m_second = 0;
};

void showValue(const Happening &happening, std::ostream &stream)
{
    stream << '{' << happening.m_kind << ',' << happening.m_first << ',' << happening.m_second << '}';
}

rc::Gen<Happening> happenings()
{
    return rc::gen::build<Happening>(rc::gen::set(&Happening::m_kind, rc::gen::inRange(0, 12)),
                                     rc::gen::set(&Happening::m_first, rc::gen::inRange(0, Hosts)),
                                     rc::gen::set(&Happening::m_second, rc::gen::inRange(0, 60)));
}

void happen(ClaimSimulation &simulation, const Happening &happening)
{
    const int first = happening.m_first;
    const int second = happening.m_second;
    switch (happening.m_kind) {
    case 0:
    case 1:
    case 2:
    case 3: {
        const std::string body = second >= 55 ? "other" : "body";
        simulation.send(first, "k" + std::to_string(second % Keys), body, static_cast<RunKind>(second / Keys % 4));
        break;
    }
    case 4:
        simulation.startHost(first);
        ++simulation.m_kills;
        break;
    case 5:
        simulation.pauseHost(first);
        break;
    case 6:
        simulation.resumeHost(first);
        break;
    case 7:
        simulation.m_fault = static_cast<StoreFault>(second % 7);
        break;
    case 8:
        if (!simulation.m_copies.empty()) {
            simulation.leave(1 + static_cast<std::uint64_t>(second) % simulation.m_copies.size());
        }
        break;
    case 9:
        simulation.run(seconds(second % 15));
        break;
    default:
        simulation.run(milliseconds(second * 5));
    }
}

void settleDown(ClaimSimulation &simulation)
{
    simulation.m_fault = StoreFault::None;
    for (int host = 0; host < Hosts; ++host) {
        simulation.resumeHost(host);
    }
    simulation.run(seconds(40));
}

bool saysNotRun(const ClaimAttempt &copy)
{
    const auto *problem = copy.m_response ? std::get_if<Problem>(&*copy.m_response) : nullptr;
    return problem != nullptr && problem->m_outcome == Outcome::NotRun;
}

/// Checks each copy against what really ran.
void checkCopies(const ClaimSimulation &simulation)
{
    std::map<std::string, bool> allNotRun;
    for (const auto &[id, copy] : simulation.m_copies) {
        RC_ASSERT(!(copy.m_ran && saysNotRun(copy)));
        allNotRun.try_emplace(copy.m_key, true).first->second &= saysNotRun(copy);
        const auto *replay = copy.m_response ? std::get_if<Dispatch::StoredResponse>(&*copy.m_response) : nullptr;
        if (replay != nullptr) {
            RC_ASSERT(simulation.m_answersOfRuns.contains(copy.m_key));
            RC_ASSERT(*replay == simulation.m_answersOfRuns.at(copy.m_key));
        }
    }
    for (const auto &[key, all] : allNotRun) {
        RC_ASSERT(!all || !simulation.m_runs.contains(key));
    }
}

/// What a caller that sends the key of an earlier request again gets, worked out from what really ran.
std::string expectedOf(const ClaimSimulation &simulation, const std::string &key)
{
    if (!simulation.m_runs.contains(key)) {
        return "run";
    }
    return simulation.m_answersOfRuns.contains(key) ? "replay" : "told that it ran or may have run";
}

std::string observedOf(const ClaimAttempt &copy)
{
    if (copy.m_ran) {
        return "run";
    }
    if (!copy.m_response) {
        return "nothing";
    }
    if (std::holds_alternative<Dispatch::StoredResponse>(*copy.m_response)) {
        return "replay";
    }
    return std::get<Problem>(*copy.m_response).m_outcome == Outcome::Unknown ? "told that it ran or may have run" : "refused";
}

}

TEST_CASE("claims on idempotency keys")
{
    SECTION("no sequence of faults runs a key twice or gives a wrong answer")
    {
        CHECK(rc::check("claims", [] {
            ClaimSimulation simulation(Hosts, *rc::gen::arbitrary<std::uint64_t>());
            for (const Happening &happening : *rc::gen::container<std::vector<Happening>>(happenings())) {
                happen(simulation, happening);
                RC_ASSERT(simulation.m_violations.empty());
            }
            settleDown(simulation);
            RC_ASSERT(simulation.m_violations.empty());
            checkCopies(simulation);
        }));
    }

    SECTION("once the faults are over, a key behaves as with one host and a faultless table")
    {
        CHECK(rc::check("claims against a sequential version", [] {
            ClaimSimulation simulation(Hosts, *rc::gen::arbitrary<std::uint64_t>());
            for (const Happening &happening : *rc::gen::container<std::vector<Happening>>(happenings())) {
                const bool endsHost = happening.m_kind == 4;
                if (!endsHost) {
                    happen(simulation, happening);
                }
            }
            settleDown(simulation);
            for (const auto &[id, copy] : simulation.m_copies) {
                RC_ASSERT(copy.m_ran || copy.m_response || copy.m_gone);
            }
            for (int host = 0; host < Hosts; ++host) {
                RC_ASSERT(simulation.ledger(host).m_claims.empty());
                RC_ASSERT(simulation.ledger(host).m_keys.empty());
            }
            const int host = *rc::gen::inRange(0, Hosts);
            for (int key = 0; key < Keys; ++key) {
                const std::string name = "k" + std::to_string(key);
                std::string fingerprint = "body";
                for (const auto &[id, copy] : simulation.m_copies) {
                    fingerprint = copy.m_key == name && copy.m_ran ? copy.m_fingerprint : fingerprint;
                }
                const std::string expected = expectedOf(simulation, name);
                const std::uint64_t copy = simulation.send(host, name, fingerprint, RunKind::Answered);
                simulation.run(seconds(15));
                RC_ASSERT(observedOf(simulation.m_copies.at(copy)) == expected);
            }
            RC_ASSERT(simulation.m_violations.empty());
        }));
    }
}

TEST_CASE("claims in single cases")
{
    ClaimSimulation simulation(2, 1);
    const auto problemOf = [&](std::uint64_t copy) { return std::get<Problem>(simulation.m_copies.at(copy).m_response.value()); };

    SECTION("the same key with another request is refused as not run")
    {
        simulation.send(0, "k", "body", RunKind::Answered);
        simulation.run(seconds(1));
        for (const int host : {0, 1}) {
            const auto copy = simulation.send(host, "k", "other", RunKind::Answered);
            simulation.run(seconds(1));
            CHECK(problemOf(copy).m_id == ErrorId::RequestIdempotencyKeyReused);
            CHECK(problemOf(copy).m_outcome == Outcome::NotRun);
        }
    }

    SECTION("a second request waits for the first on another host and gets its answer")
    {
        simulation.m_runTime = seconds(3);
        simulation.send(0, "k", "body", RunKind::Answered);
        simulation.run(seconds(1));
        const auto second = simulation.send(1, "k", "body", RunKind::Answered);
        simulation.run(seconds(5));
        CHECK(std::get<Dispatch::StoredResponse>(*simulation.m_copies.at(second).m_response) == simulation.m_answersOfRuns.at("k"));
    }

    SECTION("a request that runs past the second one's deadline leaves it unknown")
    {
        simulation.m_runTime = seconds(60);
        simulation.send(0, "k", "body", RunKind::Answered);
        simulation.run(seconds(1));
        const auto second = simulation.send(1, "k", "body", RunKind::Answered);
        simulation.run(seconds(11));
        CHECK(problemOf(second).m_id == ErrorId::RequestAlreadyRunning);
        CHECK(problemOf(second).m_outcome == Outcome::Unknown);
    }

    SECTION("a claim that takes effect after its request was refused runs nothing, and the key is free again")
    {
        simulation.m_fault = StoreFault::LateWrites;
        const auto first = simulation.send(0, "k", "body", RunKind::Answered);
        simulation.run(seconds(5));
        CHECK(problemOf(first).m_id == ErrorId::RequestClaimUnavailable);
        CHECK(problemOf(first).m_outcome == Outcome::NotRun);
        simulation.m_fault = StoreFault::None;
        simulation.run(seconds(30));
        CHECK(simulation.m_runs.empty());
        const auto second = simulation.send(1, "k", "body", RunKind::Answered);
        simulation.run(seconds(5));
        CHECK(simulation.m_copies.at(second).m_ran);
    }

    SECTION("with the table down, requests are refused at once but for a probe now and then")
    {
        simulation.m_fault = StoreFault::Down;
        for (int i = 0; i < 5; ++i) {
            simulation.send(0, "k" + std::to_string(i), "body", RunKind::Answered);
        }
        simulation.run(seconds(10));
        CHECK(Dispatch::isTableDown(simulation.ledger(0)));
        simulation.send(0, "probe", "body", RunKind::Answered);
        const auto copy = simulation.send(0, "k9", "body", RunKind::Answered);
        CHECK(problemOf(copy).m_id == ErrorId::RequestClaimUnavailable);
        simulation.m_fault = StoreFault::None;
        simulation.run(seconds(10));
        CHECK_FALSE(Dispatch::isTableDown(simulation.ledger(0)));
    }

    SECTION("many claims at once share transactions, and one that is taken doesn't refuse the others")
    {
        simulation.send(1, "k3", "body", RunKind::Answered);
        simulation.run(seconds(1));
        const std::uint64_t writes = simulation.m_store.writes();
        for (int i = 0; i < 20; ++i) {
            simulation.send(0, "k" + std::to_string(i), "body", RunKind::Answered);
        }
        simulation.run(seconds(1));
        CHECK(simulation.m_runs.size() == 20);
        CHECK(simulation.m_store.writes() - writes < 15);
    }

    SECTION("claims are erased after their time, not before")
    {
        simulation.send(0, "k", "body", RunKind::Answered);
        simulation.run(std::chrono::hours(20));
        const auto key = Dispatch::claimKey(WorkspaceId("w"), "k");
        CHECK(simulation.m_store.contains(key));
        simulation.run(std::chrono::hours(20));
        CHECK_FALSE(simulation.m_store.contains(key));
    }
}
