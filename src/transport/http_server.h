// A small HTTP/1.1 server through ulfius: one handler for all paths.
//
// Owns: the ulfius instance and its threads. The handler runs on those threads.
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
    std::string m_body; // JSON, or empty
    std::string m_location;
    const char* m_content_type = "application/json";
};

using http_handler = std::function<http_response(const http_request&)>;

class http_server {
public:
    // One thread serves all connections, or each connection has its own. The latter is for handlers that
    // wait.
    enum class thread_model { shared, per_connection };

    http_server(control::socket_address address, thread_model model, http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    // Empty, or why it cannot listen.
    std::string start();

private:
    struct instance;

    std::unique_ptr<instance> m_instance;
};

} // namespace mangoquay::transport
