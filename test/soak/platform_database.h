// Stand-in of one database: its listener, its status reports and the faults that the soak plays on it.
#pragma once

#include "soak/platform_service.h"

#include <atomic>

namespace mangoquay::soak {

class platform_database {
public:
    platform_database(platform_service& service, host_fleet& fleet, std::string id, ip_endpoint address,
                      bool is_primary);
    ~platform_database();
    platform_database(const platform_database&) = delete;
    platform_database& operator=(const platform_database&) = delete;
    platform_database(platform_database&&) = delete;
    platform_database& operator=(platform_database&&) = delete;

    void start();
    // Closes everything; it keeps its log, and a primary returns as one if nothing was promoted.
    void stop();
    void reset_connections();
    // The next answers are lost: the statements run and their connections end.
    void lose_answers(int count) { m_answers_to_lose = count; }
    bool loses_answer();

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const ip_endpoint& address() const { return m_address; }
    platform_service& service() { return m_service; }

    member_state m_state; // Guarded by the service's mutex.

private:
    void report_status();
    [[nodiscard]] std::string report_body();

    platform_service& m_service;
    host_fleet& m_fleet;
    std::string m_id;
    ip_endpoint m_address;
    std::int64_t m_started_ms = 0;
    std::uint64_t m_sequence = 0;
    std::atomic<int> m_answers_to_lose{0};
    std::unique_ptr<listener> m_listener;
    std::thread m_reports;
};

} // namespace mangoquay::soak
