// Stand-in for a backend server: slots, load report, drain, cold start, shedding, deadlines, and faults on demand. It speaks the headers
// of the product and those of the users' platform.
// Usage: ragwortrelay_standin_backend PORT SLOTS [INSTANCE]
// Health probes (GET /health) are answered well whatever the fault.
// Faults: POST /standin/fault?mode=none|fail|slow|flap|cut|drain|hang|shed
// A request with the argument crash=1 ends the process, as a request that no server survives would.
// Time that work takes: POST /standin/work?ms=N; for the first N seconds of a life: POST /standin/cold?seconds=N
// Runs are counted by their Idempotency-Key and by their path: GET /standin/runs

#include "standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <unistd.h>

namespace {

using Json = nlohmann::json;
using StandIn::Answer;
using StandIn::Request;

constexpr int CrashExitCode = 70;
constexpr std::chrono::milliseconds LongestWork{3'600'000};
constexpr std::chrono::milliseconds SlowWork{800};
constexpr std::chrono::seconds FlapPeriod{3};

/// What a run is answered with, as its request asks for.
struct Wish {
    std::string m_method;
    std::string m_path;
    std::string m_body;
    std::string m_attemptId;
    std::uint64_t m_size = 0; ///< Bytes of the answer; 0 for an echo.
};

class Backend
{
public:
    Backend(StandIn::asio::io_context &context, std::uint16_t port, std::uint64_t slots, std::string instance)
        : m_context(context)
        , m_slots(slots)
        , m_instance(std::move(instance))
        , m_server(context, port, [this](StandIn::Host::ExchangeId exchange, const Request &request) { handle(exchange, request); })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return m_server.address();
    }

private:
    using Clock = std::chrono::steady_clock;

    void handle(StandIn::Host::ExchangeId exchange, const Request &request)
    {
        if (request.path().starts_with("/standin/")) {
            return m_server.response(exchange, control(request));
        }
        if (request.path() == "/health") {
            return m_server.response(exchange, {200, "well", {{"Instance-Id", m_instance}}});
        }
        if (request.argument("crash") == "1") {
            _exit(CrashExitCode);
        }
        const std::string expected = request.header("Expected-Instance");
        if (!expected.empty() && !m_instance.empty() && expected != m_instance) {
            return m_server.response(exchange, notRun(421, request));
        }
        const std::string mode = currentMode();
        if (m_busy >= m_slots || mode == "drain" || mode == "shed") {
            return m_server.response(exchange, notRun(503, request));
        }
        work(exchange, request, mode);
    }

    void work(StandIn::Host::ExchangeId exchange, const Request &request, const std::string &mode)
    {
        ++m_busy;
        ++m_runs[request.header("Idempotency-Key")];
        ++m_paths[request.path()];
        m_sawKey = m_sawKey || !request.header("Authorization").empty() || !request.header("Credential").empty();
        const Wish wish{request.method(), request.path(), request.body(), request.header("Attempt-Id"), request.number("size", 0)};
        const std::chrono::milliseconds time = workTime(mode);
        const std::chrono::milliseconds limit = timeLimit(request);
        auto timer = std::make_shared<StandIn::asio::steady_timer>(m_context, std::min(time, limit));
        timer->async_wait([this, timer, exchange, wish, mode, isLate = time > limit](const StandIn::Loop::ErrorCode &error) {
            if (error) {
                return;
            }
            --m_busy;
            m_server.response(exchange, isLate ? withId({504, "deadline exceeded", {}}, wish) : response(wish, mode));
        });
    }

    static std::chrono::milliseconds timeLimit(const Request &request)
    {
        const std::string own = request.header("Ragwortrelay-Deadline-Ms");
        const std::string text = own.empty() ? request.header("Timeout-Ms") : own;
        return text.empty() ? LongestWork : std::chrono::milliseconds(std::stol(text));
    }

    [[nodiscard]] std::string currentMode() const
    {
        if (m_mode != "flap") {
            return m_mode;
        }
        const auto periods = (Clock::now() - m_startedAt) / FlapPeriod;
        return periods % 2 == 0 ? "fail" : "none";
    }

    [[nodiscard]] std::chrono::milliseconds workTime(const std::string &mode) const
    {
        if (mode == "hang") {
            return LongestWork;
        }
        const bool isCold = Clock::now() - m_startedAt < m_coldTime;
        return mode == "slow" || isCold ? SlowWork : m_workTime;
    }

    static Answer withId(Answer response, const Wish &wish)
    {
        if (!wish.m_attemptId.empty()) {
            response.m_headers.push_back({"Attempt-Id", wish.m_attemptId});
        }
        return response;
    }

    [[nodiscard]] Answer notRun(std::uint16_t status, const Request &request) const
    {
        Answer response{status, {}, {{"Ragwortrelay-Outcome", "not-run"}, {"Not-Executed", "1"}, {"endpoint-load-metrics", report()}}};
        response.m_headers.push_back({"Attempt-Id", request.header("Attempt-Id")});
        return response;
    }

    [[nodiscard]] Answer response(const Wish &wish, const std::string &mode) const
    {
        Answer response{200, "echo " + wish.m_method + ' ' + wish.m_path + ' ' + wish.m_body, {{"endpoint-load-metrics", report()}}};
        response.m_headers.push_back({"Server-Signature", m_instance});
        if (mode == "fail") {
            response.m_status = 500;
            response.m_body = "failed";
        } else if (wish.m_size > 0) {
            response.m_body.assign(wish.m_size, 'x');
        }
        response.m_isCut = mode == "cut";
        return withId(response, wish);
    }

    Answer control(const Request &request)
    {
        if (request.path() == "/standin/fault") {
            m_mode = request.argument("mode");
        } else if (request.path() == "/standin/work") {
            m_workTime = std::chrono::milliseconds(request.number("ms", 0));
        } else if (request.path() == "/standin/cold") {
            m_coldTime = std::chrono::seconds(request.number("seconds", 0));
            m_startedAt = Clock::now();
        }
        return {200, Json{{"runs", m_runs}, {"paths", m_paths}, {"sawKey", m_sawKey}}.dump(), {}};
    }

    [[nodiscard]] std::string report() const
    {
        return "TEXT named_metrics.busy=" + std::to_string(m_busy) + ",named_metrics.draining=" + (m_mode == "drain" ? "1" : "0");
    }

    StandIn::asio::io_context &m_context;
    std::uint64_t m_slots;
    std::string m_instance;
    std::uint64_t m_busy = 0;
    std::chrono::milliseconds m_workTime{0};
    std::chrono::seconds m_coldTime{0};
    Clock::time_point m_startedAt = Clock::now();
    bool m_sawKey = false;
    std::string m_mode = "none";
    std::map<std::string, std::uint64_t> m_runs;
    std::map<std::string, std::uint64_t> m_paths;
    StandIn::Server m_server;
};

}

int main(int argc, char **argv)
{
    StandIn::asio::io_context context(1);
    const auto port = static_cast<std::uint16_t>(StandIn::numberAt(argc, argv, 1, 0));
    const Backend backend(context, port, StandIn::numberAt(argc, argv, 2, 4), argc > 3 ? argv[3] : "");
    StandIn::run(context, {backend.address()});
    return 0;
}
