#include <ragwortrelay/core/digest.h>
#include <ragwortrelay/detail/runtime/httpserver.h>
#include <ragwortrelay/detail/runtime/requestcheck.h>
#include <ragwortrelay/runtime/callerfront.h>
#include <ragwortrelay/runtime/sharedcounters.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>
#include <optional>
#include <thread>

namespace RagwortRelay::Runtime {

void pushWaiting(DecisionRing &ring, const Node::Event &event)
{
    while (!ring.push({event, nullptr})) {
        std::this_thread::yield();
    }
}

namespace {

constexpr std::uint16_t HttpBadRequest = 400;
constexpr std::uint16_t HttpTooLarge = 413;
constexpr std::uint16_t HttpServiceUnavailable = 503;
constexpr std::chrono::milliseconds LongestCallerDeadline = std::chrono::hours(1);

/// Returns the deadline that a caller gives, or nothing when the value isn't a whole number of milliseconds above 0.
std::optional<Duration> deadlineFrom(const std::string &value)
{
    std::int64_t milliseconds = 0;
    const char *end = value.data() + value.size();
    const auto [stop, code] = std::from_chars(value.data(), end, milliseconds);
    const bool isWhole = code == std::errc() && stop == end && milliseconds > 0 && milliseconds <= LongestCallerDeadline.count();
    return isWhole ? std::optional<Duration>(std::chrono::milliseconds(milliseconds)) : std::nullopt;
}

/// One request on a connection of a caller. Owned by the front's thread.
struct CallerExchange {
    Node::ExchangeId m_id = 0;
    MHD_Connection *m_connection = nullptr;
    std::string m_target;
    std::shared_ptr<CallerRequest> m_request;
    std::string m_authorization;
    std::string m_idempotencyKey;
    std::optional<Duration> m_callerDeadline;
    std::string m_secret; ///< Of m_authorization.
    bool m_tooLarge = false;
    std::uint64_t m_discarded = 0; ///< Bytes of a body that is too large.
    bool m_handedOver = false;
    bool m_suspended = false;
    bool m_gone = false; ///< The caller closed its connection, or is given up.
    detail::HttpServer *m_server = nullptr;
    Node::AttemptId m_attempt = 0;
    std::function<void(Node::AttemptId)> *m_onSpace = nullptr;
    std::shared_ptr<AnswerStream> m_stream; ///< Set once the answer may be sent.
    std::optional<Dispatch::Problem> m_problem;
};

std::string problemBody(const Dispatch::Problem &problem)
{
    return nlohmann::json{{"type", "urn:ragwortrelay:error:" + toString(problem.m_id)},
                          {"status", problem.m_status},
                          {"title", problem.m_detail},
                          {"id", toString(problem.m_id)},
                          {"outcome", Dispatch::toString(problem.m_outcome)}}
        .dump();
}

MHD_Response *makeProblemResponse(const Dispatch::Problem &problem)
{
    std::string body = problemBody(problem);
    MHD_Response *response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/problem+json");
    MHD_add_response_header(response, "Ragwortrelay-Outcome", Dispatch::toString(problem.m_outcome).c_str());
    const bool wantsRetryAfter = problem.m_status == 429 || problem.m_status == 503;
    if (wantsRetryAfter) {
        const Duration wait = problem.m_retryAfter.value_or(std::chrono::seconds(1));
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
        MHD_add_response_header(response, "Retry-After", std::to_string(std::clamp<std::int64_t>(seconds, 1, 3600)).c_str());
    }
    return response;
}

}

class CallerFront::Implementation
{
public:
    Implementation(const Settings::CallerSettings &settings, DecisionRing &decisions, std::function<void(Node::AttemptId)> onSpace)
        : m_settings(settings)
        , m_decisions(decisions)
        , m_onSpace(std::move(onSpace))
        , m_server(settings.m_listen, callbacks(), limitsFrom(settings))
        , m_orders(OrderCapacity, [this] { m_server.wake(); })
    {
    }

    detail::HttpServer &server()
    {
        return m_server;
    }

    Ring<FrontOrder> &orders()
    {
        return m_orders;
    }

    void announceStop()
    {
        m_announcesStop.store(true);
    }

    void stop()
    {
        constexpr Duration FinishLimit = std::chrono::seconds(5);
        m_server.stop(FinishLimit);
    }

