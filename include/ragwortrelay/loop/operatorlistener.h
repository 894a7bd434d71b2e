#pragma once

#include <ragwortrelay/host/action.h>
#include <ragwortrelay/host/event.h>
#include <ragwortrelay/loop/statuslistener.h>
#include <ragwortrelay/operators/codec.h>

#include <functional>
#include <string>

namespace RagwortRelay::Loop {

/// Address and token of the operator listener.
struct OperatorListenerSettings {
    std::string m_listen; ///< `IP:PORT`; port 0 lets the kernel choose; empty if there is no operator listener.
    std::string m_token; ///< Bearer token that each command must carry.
    std::shared_ptr<CallerBudget> m_budget; ///< Budget that all listeners of the host share; null for one of its own.
};

/// Accepts the commands of operators over HTTP. Also serves the pages of StatusListener, which need no token. Not thread-safe.
class OperatorListener
{
public:
    using CommandHandler = std::function<void(const Host::OperatorCommandReceived &)>;

    OperatorListener(asio::io_context &context, const OperatorListenerSettings &settings, PageLookup pageLookup, CommandHandler handler);

    /// Opens the port. Throws boost::system::system_error if the port can't be opened. Call once.
    void start();

    /// Sends the reply to a command. Does nothing if the operator has disconnected.
    void sendReply(const Host::ReplyToOperator &reply);

    /// Returns the address of the port. Precondition: start() was called.
    [[nodiscard]] std::string address() const;

private:
    void onEvent(const Host::Event &event);
    void onRequest(Host::ExchangeId exchange, const CallerRequest &request);
    void sendEncodedReply(Host::ExchangeId exchange, const Operators::EncodedReply &reply);

    std::string m_token;
    PageLookup m_pageLookup;
    CommandHandler m_handler;
    CallerListener m_listener;
};

}
