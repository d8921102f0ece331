// Life of a database.
#include "soak/platform_database.h"

#include "soak/platform_database_connection.h"

#include <nlohmann/json.hpp>

namespace mangoquay::soak {
namespace {

constexpr milliseconds report_limit{1000};

} // namespace

platform_database::platform_database(platform_service& service, host_fleet& fleet, std::string id,
                                     ip_endpoint address, bool is_primary)
    : m_service(service), m_fleet(fleet), m_id(std::move(id)), m_address(std::move(address)) {
    m_state.m_is_primary = is_primary;
}

platform_database::~platform_database() {
    stop();
}

void platform_database::start() {
    m_started_ms = unix_milliseconds();
    m_sequence = 0;
    {
        const std::lock_guard lock(m_service.m_mutex);
        m_state.m_is_up = true;
        m_state.m_is_paused = false;
    }
    m_listener = std::make_unique<listener>(
        m_address, [this](connection& served) { platform_database_connection(*this, served).serve(); });
    m_reports = std::thread([this] { report_status(); });
    m_service.m_record.write("database " + m_id + " of " + m_service.m_name.value() + " starts at " +
                             to_text(m_address));
}

void platform_database::stop() {
    {
        const std::lock_guard lock(m_service.m_mutex);
        if (!m_state.m_is_up) {
            return;
        }
        m_service.receive(m_state);
        m_state.m_is_up = false;
        m_service.m_changed.notify_all();
    }
    m_reports.join();
    m_listener.reset();
    m_service.m_record.write("database " + m_id + " has ended");
}

void platform_database::reset_connections() {
    m_service.m_record.write("database " + m_id + " resets its connections");
    m_listener->reset_connections();
}

bool platform_database::loses_answer() {
    int left = m_answers_to_lose.load();
    while (left > 0) {
        if (m_answers_to_lose.compare_exchange_weak(left, left - 1)) {
            return true;
        }
    }
    return false;
}

std::string platform_database::report_body() {
    const std::lock_guard lock(m_service.m_mutex);
    m_state.m_report_now = false;
    const nlohmann::json body{{"service", m_service.m_name.value()},
                              {"address", to_text(m_address)},
                              {"zone", "zone-a"},
                              {"version", "v1"},
                              {"capacity", m_service.m_limits.m_slots},
                              {"state", "ready"},
                              {"cold-remaining-ms", 0},
                              {"db-role", m_state.m_is_primary ? "primary" : "replica"},
                              {"born", m_started_ms},
                              {"sequence", ++m_sequence}};
    return body.dump();
}

void platform_database::report_status() {
    std::size_t next = std::hash<std::string>{}(m_id);
    for (;;) {
        const std::string body = report_body();
        const auto hosts = m_fleet.control_addresses();
        for (std::size_t tries = 0; tries < hosts.size(); ++tries) {
            const auto answer = call_http(hosts[next % hosts.size()], "POST",
                                          "/api/Instances.Heartbeat/" + m_id, body, report_limit);
            if (answer.m_status / 100 == 2) {
                break;
            }
            ++next;
        }
        std::unique_lock lock(m_service.m_mutex);
        m_service.m_changed.wait_for(lock, m_service.m_limits.m_report,
                                     [this] { return m_state.m_report_now || !m_state.m_is_up; });
        if (!m_state.m_is_up) {
            return;
        }
    }
}

} // namespace mangoquay::soak
