#include <ragwortrelay/core/digest.h>
#include <ragwortrelay/detail/runtime/httpserver.h>
#include <ragwortrelay/runtime/callerfront.h>

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

constexpr unsigned HttpBadRequest = 400;
constexpr unsigned HttpTooLarge = 413;
constexpr unsigned HttpServiceUnavailable = 503;
constexpr std::chrono::milliseconds LongestCallerDeadline = std::chrono::hours(1);
constexpr const char *DeadlineHeader = "Ragwortrelay-Deadline-Ms";

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
    bool m_tooLarge = false;
    bool m_handedOver = false;
    bool m_suspended = false;
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

bool hasSmugglingShape(const std::vector<std::pair<std::string, std::string>> &headers)
{
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    for (const auto &[name, value] : headers) {
        lengths += sameName(name, "Content-Length") ? 1 : 0;
        encodings += sameName(name, "Transfer-Encoding") ? 1 : 0;
    }
    return lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0);
}

}

class CallerFront::Implementation
{
public:
    Implementation(const Settings::CallerSettings &settings, DecisionRing &decisions, std::function<void(Node::AttemptId)> onSpace)
        : m_settings(settings)
        , m_decisions(decisions)
        , m_onSpace(std::move(onSpace))
        , m_server(settings.m_listen, {onRequest, onCompleted, onUri, this, [this] { drainOrders(); }, [this] { abandonAll(); }})
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

    void stop()
    {
        m_server.stop();
    }

private:
    /// Resumes everything so that the daemon can stop.
    void abandonAll()
    {
        for (auto &[id, exchange] : m_exchanges) {
            if (exchange->m_suspended) {
                exchange->m_problem = Dispatch::Problem{HttpServiceUnavailable, ErrorId::RequestStopping, Dispatch::Outcome::Unknown, "the host stopped", {}};
                resume(*exchange);
            }
        }
    }

    static constexpr std::size_t OrderCapacity = 16384;

    static void *onUri(void * /*context*/, const char *uri, MHD_Connection *connection)
    {
        auto exchange = std::make_unique<CallerExchange>();
        exchange->m_connection = connection;
        exchange->m_target = uri;
        return exchange.release();
    }