    [[nodiscard]] Reporting::Counters counters() const
    {
        Reporting::Counters counters = m_counters.snapshot();
        Reporting::count(counters, "ring_refused{ring=\"caller-front\"}", m_orders.refused());
        return counters;
    }

private:
    static detail::HttpServerLimits limitsFrom(const Settings::CallerSettings &settings)
    {
        // A request's header and its answer's have to fit at the same time.
        constexpr std::size_t AnswerMemory = 24U << 10U; // bytes
        detail::HttpServerLimits limits;
        limits.m_connectionMemory = 2 * settings.m_headerLimit + AnswerMemory;
        limits.m_connections = static_cast<unsigned>(settings.m_connectionLimit);
        limits.m_headerTimeout = settings.m_headerTimeout;
        limits.m_idleTimeout = settings.m_idleTimeout;
        if (!settings.m_certificate.empty()) {
            limits.m_certificate = detail::readFile(settings.m_certificate);
            limits.m_key = detail::readFile(settings.m_key);
        }
        return limits;
    }

    detail::HttpServer::Callbacks callbacks()
    {
        detail::HttpServer::Callbacks callbacks;
        callbacks.m_onRequest = onRequest;
        callbacks.m_onCompleted = onCompleted;
        callbacks.m_onUri = onUri;
        callbacks.m_context = this;
        callbacks.m_onWake = [this] { drainOrders(); };
        callbacks.m_onStop = [this] { abandonAll(); };
        callbacks.m_onHangUp = [this](void *request) { abandon(*static_cast<CallerExchange *>(request)); };
        callbacks.m_isIdle = [this] { return m_openRequests == 0; };
        return callbacks;
    }

    /// Resumes everything so that the daemon can stop.
    void abandonAll()
    {
        for (auto &[id, exchange] : m_exchanges) {
            if (exchange->m_suspended) {
                abandon(*exchange);
            }
        }
    }

    /// Lets libmicrohttpd close the connection of a suspended request, which tells the decision duty.
    void abandon(CallerExchange &exchange)
    {
        exchange.m_gone = true;
        m_counters.count("callers_gone");
        resume(exchange);
    }

    static constexpr std::size_t OrderCapacity = 16384;

    static void *onUri(void *context, const char *uri, MHD_Connection *connection)
    {
        auto *front = static_cast<Implementation *>(context);
        auto exchange = std::make_unique<CallerExchange>();
        ++front->m_openRequests;
        exchange->m_server = &front->m_server;
        exchange->m_connection = connection;
        exchange->m_target = uri;
        return exchange.release();
    }

    static MHD_Result onRequest(void *context,
                                MHD_Connection * /*connection*/,
                                const char * /*url*/,
                                const char *method,
                                const char *version,
                                const char *upload,
                                size_t *uploadSize,
                                void **state)
    {
        auto *front = static_cast<Implementation *>(context);
        auto *exchange = static_cast<CallerExchange *>(*state);
        if (!exchange->m_request) {
            return front->beginRequest(*exchange, method, version);
        }
        if (*uploadSize > 0) {
            const bool mayGoOn = front->addBody(*exchange, upload, *uploadSize);
            *uploadSize = 0;
            return mayGoOn ? MHD_YES : MHD_NO;
        }
        return front->continueRequest(*exchange);
    }

    static void onCompleted(void *context, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code)
    {
        auto *front = static_cast<Implementation *>(context);
        const std::unique_ptr<CallerExchange> exchange(static_cast<CallerExchange *>(*state));
        *state = nullptr;
        if (!exchange) {
            return;
        }
        --front->m_openRequests;
        front->m_server.setTimeLimit(connection, front->m_settings.m_idleTimeout);
        if (!exchange->m_handedOver) {
            return;
        }
        front->m_exchanges.erase(exchange->m_id);
        if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
            pushWaiting(front->m_decisions, Node::CallerGone{exchange->m_id});
        }
    }

    static ssize_t onReadBody(void *context, std::uint64_t /*position*/, char *buffer, size_t size)
    {
        auto *exchange = static_cast<CallerExchange *>(context);
        AnswerStream &stream = *exchange->m_stream;
        std::size_t got = stream.m_body.pop(buffer, size);
        if (got == 0) {
            stream.m_readerWaits.store(true);
            const BodyState state = stream.m_bodyState.load();
            got = stream.m_body.pop(buffer, size);
            if (got == 0 && state == BodyState::Whole) {
                return MHD_CONTENT_READER_END_OF_STREAM;
            }
            if (got == 0 && state == BodyState::CutShort) {
                return MHD_CONTENT_READER_END_WITH_ERROR;
            }
            if (got == 0 && exchange->m_gone) {
                return MHD_CONTENT_READER_END_WITH_ERROR;
            }
            if (got == 0) {
                suspend(*exchange);
                return 0;
            }
            stream.m_readerWaits.store(false);
        }
        if (stream.m_writerWaits.exchange(false)) {
            (*exchange->m_onSpace)(exchange->m_attempt);
        }
        return static_cast<ssize_t>(got);
    }

