#pragma once

#include <ragwortrelay/configuration/catalogue.h>
#include <ragwortrelay/dispatch/outcome.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/http/headerscheme.h>
#include <ragwortrelay/loop/asio.h>
#include <ragwortrelay/loop/backendpool.h>
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

/// How callers are served.
struct CallerListenerSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose.
    std::string m_certificate; ///< PEM file with the chain; empty for plain HTTP.
    std::string m_key; ///< PEM file, of m_certificate.
    Configuration::CallerLimits m_limits;
    Duration m_bodyTimeout{std::chrono::seconds(30)}; ///< From the end of the head to the end of the body.
    Duration m_responseTimeout{std::chrono::minutes(2)}; ///< From the start of an answer until the caller has read all of it.
    std::size_t m_maxConnections = 2000;
    std::uint64_t m_heldBytesAtMost = 64U << 20U; ///< Of all bodies that are being read.
    TcpTimeouts m_tcpTimeouts{5000, 5, 1, 3};
};

/// Serves callers over HTTP. Used by one thread.
class CallerListener
{
public:
    using EventHandler = std::function<void(const Host::Event &)>;

    CallerListener(asio::io_context &context, const CallerListenerSettings &settings, const Http::HeaderScheme &headerScheme, EventHandler handler);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Opens the port. Throws boost::system::system_error when it can't be had, or a file can't be used. Call once.
    void start();

    /// Returns a request that waits for its answer, or nullptr.
    [[nodiscard]] const CallerRequest *requestOf(Host::ExchangeId exchange) const;

    /// Sends an answer. An exchange that is gone changes nothing.
    void response(Host::ExchangeId exchange, const std::shared_ptr<ResponseStream> &stream);

    /// Sends a refusal. An exchange that is gone changes nothing.
    void refuse(Host::ExchangeId exchange, const Dispatch::Problem &problem);

    /// Bounds what callers may send from now on.
    void setLimits(const Configuration::CallerLimits &limits);

    /// From now on each answer closes its connection.
    void startDraining();

    /// Takes no more connections, and closes those on which nothing is under way.
    void stop();

    /// Returns the address that it listens on. Precondition: started.
    [[nodiscard]] std::string address() const;

    /// Returns how many answers are still being written.
    [[nodiscard]] std::size_t unwritten() const;

private:
    friend class CallerConnection;

    void accept();
    void retryAccept();

    asio::io_context &m_context;
    CallerListenerSettings m_settings;
    Http::HeaderScheme m_headerScheme;
    EventHandler m_handler;
    TlsContext m_tls;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    std::map<CallerConnection *, std::weak_ptr<CallerConnection>> m_connections;
    std::unordered_map<Host::ExchangeId, CallerConnection *> m_exchanges;
    std::uint64_t m_heldBytes = 0;
    Host::ExchangeId m_lastExchange = 0;
    std::size_t m_unwritten = 0;
    bool m_sendsAway = false;
};

}
