// Stand-in of a service of databases: one primary and its replicas, which share a log of commits.
#pragma once

#include "soak/hosts.h"
#include "soak/statement_judge.h"

#include <condition_variable>
#include <functional>
#include <memory>

namespace mangoquay::soak {

class platform_database;

struct service_limits {
    int m_slots = 5;
    int m_queue = 40;
    int m_max_connections = 43;
    milliseconds m_connect{12};
    milliseconds m_run{6};
    milliseconds m_commit{2};
    milliseconds m_receive{5}; // Until a commit reaches a replica.
    milliseconds m_apply{60};  // From there until the replica has applied it.
    milliseconds m_promote{400};
    milliseconds m_report{1200};
};

struct log_place {
    std::uint32_t m_term = 0;
    std::uint64_t m_number = 0;
};
std::string to_text(const log_place& place);
std::optional<log_place> parse_log_place(const std::string& text);

struct logged_commit {
    statement_id m_id;
    steady_time m_time{};
    std::vector<std::pair<std::string, std::string>> m_data{}; // Items and their new data.
};

// State of one database in its service.
struct member_state {
    bool m_is_primary = false;
    bool m_is_up = false;
    bool m_is_paused = false; // By PAUSE, until RESUME, a promotion or a restart.
    std::uint32_t m_term = 1;
    std::uint64_t m_received = 0; // Commits of the log that it has.
    int m_connections = 0;
    int m_running = 0;
    int m_waiting = 0;
    bool m_report_now = false;
};

class platform_service {
public:
    platform_service(core::service_name name, run_record& record, statement_judge& judge,
                     const customer_judge& customers);
    ~platform_service();
    platform_service(const platform_service&) = delete;
    platform_service& operator=(const platform_service&) = delete;
    platform_service(platform_service&&) = delete;
    platform_service& operator=(platform_service&&) = delete;

    // Adds a database and starts it.
    void add_database(const std::string& id, const ip_endpoint& address, host_fleet& fleet, bool is_primary);
    platform_database* find(const std::string& id);
    std::vector<platform_database*> databases();
    [[nodiscard]] bool is_up(const std::string& id);
    // The given database leads the next term with what it has received. m_mutex is not held.
    void promote(const std::string& id);
    void stop();

    // The members below need m_mutex.
    void receive(member_state& member) const;
    [[nodiscard]] bool lacks(const member_state& member, const log_place& wanted) const;
    [[nodiscard]] log_place place_of(const member_state& member) const {
        return {member.m_term, member.m_received};
    }
    [[nodiscard]] std::string read(const member_state& member, const std::string& item) const;
    log_place commit(member_state& member, logged_commit added);

    const core::service_name m_name;
    const service_limits m_limits;
    run_record& m_record;
    statement_judge& m_judge;
    const customer_judge& m_customers;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint32_t m_term = 1; // Guarded by m_mutex.

private:
    [[nodiscard]] std::uint64_t count_until(steady_time time) const;

    std::vector<logged_commit> m_log; // Guarded by m_mutex.
    std::map<std::uint32_t, std::uint64_t> m_term_starts{
        {1, 0}};                                 // Length of the log then. Guarded by m_mutex.
    std::map<std::string, std::string> m_newest; // Data by item. Guarded by m_mutex.
    std::vector<std::unique_ptr<platform_database>> m_databases; // Guarded by m_mutex; entries are kept.
};

} // namespace mangoquay::soak
