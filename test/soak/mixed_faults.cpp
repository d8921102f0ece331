// The single faults of the mixed shape.
#include "soak/fault_series.h"

#include "soak/platform_database.h"

#include <algorithm>
#include <csignal>

namespace mangoquay::soak {
namespace {

constexpr milliseconds quiet_end{9000};
constexpr milliseconds stop_limit{6000};
constexpr milliseconds catch_up{4000};

} // namespace

const std::vector<fault_series::drawn_fault> fault_series::faults{
    {&fault_series::kill_entry, 4},
    {&fault_series::stop_entry_hosts_in_series, 2},
    {&fault_series::freeze_entry, 5},
    {&fault_series::freeze_control, 3},
    {&fault_series::kill_control, 2},
    {&fault_series::replace_one_control, 2},
    {&fault_series::reset_database, 4},
    {&fault_series::restart_database, 4},
    {&fault_series::lose_answers, 4},
    {&fault_series::rename_database, 2},
    {&fault_series::give_address_to_other_service, 2}};

void fault_series::plan_mixed_shape(milliseconds duration) {
    m_end = steady_clock::now() + duration;
    milliseconds at{2000};
    while (at < duration - quiet_end) {
        after(at, [this] { draw_fault(); });
        at += milliseconds{draw(m_random, 300, 2500)};
    }
}

void fault_series::draw_fault() {
    int total = 0;
    for (const drawn_fault& one : faults) {
        total += one.m_weight;
    }
    int left = draw(m_random, 1, total);
    for (const drawn_fault& one : faults) {
        left -= one.m_weight;
        if (left <= 0) {
            (this->*one.m_fault)();
            return;
        }
    }
}

host_process* fault_series::draw_host(host_role role) {
    std::vector<host_process*> running;
    for (host_process* host : m_world.m_fleet.present(role)) {
        if (host->m_pid > 0 && !host->m_stopped && !m_stopping.contains(host)) {
            running.push_back(host);
        }
    }
    return running.empty() ? nullptr : running.at(m_random() % running.size());
}

// At most one control host is away at a time, and one that has come back or is new has time to catch up.
bool fault_series::control_is_whole() const {
    return m_control_incomplete + catch_up < steady_clock::now();
}

void fault_series::watch_control() {
    const auto hosts = m_world.m_fleet.present(host_role::control);
    const bool all_run = std::ranges::all_of(
        hosts, [](const host_process* host) { return host->m_pid > 0 && !host->m_stopped; });
    if (!all_run) {
        m_control_incomplete = steady_clock::now();
    }
}

void fault_series::kill_entry() {
    host_process* host = draw_host(host_role::entry);
    if (host != nullptr) {
        m_world.m_fleet.kill(*host);
        after(milliseconds{draw(m_random, 100, 1500)}, [this, host] { m_world.m_fleet.start(*host, false); });
    }
}

void fault_series::stop_entry_hosts_in_series() {
    milliseconds at{0};
    for (host_process* host : m_world.m_fleet.present(host_role::entry)) {
        after(at, [this, host] {
            if (host->m_pid > 0 && !host->m_stopped && !m_stopping.contains(host)) {
                m_world.m_fleet.send_signal(*host, SIGTERM);
                m_stopping.emplace(host, steady_clock::now() + stop_limit);
            }
        });
        at += milliseconds{draw(m_random, 500, 2000)};
    }
}

void fault_series::freeze(host_process& host, milliseconds duration) {
    m_world.m_fleet.send_signal(host, SIGSTOP);
    after(duration, [this, &host] {
        if (host.m_stopped) {
            m_world.m_fleet.send_signal(host, SIGCONT);
        }
    });
}

void fault_series::freeze_entry() {
    if (host_process* host = draw_host(host_role::entry)) {
        freeze(*host, milliseconds{draw(m_random, 500, 5000)});
    }
}

void fault_series::freeze_entry_unnoticed() {
    host_process* host = draw_host(host_role::entry);
    if (host == nullptr) {
        return;
    }
    m_world.m_record.write("the next stop excuses nothing");
    m_world.m_fleet.send_unnoticed_signal(*host, SIGSTOP);
    after(milliseconds{draw(m_random, 2000, 5000)}, [this, host] {
        if (host->m_stopped) {
            m_world.m_fleet.send_unnoticed_signal(*host, SIGCONT);
        }
    });
}

void fault_series::plan_unnoticed_freezes(milliseconds duration) {
    constexpr milliseconds between{3500};
    for (milliseconds at = between; at < duration - quiet_end; at += between) {
        after(at, [this] { freeze_entry_unnoticed(); });
    }
}

void fault_series::freeze_control() {
    host_process* host = control_is_whole() ? draw_host(host_role::control) : nullptr;
    if (host != nullptr) {
        freeze(*host, milliseconds{draw(m_random, 500, 5000)});
    }
}

void fault_series::kill_control() {
    host_process* host = control_is_whole() ? draw_host(host_role::control) : nullptr;
    if (host != nullptr) {
        m_world.m_fleet.kill(*host);
        after(milliseconds{draw(m_random, 300, 2000)}, [this, host] { m_world.m_fleet.start(*host, false); });
    }
}

void fault_series::replace_one_control() {
    host_process* host = control_is_whole() ? draw_host(host_role::control) : nullptr;
    if (host == nullptr) {
        return;
    }
    m_world.m_fleet.kill(*host);
    after(milliseconds{1000}, [this, host] {
        m_world.m_fleet.remove(*host);
        m_world.m_fleet.start(m_world.m_fleet.add_host(host_role::control), false);
    });
}

platform_service& fault_series::draw_service() {
    return *m_world.m_services.at(m_random() % m_world.m_services.size());
}

platform_database* fault_series::draw_database(bool may_be_primary) {
    platform_service& service = draw_service();
    std::vector<platform_database*> running;
    for (platform_database* one : service.databases()) {
        const std::lock_guard lock(service.m_mutex);
        if (one->m_state.m_is_up && (may_be_primary || !one->m_state.m_is_primary)) {
            running.push_back(one);
        }
    }
    return running.empty() ? nullptr : running.at(m_random() % running.size());
}

void fault_series::reset_database() {
    if (platform_database* database = draw_database(true)) {
        database->reset_connections();
    }
}

void fault_series::restart_database() {
    platform_database* database = draw_database(true);
    if (database != nullptr) {
        database->stop();
        after(milliseconds{draw(m_random, 50, 1500)}, [database] { database->start(); });
    }
}

void fault_series::lose_answers() {
    if (platform_database* database = draw_database(true)) {
        m_world.m_record.write("database " + database->id() + " loses answers");
        database->lose_answers(draw(m_random, 1, 20));
    }
}

void fault_series::replace_database(platform_database& old, platform_service& other) {
    old.stop();
    const std::string id = "db-new" + std::to_string(++m_last_database);
    after(milliseconds{draw(m_random, 0, 500)}, [this, id, &other, address = old.address()] {
        other.add_database(id, address, m_world.m_fleet, false);
    });
    // The old service keeps its size.
    if (&other != &old.service()) {
        after(milliseconds{500}, [this, id, &service = old.service()] {
            service.add_database(id + "b", m_world.m_fleet.next_database_address(), m_world.m_fleet, false);
        });
    }
}

void fault_series::rename_database() {
    if (platform_database* database = draw_database(false)) {
        replace_database(*database, database->service());
    }
}

void fault_series::give_address_to_other_service() {
    platform_database* database = draw_database(false);
    if (database != nullptr) {
        const bool is_first = &database->service() == m_world.m_services.front().get();
        replace_database(*database, is_first ? *m_world.m_services.back() : *m_world.m_services.front());
    }
}

} // namespace mangoquay::soak
