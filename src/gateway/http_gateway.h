// The HTTP server: ulfius with one thread per connection in front of the API router.
//
// Owns the listening socket, the connections and their threads. A stalled client occupies one thread and
// nothing else. Invariant: no exception leaves a callback of the C library.
#pragma once

#include "core/clock.h"
#include "gateway/proxy_backend.h"
#include "settings/settings.h"

#include <cstddef>
#include <memory>
#include <string>

namespace mangoquay::gateway {

class http_gateway {
public:
    // Copies what it needs from the settings. `backend` must outlive the gateway.
    http_gateway(const settings::settings& config, proxy_backend& backend);
    // Closes all connections, like stop().
    ~http_gateway();
    http_gateway(const http_gateway&) = delete;
    http_gateway& operator=(const http_gateway&) = delete;
    http_gateway(http_gateway&&) = delete;
    http_gateway& operator=(http_gateway&&) = delete;

    // Listens on the HTTP address of the settings. Returns an empty text, or the reason of the failure.
    [[nodiscard]] std::string start();

    // From this call on, each response closes its connection, so that callers connect to other proxies.
    void begin_drain();
    // Accepts no further connections. Open connections are not affected.
    void stop_accepting();
    // Blocks until no request is being handled and no response is being sent. Returns false if the deadline
    // passed first.
    [[nodiscard]] bool wait_until_idle(core::deadline limit) const;
    // Closes all connections.
    void stop();

    // Returns the number of open connections.
    [[nodiscard]] std::size_t connection_count() const;

private:
    class server;
    std::unique_ptr<server> m_server;
};

} // namespace mangoquay::gateway
