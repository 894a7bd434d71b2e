#include <ragwortrelay/http/status.h>
#include <ragwortrelay/loop/operatorfront.h>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace RagwortRelay::Loop {

namespace {

CallerFrontSettings frontSettingsFrom(const OperatorFrontSettings &settings)
{
    constexpr std::uint64_t LargestCommand = 4U << 20U; // bytes
    CallerFrontSettings front;
    front.m_listen = settings.m_listen;
    front.m_limits.m_bodyBytes = LargestCommand;
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

OperatorFront::OperatorFront(asio::io_context &context, const OperatorFrontSettings &settings, Pages pages, CommandHandler handler)
    : m_token(settings.m_token)
    , m_pages(std::move(pages))
    , m_handler(std::move(handler))
    , m_front(context, frontSettingsFrom(settings), Http::ownDialect(), [this](const Host::Event &event) { onEvent(event); })
{
}

void OperatorFront::start()
{
    m_front.start();
}

void OperatorFront::response(const Host::ReplyToOperator &response)
{
    reply(response.m_call, Operators::encodeReply(response.m_reply));
}

std::string OperatorFront::address() const
{
    return m_front.address();
}

void OperatorFront::onEvent(const Host::Event &event)
{
    const auto *arrived = std::get_if<Host::RequestArrived>(&event);
    const CallerRequest *request = arrived == nullptr ? nullptr : m_front.requestOf(arrived->m_exchange);
    if (request == nullptr) {
        return;
    }
    const auto page = m_pages(arrived->m_metadata.m_path);
    if (page) {
        return m_front.response(arrived->m_exchange, responseFrom(*page));
    }
    onRequest(arrived->m_exchange, *request);
}

void OperatorFront::onRequest(Host::ExchangeId exchange, const CallerRequest &request)
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

void OperatorFront::reply(Host::ExchangeId exchange, const Operators::EncodedReply &response)
{
    m_front.response(exchange, responseFrom({response.m_status, "application/json", response.m_body}));
}

}
