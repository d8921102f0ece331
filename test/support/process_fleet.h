// One control host and one entry host as processes of the program, with a database that the test plays.
//
// The limits of both processes are set by the test. The route "latest" leads to the database.
#pragma once

#include "support/host_process.h"
#include "support/scripted_database.h"
#include "support/session_client.h"
#include "support/temporary_folder.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace mangoquay::test {

struct process_limits {
    unsigned m_memory_mb = 0;
    unsigned m_descriptors = 0;
};

class process_fleet {
public:
    // Returns once an ordinary statement is answered.
    process_fleet(const process_limits& entry, const process_limits& control);
    ~process_fleet();
    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;
    process_fleet(process_fleet&&) = delete;
    process_fleet& operator=(process_fleet&&) = delete;

    [[nodiscard]] host_process& entry() { return *m_entry; }
    [[nodiscard]] host_process& control() { return *m_control; }
    [[nodiscard]] std::uint16_t caller_port() const { return m_caller_port; }
    [[nodiscard]] const std::string& control_ip() const { return m_control_ip; }
    [[nodiscard]] std::uint16_t control_port() const { return m_control_port; }
    [[nodiscard]] std::uint16_t peer_port() const { return m_peer_port; }
    [[nodiscard]] scripted_database& database() { return m_database; }
    [[nodiscard]] session_record& record() { return m_record; }
    [[nodiscard]] std::unique_ptr<session_client> connect();
    // Whether an ordinary statement is answered within 20 s, on a session of its own.
    bool serves_ordinary_statement();
    // Whether the control host accepts a status report of the database within 20 s.
    bool accepts_report();
    // The metrics page of the entry host.
    [[nodiscard]] std::string entry_metrics() const;

private:
    [[nodiscard]] nlohmann::json common_settings(const char* name, const char* role, const std::string& ip,
                                                 const process_limits& limits) const;
    bool report_once();
    bool replace_configuration();
    // The status of the answer; 0 without an answer.
    int post(const std::string& path, const nlohmann::json& body) const;

    temporary_folder m_folder;
    std::string m_control_ip;
    std::string m_entry_ip;
    std::uint16_t m_peer_port;
    std::uint16_t m_control_port;
    std::uint16_t m_caller_port;
    std::uint16_t m_readiness_port;
    std::uint16_t m_metrics_port;
    session_record m_record;
    scripted_database m_database;
    std::atomic<std::uint64_t> m_reports{0};
    std::optional<host_process> m_control;
    std::optional<host_process> m_entry;
    std::atomic<bool> m_ending{false};
    std::thread m_reporter;
};

} // namespace mangoquay::test
