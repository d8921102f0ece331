#include "case.h"

namespace review {

void sleep_s(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

world::world(record& log_to, const run_options& options, int control_hosts, int entry_hosts, int sync,
             int timeout_ms)
    : log(log_to), hosts(log_to, options.program, options.folder, control_hosts, entry_hosts), sync_replicas(sync),
      route_timeout_ms(timeout_ms) {
    group = std::make_unique<service>(log, "harvest", sync, hosts.control_addresses());
    for (int i = 0; i < 3; ++i) {
        const std::string zones[] = {"zone-a", "zone-b", "zone-c"};
        group->databases.push_back(std::make_unique<database>(
            *group, "d-" + std::to_string(i + 1), address{hosts.ip(31 + i), hosts.used_ports().database}, zones[i],
            i == 0));
    }
    group->serve_failover(hosts.executor_address());
    if (!hosts.start_all()) {
        return;
    }
    for (const auto& one : group->databases) {
        one->start(false);
    }
    const auto limit = steady::now() + std::chrono::seconds(25);
    while (!send_config(1)) {
        if (steady::now() > limit) {
            log.write("the first config isn't acknowledged");
            return;
        }
        sleep_s(0.3);
    }
    for (;;) {
        bool ready = true;
        for (const host& one : hosts.entry) {
            ready = ready && hosts.is_ready(one);
        }
        if (ready) {
            session first(hosts.caller_address(hosts.entry[0]), primary_route, "u0", milliseconds(2000));
            if (first.query(new_id(), "READ 1", milliseconds(1000)).success()) {
                break;
            }
        }
        if (steady::now() > limit) {
            log.write("the entry hosts aren't ready, or the first read fails");
            return;
        }
        sleep_s(0.3);
    }
    log.write("the fleet serves");
    is_up = true;
}

world::~world() {
    stop_writers();
}

bool world::send_config(int version) {
    const std::string route = "\"path-prefix\":\"/\",\"timeout-ms\":" + std::to_string(route_timeout_ms) +
                              ",\"target-latency-ms\":200,\"service\":"
                              "\"harvest\",\"max-attempts\":2";
    const std::string body =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + primary_route +
        "\",\"kind\":\"primary\",\"priority\":1," + route + "},{\"name\":\"r-2\",\"host\":\"" + reading_route +
        "\",\"kind\":\"bounded_staleness\",\"priority\":2,\"max-staleness-ms\":2500," + route +
        "}],\"services\":[{\"name\":\"harvest\",\"health-path\":\"/health\",\"max-connections\":40,"
        "\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":" +
        std::to_string(sync_replicas) + "},{\"name\":\"" + second_service +
        "\",\"health-path\":\"/health\",\"max-connections\":40,\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":0" +
        "}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
        "\"idle-timeout-ms\":15000,\"tx-idle-ms\":3000}}";
    for (const host& one : hosts.control) {
        const auto answer =
            call_http(hosts.control_address(one), "POST", "/api/Config.Replace", body, milliseconds(1000));
        log.write("config " + std::to_string(version) + " to " + one.name + " -> " + std::to_string(answer.status) +
                  " " + answer.body.substr(0, 120));
        if (answer.status == 200) {
            return true;
        }
    }
    return false;
}

void world::start_writers(int count) {
    m_writing = true;
    for (int i = 0; i < count; ++i) {
        m_writers.emplace_back(
            [this, i] { write_on(hosts.entry[static_cast<std::size_t>(i) % hosts.entry.size()], i); });
    }
}

void world::stop_writers() {
    m_writing = false;
    for (std::thread& one : m_writers) {
        one.join();
    }
    m_writers.clear();
}

void world::write_on(const host& at, int number) {
    std::unique_ptr<session> open;
    while (m_writing) {
        if (!open || !open->is_open()) {
            open = std::make_unique<session>(hosts.caller_address(at), primary_route, "u" + std::to_string(number),
                                             milliseconds(2000));
            if (!open->is_open()) {
                sleep_s(0.2);
                continue;
            }
        }
        const std::string id = new_id();
        const answer got = open->query(id, "WRITE " + std::to_string(number) + " data", milliseconds(3500));
        if (got.success()) {
            group->acknowledge(id);
            ++acknowledged;
        } else {
            ++refused;
        }
        log.write("write " + id + " by u" + std::to_string(number) + " -> " +
                  (got.complete ? got.outcome : "no answer"));
        sleep_s(0.03);
    }
}

} // namespace review
