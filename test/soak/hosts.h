// The processes under test. All starts happen on the thread that creates the fleet, because a process ends
// with the thread that started it.
#pragma once

#include "core/ids.h"
#include "soak/disturbances.h"
#include "soak/network.h"
#include "soak/run_record.h"

#include <deque>
#include <filesystem>
#include <map>
#include <mutex>
#include <sys/types.h>

namespace mangoquay::soak {

enum class host_role { control, entry };

struct host_process {
    core::entry_host_id m_name;
    host_role m_role = host_role::entry;
    std::string m_zone;
    std::string m_ip;
    std::filesystem::path m_folder;
    pid_t m_pid = -1;       // -1 while no process runs.
    bool m_stopped = false; // By SIGSTOP.
    bool m_removed = false; // Gone for good.
};

struct host_ports {
    std::uint16_t m_caller = 0;
    std::uint16_t m_readiness = 0;
    std::uint16_t m_control = 0;
    std::uint16_t m_peer = 0;
    std::uint16_t m_executor = 0;
    std::uint16_t m_database = 0;
};

struct fleet_options {
    std::string m_program;
    int m_control_hosts = 3;
    int m_entry_hosts = 4;
};

class host_fleet {
public:
    host_fleet(const fleet_options& options, run_record& record, disturbance_log& disturbances);
    ~host_fleet();
    host_fleet(const host_fleet&) = delete;
    host_fleet& operator=(const host_fleet&) = delete;
    host_fleet(host_fleet&&) = delete;
    host_fleet& operator=(host_fleet&&) = delete;

    host_process& add_host(host_role role);
    void start(host_process& host, bool first_start);
    // Sends SIGKILL and waits for the end.
    void kill(host_process& host);
    void send_signal(host_process& host, int number);
    // SIGSTOP or SIGCONT that excuses nothing, like a machine that does not run the process for a while.
    void send_unnoticed_signal(host_process& host, int number);
    // True if the process has ended by itself or after a signal; never waits.
    bool reap(host_process& host);
    void lose_disk(host_process& host);
    // The host is gone for good.
    void remove(host_process& host);

    std::vector<host_process*> present(host_role role);
    // Control addresses of the present hosts, as callers of the control API list them.
    [[nodiscard]] std::vector<ip_endpoint> control_addresses() const;
    [[nodiscard]] ip_endpoint caller_address(const host_process& host) const {
        return {host.m_ip, m_ports.m_caller};
    }
    [[nodiscard]] ip_endpoint readiness_address(const host_process& host) const {
        return {host.m_ip, m_ports.m_readiness};
    }
    [[nodiscard]] ip_endpoint control_address(const host_process& host) const {
        return {host.m_ip, m_ports.m_control};
    }
    [[nodiscard]] ip_endpoint executor_address() const { return m_executor_address; }
    // A database address that nothing has used yet.
    ip_endpoint next_database_address();
    // Process ids of the present entry hosts that run.
    [[nodiscard]] std::map<core::entry_host_id, pid_t> entry_processes() const;

private:
    std::string next_ip();
    void write_settings(const host_process& host, bool first_start) const;
    [[nodiscard]] std::vector<std::string> seeds() const;

    fleet_options m_options;
    run_record& m_record;
    disturbance_log& m_disturbances;
    host_ports m_ports;
    int m_network = 0; // 127.X.Y.*: X * 256 + Y.
    int m_next_host = 1;
    ip_endpoint m_executor_address;
    mutable std::mutex m_mutex; // Guards m_removed, m_pid and the size of m_hosts for reads by other threads.
    std::deque<host_process> m_hosts; // Addresses stay valid.
};

} // namespace mangoquay::soak
