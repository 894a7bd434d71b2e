#include <ragwortrelay/http/status.h>
#include <ragwortrelay/loop/operatorlistener.h>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace RagwortRelay::Loop {

namespace {

CallerListenerSettings listenerSettingsFrom(const OperatorListenerSettings &settings)
{
    constexpr std::uint64_t MaxCommandBytes = 4U << 20U; // bytes
    constexpr std::size_t MaxConnections = 128; // Beyond it, the least active connection is closed.
    CallerListenerSettings listenerSettings;
    listenerSettings.m_listen = settings.m_listen;
    listenerSettings.m_limits.m_maxBodyBytes = MaxCommandBytes;
    listenerSettings.m_maxConnections = MaxConnections;
    listenerSettings.m_budget = settings.m_budget;
    return listenerSettings;
}

bool equalInConstantTime(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string errorBody(ErrorId id)
{
    return nlohmann::json{{"id", toString(id)}}.dump();
}

}

OperatorListener::OperatorListener(asio::io_context &context, const OperatorListenerSettings &settings, PageLookup pageLookup, CommandHandler handler)
    : m_token(settings.m_token)
    , m_pageLookup(std::move(pageLookup))
    , m_handler(std::move(handler))
    , m_listener(context, listenerSettingsFrom(settings), Http::defaultHeaderScheme(), [this](const Host::Event &event) { onEvent(event); })
{
}

void OperatorListener::start()
{
    m_listener.start();
}

void OperatorListener::sendReply(const Host::ReplyToOperator &reply)
{
    sendEncodedReply(reply.m_call, Operators::encodeReply(reply.m_reply));
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
    const auto page = m_pageLookup(arrived->m_metadata.m_path);
    if (page) {
        return m_listener.response(arrived->m_exchange, makeResponseStream(*page));
    }
    onRequest(arrived->m_exchange, *request);
}

void OperatorListener::onRequest(Host::ExchangeId exchange, const CallerRequest &request)
{
    const auto authorization = Http::findHeader(request.m_head.m_headers, "Authorization");
    if (!authorization || !equalInConstantTime(std::string(*authorization), "Bearer " + m_token)) {
        return sendEncodedReply(exchange, {Http::Status::Unauthorized, errorBody(ErrorId::OperatorUnauthorized)});
    }
    const auto command = Operators::decodeCommand(request.m_head.m_method, request.m_metadata.m_path, *request.m_body);
    if (!command) {
        return sendEncodedReply(exchange, {Http::Status::BadRequest, errorBody(command.error().m_id)});
    }
    m_handler({exchange, *command});
}

void OperatorListener::sendEncodedReply(Host::ExchangeId exchange, const Operators::EncodedReply &reply)
{
    m_listener.response(exchange, makeResponseStream({reply.m_status, "application/json", reply.m_body}));
}

}
