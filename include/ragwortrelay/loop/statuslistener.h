#pragma once

#include <ragwortrelay/loop/callerlistener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace RagwortRelay::Loop {

/// Status page of a host, such as its readiness or metrics.
struct Page {
    std::uint16_t m_status = 200; ///< HTTP status code.
    std::string m_contentType; ///< Value of the Content-Type header.
    std::string m_body; ///< Body of the response.

    friend bool operator==(const Page &, const Page &) = default;
};

/// Returns the page at a path, or nothing if there is no such page.
using PageLookup = std::function<std::optional<Page>(const std::string &path)>;

/// Returns a page as a complete response. Thread-safe.
std::shared_ptr<ResponseStream> makeResponseStream(Page page);

/// Serves status pages over HTTP without authentication, such as to the load balancer and the metrics scraper. Not thread-safe.
class StatusListener
{
public:
    /// @param listen `IP:PORT`
    /// @param budget budget that all listeners of the host share
    StatusListener(asio::io_context &context, const std::string &listen, const std::shared_ptr<CallerBudget> &budget, PageLookup pageLookup);

    /// Opens the port. Throws boost::system::system_error if the port can't be opened. Call once.
    void start();

private:
    void onEvent(const Host::Event &event);

    PageLookup m_pageLookup;
    CallerListener m_listener;
};

}
