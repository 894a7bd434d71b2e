#include <ragwortrelay/http/writer.h>
#include <ragwortrelay/loop/storeclient.h>

namespace RagwortRelay::Loop {

namespace {

/// Returns how long a call asks the store to wait before it responds.
Duration requestedWait(const Store::Call &call)
{
    const auto *watch = std::get_if<Store::WatchTable>(&call);
    return watch == nullptr ? Duration(0) : Duration(watch->m_wait);
}

}

StoreClient::StoreClient(asio::io_context &context, const StoreClientSettings &settings, const StoreFormat &format, EventHandler handler)
    : m_context(context), m_settings(settings), m_format(format), m_handler(std::move(handler))
{
}

StoreClient::~StoreClient()
{
    for (const auto &[id, pending] : m_pendingCalls) {
        pending.m_connection->close();
    }
    for (const auto &connection : m_idle) {
        connection->close();
    }
}

void StoreClient::call(Host::StoreCallId id, const Store::Call &call)
{
    const StoreRequest request = m_format.m_encode(call);
    Http::RequestHead head{request.m_method, request.m_target, 1, {{"Host", m_settings.m_address}}};
    std::shared_ptr<const std::string> body;
    if (!request.m_body.empty()) {
        head.m_headers.push_back({"Content-Type", "application/json"});
        head.m_headers.push_back({"Content-Length", std::to_string(request.m_body.size())});
        body = std::make_shared<const std::string>(request.m_body);
    }
    PendingCall pending{call, takeIdleConnection(), std::make_unique<asio::steady_timer>(m_context), {}};
    const bool isNew = pending.m_connection == nullptr;
    if (isNew) {
        pending.m_connection = std::make_shared<ClientConnection>(m_context, nullptr, m_settings.m_tcpTimeouts);
    }
    pending.m_timer->expires_after(m_settings.m_timeout + requestedWait(call));
    pending.m_timer->async_wait([this, id](const ErrorCode &error) {
        if (!error) {
            onTimeout(id);
        }
    });
    const std::shared_ptr<ClientConnection> connection = pending.m_connection;
    m_pendingCalls.emplace(id, std::move(pending));
    connection->send(Http::writeHead(head), body, Http::ResponseBody::Expected, [this, id](ResponseEvent event) { onResponse(id, event); });
    if (isNew) {
        connection->connect(endpointOf<tcp>(m_settings.m_address), m_settings.m_connectTimeout);
    }
}

std::shared_ptr<ClientConnection> StoreClient::takeIdleConnection()
{
    while (!m_idle.empty()) {
        const std::shared_ptr<ClientConnection> connection = m_idle.back();
        m_idle.pop_back();
        if (connection->isReusable() && connection->isOpenWithoutInput()) {
            connection->setIdleHandler(nullptr);
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void StoreClient::onResponse(Host::StoreCallId id, ResponseEvent event)
{
    const auto found = m_pendingCalls.find(id);
    if (found == m_pendingCalls.end()) {
        return;
    }
    switch (event) {
    case ResponseEvent::Progress:
        return onProgress(id, found->second);
    case ResponseEvent::Whole:
        return onResponseComplete(id, found->second);
    case ResponseEvent::Failed: {
        const ClientConnection &connection = *found->second.m_connection;
        const std::string reason = Dispatch::toString(connection.failure());
        return finish(id, connection.hasSent() ? Store::Result(Store::NoResponse{reason}) : Store::Result(Store::Refused{reason}));
    }
    }
}

void StoreClient::onProgress(Host::StoreCallId id, PendingCall &pending)
{
    pending.m_body += pending.m_connection->reader().takeBody();
    if (pending.m_body.size() > m_settings.m_maxResponseBytes) {
        pending.m_connection->close();
        finish(id, Store::NoResponse{"the response is too large"});
    }
}

void StoreClient::onResponseComplete(Host::StoreCallId id, const PendingCall &pending)
{
    const std::shared_ptr<ClientConnection> connection = pending.m_connection;
    const Store::Result result = decode(pending);
    releaseConnection(connection);
    finish(id, result);
}

Store::Result StoreClient::decode(const PendingCall &pending) const
{
    try {
        return m_format.m_decode(pending.m_call, pending.m_connection->reader().head(), pending.m_body);
    } catch (const std::exception &exception) {
        return Store::NoResponse{std::string("the response can't be decoded: ") + exception.what()};
    }
}

void StoreClient::onTimeout(Host::StoreCallId id)
{
    const auto found = m_pendingCalls.find(id);
    if (found != m_pendingCalls.end()) {
        found->second.m_connection->close();
        finish(id, Store::NoResponse{"no answer in time"});
    }
}

void StoreClient::finish(Host::StoreCallId id, const Store::Result &result)
{
    m_pendingCalls.erase(id);
    m_handler(Host::StoreResponded{id, result});
}

void StoreClient::releaseConnection(const std::shared_ptr<ClientConnection> &connection)
{
    if (!connection->isReusable()) {
        connection->close();
        return;
    }
    const ClientConnection *key = connection.get();
    connection->setIdleHandler([this, key] { std::erase_if(m_idle, [key](const auto &idle) { return idle.get() == key; }); });
    m_idle.push_back(connection);
}

}
