// HTTP/1.1 server with one handler for all paths, based on ulfius.
//
// Owns: the ulfius instance and its threads. The handler runs on these threads.
#pragma once

#include "control/control_state.h"

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

class http_server {
public:
    // shared: one thread serves all connections. per_connection: each connection has its own thread, so that
    // a handler may block.
    enum class thread_model { shared, per_connection };

    http_server(control::socket_address address, thread_model model, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    // Returns an empty text, or the reason why the server cannot listen.
    std::string start();

private:
    struct instance;

    std::unique_ptr<instance> m_instance;
};

} // namespace mangoquay::transport
