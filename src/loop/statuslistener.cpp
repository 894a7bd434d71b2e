#include <ragwortrelay/http/status.h>
#include <ragwortrelay/loop/statuslistener.h>

namespace RagwortRelay::Loop {

namespace {

CallerListenerSettings listenerSettingsFor(const std::string &listen, const std::shared_ptr<CallerBudget> &budget)
{
    constexpr std::uint64_t MaxBodyBytes = 1024; // Requests for a page have no body.
    constexpr std::size_t MaxConnections = 64; // Enough for balancers and scrapers; beyond it, the least active connection is closed.
    CallerListenerSettings settings;
    settings.m_listen = listen;
    settings.m_limits.m_maxBodyBytes = MaxBodyBytes;
    settings.m_maxConnections = MaxConnections;
    settings.m_budget = budget;
    return settings;
}

}

std::shared_ptr<ResponseStream> makeResponseStream(Page page)
{
    auto stream = std::make_shared<ResponseStream>();
    stream->m_head.m_status = page.m_status;
    stream->m_head.m_headers = {{"Content-Type", std::move(page.m_contentType)}};
    stream->m_pending = std::move(page.m_body);
    stream->m_state = BodyState::Whole;
    return stream;
}

StatusListener::StatusListener(asio::io_context &context, const std::string &listen, const std::shared_ptr<CallerBudget> &budget, PageLookup pageLookup)
    : m_pageLookup(std::move(pageLookup))
    , m_listener(context, listenerSettingsFor(listen, budget), Http::defaultHeaderScheme(), [this](const Host::Event &event) { onEvent(event); })
{
}

void StatusListener::start()
{
    m_listener.start();
}

void StatusListener::onEvent(const Host::Event &event)
{
    const auto *request = std::get_if<Host::RequestArrived>(&event);
    if (request != nullptr) {
        const auto page = m_pageLookup(request->m_metadata.m_path);
        m_listener.response(request->m_exchange,
                            makeResponseStream(page.value_or(Page{Http::Status::NotFound, "text/plain; charset=utf-8", "nothing here\n"})));
    }
}

}
