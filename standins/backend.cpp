// Stand-in for a backend server: slots, load report, drain, shedding, and faults on demand.
// Faults: POST /standin/fault?mode=none|fail|slow|cut|drain
// Runs are counted by their Idempotency-Key: GET /standin/runs

#include "httpstandin.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <thread>

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
        std::string mode;
        {
            const std::lock_guard lock(m_mutex);
            if (m_busy >= m_slots || m_mode == "drain") {
                return {503, "", {{"Ragwortrelay-Outcome", "not-run"}, {"endpoint-load-metrics", report()}}};
            }
            ++m_busy;
            ++m_runs[request.header("Idempotency-Key")];
            m_sawKey = m_sawKey || !request.header("Authorization").empty();
            mode = m_mode;
        }
        std::this_thread::sleep_for(mode == "slow" ? std::chrono::milliseconds(800) : std::chrono::milliseconds(m_workMilliseconds));
        const std::lock_guard lock(m_mutex);
        --m_busy;
        return answer(request, mode);
    }

private:
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
            m_workMilliseconds = std::stoi(request.argument("ms"));
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
    int m_workMilliseconds = 0;
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