    MHD_Result beginRequest(CallerExchange &exchange, const char *method, const char *version)
    {
        m_server.setTimeLimit(exchange.m_connection, m_settings.m_bodyTimeout);
        exchange.m_request = std::make_shared<CallerRequest>();
        exchange.m_request->m_method = method;
        detail::RequestHead head{method, exchange.m_target, version, {}};
        for (auto &[name, value] : detail::headersOf(exchange.m_connection)) {
            head.m_headers.push_back({std::move(name), std::move(value)});
        }
        if (const auto problem = detail::checkHead(head, m_settings)) {
            return refuse(exchange, *problem);
        }
        for (const Header &header : head.m_headers) {
            if (sameName(header.m_name, "Authorization")) {
                exchange.m_authorization = header.m_value;
            } else if (sameName(header.m_name, DeadlineHeader)) {
                exchange.m_callerDeadline = deadlineFrom(header.m_value);
            } else if (sameName(header.m_name, "Idempotency-Key")) {
                exchange.m_idempotencyKey = header.m_value;
            }
        }
        exchange.m_secret = detail::secretOf(exchange.m_authorization);
        exchange.m_request->m_target = *detail::normalizeTarget(exchange.m_target);
        if (detail::carriesSecret(exchange.m_request->m_target, exchange.m_secret)) {
            return refuse(exchange, {HttpBadRequest, ErrorId::RequestMalformed, Dispatch::Outcome::NotRun, "the target must not hold the workspace key", {}});
        }
        exchange.m_request->m_headers = detail::headersForServer(head.m_headers, exchange.m_secret);
        return MHD_YES;
    }

    /// Refuses a request of which the body wasn't read, or whose end isn't sure, and closes the connection.
    MHD_Result refuse(const CallerExchange &exchange, const Dispatch::Problem &problem)
    {
        m_counters.count("requests_refused_unread{id=\"" + toString(problem.m_id) + "\"}");
        return answer(exchange, problem, true);
    }

    /// Adds to the body; returns whether the caller may go on sending.
    bool addBody(CallerExchange &exchange, const char *data, std::size_t size) const
    {
        constexpr std::uint64_t DiscardLimit = 1U << 20U; // bytes
        std::string &body = exchange.m_request->m_body;
        if (exchange.m_tooLarge || body.size() + size > m_settings.m_bodyLimit) {
            // libmicrohttpd takes no answer before the end of the body, so some more of it is read and thrown away.
            exchange.m_tooLarge = true;
            exchange.m_discarded += size;
            return exchange.m_discarded <= DiscardLimit;
        }
        body.append(data, size);
        return true;
    }

    MHD_Result continueRequest(CallerExchange &exchange)
    {
        if (exchange.m_gone) {
            return MHD_NO;
        }
        if (exchange.m_tooLarge) {
            return refuse(exchange, {HttpTooLarge, ErrorId::RequestTooLarge, Dispatch::Outcome::NotRun, "the body is larger than this host takes", {}});
        }
        if (exchange.m_stream) {
            return sendStream(exchange);
        }
        if (exchange.m_problem) {
            return answer(exchange, *exchange.m_problem);
        }
        return handOver(exchange);
    }

    MHD_Result handOver(CallerExchange &exchange)
    {
        if (detail::carriesSecret(exchange.m_request->m_body, exchange.m_secret)) {
            return refuse(exchange, {HttpBadRequest, ErrorId::RequestMalformed, Dispatch::Outcome::NotRun, "the body must not hold the workspace key", {}});
        }
        m_server.removeTimeLimit(exchange.m_connection);
        exchange.m_id = ++m_lastExchange;
        exchange.m_onSpace = &m_onSpace;
        Node::RequestArrived event;
        event.m_exchange = exchange.m_id;
        event.m_method = exchange.m_request->m_method;
        event.m_target = exchange.m_request->m_target;
        event.m_path = event.m_target.substr(0, event.m_target.find('?'));
        event.m_authorization = exchange.m_authorization;
        event.m_idempotencyKey = exchange.m_idempotencyKey;
        event.m_callerDeadline = exchange.m_callerDeadline;
        event.m_bodyDigest = sha256(exchange.m_request->m_body);
        if (!m_decisions.push({event, exchange.m_request})) {
            return answer(exchange, {HttpServiceUnavailable, ErrorId::RequestOverload, Dispatch::Outcome::NotRun, "the host has too much to decide", {}});
        }
        exchange.m_handedOver = true;
        m_exchanges.emplace(exchange.m_id, &exchange);
        suspend(exchange);
        return MHD_YES;
    }

