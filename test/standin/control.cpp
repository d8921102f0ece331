// Implements the control interface with the HTTP server of ulfius.
#include "control.h"

#include "statements.h"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <ulfius.h>

namespace mangoquay::standin {
namespace {

using nlohmann::json;

json to_json(const endpoint_report& report) {
    return {{"id", report.m_layout.m_id},
            {"group", report.m_layout.m_group},
            {"zone", report.m_layout.m_zone},
            {"host", report.m_layout.m_host},
            {"port", report.m_layout.m_port},
            {"role", report.m_primary ? "primary" : "replica"},
            {"term", report.m_term},
            {"position", report.m_applied},
            {"lsn", format_lsn(report.m_applied)},
            {"durable_position", report.m_durable},
            {"rows", report.m_rows},
            {"slots", report.m_layout.m_slots},
            {"connections", report.m_layout.m_connections},
            {"callers_running", report.m_usage.m_running_statements},
            {"highest_callers_running", report.m_usage.m_peak_running_statements},
            {"caller_statements", report.m_usage.m_caller_statements},
            {"open_connections", report.m_open_connections},
            {"highest_connections", report.m_usage.m_peak_connections},
            {"connections_total", report.m_usage.m_connections_total},
            {"connections_refused", report.m_usage.m_connections_refused},
            {"streaming", report.m_streaming},
            {"follows", report.m_follows},
            {"crashed", report.m_faults.m_crashed},
            {"frozen", report.m_faults.m_frozen},
            {"cut", report.m_faults.m_cut}};
}

void respond(_u_response* response, unsigned status, const json& body) {
    ulfius_set_string_body_response(response, status, body.dump().c_str());
    u_map_put(response->map_header, "Content-Type", "application/json");
}

int get_endpoints(const _u_request*, _u_response* response, void* context) {
    json all = json::array();
    for (const endpoint_report& report : static_cast<postgres_standin*>(context)->endpoint_reports()) {
        all.push_back(to_json(report));
    }
    respond(response, 200, all);
    return U_CALLBACK_CONTINUE;
}

int post_action(const _u_request* request, _u_response* response, void* context) {
    action_parameters parameters;
    const char** keys = u_map_enum_keys(request->map_url);
    for (std::size_t index = 0; keys[index] != nullptr; ++index) {
        parameters[keys[index]] = u_map_get(request->map_url, keys[index]);
    }
    const auto done = static_cast<postgres_standin*>(context)->apply_action(parameters["id"],
                                                                            parameters["action"], parameters);
    respond(response, done ? 200 : 409, {{"done", static_cast<bool>(done)}, {"reason", done.reason()}});
    return U_CALLBACK_CONTINUE;
}

} // namespace

struct control_server::instance {
    _u_instance m_ulfius{};
};

control_server::control_server(postgres_standin& standin) : m_standin(standin) {}

control_server::~control_server() {
    if (m_instance) {
        ulfius_stop_framework(&m_instance->m_ulfius);
        ulfius_clean_instance(&m_instance->m_ulfius);
    }
}

core::result<bool> control_server::start(const std::string& host, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    m_instance = std::make_unique<instance>();
    _u_instance* ulfius = &m_instance->m_ulfius;
    if (ulfius_init_instance(ulfius, port, &address, nullptr) != U_OK) {
        return core::result<bool>::failure("control: cannot initialise the HTTP server");
    }
    ulfius_add_endpoint_by_val(ulfius, "GET", nullptr, "/endpoints", 0, get_endpoints, &m_standin);
    ulfius_add_endpoint_by_val(ulfius, "POST", nullptr, "/endpoints/:id/:action", 0, post_action, &m_standin);
    if (ulfius_start_framework(ulfius) != U_OK) {
        return core::result<bool>::failure("control: cannot listen on " + host + ":" + std::to_string(port));
    }
    return true;
}

} // namespace mangoquay::standin
