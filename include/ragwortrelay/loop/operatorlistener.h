#pragma once

#include <ragwortrelay/host/action.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/loop/statuslistener.h>
#include <ragwortrelay/operators/codec.h>

#include <functional>
#include <string>

namespace RagwortRelay::Loop {

/// How operators reach a host.
struct OperatorListenerSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose; empty for nowhere.
    std::string m_token; ///< Must be presented with each command.
};

/// Takes operators' commands over HTTP, and shows the same pages as a StatusListener, to which no token is needed. Used by one thread.
class OperatorListener
{
public:
    using CommandHandler = std::function<void(const Host::OperatorCommandReceived &)>;

    OperatorListener(asio::io_context &context, const OperatorListenerSettings &settings, Pages pages, CommandHandler handler);

    /// Opens the port. Throws boost::system::system_error when it can't be had. Call once.
    void start();

    /// Answers a command. One whose operator has left changes nothing.
    void response(const Host::ReplyToOperator &response);

    /// Returns the address that it listens on. Precondition: started.
    [[nodiscard]] std::string address() const;

private:
    void onEvent(const Host::Event &event);
    void onRequest(Host::ExchangeId exchange, const CallerRequest &request);
    void reply(Host::ExchangeId exchange, const Operators::EncodedReply &response);

    std::string m_token;
    Pages m_pages;
    CommandHandler m_handler;
    CallerListener m_listener;
};

}
