// HTTP interface through which tests and scripts control the stand-in: GET /endpoints reports the state of
// every database, and POST /endpoints/{id}/{action} applies an action of faults.cpp to one of them.
#pragma once

#include "postgres_standin.h"

#include <memory>
#include <string>

namespace mangoquay::standin {

// Owns the HTTP server, which runs from start() until destruction. Requests are served on threads of the
// server.
class control_server {
public:
    explicit control_server(postgres_standin& standin);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;
    control_server(control_server&&) = delete;
    control_server& operator=(control_server&&) = delete;

    // Listens on `host`:`port`. Fails if the address is not available.
    core::result<bool> start(const std::string& host, std::uint16_t port);

private:
    struct instance;

    postgres_standin& m_standin;
    std::unique_ptr<instance> m_instance;
};

} // namespace mangoquay::standin
