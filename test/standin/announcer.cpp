// Sends PUT /v1/endpoints/{id} requests with the HTTP client of ulfius.
#include "announcer.h"

#include "core/log.h"

#include <nlohmann/json.hpp>
#include <ulfius.h>

namespace mangoquay::standin {
namespace {

constexpr unsigned long response_timeout_s = 1;

std::string announcement_body(const endpoint_report& report) {
    return nlohmann::json{{"group", report.m_layout.m_group},
                          {"zone", report.m_layout.m_zone},
                          {"address", report.m_layout.m_host + ":" + std::to_string(report.m_layout.m_port)},
                          {"role", report.m_primary ? "primary" : "replica"},
                          {"term", report.m_term},
                          {"slots", report.m_layout.m_slots},
                          {"connections", report.m_layout.m_connections}}
        .dump();
}

bool put_announcement(const std::string& url, const std::string& key, const std::string& body) {
    _u_request request{};
    _u_response response{};
    ulfius_init_request(&request);
    ulfius_init_response(&response);
    request.timeout = response_timeout_s;
    ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, "PUT", U_OPT_HTTP_URL, url.c_str(),
                                  U_OPT_HEADER_PARAMETER, "Authorization", ("Bearer " + key).c_str(),
                                  U_OPT_HEADER_PARAMETER, "Content-Type", "application/json",
                                  U_OPT_STRING_BODY, body.c_str(), U_OPT_NONE);
    constexpr long first_non_success_status = 300;
    const bool accepted =
        ulfius_send_http_request(&request, &response) == U_OK && response.status < first_non_success_status;
    ulfius_clean_request(&request);
    ulfius_clean_response(&response);
    return accepted;
}

} // namespace

announcer::announcer(postgres_standin& standin, announce_layout layout)
    : m_standin(standin), m_layout(std::move(layout)), m_thread([this] { run(); }) {}

announcer::~announcer() {
    m_stopped = true;
    m_thread.join();
}

void announcer::run() {
    while (!m_stopped) {
        const auto next = core::now() + m_layout.m_interval;
        for (const endpoint_report& report : m_standin.endpoint_reports()) {
            if (!report.m_faults.m_crashed) {
                announce(report);
            }
        }
        while (!m_stopped && core::now() < next) {
            std::this_thread::sleep_for(core::milliseconds(20));
        }
    }
}

void announcer::announce(const endpoint_report& report) {
    for (std::size_t attempt = 0; attempt < m_layout.m_addresses.size() && !m_stopped; ++attempt) {
        const std::string& base = m_layout.m_addresses[m_last_accepting_index];
        if (put_announcement(base + "/v1/endpoints/" + report.m_layout.m_id, m_layout.m_key,
                             announcement_body(report))) {
            return;
        }
        m_last_accepting_index = (m_last_accepting_index + 1) % m_layout.m_addresses.size();
    }
    core::log_line(core::log_level::warning, "standin",
                   "no proxy accepted the announcement endpoint=" + report.m_layout.m_id);
}

} // namespace mangoquay::standin
