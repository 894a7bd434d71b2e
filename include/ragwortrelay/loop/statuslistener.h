#pragma once

#include <ragwortrelay/loop/callerlistener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace RagwortRelay::Loop {

/// What a host tells about itself at one path.
struct Page {
    std::uint16_t m_status = 200;
    std::string m_contentType;
    std::string m_body;

    friend bool operator==(const Page &, const Page &) = default;
};

/// Returns the page at a path, or nothing.
using Pages = std::function<std::optional<Page>(const std::string &path)>;

/// Returns a page as an answer that is whole. Thread-safe.
std::shared_ptr<ResponseStream> responseFrom(Page page);

/// Shows pages to whoever asks: the balancer, the scraper of metrics. Used by one thread.
class StatusListener
{
public:
    /// @param listen `IP:PORT`
    StatusListener(asio::io_context &context, const std::string &listen, Pages pages);

    /// Opens the port. Throws boost::system::system_error when it can't be had. Call once.
    void start();

private:
    void onEvent(const Host::Event &event);

    Pages m_pages;
    CallerListener m_listener;
};

}
