// HTTP/1.1 server with one handler for all paths, based on libmicrohttpd.
//
// Owns: the server and its threads. The handler runs on these threads. Bodies of all requests in progress
// together stay within a limit, and a connection that has not completed a request gives its place to a new
// one when all places are taken.
#pragma once

#include "control/control_state.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mangoquay::transport {

struct http_request {
    std::string m_method;
    std::string m_path;
    std::string m_body;
};

struct http_response {
    unsigned m_status = 200;
    std::string m_body;     // May be empty.
    std::string m_location; // Value of the Location header. Empty: no header.
    const char* m_content_type = "application/json";
};

// Called on a thread of the server; with thread_model::per_connection on several at once.
using http_handler = std::function<http_response(const http_request&)>;

struct http_server_limits {
    std::size_t m_connections = 256;
    // Memory of the bodies of all requests in progress. Small bodies are accepted beyond it.
    std::size_t m_total_body_bytes = std::size_t{64} << 20U;
};

struct http_server_counters {
    std::uint64_t m_refused_bodies = 0;        // Answered with 503, because the memory of bodies was used up.
    std::uint64_t m_displaced_connections = 0; // Closed without a whole request, because a new one came.
    std::size_t m_body_bytes = 0;              // Held now.
};

class http_server {
public:
    // shared: one thread serves all connections. per_connection: each connection has its own thread, so that
    // a handler may block.
    enum class thread_model { shared, per_connection };

    http_server(control::socket_address address, thread_model model, http_handler handler,
                const http_server_limits& limits = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    // Returns an empty text, or the reason why the server cannot listen.
    std::string start();
    // May be called from any thread.
    [[nodiscard]] http_server_counters counters() const;

private:
    struct instance;

    std::unique_ptr<instance> m_instance;
};

} // namespace mangoquay::transport
