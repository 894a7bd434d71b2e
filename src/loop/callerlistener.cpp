#include <ragwortrelay/detail/loop/callerconnection.h>
#include <ragwortrelay/loop/callerlistener.h>
#include <ragwortrelay/loop/clock.h>

namespace RagwortRelay::Loop {

CallerListener::CallerListener(asio::io_context &context, const CallerListenerSettings &settings, const Http::HeaderScheme &headerScheme, EventHandler handler)
    : m_context(context), m_settings(settings), m_headerScheme(headerScheme), m_handler(std::move(handler)), m_acceptor(context), m_acceptTimer(context)
{
    if (!m_settings.m_budget) {
        m_settings.m_budget = std::make_shared<CallerBudget>(CallerBudgetSettings{});
    }
    reserveLargestRequest();
}

CallerListener::~CallerListener()
{
    m_handler = [](const Host::Event & /*event*/) {}; // Whoever receives the events may be destroyed already.
    const auto connections = m_connections;
    for (const auto &[key, connection] : connections) {
        connection->close();
    }
}

void CallerListener::start()
{
    if (!m_settings.m_certificate.empty()) {
        m_tls = makeServerContext(m_settings.m_certificate, m_settings.m_key);
    }
    const auto endpoint = endpointOf<tcp>(m_settings.m_listen);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    if (m_settings.m_kernelBufferBytes > 0) { // Accepted connections inherit the sizes.
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(m_settings.m_kernelBufferBytes));
        m_acceptor.set_option(asio::socket_base::send_buffer_size(m_settings.m_kernelBufferBytes));
    }
    m_acceptor.bind(endpoint);
    m_acceptor.listen(asio::socket_base::max_listen_connections);
    accept();
}

void CallerListener::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            return retryAccept(); // The process may have run out of file descriptors.
        }
        accept();
        addConnection(std::move(socket));
    });
}

void CallerListener::addConnection(tcp::socket socket)
{
    if (m_connections.size() >= m_settings.m_maxConnections && !m_settings.m_budget->releaseOneOf(this, currentTime())) {
        return;
    }
    const auto connection = std::make_shared<CallerConnection>(*this, std::move(socket));
    m_connections.emplace(connection.get(), connection);
    connection->start();
}

void CallerListener::retryAccept()
{
    constexpr auto RetryInterval = std::chrono::milliseconds(50);
    m_acceptTimer.expires_after(RetryInterval);
    m_acceptTimer.async_wait([this](const ErrorCode &error) {
        if (!error) {
            accept();
        }
    });
}

const CallerRequest *CallerListener::requestOf(Host::ExchangeId exchange) const
{
    const auto found = m_exchanges.find(exchange);
    return found == m_exchanges.end() ? nullptr : &found->second->request();
}

void CallerListener::response(Host::ExchangeId exchange, const std::shared_ptr<ResponseStream> &stream)
{
    const auto found = m_exchanges.find(exchange);
    if (found != m_exchanges.end()) {
        found->second->response(stream);
    }
}

void CallerListener::refuse(Host::ExchangeId exchange, const Dispatch::Problem &problem)
{
    const auto found = m_exchanges.find(exchange);
    if (found != m_exchanges.end()) {
        found->second->refuse(problem);
    }
}

void CallerListener::abandon(Host::ExchangeId exchange)
{
    const auto found = m_exchanges.find(exchange);
    if (found != m_exchanges.end()) {
        found->second->close();
    }
}

void CallerListener::setLimits(const Configuration::CallerLimits &limits)
{
    m_settings.m_limits = limits;
    reserveLargestRequest();
}

void CallerListener::reserveLargestRequest()
{
    constexpr std::uint64_t OtherBytes = 4U << 20U; // The head of the request and all idle connections.
    m_settings.m_budget->setLargestRequest(m_settings.m_limits.m_maxBodyBytes + OtherBytes);
}

void CallerListener::startDraining()
{
    m_isDraining = true;
}

void CallerListener::stop()
{
    ErrorCode ignored;
    m_acceptor.close(ignored);
    closeIdleConnections();
}

void CallerListener::closeIdleConnections()
{
    const auto connections = m_connections;
    for (const auto &[key, connection] : connections) {
        connection->closeIfIdle();
    }
}

std::string CallerListener::address() const
{
    return textOf(m_acceptor.local_endpoint());
}

std::size_t CallerListener::unfinishedResponses() const
{
    return m_unfinishedResponses;
}

}
