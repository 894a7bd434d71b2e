#include <ragwortrelay/http/status.h>
#include <ragwortrelay/loop/operatorlistener.h>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace RagwortRelay::Loop {

namespace {

CallerListenerSettings listenerSettingsFrom(const OperatorListenerSettings &settings)
{
    constexpr std::uint64_t LargestCommand = 4U << 20U; // bytes
    CallerListenerSettings front;
    front.m_listen = settings.m_listen;
    front.m_limits.m_maxBodyBytes = LargestCommand;
    return front;
}

bool equalSecrets(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string errorBody(ErrorId id)
{
    return nlohmann::json{{"id", toString(id)}}.dump();
}

}

OperatorListener::OperatorListener(asio::io_context &context, const OperatorListenerSettings &settings, Pages pages, CommandHandler handler)
    : m_token(settings.m_token)
    , m_pages(std::move(pages))
    , m_handler(std::move(handler))
    , m_listener(context, listenerSettingsFrom(settings), Http::defaultHeaderScheme(), [this](const Host::Event &event) { onEvent(event); })
{
}

void OperatorListener::start()
{
    m_listener.start();
}

void OperatorListener::response(const Host::ReplyToOperator &response)
{
    reply(response.m_call, Operators::encodeReply(response.m_reply));
}

std::string OperatorListener::address() const
{
    return m_listener.address();
}

void OperatorListener::onEvent(const Host::Event &event)
{
    const auto *arrived = std::get_if<Host::RequestArrived>(&event);
    const CallerRequest *request = arrived == nullptr ? nullptr : m_listener.requestOf(arrived->m_exchange);
    if (request == nullptr) {
        return;
    }
    const auto page = m_pages(arrived->m_metadata.m_path);
    if (page) {
        return m_listener.response(arrived->m_exchange, responseFrom(*page));
    }
    onRequest(arrived->m_exchange, *request);
}

void OperatorListener::onRequest(Host::ExchangeId exchange, const CallerRequest &request)
{
    const auto presented = Http::findHeader(request.m_head.m_headers, "Authorization");
    if (!presented || !equalSecrets(std::string(*presented), "Bearer " + m_token)) {
        return reply(exchange, {Http::Status::Unauthorized, errorBody(ErrorId::OperatorUnauthorized)});
    }
    const auto command = Operators::decodeCommand(request.m_head.m_method, request.m_metadata.m_path, *request.m_body);
    if (!command) {
        return reply(exchange, {Http::Status::BadRequest, errorBody(command.error().m_id)});
    }
    m_handler({exchange, *command});
}

void OperatorListener::reply(Host::ExchangeId exchange, const Operators::EncodedReply &response)
{
    m_listener.response(exchange, responseFrom({response.m_status, "application/json", response.m_body}));
}

}
