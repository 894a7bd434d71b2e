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

/// Fault that the store injects into calls.
enum class StoreFault {
    None,
    Down, ///< Calls have no effect and fail after a delay.
    LosesResponses, ///< Calls take effect, but are reported as failed.
    LateWrites, ///< Calls are reported as failed and take effect up to 20 s later.
    Duplicates, ///< Calls take effect twice, the second time after a delay.
    LosesWriteResponses, ///< Writes take effect, but are reported as failed; reads succeed.
    Flaky, ///< A tenth of the calls fail, half of these after taking effect.
};

/// Course of an execution that was granted.
enum class ExecutionKind {
    Completed,
    CompletedTooLarge, ///< The response is too large to be stored.
    Broken, ///< The connection breaks, so that the outcome is unknown.
    Shed, ///< The backend server reports that it did not execute the request.
};

/// Request that a caller sent to a host. Several attempts may have the same idempotency key.
struct ClaimAttempt {
    int m_host = 0;
    std::string m_key;
    std::string m_fingerprint;
    bool m_wasExecuted = false;
    bool m_isCallerDisconnected = false;
    bool m_isExecutionCompleted = false; ///< Whether the execution ended while its host was alive.
    TimePoint m_deadline;
    std::optional<Dispatch::ClaimOutcome> m_outcome; ///< Final outcome; never ClaimGranted.
    ExecutionKind m_executionKind = ExecutionKind::Completed;
};

