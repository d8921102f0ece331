// Measures how many connections the HTTP gateway holds at once while it still answers requests, and their
// memory. Guards against the limits of thread-per-connection servers (about 1,017 connections with select()).
#include "../support/loopback_client.h"
#include "../support/recording_backend.h"
#include "cli/http_request.h"
#include "core/digest.h"
#include "gateway/http_gateway.h"
#include "measurement.h"

#include <sys/resource.h>

#include <fstream>
#include <memory>
#include <thread>

using namespace mangoquay;
using namespace mangoquay::test;

namespace {

constexpr std::size_t target_connections = 6400; // Required number of connections held at once.
constexpr std::size_t max_accept_backlog = 64;   // Connections that are opened but not accepted yet.

std::size_t resident_kilobytes() {
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

// Raises the descriptor limit to its maximum. Returns whether it is sufficient: both ends of each connection
// are in this process.
bool raise_descriptor_limit() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur > 2 * target_connections + 1000;
}

void measure(std::ostream& out) {
    if (!raise_descriptor_limit()) {
        out << "held_connections case=descriptor_limit value=0 unit=not_run\n";
        return;
    }
    recording_backend backend;
    settings::settings config;
    config.m_http_address = control::socket_address{"127.0.0.1", find_free_port()};
    config.m_callers.push_back({core::caller_id("app"), core::sha256("app-key"), true, true, {}});
    gateway::http_gateway server(config, backend);
    const std::string error = server.start();
    if (!error.empty()) {
        out << "held_connections case=" << error << " value=0 unit=not_run\n";
        return;
    }
    const std::size_t resident_before = resident_kilobytes();
    std::vector<std::unique_ptr<loopback_client>> held;
    const auto limit = core::now() + std::chrono::seconds(60);
    while (held.size() + 1 < target_connections && core::now() < limit) {
        if (held.size() >= server.connection_count() + max_accept_backlog) {
            std::this_thread::sleep_for(core::milliseconds(1));
            continue;
        }
        held.push_back(std::make_unique<loopback_client>(config.m_http_address->m_port));
        held.back()->send("GET /v1/status HTTP/1.1\r\nAuthorization:");
    }
    while (server.connection_count() < held.size() && core::now() < limit) {
        std::this_thread::sleep_for(core::milliseconds(1));
    }
    cli::http_request request;
    request.m_method = "GET";
    request.m_url = "http://127.0.0.1:" + std::to_string(config.m_http_address->m_port) + "/v1/status";
    request.m_key = "app-key";
    const auto response = cli::send_request(request);
    out << "held_connections case=held value=" << server.connection_count() << " unit=connections\n";
    out << "held_connections case=status_of_one_more value=" << (response ? response->m_status : 0)
        << " unit=http_status\n";
    out << "held_connections case=memory_both_ends value=" << resident_kilobytes() - resident_before
        << " unit=KB\n";
}

const bool added = performance::add_measurement("held_connections", measure);

} // namespace
