// Stand-in for a backend server with slots, load reports, draining, cold start, load shedding, deadlines, and faults on demand. It supports
// the header scheme of the product and that of the users' platform.
// Usage: ragwortrelay_standin_backend PORT SLOTS [INSTANCE]
// Health probes (GET /health) succeed whatever the fault.
// Faults: POST /standin/fault?mode=none|fail|slow|flap|cut|drain|hang|shed
// A request with the argument crash=1 terminates the process, like a request that crashes every server.
// Duration of each request: POST /standin/work?ms=N. Slow cold start for the next N seconds: POST /standin/cold?seconds=N
// Number of executions by Idempotency-Key and by path: GET /standin/runs

#include "standin.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <unistd.h>

namespace {

using Json = nlohmann::json;
using StandIn::Request;
using StandIn::Response;

constexpr int CrashExitCode = 70;
constexpr std::chrono::milliseconds MaxWorkTime{3'600'000};
constexpr std::chrono::milliseconds SlowWorkTime{800};
constexpr std::chrono::seconds FlapPeriod{3};

/// Data of a request that its response needs.
struct PendingRequest {
    std::string m_method;
    std::string m_path;
    std::string m_body;
    std::string m_attemptId;
    std::uint64_t m_responseBytes = 0; ///< Size of the response body in bytes; 0 to echo the request.
};

/// Backend server with a fixed number of slots and a fault that can be set. Not thread-safe.
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
            return m_server.respond(exchange, handleControl(request));
        }
        if (request.path() == "/health") {
            return m_server.respond(exchange, {200, "well", {{"Instance-Id", m_instance}}});
        }
        if (request.argument("crash") == "1") {
            _exit(CrashExitCode);
        }
        const std::string expected = request.header("Expected-Instance");
        if (!expected.empty() && !m_instance.empty() && expected != m_instance) {
            return m_server.respond(exchange, notExecutedResponse(421, request));
        }
        const std::string mode = currentMode();
        if (m_busySlots >= m_slots || mode == "drain" || mode == "shed") {
            return m_server.respond(exchange, notExecutedResponse(503, request));
        }
        execute(exchange, request, mode);
    }

    void execute(StandIn::Host::ExchangeId exchange, const Request &request, const std::string &mode)
    {
        ++m_busySlots;
        ++m_runsByKey[request.header("Idempotency-Key")];
        ++m_runsByPath[request.path()];
        m_hasSeenKey = m_hasSeenKey || !request.header("Authorization").empty() || !request.header("Credential").empty();
        const PendingRequest pending{request.method(), request.path(), request.body(), request.header("Attempt-Id"), request.number("size", 0)};
        const std::chrono::milliseconds duration = workTime(mode);
        const std::chrono::milliseconds timeout = requestTimeout(request);
        auto timer = std::make_shared<StandIn::asio::steady_timer>(m_context, std::min(duration, timeout));
        timer->async_wait([this, timer, exchange, pending, mode, isLate = duration > timeout](const StandIn::Loop::ErrorCode &error) {
            if (error) {
                return;
            }
            --m_busySlots;
            m_server.respond(exchange, isLate ? withAttemptId({504, "deadline exceeded", {}}, pending) : makeResponse(pending, mode));
        });
    }

    static std::chrono::milliseconds requestTimeout(const Request &request)
    {
        const std::string productTimeout = request.header("Ragwortrelay-Deadline-Ms");
        const std::string text = productTimeout.empty() ? request.header("Timeout-Ms") : productTimeout;
        return text.empty() ? MaxWorkTime : std::chrono::milliseconds(std::stol(text));
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
            return MaxWorkTime;
        }
        const bool isCold = Clock::now() - m_startedAt < m_coldTime;
        return mode == "slow" || isCold ? SlowWorkTime : m_workTime;
    }

    static Response withAttemptId(Response response, const PendingRequest &pending)
    {
        if (!pending.m_attemptId.empty()) {
            response.m_headers.push_back({"Attempt-Id", pending.m_attemptId});
        }
        return response;
    }

    [[nodiscard]] Response notExecutedResponse(std::uint16_t status, const Request &request) const
    {
        Response response{status, {}, {{"Ragwortrelay-Outcome", "not-run"}, {"Not-Executed", "1"}, {"endpoint-load-metrics", loadReport()}}};
        response.m_headers.push_back({"Attempt-Id", request.header("Attempt-Id")});
        return response;
    }

    [[nodiscard]] Response makeResponse(const PendingRequest &pending, const std::string &mode) const
    {
        Response response{200, "echo " + pending.m_method + ' ' + pending.m_path + ' ' + pending.m_body, {{"endpoint-load-metrics", loadReport()}}};
        response.m_headers.push_back({"Server-Signature", m_instance});
        if (mode == "fail") {
            response.m_status = 500;
            response.m_body = "failed";
        } else if (pending.m_responseBytes > 0) {
            response.m_body.assign(pending.m_responseBytes, 'x');
        }
        response.m_isTruncated = mode == "cut";
        return withAttemptId(response, pending);
    }

    Response handleControl(const Request &request)
    {
        if (request.path() == "/standin/fault") {
            m_mode = request.argument("mode");
        } else if (request.path() == "/standin/work") {
            m_workTime = std::chrono::milliseconds(request.number("ms", 0));
        } else if (request.path() == "/standin/cold") {
            m_coldTime = std::chrono::seconds(request.number("seconds", 0));
            m_startedAt = Clock::now();
        }
        return {200, Json{{"runs", m_runsByKey}, {"paths", m_runsByPath}, {"sawKey", m_hasSeenKey}}.dump(), {}};
    }

    [[nodiscard]] std::string loadReport() const
    {
        return "TEXT named_metrics.busy=" + std::to_string(m_busySlots) + ",named_metrics.draining=" + (m_mode == "drain" ? "1" : "0");
    }

    StandIn::asio::io_context &m_context;
    std::uint64_t m_slots;
    std::string m_instance;
    std::uint64_t m_busySlots = 0;
    std::chrono::milliseconds m_workTime{0};
    std::chrono::seconds m_coldTime{0};
    Clock::time_point m_startedAt = Clock::now();
    bool m_hasSeenKey = false;
    std::string m_mode = "none";
    std::map<std::string, std::uint64_t> m_runsByKey;
    std::map<std::string, std::uint64_t> m_runsByPath;
    StandIn::Server m_server;
};

}

int main(int argc, char **argv)
{
    StandIn::asio::io_context context(1);
    const auto port = static_cast<std::uint16_t>(StandIn::numericArgument(argc, argv, 1, 0));
    const Backend backend(context, port, StandIn::numericArgument(argc, argv, 2, 4), argc > 3 ? argv[3] : "");
    StandIn::run(context, {backend.address()});
    return 0;
}
