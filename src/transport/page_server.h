// Serves one text page over HTTP, made on the event loop's thread at each request.
#pragma once

#include "transport/event_loop.h"
#include "transport/http_server.h"

#include <functional>
#include <optional>
#include <string>

namespace mangoquay::transport {

class page_server {
public:
    using page_source = std::function<std::string()>;

    // Without an address nothing is served.
    page_server(event_loop& loop, const std::optional<control::socket_address>& address, page_source source);

    // Empty, or why it cannot listen.
    std::string start() { return m_server ? m_server->start() : std::string(); }

private:
    http_response answer();

    event_loop& m_loop;
    page_source m_source;
    std::optional<http_server> m_server;
};

} // namespace mangoquay::transport
