// The HTTP server: ulfius with a thread per connection around the API router.
//
// Owns: the listening socket, the connections and their threads. One stalled client holds one thread and
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
    // Copies what it needs of the settings. `backend` outlives the gateway.
    http_gateway(const settings::settings& config, proxy_backend& backend);
    // Stops.
    ~http_gateway();
    http_gateway(const http_gateway&) = delete;
    http_gateway& operator=(const http_gateway&) = delete;
    http_gateway(http_gateway&&) = delete;
    http_gateway& operator=(http_gateway&&) = delete;

    // Empty: listening on the settings' HTTP address; otherwise what is wrong.
    [[nodiscard]] std::string start();

    // Each response from now on closes its connection, so that callers move to other proxies.
    void begin_drain();
    // Takes no new connections; open ones go on.
    void stop_accepting();
    // Waits until no request is being handled and no response is being sent; false at the deadline.
    [[nodiscard]] bool wait_until_idle(core::deadline limit) const;
    // Closes all connections.
    void stop();

    [[nodiscard]] std::size_t connection_count() const;

private:
    class server;
    std::unique_ptr<server> m_server;
};

} // namespace mangoquay::gateway
