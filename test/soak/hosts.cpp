// Starts, signals and reaps processes.
#include "soak/hosts.h"

#include "soak/platform_settings.h"
#include "support/become_host.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mangoquay::soak {
namespace {

constexpr std::array<const char*, 3> zones{"zone-a", "zone-b", "zone-c"};
constexpr std::size_t seed_count = 3;
constexpr milliseconds reap_poll{2};

} // namespace

host_fleet::host_fleet(const fleet_options& options, run_record& record, disturbance_log& disturbances)
    : m_options(options), m_record(record), m_disturbances(disturbances) {
    std::random_device random;
    constexpr int networks = 200 * 256;
    constexpr int first_network = 20 * 256;
    m_network = first_network + static_cast<int>(random() % networks);
    const auto base = static_cast<std::uint16_t>(15000 + random() % 10000);
    m_ports = {base,
               static_cast<std::uint16_t>(base + 1),
               static_cast<std::uint16_t>(base + 2),
               static_cast<std::uint16_t>(base + 3),
               static_cast<std::uint16_t>(base + 4),
               static_cast<std::uint16_t>(base + 5)};
    m_executor_address = {next_ip(), m_ports.m_executor};
    for (int index = 0; index < options.m_control_hosts; ++index) {
        add_host(host_role::control);
    }
    for (int index = 0; index < options.m_entry_hosts; ++index) {
        add_host(host_role::entry);
    }
}

host_fleet::~host_fleet() {
    for (host_process& host : m_hosts) {
        if (host.m_pid > 0) {
            kill(host);
        }
    }
}

std::string host_fleet::next_ip() {
    return "127." + std::to_string(m_network / 256) + "." + std::to_string(m_network % 256) + "." +
           std::to_string(m_next_host++);
}

ip_endpoint host_fleet::next_database_address() {
    const std::lock_guard lock(m_mutex);
    return {next_ip(), m_ports.m_database};
}

host_process& host_fleet::add_host(host_role role) {
    const std::lock_guard lock(m_mutex);
    host_process added;
    added.m_role = role;
    added.m_zone = zones.at(m_hosts.size() % zones.size());
    added.m_ip = next_ip();
    added.m_name = core::entry_host_id((role == host_role::entry ? "entry-" : "control-") +
                                       std::to_string(m_hosts.size() + 1));
    added.m_folder = m_record.folder() / added.m_name.value();
    std::filesystem::create_directories(added.m_folder / "data");
    m_hosts.push_back(added);
    return m_hosts.back();
}

std::vector<std::string> host_fleet::seeds() const {
    std::vector<std::string> addresses;
    for (const ip_endpoint& address : control_addresses()) {
        if (addresses.size() < seed_count) {
            addresses.push_back(to_text(address));
        }
    }
    return addresses;
}

std::vector<ip_endpoint> host_fleet::control_addresses() const {
    const std::lock_guard lock(m_mutex);
    std::vector<ip_endpoint> addresses;
    for (const host_process& host : m_hosts) {
        if (host.m_role == host_role::control && !host.m_removed) {
            addresses.push_back(control_address(host));
        }
    }
    return addresses;
}

std::vector<host_process*> host_fleet::present(host_role role) {
    const std::lock_guard lock(m_mutex);
    std::vector<host_process*> hosts;
    for (host_process& host : m_hosts) {
        if (host.m_role == role && !host.m_removed) {
            hosts.push_back(&host);
        }
    }
    return hosts;
}

void host_fleet::start(host_process& host, bool first_start) {
    const std::filesystem::path settings = host.m_folder / "settings.json";
    std::ofstream(settings)
        << platform_settings(host, m_ports, m_executor_address, seeds(), first_start).dump(2);
    const std::string log = (host.m_folder / (host.m_name.value() + ".log")).string();
    std::string variable = "MANGOQUAY_SETTINGS=" + settings.string();
    std::array<char*, 2> environment{variable.data(), nullptr};
    const pid_t child = ::fork();
    if (child == 0) {
        test::become_host(m_options.m_program.c_str(), environment.data(), log.c_str());
    }
    {
        const std::lock_guard lock(m_mutex);
        host.m_pid = child;
        host.m_stopped = false;
    }
    if (host.m_role == host_role::entry) {
        m_disturbances.add_boot(host.m_name);
    } else {
        m_disturbances.add_control(false);
    }
    m_record.write(host.m_name.value() + " " + host.m_ip + " starts, process " + std::to_string(child));
}

void host_fleet::send_unnoticed_signal(host_process& host, int number) {
    if (host.m_pid <= 0) {
        return;
    }
    ::kill(host.m_pid, number);
    host.m_stopped = number == SIGSTOP || (host.m_stopped && number != SIGCONT);
    m_record.write(host.m_name.value() + " gets SIG" + ::sigabbrev_np(number));
}

void host_fleet::send_signal(host_process& host, int number) {
    if (host.m_pid <= 0) {
        return;
    }
    // Noted before the process can act on it.
    if (host.m_role == host_role::entry) {
        m_disturbances.add_entry(host.m_name);
    } else {
        m_disturbances.add_control(false);
    }
    send_unnoticed_signal(host, number);
}

void host_fleet::kill(host_process& host) {
    send_signal(host, SIGKILL);
    while (host.m_pid > 0 && !reap(host)) {
        sleep_for(reap_poll);
    }
}

bool host_fleet::reap(host_process& host) {
    int status = 0;
    if (host.m_pid <= 0 || ::waitpid(host.m_pid, &status, WNOHANG) != host.m_pid) {
        return false;
    }
    m_record.write(host.m_name.value() + " has ended, status " + std::to_string(status));
    const std::lock_guard lock(m_mutex);
    host.m_pid = -1;
    host.m_stopped = false;
    return true;
}

void host_fleet::lose_disk(host_process& host) {
    std::filesystem::remove_all(host.m_folder / "data");
    std::filesystem::create_directories(host.m_folder / "data");
    m_record.write(host.m_name.value() + " has lost its disk");
}

void host_fleet::remove(host_process& host) {
    const std::lock_guard lock(m_mutex);
    host.m_removed = true;
}

std::map<core::entry_host_id, pid_t> host_fleet::entry_processes() const {
    const std::lock_guard lock(m_mutex);
    std::map<core::entry_host_id, pid_t> processes;
    for (const host_process& host : m_hosts) {
        if (host.m_role == host_role::entry && host.m_pid > 0) {
            processes.emplace(host.m_name, host.m_pid);
        }
    }
    return processes;
}

} // namespace mangoquay::soak
