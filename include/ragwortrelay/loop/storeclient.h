#pragma once

#include <ragwortrelay/core/time.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/loop/asio.h>
#include <ragwortrelay/loop/clientconnection.h>
#include <ragwortrelay/store/store.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace RagwortRelay::Loop {

/// HTTP request of a call to the store.
struct StoreRequest {
    std::string m_method;
    std::string m_target;
    std::string m_body; ///< Empty for none.

    friend bool operator==(const StoreRequest &, const StoreRequest &) = default;
};

/// Functions that encode store calls as HTTP requests and decode their responses.
struct StoreFormat {
    StoreRequest (*m_encode)(const Store::Call &call) = nullptr;
    Store::Result (*m_decode)(const Store::Call &call, const Http::ResponseHead &head, const std::string &body) = nullptr;
};

/// Settings of the connections to the store.
struct StoreClientSettings {
    std::string m_address; ///< Address of the store in the form `IP:PORT`.
    Duration m_connectTimeout{std::chrono::milliseconds(500)}; ///< Time limit for connecting.
    Duration m_timeout{std::chrono::milliseconds(900)}; ///< Time limit of a call, in addition to the time that the call asks the store to wait.
    std::size_t m_maxResponseBytes = 8U << 20U; ///< Size of the body from which a response counts as invalid.
    TcpTimeouts m_tcpTimeouts{1500, 1, 1, 2};
};

/// HTTP client of the store. Not thread-safe; used by one thread.
class StoreClient
{
public:
    using EventHandler = std::function<void(const Host::Event &)>;

    StoreClient(asio::io_context &context, const StoreClientSettings &settings, const StoreFormat &format, EventHandler handler);

    /// Closes all connections without reporting their calls.
    ~StoreClient();
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    /// Starts a call. Each call, also one that fails, ends with a StoreResponded event.
    void call(Host::StoreCallId id, const Store::Call &call);

private:
    struct PendingCall {
        Store::Call m_call;
        std::shared_ptr<ClientConnection> m_connection;
        std::unique_ptr<asio::steady_timer> m_timer;
        std::string m_body; ///< Part of the response's body that has arrived.
    };

    [[nodiscard]] std::shared_ptr<ClientConnection> takeIdleConnection();
    void onResponse(Host::StoreCallId id, ResponseEvent event);
    /// Takes the part of the body that has arrived, and ends the call if the body is too large.
    void onProgress(Host::StoreCallId id, PendingCall &pending);
    void onResponseComplete(Host::StoreCallId id, const PendingCall &pending);
    /// Decodes a response. One that can't be decoded counts as none.
    [[nodiscard]] Store::Result decode(const PendingCall &pending) const;
    void onTimeout(Host::StoreCallId id);
    void finish(Host::StoreCallId id, const Store::Result &result);
    void releaseConnection(const std::shared_ptr<ClientConnection> &connection);

    asio::io_context &m_context;
    StoreClientSettings m_settings;
    StoreFormat m_format;
    EventHandler m_handler;
    std::map<Host::StoreCallId, PendingCall> m_pendingCalls;
    std::vector<std::shared_ptr<ClientConnection>> m_idle;
};

}
