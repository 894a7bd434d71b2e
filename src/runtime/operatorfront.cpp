#include <ragwortrelay/detail/runtime/httpserver.h>
#include <ragwortrelay/runtime/operatorcodec.h>
#include <ragwortrelay/runtime/operatorfront.h>

#include <openssl/crypto.h>

#include <map>
#include <optional>

namespace RagwortRelay::Runtime {

namespace {

/// One request on a connection of an operator. Owned by the front's thread.
struct OperatorExchange {
    std::string m_path;
    std::string m_body;
    bool m_begun = false;
    bool m_suspended = false;
    MHD_Connection *m_connection = nullptr;
    Node::OperatorCallId m_call = 0;
    std::optional<OperatorAnswer> m_answer;
};

bool equalSecrets(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}

class OperatorFront::Implementation
{
public:
    Implementation(const Settings::OperatorSettings &settings, DecisionRing &decisions)
        : m_settings(settings)
        , m_decisions(decisions)
        , m_server(settings.m_listen, {onRequest, onCompleted, onUri, this, [this] { drainAnswers(); }, [this] { abandonAll(); }})
        , m_orders(OrderCapacity, [this] { m_server.wake(); })
    {
    }

    detail::HttpServer &server()
    {
        return m_server;
    }

    Ring<Node::AnswerOperator> &orders()
    {
        return m_orders;
    }

    void setReady(bool ready)
    {
        m_ready.store(ready);
    }

    void setRuntimeCounters(std::function<Reporting::Counters()> counters)
    {
        m_runtimeCounters = std::move(counters);
    }

private:
    static constexpr std::size_t OrderCapacity = 1024;
    static constexpr std::size_t BodyLimit = 32U << 20U; // bytes

    static void *onUri(void * /*context*/, const char *uri, MHD_Connection *connection)
    {
        auto exchange = std::make_unique<OperatorExchange>();
        exchange->m_connection = connection;
        exchange->m_path = uri;
        exchange->m_path.erase(std::min(exchange->m_path.find('?'), exchange->m_path.size()));
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
        auto *exchange = static_cast<OperatorExchange *>(*state);
        if (!exchange->m_begun) {
            exchange->m_begun = true;
            return MHD_YES;
        }
        if (*uploadSize > 0) {
            if (exchange->m_body.size() + *uploadSize > BodyLimit) {
                return MHD_NO;
            }
            exchange->m_body.append(upload, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        return exchange->m_answer ? answer(*exchange, *exchange->m_answer) : front->handleRequest(*exchange, method);
    }

    static void onCompleted(void *context, MHD_Connection * /*connection*/, void **state, MHD_RequestTerminationCode /*code*/)
    {
        auto *front = static_cast<Implementation *>(context);
        const std::unique_ptr<OperatorExchange> exchange(static_cast<OperatorExchange *>(*state));
        *state = nullptr;
        if (exchange) {
            front->m_exchanges.erase(exchange->m_call);
        }
    }

    MHD_Result handleRequest(OperatorExchange &exchange, const std::string &method)
    {
        if (exchange.m_path == "/ragwortrelay/ready") {
            const bool ready = m_ready.load();
            return answer(exchange, {static_cast<std::uint16_t>(ready ? 200 : 503), ready ? "{\"ready\":true}" : "{\"ready\":false}"});
        }
        if (exchange.m_path != MetricsPath && !isAuthorized(exchange)) {
            return answer(exchange, {401, "{\"id\":\"" + toString(ErrorId::OperatorUnauthorized) + "\"}"});
        }
        auto command = decodeCommand(method, exchange.m_path, exchange.m_body);
        if (!command) {
            return answer(exchange, {400, "{\"id\":\"" + toString(command.error().m_id) + "\"}"});
        }
        exchange.m_call = ++m_lastCall;
        if (!m_decisions.push({Node::OperatorAsked{exchange.m_call, std::move(*command)}, nullptr})) {
            return answer(exchange, {503, "{\"id\":\"" + toString(ErrorId::RequestOverload) + "\"}"});
        }
        m_exchanges.emplace(exchange.m_call, &exchange);
        exchange.m_suspended = true;
        m_server.suspend(exchange.m_connection, nullptr);
        return MHD_YES;
    }

    bool isAuthorized(const OperatorExchange &exchange) const
    {
        const char *header = MHD_lookup_connection_value(exchange.m_connection, MHD_HEADER_KIND, "Authorization");
        return header != nullptr && equalSecrets(header, "Bearer " + m_settings.m_token);
    }

    static MHD_Result answer(const OperatorExchange &exchange, const OperatorAnswer &content)
    {
        std::string body = content.m_body;
        MHD_Response *response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, "Content-Type", exchange.m_path == MetricsPath ? "text/plain; version=0.0.4" : "application/json");
        const MHD_Result result = MHD_queue_response(exchange.m_connection, content.m_status, response);
        MHD_destroy_response(response);
        return result;
    }

    void drainAnswers()
    {
        m_orders.drain([this](Node::AnswerOperator &&order) {
            const auto found = m_exchanges.find(order.m_call);
            if (found == m_exchanges.end()) {
                return;
            }
            OperatorAnswer content = encodeReply(order.m_reply);
            if (found->second->m_path == MetricsPath) {
                content.m_body += Reporting::exposition(m_runtimeCounters());
            }
            resume(*found->second, std::move(content));
        });
    }

    void abandonAll()
    {
        for (auto &[call, exchange] : m_exchanges) {
            resume(*exchange, {503, "{\"id\":\"" + toString(ErrorId::RequestStopping) + "\"}"});
        }
    }

    void resume(OperatorExchange &exchange, OperatorAnswer content)
    {
        if (exchange.m_suspended) {
            exchange.m_suspended = false;
            exchange.m_answer = std::move(content);
            m_server.resume(exchange.m_connection);
        }
    }

    Settings::OperatorSettings m_settings;
    DecisionRing &m_decisions;
    std::atomic<bool> m_ready{false};
    std::function<Reporting::Counters()> m_runtimeCounters = [] { return Reporting::Counters(); };
    std::map<Node::OperatorCallId, OperatorExchange *> m_exchanges;
    Node::OperatorCallId m_lastCall = 0;
    detail::HttpServer m_server;
    Ring<Node::AnswerOperator> m_orders;
};

OperatorFront::OperatorFront(const Settings::OperatorSettings &settings, DecisionRing &decisions)
    : m_implementation(std::make_unique<Implementation>(settings, decisions))
{
}

OperatorFront::~OperatorFront()
{
    stop();
}

void OperatorFront::start()
{
    m_implementation->server().start("operator-front");
}

void OperatorFront::stop()
{
    m_implementation->server().stop();
}

Ring<Node::AnswerOperator> &OperatorFront::orders()
{
    return m_implementation->orders();
}

void OperatorFront::setRuntimeCounters(std::function<Reporting::Counters()> counters)
{
    m_implementation->setRuntimeCounters(std::move(counters));
}

void OperatorFront::setReady(bool ready)
{
    m_implementation->setReady(ready);
}

std::string OperatorFront::address() const
{
    return m_implementation->server().address();
}

}
