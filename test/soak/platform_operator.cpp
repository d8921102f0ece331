// Sends and reads configurations.
#include "soak/platform_operator.h"

#include <nlohmann/json.hpp>

#include <array>

namespace mangoquay::soak {
namespace {

constexpr milliseconds call_limit{1000};
constexpr milliseconds retry_delay{100};
constexpr int moving_routes = 6;
constexpr std::array<const char*, 3> kinds{"primary", "bounded_staleness", "read_your_writes"};

std::optional<ip_endpoint> location_of(const http_answer& answer) {
    constexpr std::string_view scheme = "http://";
    if (answer.m_status != 307 || !answer.m_location.starts_with(scheme)) {
        return std::nullopt;
    }
    const std::string rest = answer.m_location.substr(scheme.size());
    return parse_ip_endpoint(rest.substr(0, rest.find('/')));
}

bool is_final_refusal(int status) {
    return status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

nlohmann::json route_object(const std::string& database, const core::service_name& service) {
    // The kind follows from the name, so that it does not change.
    const std::string kind = kinds.at(std::hash<std::string>{}(database) % kinds.size());
    nlohmann::json route{{"name", "r-" + database}, {"host", database},
                         {"path-prefix", "/"},      {"kind", kind},
                         {"timeout-ms", 1000},      {"target-latency-ms", 400},
                         {"priority", 1},           {"service", service.value()},
                         {"max-attempts", 2}};
    if (kind != "primary") {
        route["max-staleness-ms"] = 1500;
    }
    return route;
}

} // namespace

platform_operator::platform_operator(soak_world& world, std::uint64_t seed) : m_world(world), m_random(seed) {
    for (const auto& service : world.m_services) {
        for (int index = 0; index < 3; ++index) {
            m_routes.emplace("base" + std::to_string(index) + "-" + service->m_name.value(), service->m_name);
        }
    }
}

void platform_operator::draw_change() {
    const auto any_service = [this] {
        return m_world.m_services.at(m_random() % m_world.m_services.size())->m_name;
    };
    m_routes.emplace("moving" + std::to_string(++m_last_route), any_service());
    if (m_last_route > moving_routes) {
        m_routes.erase("moving" + std::to_string(m_last_route - moving_routes));
    }
    const int moved = m_last_route - draw(m_random, 1, moving_routes - 1);
    if (const auto found = m_routes.find("moving" + std::to_string(moved)); found != m_routes.end()) {
        found->second = found->second == m_world.m_services.front()->m_name
                            ? m_world.m_services.back()->m_name
                            : m_world.m_services.front()->m_name;
    }
}

std::string platform_operator::next_body(document_version version) {
    nlohmann::json routes = nlohmann::json::array();
    for (const auto& [database, service] : m_routes) {
        routes.push_back(route_object(database, service));
    }
    nlohmann::json services = nlohmann::json::array();
    for (const auto& service : m_world.m_services) {
        services.push_back({{"name", service->m_name.value()},
                            {"health-path", "/health"},
                            {"max-connections", service->m_limits.m_max_connections},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"sync-replicas", 0}});
    }
    nlohmann::json body{{"version", version.value()},
                        {"routes", routes},
                        {"services", services},
                        {"limits",
                         {{"max-header-bytes", 16384},
                          {"max-body-bytes", 262144},
                          {"header-timeout-ms", 3000},
                          {"idle-timeout-ms", 15000},
                          {"tx-idle-ms", 3000}}}};
    if (m_world.m_customers.enabled()) {
        body["tenants"] = m_world.m_customers.tenants();
    }
    return body.dump();
}

std::optional<ip_endpoint> platform_operator::send(document_version version, const std::string& body) {
    const auto hosts = m_world.m_fleet.control_addresses();
    ip_endpoint target = hosts.at(m_next_host++ % hosts.size());
    for (int redirects = 0; redirects <= 2; ++redirects) {
        const auto answer = call_http(target, "POST", "/api/Config.Replace", body, call_limit);
        m_world.m_record.write("version " + std::to_string(version.value()) + " sent to " + to_text(target) +
                               ": " + std::to_string(answer.m_status));
        if (answer.m_status == 200) {
            return target;
        }
        if (is_final_refusal(answer.m_status)) {
            m_world.m_violations.add({rule::configuration, to_text(target),
                                      "valid version " + std::to_string(version.value()) +
                                          " is refused with " + std::to_string(answer.m_status)});
        }
        const auto next = location_of(answer);
        if (!next) {
            break;
        }
        target = *next;
    }
    return std::nullopt;
}

std::optional<ip_endpoint> platform_operator::change(steady_time deadline) {
    const std::lock_guard lock(m_mutex);
    m_version += static_cast<std::uint64_t>(draw(m_random, 1, 3));
    const document_version version(m_version);
    draw_change();
    m_world.m_customers.draw_change(m_random);
    const std::string body = next_body(version);
    m_world.m_history.add({version, m_routes, body});
    m_world.m_history.mark_sent(version);
    while (steady_clock::now() < deadline) {
        if (auto host = send(version, body)) {
            m_world.m_history.mark_acknowledged(version);
            m_world.m_customers.mark_acknowledged();
            m_world.m_record.write("version " + std::to_string(version.value()) + " is acknowledged by " +
                                   to_text(*host));
            repeat_older_change();
            return host;
        }
        sleep_for(retry_delay);
    }
    return std::nullopt;
}

// An older change may arrive again, which may change nothing.
void platform_operator::repeat_older_change() {
    constexpr int one_in = 5;
    const document_version version(m_version > 4 ? m_version - 4 : 0);
    const std::string body = m_world.m_history.body_of(version);
    if (!m_paused && !body.empty() && draw(m_random, 1, one_in) == 1) {
        (void)send(version, body);
    }
}

void platform_operator::run_changes() {
    constexpr milliseconds longest_call{20000};
    constexpr milliseconds between{900};
    while (!m_world.m_stopped) {
        if (!m_paused) {
            change(steady_clock::now() + longest_call);
        }
        sleep_for(between);
    }
}

void platform_operator::run_reads() {
    constexpr milliseconds between{250};
    for (std::size_t next = 0; !m_world.m_stopped; ++next) {
        sleep_for(between);
        const auto hosts = m_world.m_fleet.control_addresses();
        const ip_endpoint& host = hosts.at(next % hosts.size());
        const steady_time sent = steady_clock::now();
        const auto answer = call_http(host, "GET", "/api/Config.Describe", "", call_limit);
        const auto read = nlohmann::json::parse(answer.m_body, nullptr, false);
        if (answer.m_status == 200 && read.is_object()) {
            m_world.m_configuration_judge.check_read(
                to_text(host), document_version(read.value("version", std::uint64_t{0})), sent);
        }
    }
}

bool platform_operator::check_reading(const ip_endpoint& host, document_version expected) {
    const auto answer = call_http(host, "GET", "/api/Config.Describe", "", call_limit);
    m_world.m_record.write("read back from " + to_text(host) + ": " + std::to_string(answer.m_status));
    if (answer.m_status != 200) {
        return false;
    }
    const auto read = nlohmann::json::parse(answer.m_body, nullptr, false);
    const std::uint64_t version = read.is_object() ? read.value("version", std::uint64_t{0}) : 0;
    const std::string sent = m_world.m_history.body_of(document_version(version));
    if (version < expected.value()) {
        m_world.m_violations.add({rule::configuration, to_text(host),
                                  "version " + std::to_string(version) + " is read back, " +
                                      std::to_string(expected.value()) + " was acknowledged"});
    } else if (sent.empty() || nlohmann::json::parse(sent) != read) {
        m_world.m_violations.add({rule::configuration, to_text(host),
                                  "version " + std::to_string(version) + " is read back with other content"});
    }
    return true;
}

void platform_operator::check_read_back(steady_time deadline) {
    const document_version expected = m_world.m_history.newest_acknowledged();
    constexpr int readings = 8;
    int answers = 0;
    while (answers < readings && steady_clock::now() < deadline) {
        for (const ip_endpoint& host : m_world.m_fleet.control_addresses()) {
            answers += check_reading(host, expected) ? 1 : 0;
        }
        sleep_for(milliseconds{300});
    }
    if (answers == 0) {
        m_world.m_violations.add(
            {rule::configuration, "read-back",
             "no control host reads version " + std::to_string(expected.value()) + " back"});
    }
}

} // namespace mangoquay::soak
