#pragma once

#include "fakestore.h"

#include <ragwortrelay/dispatch/claimledger.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace RagwortRelay::Fakes {

/// How the table treats the calls of one moment.
enum class StoreFault {
    None,
    Down, ///< No effect, and a late "unavailable".
    LosesAnswers, ///< Takes effect, "unavailable".
    LateWrites, ///< "Unavailable", and the effect comes up to 20 s later.
    Duplicates, ///< Takes effect twice, the second time later.
    LosesWriteAnswers, ///< Writes take effect, "unavailable"; reads are answered.
    Flaky, ///< A tenth of the calls is lost, half of these with effect.
};

/// How a run that was granted goes on.
enum class RunKind {
    Answered,
    AnsweredTooLarge,
    Broken,
    Shed, ///< The backend server says that it was not run.
};

/// Copy of a request that a caller sent.
struct ClaimAttempt {
    int m_host = 0;
    std::string m_key;
    std::string m_fingerprint;
    bool m_ran = false;
    bool m_gone = false;
    bool m_runEnded = false; ///< While its host lived.
    TimePoint m_deadline;
    std::optional<Dispatch::ClaimOutcome> m_response; ///< Not "granted".
    RunKind m_run = RunKind::Answered;
};

/// Hosts with their claims, one table and its faults, in simulated time. What really ran is counted beside them.
class ClaimSimulation
{
public:
    ClaimSimulation(int hosts, std::uint64_t seed) : m_random(seed)
    {
        m_hosts.resize(static_cast<std::size_t>(hosts));
        for (int host = 0; host < hosts; ++host) {
            startHost(host);
        }
        run(std::chrono::seconds(3));
    }

    /// Starts a new life of a host; the earlier one is forgotten.
    void startHost(int number)
    {
        Host &host = at(number);
        const std::uint64_t life = host.m_life + 1;
        host = Host{};
        host.m_life = life;
        host.m_ledger.m_settings = m_settings;
        host.m_ledger.m_settings.m_owner = std::to_string(number) + '/' + std::to_string(life);
        tick(number, life);
    }

    void pauseHost(int number)
    {
        at(number).m_paused = true;
    }

    void resumeHost(int number)
    {
        at(number).m_paused = false;
        const auto waiting = std::exchange(at(number).m_waiting, {});
        for (const auto &task : waiting) {
            task();
        }
    }

    /// Sends a copy of a request; returns its number.
    std::uint64_t send(int number, const std::string &key, const std::string &fingerprint, RunKind run)
    {
        const std::uint64_t id = ++m_lastCopy;
        const TimePoint deadline = m_now + std::chrono::seconds(10);
        m_copies[id] = {number, key, fingerprint, false, false, false, deadline, {}, run};
        onHost(number, [this, number, id, deadline] {
            const ClaimAttempt &copy = m_copies[id];
            step(number, [&](auto &ledger, auto &output) {
                Dispatch::beginClaim(ledger, {id, Dispatch::claimKey(WorkspaceId("w"), copy.m_key), copy.m_fingerprint, deadline}, m_now, output);
            });
        });
        return id;
    }

    /// The caller of a copy goes away.
    void leave(std::uint64_t id)
    {
        const auto copy = m_copies.find(id);
        if (copy == m_copies.end() || copy->second.m_ran || copy->second.m_response || copy->second.m_gone) {
            return;
        }
        copy->second.m_gone = true;
        const int number = copy->second.m_host;
        onHost(number, [this, number, id] { step(number, [&](auto &ledger, auto &output) { Dispatch::abandonClaim(ledger, id, m_now, output); }); });
    }

    void run(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (!m_queue.empty() && m_queue.begin()->first <= end) {
            m_now = m_queue.begin()->first;
            const auto task = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            task();
        }
        m_now = end;
    }

    [[nodiscard]] const Dispatch::ClaimLedger &ledger(int number) const
    {
        return m_hosts[static_cast<std::size_t>(number)].m_ledger;
    }

    TimePoint m_now{std::chrono::hours(1)};
    StoreFault m_fault = StoreFault::None;
    FakeStore m_store;
    Dispatch::ClaimSettings m_settings;
    Duration m_runTime{std::chrono::milliseconds(200)};
    std::map<std::uint64_t, ClaimAttempt> m_copies;
    std::map<std::string, int> m_runs; ///< By key.
    std::map<std::string, Dispatch::StoredResponse> m_answersOfRuns; ///< Of runs that were answered and kept.
    std::vector<std::string> m_violations;
    std::uint64_t m_kills = 0;

private:
    struct Host {
        std::uint64_t m_life = 0;
        bool m_paused = false;
        std::vector<std::function<void()>> m_waiting;
        Dispatch::ClaimLedger m_ledger;
    };

    Host &at(int number)
    {
        return m_hosts[static_cast<std::size_t>(number)];
    }

    void after(Duration delay, std::function<void()> task)
    {
        m_queue.emplace(m_now + delay, std::move(task));
    }

    /// Does something on a host, once it isn't paused, unless it has another life by then.
    void onHost(int number, std::function<void()> task)
    {
        if (at(number).m_paused) {
            at(number).m_waiting.push_back(std::move(task));
        } else {
            task();
        }
    }

    void onHostLater(int number, Duration delay, const std::function<void()> &task)
    {
        after(delay, [this, number, task, life = at(number).m_life] {
            if (at(number).m_life == life) {
                onHost(number, task);
            }
        });
    }