    static MHD_Result onRequest(void *context,
                                MHD_Connection * /*connection*/,
                                const char * /*url*/,
                                const char *method,
                                const char * /*version*/,
                                const char *upload,
                                size_t *uploadSize,
                                void **state)
    {
        auto *front = static_cast<Implementation *>(context);
        auto *exchange = static_cast<CallerExchange *>(*state);
        if (!exchange->m_request) {
            return front->beginRequest(*exchange, method);
        }
        if (*uploadSize > 0) {
            front->addBody(*exchange, upload, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        return front->continueRequest(*exchange);
    }

    static void onCompleted(void *context, MHD_Connection * /*connection*/, void **state, MHD_RequestTerminationCode code)
    {
        auto *front = static_cast<Implementation *>(context);
        const std::unique_ptr<CallerExchange> exchange(static_cast<CallerExchange *>(*state));
        *state = nullptr;
        if (!exchange || !exchange->m_handedOver) {
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
            if (got == 0) {
                exchange->m_suspended = true;
                MHD_suspend_connection(exchange->m_connection);
                return 0;
            }
            stream.m_readerWaits.store(false);
        }
        if (stream.m_writerWaits.exchange(false)) {
            (*exchange->m_onSpace)(exchange->m_attempt);
        }
        return static_cast<ssize_t>(got);
    }

    MHD_Result beginRequest(CallerExchange &exchange, const char *method)
    {
        exchange.m_request = std::make_shared<CallerRequest>();
        exchange.m_request->m_method = method;
        exchange.m_request->m_target = exchange.m_target;
        const auto headers = detail::headersOf(exchange.m_connection);
        if (hasSmugglingShape(headers) || !exchange.m_target.starts_with('/')) {
            return answer(exchange, {HttpBadRequest, ErrorId::RequestMalformed, Dispatch::Outcome::NotRun, "the request has an ambiguous form", {}});
        }
        Headers kept;
        for (const auto &[name, value] : headers) {
            if (sameName(name, "Authorization")) {
                exchange.m_authorization = value;
            } else if (sameName(name, DeadlineHeader)) {
                exchange.m_callerDeadline = deadlineFrom(value);
            } else if (sameName(name, "Idempotency-Key")) {
                exchange.m_idempotencyKey = value;
                kept.push_back({name, value});
            } else {
                kept.push_back({name, value});
            }
        }
        exchange.m_request->m_headers = headersForServer(kept, exchange.m_authorization);
        return MHD_YES;
    }

    /// Leaves out hop-by-hop headers, and every header that carries the caller's key.
    static Headers headersForServer(const Headers &headers, const std::string &authorization)
    {
        const std::size_t space = authorization.find(' ');
        const std::string key = space == std::string::npos ? std::string() : authorization.substr(space + 1);
        Headers kept;
        for (const Header &header : endToEndHeaders(headers)) {
            const bool carriesKey = !key.empty() && header.m_value.find(key) != std::string::npos;
            const bool isOurs = sameName(header.m_name, "Content-Length") || sameName(header.m_name, "Expect");
            if (!carriesKey && !isOurs) {
                kept.push_back(header);
            }
        }
        return kept;
    }

    void addBody(CallerExchange &exchange, const char *data, std::size_t size) const
    {
        std::string &body = exchange.m_request->m_body;
        if (body.size() + size > m_settings.m_bodyLimit) {
            exchange.m_tooLarge = true;
            return;
        }
        body.append(data, size);
    }

    MHD_Result continueRequest(CallerExchange &exchange)
    {
        if (exchange.m_tooLarge) {
            return answer(exchange, {HttpTooLarge, ErrorId::RequestTooLarge, Dispatch::Outcome::NotRun, "the body is larger than this host takes", {}});
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
        exchange.m_id = ++m_lastExchange;
        exchange.m_onSpace = &m_onSpace;
        Node::RequestArrived event;
        event.m_exchange = exchange.m_id;
        event.m_method = exchange.m_request->m_method;
        event.m_target = exchange.m_target;
        event.m_path = exchange.m_target.substr(0, exchange.m_target.find('?'));
        event.m_authorization = exchange.m_authorization;
        event.m_idempotencyKey = exchange.m_idempotencyKey;
        event.m_callerDeadline = exchange.m_callerDeadline;
        event.m_bodyDigest = sha256(exchange.m_request->m_body);
        if (!m_decisions.push({event, exchange.m_request})) {
            return answer(exchange, {HttpServiceUnavailable, ErrorId::RequestOverload, Dispatch::Outcome::NotRun, "the host has too much to decide", {}});
        }
        exchange.m_handedOver = true;
        m_exchanges.emplace(exchange.m_id, &exchange);
        exchange.m_suspended = true;
        MHD_suspend_connection(exchange.m_connection);
        return MHD_YES;
    }

    static MHD_Result answer(const CallerExchange &exchange, const Dispatch::Problem &problem)
    {
        MHD_Response *response = makeProblemResponse(problem);
        const MHD_Result result = MHD_queue_response(exchange.m_connection, problem.m_status, response);
        MHD_destroy_response(response);
        return result;
    }

    static MHD_Result sendStream(CallerExchange &exchange)
    {
        constexpr std::size_t BlockSize = 16U << 10U; // bytes
        const AnswerStream &stream = *exchange.m_stream;
        const std::uint64_t length =
            stream.m_contentLength == AnswerStream::LengthUnknown ? MHD_SIZE_UNKNOWN : static_cast<std::uint64_t>(stream.m_contentLength);
        MHD_Response *response = MHD_create_response_from_callback(length, BlockSize, onReadBody, &exchange, nullptr);
        for (const Header &header : stream.m_headers) {
            MHD_add_response_header(response, header.m_name.c_str(), header.m_value.c_str());
        }
        const MHD_Result result = MHD_queue_response(exchange.m_connection, stream.m_status, response);
        MHD_destroy_response(response);
        return result;
    }

    static void resume(CallerExchange &exchange)
    {
        if (exchange.m_suspended) {
            exchange.m_suspended = false;
            MHD_resume_connection(exchange.m_connection);
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