    MHD_Result answer(const CallerExchange &exchange, const Dispatch::Problem &problem, bool closes = false)
    {
        m_server.setTimeLimit(exchange.m_connection, m_settings.m_answerTimeout);
        MHD_Response *response = makeProblemResponse(problem);
        if (closes || m_announcesStop.load()) {
            MHD_add_response_header(response, "Connection", "close");
        }
        const MHD_Result result = MHD_queue_response(exchange.m_connection, problem.m_status, response);
        MHD_destroy_response(response);
        return result;
    }

    MHD_Result sendStream(CallerExchange &exchange)
    {
        m_server.setTimeLimit(exchange.m_connection, m_settings.m_answerTimeout);
        constexpr std::size_t BlockSize = 16U << 10U; // bytes
        const AnswerStream &stream = *exchange.m_stream;
        const std::uint64_t length =
            stream.m_contentLength == AnswerStream::LengthUnknown ? MHD_SIZE_UNKNOWN : static_cast<std::uint64_t>(stream.m_contentLength);
        MHD_Response *response = MHD_create_response_from_callback(length, BlockSize, onReadBody, &exchange, nullptr);
        for (const Header &header : stream.m_headers) {
            MHD_add_response_header(response, header.m_name.c_str(), header.m_value.c_str());
        }
        if (m_announcesStop.load()) {
            MHD_add_response_header(response, "Connection", "close");
        }
        const MHD_Result result = MHD_queue_response(exchange.m_connection, stream.m_status, response);
        MHD_destroy_response(response);
        return result;
    }

    static void suspend(CallerExchange &exchange)
    {
        exchange.m_suspended = true;
        exchange.m_server->suspend(exchange.m_connection, &exchange);
    }

    static void resume(CallerExchange &exchange)
    {
        if (exchange.m_suspended) {
            exchange.m_suspended = false;
            exchange.m_server->resume(exchange.m_connection);
        }
    }

    void drainOrders()
    {
        m_orders.drain([this](FrontOrder &&order) {
            const Node::ExchangeId id = std::visit([](const auto &typed) { return typed.m_exchange; }, order);
            const auto found = m_exchanges.find(id);
            if (found == m_exchanges.end()) {
                return;
            }
            CallerExchange &exchange = *found->second;
            if (auto *answer = std::get_if<SendAnswer>(&order)) {
                exchange.m_stream = std::move(answer->m_stream);
                exchange.m_attempt = answer->m_attempt;
            } else if (auto *problem = std::get_if<SendProblem>(&order)) {
                exchange.m_problem = std::move(problem->m_problem);
            }
            resume(exchange);
        });
    }

    Settings::CallerSettings m_settings;
    DecisionRing &m_decisions;
    std::function<void(Node::AttemptId)> m_onSpace;
    std::map<Node::ExchangeId, CallerExchange *> m_exchanges;
    Node::ExchangeId m_lastExchange = 0;
    std::size_t m_openRequests = 0;
    std::atomic<bool> m_announcesStop{false};
    SharedCounters m_counters;
    detail::HttpServer m_server;
    Ring<FrontOrder> m_orders;
};

CallerFront::CallerFront(const Settings::CallerSettings &settings, DecisionRing &decisions, std::function<void(Node::AttemptId)> onSpace)
    : m_implementation(std::make_unique<Implementation>(settings, decisions, std::move(onSpace)))
{
}

CallerFront::~CallerFront()
{
    stop();
}

void CallerFront::start()
{
    m_implementation->server().start("caller-front");
}

void CallerFront::announceStop()
{
    m_implementation->announceStop();
}

Reporting::Counters CallerFront::counters() const
{
    return m_implementation->counters();
}

void CallerFront::stop()
{
    m_implementation->stop();
}

Ring<FrontOrder> &CallerFront::orders()
{
    return m_implementation->orders();
}

std::string CallerFront::address() const
{
    return m_implementation->server().address();
}

}
