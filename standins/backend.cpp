// Stand-in for a backend server: slots, load report, drain, cold start, shedding, deadlines, and faults on demand.
// Health probes (GET /health) are answered well whatever the fault.
// Faults: POST /standin/fault?mode=none|fail|slow|flap|cut|drain
// A request with the argument crash=1 ends the process, as a request that no server survives would.
// Time that work takes: POST /standin/work?ms=N; for the first N seconds of a life: POST /standin/cold?seconds=N
// Runs are counted by their Idempotency-Key: GET /standin/runs

#include "httpstandin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace {

using Json = nlohmann::json;

class Backend
{
public:
    explicit Backend(unsigned slots) : m_slots(slots)
    {
    }

    StandIn::Answer handle(const StandIn::Request &request)
    {
        if (request.m_path.starts_with("/standin/")) {
            return handleStandIn(request);
        }
        if (request.m_path == "/health") {
            return {200, "well", {}};
        }
        if (request.argument("crash") == "1") {
            _exit(CrashExitCode);
        }
        std::string mode;
        std::chrono::milliseconds work{};
        {
            const std::lock_guard lock(m_mutex);
            mode = currentMode();
            if (m_busy >= m_slots || mode == "drain") {
                return {503, "", {{"Ragwortrelay-Outcome", "not-run"}, {"endpoint-load-metrics", report()}}};
            }
            ++m_busy;
            ++m_runs[request.header("Idempotency-Key")];
            m_sawKey = m_sawKey || !request.header("Authorization").empty();
            work = workTime(mode);
        }
        const std::string deadlineText = request.header("Ragwortrelay-Deadline-Ms");
        const std::chrono::milliseconds deadline(deadlineText.empty() ? LongestWork.count() : std::stol(deadlineText));
        std::this_thread::sleep_for(std::min(work, deadline));
        const std::lock_guard lock(m_mutex);
        --m_busy;
        return work > deadline ? StandIn::Answer{504, "deadline exceeded", {}} : answer(request, mode);
    }

private:
    using Clock = std::chrono::steady_clock;

    static constexpr int CrashExitCode = 70;
    static constexpr std::chrono::milliseconds LongestWork{3'600'000};
    static constexpr std::chrono::milliseconds SlowWork{800};
    static constexpr std::chrono::seconds FlapPeriod{3};

    /// Precondition: the mutex is held.
    [[nodiscard]] std::string currentMode() const
    {
        if (m_mode != "flap") {
            return m_mode;
        }
        const auto periods = (Clock::now() - m_startedAt) / FlapPeriod;
        return periods % 2 == 0 ? "fail" : "none";
    }

    /// Precondition: the mutex is held.
    [[nodiscard]] std::chrono::milliseconds workTime(const std::string &mode) const
    {
        const bool isCold = Clock::now() - m_startedAt < m_coldTime;
        return mode == "slow" || isCold ? SlowWork : m_workTime;
    }

    StandIn::Answer answer(const StandIn::Request &request, const std::string &mode) const
    {
        if (mode == "fail") {
            return {500, "failed", {{"endpoint-load-metrics", report()}}};
        }
        StandIn::Answer answer{200, "echo " + request.m_method + ' ' + request.m_path + ' ' + request.m_body, {{"endpoint-load-metrics", report()}}};
        const std::string size = request.argument("size");
        if (!size.empty()) {
            answer.m_body.assign(std::stoul(size), 'x');
        }
        if (mode == "cut") {
            answer.m_cutAt = answer.m_body.size() / 2;
        }
        return answer;
    }

    StandIn::Answer handleStandIn(const StandIn::Request &request)
    {
        const std::lock_guard lock(m_mutex);
        if (request.m_path == "/standin/fault") {
            m_mode = request.argument("mode");
            return {200, "{}", {}};
        }
        if (request.m_path == "/standin/work") {
            m_workTime = std::chrono::milliseconds(std::stoi(request.argument("ms")));
            return {200, "{}", {}};
        }
        if (request.m_path == "/standin/cold") {
            m_coldTime = std::chrono::seconds(std::stoi(request.argument("seconds")));
            m_startedAt = Clock::now();
            return {200, "{}", {}};
        }
        return {200, Json{{"runs", m_runs}, {"sawKey", m_sawKey}}.dump(), {}};
    }

    [[nodiscard]] std::string report() const
    {
        return "TEXT named_metrics.busy=" + std::to_string(m_busy) + ",named_metrics.draining=" + (m_mode == "drain" ? "1" : "0");
    }

    std::mutex m_mutex;
    unsigned m_slots;
    unsigned m_busy = 0;
    std::chrono::milliseconds m_workTime{0};
    std::chrono::seconds m_coldTime{0};
    Clock::time_point m_startedAt = Clock::now();
    bool m_sawKey = false;
    std::string m_mode = "none";
    std::map<std::string, std::uint64_t> m_runs;
};

}

int main(int argc, char **argv)
{
    const sigset_t signals = StandIn::blockStopSignals();
    Backend backend(argc > 2 ? static_cast<unsigned>(std::stoul(argv[2])) : 4);
    const StandIn::Server server(StandIn::portFrom(argc, argv), [&](const StandIn::Request &request) { return backend.handle(request); });
    StandIn::printPortAndWait(server, signals);
    return 0;
}
