// The program under test: control and entry hosts as separate processes on loopback addresses.
#pragma once

#include "net.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

struct ports {
    std::uint16_t peer, control, caller, ready, metrics, database, executor;
};

struct host {
    std::string name;
    bool is_entry = false;
    std::string ip;
    std::string zone;
    std::string folder;
    pid_t pid = -1;
};

class fleet {
public:
    fleet(record& log, std::string program, std::string folder, int control_hosts, int entry_hosts);
    ~fleet(); // Ends all processes that it started.
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    bool start_all();
    bool start(host& one, bool first_start);
    void signal(host& one, int number);
    // Waits for the end of the process for at most the limit.
    bool wait_for_end(host& one, milliseconds limit);
    std::string ip(int last) const { return m_prefix + std::to_string(last); }
    address control_address(const host& one) const { return {one.ip, m_ports.control}; }
    address caller_address(const host& one) const { return {one.ip, m_ports.caller}; }
    std::vector<address> control_addresses() const;
    bool is_ready(const host& one) const;
    const ports& used_ports() const { return m_ports; }
    address executor_address() const { return {ip(41), m_ports.executor}; }
    // The node that logged last that it has become the leader, by the processes' logs; nullptr if none.
    std::string log_of(const host& one) const { return one.folder + "/log.txt"; }

    std::vector<host> control;
    std::vector<host> entry;

private:
    std::string settings(const host& one, bool first_start) const;

    record& m_log;
    std::string m_program;
    std::string m_prefix;
    ports m_ports{};
};

} // namespace review
