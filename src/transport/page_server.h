// HTTP server for one text page, for example metrics. The page is created on the event loop's thread for each
// request.
#pragma once

#include "transport/event_loop.h"
#include "transport/http_server.h"

#include <functional>
#include <optional>
#include <string>

namespace mangoquay::transport {

class page_server {
public:
    // Returns the text of the page. Called on the event loop's thread.
    using page_source = std::function<std::string()>;

    // Without an address, nothing is served and start() succeeds.
    page_server(event_loop& loop, const std::optional<control::socket_address>& address, page_source source,
                const http_server_limits& limits = {});

    // Returns an empty text, or the reason why the server cannot listen.
    std::string start() { return m_server ? m_server->start() : std::string(); }

private:
    http_response answer();

    event_loop& m_loop;
    page_source m_source;
    std::optional<http_server> m_server;
};

} // namespace mangoquay::transport
