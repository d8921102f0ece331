// Runs planned faults and watches the processes.
#include "soak/fault_series.h"

#include <algorithm>
#include <csignal>

namespace mangoquay::soak {
namespace {

constexpr milliseconds poll_interval{20};
constexpr milliseconds between_replacements{9000};
constexpr milliseconds until_successor{1000};
constexpr milliseconds until_power_returns{1300};
constexpr milliseconds after_replacements{15000};
constexpr milliseconds first_fault{3000};
// After the last fault callers go on.
constexpr milliseconds quiet_end{9000};

} // namespace

fault_series::fault_series(soak_world& world, platform_operator& configurations, std::uint64_t seed)
    : m_world(world), m_configurations(configurations), m_random(seed) {}

void fault_series::after(milliseconds delay, action planned) {
    m_planned.emplace(steady_clock::now() + delay, std::move(planned));
}

void fault_series::run() {
    while (steady_clock::now() < m_end) {
        while (!m_planned.empty() && m_planned.begin()->first <= steady_clock::now()) {
            const action next = m_planned.begin()->second;
            m_planned.erase(m_planned.begin());
            next();
        }
        poll_processes();
        watch_control();
        sleep_for(poll_interval);
    }
}

void fault_series::poll_processes() {
    for (const host_role role : {host_role::control, host_role::entry}) {
        for (host_process* host : m_world.m_fleet.present(role)) {
            const auto stopping = m_stopping.find(host);
            if (m_world.m_fleet.reap(*host)) {
                if (stopping == m_stopping.end()) {
                    m_world.m_violations.add(
                        {rule::stop, host->m_name.value(), "the process has ended without a signal"});
                }
                m_stopping.erase(host);
                after(milliseconds{300}, [this, host] { m_world.m_fleet.start(*host, false); });
            } else if (stopping != m_stopping.end() && steady_clock::now() > stopping->second) {
                m_world.m_violations.add(
                    {rule::stop, host->m_name.value(), "SIGTERM has not ended it in 6 s"});
                m_world.m_fleet.kill(*host);
                m_stopping.erase(host);
                m_world.m_fleet.start(*host, false);
            }
        }
    }
}

void fault_series::plan_record_shape(milliseconds duration) {
    m_end = steady_clock::now() + duration;
    const auto hosts = m_world.m_fleet.present(host_role::control).size();
    milliseconds at = first_fault;
    for (std::size_t nth = 0; nth < hosts; ++nth, at += between_replacements) {
        after(at, [this, nth] { replace_control_host(nth); });
    }
    const milliseconds last_chance = duration - quiet_end - until_power_returns;
    for (at += after_replacements - between_replacements; at < last_chance; at += after_replacements) {
        after(at, [this] { lose_power_after_acknowledgement(); });
    }
    if (at - after_replacements < first_fault + between_replacements * 2) {
        after(last_chance, [this] { lose_power_after_acknowledgement(); });
    }
}

void fault_series::replace_control_host(std::size_t nth) {
    // The original hosts go first, the leader last: the host that answers reads itself.
    auto hosts = m_world.m_fleet.present(host_role::control);
    const std::size_t originals = hosts.size() - nth;
    hosts.resize(originals);
    host_process* gone = hosts.front();
    for (host_process* host : hosts) {
        const auto answer = call_http(m_world.m_fleet.control_address(*host), "GET", "/api/Config.Describe",
                                      "", milliseconds{500});
        if (answer.m_status != 200 || originals == 1) {
            gone = host;
            break;
        }
    }
    m_world.m_fleet.kill(*gone);
    m_world.m_fleet.remove(*gone);
    after(until_successor, [this] {
        host_process& successor = m_world.m_fleet.add_host(host_role::control);
        m_world.m_fleet.start(successor, false);
    });
}

void fault_series::lose_power_after_acknowledgement() {
    constexpr milliseconds longest_change{8000};
    m_configurations.m_paused = true;
    const auto acknowledged_by = m_configurations.change(steady_clock::now() + longest_change);
    auto hosts = m_world.m_fleet.present(host_role::control);
    const auto entries = m_world.m_fleet.present(host_role::entry);
    hosts.insert(hosts.end(), entries.begin(), entries.end());
    m_world.m_disturbances.add_control(true);
    for (host_process* host : hosts) {
        m_world.m_fleet.send_signal(*host, SIGKILL);
    }
    for (host_process* host : hosts) {
        m_world.m_fleet.kill(*host);
        if (host->m_role == host_role::control && acknowledged_by == m_world.m_fleet.control_address(*host)) {
            m_world.m_fleet.lose_disk(*host);
        }
        m_down.insert(host);
    }
    after(until_power_returns, [this] {
        start_all_stopped();
        m_configurations.m_paused = false;
    });
}

void fault_series::start_all_stopped() {
    for (host_process* host : std::exchange(m_down, {})) {
        m_world.m_fleet.start(*host, false);
    }
    m_world.m_disturbances.add_control(true);
}

void fault_series::repair_all() {
    for (const auto& [time, planned] : std::exchange(m_planned, {})) {
        planned();
    }
    start_all_stopped();
    for (const host_role role : {host_role::control, host_role::entry}) {
        for (host_process* host : m_world.m_fleet.present(role)) {
            if (host->m_stopped) {
                m_world.m_fleet.send_signal(*host, SIGCONT);
            }
        }
    }
}

} // namespace mangoquay::soak