    void tick(int number, std::uint64_t life)
    {
        if (at(number).m_life != life) {
            return;
        }
        if (!at(number).m_paused) {
            step(number, [this](auto &ledger, auto &output) { Dispatch::tickClaims(ledger, m_random, m_now, output); });
        }
        after(std::chrono::milliseconds(20), [this, number, life] { tick(number, life); });
    }

    template<typename Change> void step(int number, Change change)
    {
        Dispatch::ClaimOutput output;
        change(at(number).m_ledger, output);
        for (const Dispatch::ClaimCall &call : output.m_calls) {
            callTable(number, call);
        }
        for (const Dispatch::ClaimDecision &verdict : output.m_decisions) {
            takeVerdict(number, verdict);
        }
    }

    Duration shortDelay()
    {
        return std::chrono::milliseconds(1 + randomBelow(m_random, 10));
    }

    /// Decides how one call is treated.
    StoreFault faultOf(const Dispatch::ClaimCall &call)
    {
        if (m_fault == StoreFault::LosesWriteAnswers) {
            return std::holds_alternative<Store::Transaction>(call.m_request) ? StoreFault::LosesAnswers : StoreFault::None;
        }
        if (m_fault == StoreFault::Flaky) {
            const std::uint64_t placement = randomBelow(m_random, 20);
            return placement == 0 ? StoreFault::Down : placement == 1 ? StoreFault::LosesAnswers : StoreFault::None;
        }
        return m_fault;
    }

    void callTable(int number, const Dispatch::ClaimCall &call)
    {
        const StoreFault fault = faultOf(call);
        const auto response = [this, number, id = call.m_call](const Store::Result &result) {
            return [this, number, id, result] {
                step(number, [&](auto &ledger, auto &output) { Dispatch::onClaimCallCompleted(ledger, id, result, m_now, output); });
            };
        };
        const auto answerUnavailable = response(Store::NoResponse{"fault"});
        if (fault == StoreFault::Down) {
            return onHostLater(number, std::chrono::seconds(2), answerUnavailable);
        }
        if (fault == StoreFault::LateWrites) {
            after(std::chrono::milliseconds(randomBelow(m_random, 20'000)), [this, request = call.m_request] { apply(request); });
            return onHostLater(number, std::chrono::milliseconds(randomBelow(m_random, 2'000)), answerUnavailable);
        }
        after(shortDelay(), [this, number, fault, response, answerUnavailable, request = call.m_request, life = at(number).m_life] {
            const Store::Result result = apply(request);
            if (fault == StoreFault::Duplicates) {
                after(std::chrono::milliseconds(randomBelow(m_random, 5'000)), [this, request] { apply(request); });
            }
            if (at(number).m_life == life) {
                onHostLater(number, shortDelay(), fault == StoreFault::LosesAnswers ? answerUnavailable : response(result));
            }
        });
    }

    Store::Result apply(const Store::Call &call)
    {
        Store::Result result;
        m_store.call(call, m_now, [&](const Store::Result &response) { result = response; });
        return result;
    }

    void takeVerdict(int number, const Dispatch::ClaimDecision &verdict)
    {
        ClaimAttempt &copy = m_copies[verdict.m_claimant];
        if (!std::holds_alternative<Dispatch::ClaimGranted>(verdict.m_response)) {
            if (copy.m_response || copy.m_ran) {
                m_violations.push_back("a copy got two answers");
            }
            copy.m_response = verdict.m_response;
            return;
        }
        const std::uint64_t id = verdict.m_claimant;
        if (copy.m_gone || m_now >= copy.m_deadline) {
            copy.m_response = Dispatch::Problem{504, ErrorId::RequestDeadlineExceeded, Dispatch::Outcome::NotRun, {}, {}};
            return startStableFleet(number, id, {Dispatch::ClaimState::Released, {}});
        }
        startRun(number, id, copy);
    }

    void startRun(int number, std::uint64_t id, ClaimAttempt &copy)
    {
        if (copy.m_run == RunKind::Shed) {
            return onHostLater(number, m_runTime, [this, number, id] {
                m_copies[id].m_response = Dispatch::Problem{503, ErrorId::RequestOverload, Dispatch::Outcome::NotRun, {}, {}};
                startStableFleet(number, id, {Dispatch::ClaimState::Released, {}});
            });
        }
        copy.m_ran = true;
        if (++m_runs[copy.m_key] > 1) {
            m_violations.push_back("key " + copy.m_key + " ran twice");
        }
        Dispatch::ClaimResult result{Dispatch::ClaimState::Done, {}};
        if (copy.m_run == RunKind::Answered) {
            result.m_response = Dispatch::StoredResponse{201, {{"Name", "\xff value"}}, std::string("run \0 ", 6) + std::to_string(id)};
            m_answersOfRuns[copy.m_key] = *result.m_response;
        } else if (copy.m_run == RunKind::Broken) {
            result.m_state = Dispatch::ClaimState::Unknown;
        }
        onHostLater(number, m_runTime, [this, number, id, result] {
            m_copies[id].m_runEnded = true;
            startStableFleet(number, id, result);
        });
    }

    void startStableFleet(int number, std::uint64_t id, const Dispatch::ClaimResult &result)
    {
        step(number, [&](auto &ledger, auto &output) { Dispatch::completeClaim(ledger, id, result, m_now, output); });
    }

    RandomGenerator m_random;
    std::vector<Host> m_hosts;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::uint64_t m_lastCopy = 0;
};

}