/// Simulation of the claims of several hosts on one faulty store, in simulated time. It counts the actual executions independently of
/// the claims.
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

    /// Restarts a host as a new incarnation. The state of the previous one is lost.
    void startHost(int number)
    {
        Host &host = at(number);
        const std::uint64_t incarnation = host.m_incarnation + 1;
        host = Host{};
        host.m_incarnation = incarnation;
        host.m_ledger.m_settings = m_settings;
        host.m_ledger.m_settings.m_owner = std::to_string(number) + '/' + std::to_string(incarnation);
        tick(number, incarnation);
    }

    /// Pauses a host: its ticks are skipped and its other tasks are deferred.
    void pauseHost(int number)
    {
        at(number).m_isPaused = true;
    }

    /// Resumes a paused host and performs its deferred tasks.
    void resumeHost(int number)
    {
        at(number).m_isPaused = false;
        const auto deferredTasks = std::exchange(at(number).m_deferredTasks, {});
        for (const auto &task : deferredTasks) {
            task();
        }
    }

    /// Sends a request to a host. Returns the number of the attempt.
    std::uint64_t send(int number, const std::string &key, const std::string &fingerprint, ExecutionKind kind)
    {
        const std::uint64_t id = ++m_lastAttemptId;
        const TimePoint deadline = m_now + std::chrono::seconds(10);
        m_attempts[id] = {number, key, fingerprint, false, false, false, deadline, {}, kind};
        runOnHost(number, [this, number, id, deadline] {
            const ClaimAttempt &attempt = m_attempts[id];
            step(number, [&](auto &ledger, auto &output) {
                Dispatch::beginClaim(ledger, {id, Dispatch::claimKey(WorkspaceId("w"), attempt.m_key), attempt.m_fingerprint, deadline}, m_now, output);
            });
        });
        return id;
    }

    /// Disconnects the caller of an attempt.
    void disconnectCaller(std::uint64_t id)
    {
        const auto attempt = m_attempts.find(id);
        if (attempt == m_attempts.end() || attempt->second.m_wasExecuted || attempt->second.m_outcome || attempt->second.m_isCallerDisconnected) {
            return;
        }
        attempt->second.m_isCallerDisconnected = true;
        const int number = attempt->second.m_host;
        runOnHost(number, [this, number, id] { step(number, [&](auto &ledger, auto &output) { Dispatch::abandonClaim(ledger, id, m_now, output); }); });
    }

    /// Restores the store from its copy. Each host hears of the new era within three seconds, as hosts do by their tables.
    void restoreStore()
    {
        m_store.restore();
        for (int number = 0; number < static_cast<int>(m_hosts.size()); ++number) {
            runOnHostAfter(number, std::chrono::milliseconds(randomBelow(m_random, 3'000)), [this, number, era = m_store.era()] {
                step(number, [&](auto &ledger, auto &output) { Dispatch::onStoreEra(ledger, era, m_now, output); });
            });
        }
    }

    /// Advances the simulated time and performs the tasks that become due.
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

    TimePoint m_now{std::chrono::hours(1)}; ///< Simulated time.
    StoreFault m_fault = StoreFault::None; ///< Fault injected into further calls.
    FakeStore m_store;
    Dispatch::ClaimSettings m_settings; ///< Settings of hosts that start.
    Duration m_executionTime{std::chrono::milliseconds(200)}; ///< Duration of each execution.
    std::map<std::uint64_t, ClaimAttempt> m_attempts; ///< All attempts by their numbers.
    std::map<std::string, int> m_executionCounts; ///< Number of executions by key.
    std::map<std::string, Dispatch::StoredResponse> m_storedResponses; ///< Responses by key that were small enough to be stored.
    std::vector<std::string> m_violations; ///< Descriptions of violated guarantees.
    std::uint64_t m_hostRestarts = 0;

private:
    struct Host {
        std::uint64_t m_incarnation = 0;
        bool m_isPaused = false;
        std::vector<std::function<void()>> m_deferredTasks;
        Dispatch::ClaimLedger m_ledger;
    };

    Host &at(int number)
    {
        return m_hosts[static_cast<std::size_t>(number)];
    }

    void schedule(Duration delay, std::function<void()> task)
    {
        m_queue.emplace(m_now + delay, std::move(task));
    }

    /// Performs a task on a host. While the host is paused, the task is deferred; a restart discards it.
    void runOnHost(int number, std::function<void()> task)
    {
        if (at(number).m_isPaused) {
            at(number).m_deferredTasks.push_back(std::move(task));
        } else {
            task();
        }
    }

    void runOnHostAfter(int number, Duration delay, const std::function<void()> &task)
    {
        schedule(delay, [this, number, task, incarnation = at(number).m_incarnation] {
            if (at(number).m_incarnation == incarnation) {
                runOnHost(number, task);
            }
        });
    }

    void tick(int number, std::uint64_t incarnation)
    {
        if (at(number).m_incarnation != incarnation) {
            return;
        }
        if (!at(number).m_isPaused) {
            step(number, [this](auto &ledger, auto &output) { Dispatch::tickClaims(ledger, m_random, m_now, output); });
        }
        schedule(std::chrono::milliseconds(20), [this, number, incarnation] { tick(number, incarnation); });
    }

    template<typename Change> void step(int number, Change change)
    {
        Dispatch::ClaimOutput output;
        change(at(number).m_ledger, output);
        for (const Dispatch::ClaimCall &call : output.m_calls) {
            callStore(number, call);
        }
        for (const Dispatch::ClaimDecision &decision : output.m_decisions) {
            onDecision(number, decision);
        }
    }

    Duration shortDelay()
    {
        return std::chrono::milliseconds(1 + randomBelow(m_random, 10));
    }

    /// Returns the fault to inject into one call.
    StoreFault chooseFault(const Dispatch::ClaimCall &call)
    {
        if (m_fault == StoreFault::LosesWriteResponses) {
            return std::holds_alternative<Store::Transaction>(call.m_request) ? StoreFault::LosesResponses : StoreFault::None;
        }
        if (m_fault == StoreFault::Flaky) {
            const std::uint64_t choice = randomBelow(m_random, 20);
            return choice == 0 ? StoreFault::Down : choice == 1 ? StoreFault::LosesResponses : StoreFault::None;
        }
        return m_fault;
    }

    void callStore(int number, const Dispatch::ClaimCall &call)
    {
        const StoreFault fault = chooseFault(call);
        const auto response = [this, number, id = call.m_call](const Store::Result &result) {
            return [this, number, id, result] {
                step(number, [&](auto &ledger, auto &output) { Dispatch::onClaimCallCompleted(ledger, id, result, m_now, output); });
            };
        };
        const auto respondUnavailable = response(Store::NoResponse{"fault"});
        if (fault == StoreFault::Down) {
            return runOnHostAfter(number, std::chrono::seconds(2), respondUnavailable);
        }
        if (fault == StoreFault::LateWrites) {
            schedule(std::chrono::milliseconds(randomBelow(m_random, 20'000)), [this, request = call.m_request] { apply(request); });
            return runOnHostAfter(number, std::chrono::milliseconds(randomBelow(m_random, 2'000)), respondUnavailable);
        }
        schedule(shortDelay(), [this, number, fault, response, respondUnavailable, request = call.m_request, incarnation = at(number).m_incarnation] {
            const Store::Result result = apply(request);
            if (fault == StoreFault::Duplicates) {
                schedule(std::chrono::milliseconds(randomBelow(m_random, 5'000)), [this, request] { apply(request); });
            }
            if (at(number).m_incarnation == incarnation) {
                runOnHostAfter(number, shortDelay(), fault == StoreFault::LosesResponses ? respondUnavailable : response(result));
            }
        });
    }

    Store::Result apply(const Store::Call &call)
    {
        Store::Result result;
        m_store.call(call, m_now, [&](const Store::Result &response) { result = response; });
        return result;
    }

    void onDecision(int number, const Dispatch::ClaimDecision &decision)
    {
        ClaimAttempt &attempt = m_attempts[decision.m_claimant];
        if (!std::holds_alternative<Dispatch::ClaimGranted>(decision.m_outcome)) {
            if (attempt.m_outcome || attempt.m_wasExecuted) {
                m_violations.push_back("an attempt got two responses");
            }
            attempt.m_outcome = decision.m_outcome;
            return;
        }
        const std::uint64_t id = decision.m_claimant;
        if (attempt.m_isCallerDisconnected || m_now >= attempt.m_deadline) {
            attempt.m_outcome = Dispatch::Problem{504, ErrorId::RequestDeadlineExceeded, Dispatch::Outcome::NotRun, {}, {}};
            return completeClaim(number, id, {Dispatch::ClaimState::Released, {}});
        }
        startExecution(number, id, attempt);
    }

    void startExecution(int number, std::uint64_t id, ClaimAttempt &attempt)
    {
        if (attempt.m_executionKind == ExecutionKind::Shed) {
            return runOnHostAfter(number, m_executionTime, [this, number, id] {
                m_attempts[id].m_outcome = Dispatch::Problem{503, ErrorId::RequestOverload, Dispatch::Outcome::NotRun, {}, {}};
                completeClaim(number, id, {Dispatch::ClaimState::Released, {}});
            });
        }
        attempt.m_wasExecuted = true;
        if (++m_executionCounts[attempt.m_key] > 1) {
            m_violations.push_back("key " + attempt.m_key + " was executed twice");
        }
        Dispatch::ClaimResult result{Dispatch::ClaimState::Done, {}};
        if (attempt.m_executionKind == ExecutionKind::Completed) {
            result.m_response = Dispatch::StoredResponse{201, {{"Name", "\xff value"}}, std::string("run \0 ", 6) + std::to_string(id)};
            m_storedResponses[attempt.m_key] = *result.m_response;
        } else if (attempt.m_executionKind == ExecutionKind::Broken) {
            result.m_state = Dispatch::ClaimState::Unknown;
        }
        runOnHostAfter(number, m_executionTime, [this, number, id, result] {
            m_attempts[id].m_isExecutionCompleted = true;
            completeClaim(number, id, result);
        });
    }

    void completeClaim(int number, std::uint64_t id, const Dispatch::ClaimResult &result)
    {
        step(number, [&](auto &ledger, auto &output) { Dispatch::completeClaim(ledger, id, result, m_now, output); });
    }

    RandomGenerator m_random;
    std::vector<Host> m_hosts;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::uint64_t m_lastAttemptId = 0;
};

}
