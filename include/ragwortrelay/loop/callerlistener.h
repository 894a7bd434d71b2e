#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/http/headerscheme.h>
#include <ragwortrelay/loop/asio.h>
#include <ragwortrelay/loop/backendpool.h>
#include <ragwortrelay/loop/callerbudget.h>
#include <ragwortrelay/loop/responsestream.h>
#include <ragwortrelay/loop/stream.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace RagwortRelay::Loop {

class CallerConnection;

/// Address, TLS files, limits and timeouts of a listener.
struct CallerListenerSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose.
    std::string m_certificate; ///< PEM file with the certificate chain; empty for plain HTTP.
    std::string m_key; ///< PEM file with the private key of m_certificate.
    Configuration::CallerLimits m_limits; ///< Limits on the header, body and timing of requests.
    Duration m_bodyTimeout{std::chrono::seconds(30)}; ///< Maximum time from the end of the request head to the end of the body.
    Duration m_responseTimeout{std::chrono::minutes(2)}; ///< Maximum time from the start of a response until all of it is written.
    std::size_t m_maxConnections = 2000; ///< Maximum number of open connections.
    std::size_t m_maxHeaderFields = 4096; ///< Maximum number of header fields of a request.
    std::shared_ptr<CallerBudget> m_budget; ///< Budget that several listeners share; null for a default one of this listener.
    int m_kernelBufferBytes = 0; ///< Size of the receive and the send buffer that the kernel has for each connection; 0 for the kernel's choice.
    TcpTimeouts m_tcpTimeouts{5000, 5, 1, 3}; ///< TCP timeouts of each connection.
};

/// Accepts the connections of callers and serves HTTP on them. Not thread-safe.
class CallerListener
{
public:
    using EventHandler = std::function<void(const Host::Event &)>;

    CallerListener(asio::io_context &context, const CallerListenerSettings &settings, const Http::HeaderScheme &headerScheme, EventHandler handler);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Opens the port. Throws boost::system::system_error if the port can't be opened or a TLS file can't be used. Call once.
    void start();

    /// Returns the request of an exchange that awaits its response, or nullptr if there is none.
    [[nodiscard]] const CallerRequest *requestOf(Host::ExchangeId exchange) const;

    /// Starts to send a response. Does nothing if the exchange has ended.
    void response(Host::ExchangeId exchange, const std::shared_ptr<ResponseStream> &stream);

    /// Sends a refusal. Does nothing if the exchange has ended.
    void refuse(Host::ExchangeId exchange, const Dispatch::Problem &problem);

    /// Closes the connection of an exchange without a response. Does nothing if the exchange has ended.
    void abandon(Host::ExchangeId exchange);

    /// Sets the limits for subsequent requests.
    void setLimits(const Configuration::CallerLimits &limits);

    /// Starts draining: each later response closes its connection.
    void startDraining();

    /// Closes the connections on which no request is being read or served.
    void closeIdleConnections();

    /// Stops accepting connections and closes idle ones.
    void stop();

    /// Returns the address of the port. Precondition: start() was called.
    [[nodiscard]] std::string address() const;

    /// Returns the number of responses that are not completely written.
    [[nodiscard]] std::size_t unfinishedResponses() const;

private:
    friend class CallerConnection;

    void accept();
    void reserveLargestRequest();
    void addConnection(tcp::socket socket);
    void retryAccept();

    asio::io_context &m_context;
    CallerListenerSettings m_settings;
    Http::HeaderScheme m_headerScheme;
    EventHandler m_handler;
    TlsContext m_tls;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    std::map<CallerConnection *, std::shared_ptr<CallerConnection>> m_connections; ///< Owner of each connection until it is closed.
    std::unordered_map<Host::ExchangeId, CallerConnection *> m_exchanges; ///< Open connections whose request awaits its response.
    Host::ExchangeId m_lastExchange = 0;
    std::size_t m_unfinishedResponses = 0;
    bool m_isDraining = false;
};

}
