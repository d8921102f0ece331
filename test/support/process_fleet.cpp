// Settings and calls of a fleet of processes.
#include "support/process_fleet.h"

#include "support/client_crowd.h"
#include "support/fleet_hosts.h"
#include "support/loopback_client.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <random>
#include <stdexcept>

namespace mangoquay::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* loopback = "127.0.0.1";
constexpr const char* database_name = "database-0";
// Control hosts take an endpoint without reports for lost after some seconds.
constexpr auto report_interval = 300ms;
constexpr timeval call_timeout{2, 0};

// Two addresses in a network that other tests at the same time hardly draw as well.
std::string draw_network() {
    std::random_device random;
    constexpr unsigned first = 30;
    constexpr unsigned count = 200;
    return "127." + std::to_string(first + random() % count) + "." + std::to_string(random() % 256) + ".";
}

std::string to_address(const std::string& ip, std::uint16_t port) {
    return ip + ":" + std::to_string(port);
}

std::string exchange_bytes(const std::string& ip, std::uint16_t port, const std::string& request) {
    std::string received;
    const int socket = connect_socket(ip, port);
    if (socket < 0) {
        return received;
    }
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &call_timeout, sizeof call_timeout);
    if (::send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(request.size())) {
        std::array<char, 16384> buffer{};
        for (ssize_t count = 0; (count = ::recv(socket, buffer.data(), buffer.size(), 0)) > 0;) {
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }
    ::close(socket);
    return received;
}

} // namespace

process_fleet::process_fleet(const process_limits& entry, const process_limits& control)
    : m_control_ip(draw_network()), m_peer_port(find_free_port()), m_control_port(find_free_port()),
      m_caller_port(find_free_port()), m_readiness_port(find_free_port()), m_metrics_port(find_free_port()),
      m_database(m_record, database_name) {
    m_entry_ip = m_control_ip + "2";
    m_control_ip += "1";
    json control_settings = common_settings("control-1", "control", m_control_ip, control);
    control_settings["control_address"] = to_address(m_control_ip, m_control_port);
    control_settings["data_folder"] = (m_folder.path() / "data").string();
    control_settings["first_start"] = true;
    json entry_settings = common_settings("entry-1", "entry", m_entry_ip, entry);
    entry_settings["caller_address"] = to_address(loopback, m_caller_port);
    entry_settings["readiness_address"] = to_address(loopback, m_readiness_port);
    entry_settings["metrics_address"] = to_address(loopback, m_metrics_port);
    std::filesystem::create_directories(m_folder.path() / "data");
    m_control.emplace(m_folder.write("control.json", control_settings.dump()),
                      m_folder.path() / "control.log");
    m_entry.emplace(m_folder.write("entry.json", entry_settings.dump()), m_folder.path() / "entry.log");
    if (!wait_until([this] { return replace_configuration(); })) {
        throw std::runtime_error("the control host accepts no configuration");
    }
    m_reporter = std::thread([this] {
        while (!m_ending) {
            report_once();
            std::this_thread::sleep_for(report_interval);
        }
    });
    if (!serves_ordinary_statement()) {
        throw std::runtime_error("the entry host does not serve");
    }
}

process_fleet::~process_fleet() {
    m_ending = true;
    if (m_reporter.joinable()) {
        m_reporter.join();
    }
}

json process_fleet::common_settings(const char* name, const char* role, const std::string& ip,
                                    const process_limits& limits) const {
    return {{"host", name},
            {"role", role},
            {"zone", "makati"},
            {"peer_address", to_address(ip, m_peer_port)},
            {"known_control", {to_address(m_control_ip, m_control_port)}},
            {"cluster_key", "a cluster key of tests"},
            {"executor_address", to_address(loopback, 1)},
            {"executor_fences", true},
            {"descriptors", limits.m_descriptors},
            {"memory_mb", limits.m_memory_mb},
            {"lost_hosts", 1},
            {"stop_limit_s", 6}};
}

int process_fleet::post(const std::string& path, const json& body) const {
    const std::string text = body.dump();
    const std::string answer = exchange_bytes(
        m_control_ip, m_control_port,
        "POST " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n" +
            "Connection: close\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    const auto blank = answer.find(' ');
    return blank == std::string::npos ? 0 : std::atoi(answer.c_str() + blank);
}

bool process_fleet::replace_configuration() {
    const json route{{"name", "r-latest"}, {"host", "latest"},    {"path-prefix", "/"},
                     {"kind", "primary"},  {"timeout-ms", 5000},  {"target-latency-ms", 3000},
                     {"priority", 1},      {"service", "orders"}, {"max-attempts", 2}};
    const json service{{"name", "orders"},      {"health-path", "/health"},
                       {"max-connections", 32}, {"protocol", "h1"},
                       {"tls", false},          {"sync-replicas", 0}};
    return post("/api/Config.Replace", {{"version", 1},
                                        {"routes", json::array({route})},
                                        {"services", json::array({service})},
                                        {"limits", {{"tx-idle-ms", 3000}}}}) == 200;
}

bool process_fleet::report_once() {
    return post(std::string("/api/Instances.Heartbeat/") + database_name,
                {{"service", "orders"},
                 {"address", to_address(loopback, m_database.port())},
                 {"zone", "makati"},
                 {"version", "v1"},
                 {"capacity", 5},
                 {"state", "ready"},
                 {"cold-remaining-ms", 0},
                 {"db-role", "primary"},
                 {"born", 1000},
                 {"sequence", ++m_reports}}) == 200;
}

bool process_fleet::accepts_report() {
    return wait_until([this] { return report_once(); });
}

std::unique_ptr<session_client> process_fleet::connect() {
    return std::make_unique<session_client>(m_record, m_caller_port, "latest");
}

bool process_fleet::serves_ordinary_statement() {
    return wait_until([this] {
        try {
            const auto caller = connect();
            return caller->open() && caller->ask("WRITE item 1").succeeded();
        } catch (const std::runtime_error&) {
            return false; // The host does not listen yet.
        }
    });
}

std::string process_fleet::entry_metrics() const {
    return exchange_bytes(loopback, m_metrics_port,
                          "GET /metrics HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n");
}

} // namespace mangoquay::test
