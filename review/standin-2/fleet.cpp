#include "fleet.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

bool is_free(const std::string& ip, std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    const bool free = ::bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
    ::close(socket);
    return free;
}

} // namespace

fleet::fleet(record& log, std::string program, std::string folder, int control_hosts, int entry_hosts)
    : m_log(log), m_program(std::move(program)) {
    std::random_device random;
    for (int tries = 0; tries < 50; ++tries) {
        m_prefix = "127." + std::to_string(10 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
        const auto base = static_cast<std::uint16_t>(20000 + random() % 10000);
        m_ports = {base, static_cast<std::uint16_t>(base + 1), static_cast<std::uint16_t>(base + 2),
                   static_cast<std::uint16_t>(base + 3), 9464, static_cast<std::uint16_t>(base + 4),
                   static_cast<std::uint16_t>(base + 5)};
        bool free = true;
        for (const std::uint16_t port : {m_ports.peer, m_ports.control, m_ports.caller, m_ports.ready,
                                         m_ports.metrics, m_ports.database, m_ports.executor}) {
            free = free && is_free(ip(11), port) && is_free(ip(21), port) && is_free(ip(31), port);
        }
        if (free) {
            break;
        }
    }
    const char* zones[] = {"zone-a", "zone-b", "zone-c"};
    for (int i = 0; i < control_hosts; ++i) {
        control.push_back({"control-" + std::to_string(i + 1), false, ip(11 + i), zones[i % 3],
                           folder + "/control-" + std::to_string(i + 1)});
    }
    for (int i = 0; i < entry_hosts; ++i) {
        entry.push_back({"entry-" + std::to_string(i + 1), true, ip(21 + i), zones[i % 3],
                         folder + "/entry-" + std::to_string(i + 1)});
    }
}

fleet::~fleet() {
    for (auto* group : {&entry, &control}) {
        for (host& one : *group) {
            if (one.pid > 0) {
                ::kill(one.pid, SIGCONT);
                ::kill(one.pid, SIGKILL);
                ::waitpid(one.pid, nullptr, 0);
            }
        }
    }
}

std::vector<address> fleet::control_addresses() const {
    std::vector<address> all;
    for (const host& one : control) {
        all.push_back(control_address(one));
    }
    return all;
}

std::string fleet::settings(const host& one, bool first_start) const {
    const auto at = [&](std::uint16_t port) { return "\"" + one.ip + ":" + std::to_string(port) + "\""; };
    std::string known;
    for (const address& seed : control_addresses()) {
        known += (known.empty() ? "\"" : ",\"") + seed.text() + "\"";
    }
    std::string text = "{\"host\":\"" + one.name + "\",\"role\":\"" + (one.is_entry ? "entry" : "control") +
                       "\",\"zone\":\"" + one.zone + "\",\"peer_address\":" + at(m_ports.peer);
    if (one.is_entry) {
        text += ",\"caller_address\":" + at(m_ports.caller) + ",\"readiness_address\":" + at(m_ports.ready);
    } else {
        text += ",\"control_address\":" + at(m_ports.control) + ",\"data_folder\":\"" + one.folder + "/data\"";
    }
    return text + ",\"metrics_address\":" + at(m_ports.metrics) + ",\"known_control\":[" + known +
           "],\"first_start\":" + (first_start ? "true" : "false") +
           ",\"cluster_key\":\"one-key-of-all-hosts-of-this-fleet\",\"executor_address\":\"" +
           executor_address().text() + "\",\"executor_fences\":true,\"descriptors\":" +
           (one.is_entry ? "4300" : "4096") + ",\"memory_mb\":" + (one.is_entry ? "260" : "256") +
           ",\"lost_hosts\":1,\"stop_limit_s\":6,\"log_level\":\"info\"}\n";
}

bool fleet::start(host& one, bool first_start) {
    ::mkdir(one.folder.c_str(), 0755);
    ::mkdir((one.folder + "/data").c_str(), 0755);
    const std::string file = one.folder + "/settings.json";
    std::ofstream(file) << settings(one, first_start);
    const int log = ::open(log_of(one).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string variable = "MANGOQUAY_SETTINGS=" + file;
    const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
    const char* arguments[] = {m_program.c_str(), "serve", nullptr};
    const char* environment[] = {variable.c_str(), path.c_str(), nullptr};
    // This process waits until the program runs, so the memory of a child is never that of this process.
    const pid_t pid = ::vfork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the script, however that ends.
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execve(m_program.c_str(), const_cast<char**>(arguments), const_cast<char**>(environment));
        ::_exit(127);
    }
    ::close(log);
    one.pid = pid;
    m_log.write("host " + one.name + " at " + one.ip + " starts, pid " + std::to_string(pid));
    return pid > 0;
}

bool fleet::start_all() {
    for (auto* group : {&control, &entry}) {
        for (host& one : *group) {
            if (!start(one, true)) {
                return false;
            }
        }
    }
    return true;
}

void fleet::signal(host& one, int number) {
    m_log.write("signal " + std::to_string(number) + " to " + one.name);
    ::kill(one.pid, number);
}

bool fleet::wait_for_end(host& one, milliseconds limit) {
    const auto deadline = steady::now() + limit;
    while (one.pid > 0) {
        int status = 0;
        if (::waitpid(one.pid, &status, WNOHANG) == one.pid) {
            m_log.write("host " + one.name + " has ended, wait status " + std::to_string(status));
            one.pid = -1;
            return true;
        }
        if (steady::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

bool fleet::is_ready(const host& one) const {
    return call_http({one.ip, m_ports.ready}, "GET", "/api/readiness", "", milliseconds(500)).status == 200;
}

} // namespace review
