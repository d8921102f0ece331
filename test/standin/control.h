// The stand-in's control over HTTP: GET /endpoints, POST /endpoints/{id}/{action}.
#pragma once

#include "postgres_standin.h"

#include <memory>
#include <string>

namespace mangoquay::standin {

class control_server {
public:
    explicit control_server(postgres_standin& standin);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;
    control_server(control_server&&) = delete;
    control_server& operator=(control_server&&) = delete;

    core::result<bool> start(const std::string& host, std::uint16_t port);

private:
    struct instance;

    postgres_standin& m_standin;
    std::unique_ptr<instance> m_instance;
};

} // namespace mangoquay::standin
