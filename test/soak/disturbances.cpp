// Remembers disturbances.
#include "soak/disturbances.h"

#include <algorithm>

namespace mangoquay::soak {
namespace {

constexpr milliseconds stability_window{4000};

} // namespace

void disturbance_log::add_entry(const core::entry_host_id& host) {
    const std::lock_guard lock(m_mutex);
    m_entry[host].push_back(steady_clock::now());
}

void disturbance_log::add_boot(const core::entry_host_id& host) {
    const std::lock_guard lock(m_mutex);
    ++m_boots[host];
    m_entry[host].push_back(steady_clock::now());
}

void disturbance_log::add_control(bool most_of_cell) {
    const std::lock_guard lock(m_mutex);
    m_control.push_back({steady_clock::now(), most_of_cell});
}

bool disturbance_log::entry_was_disturbed(const core::entry_host_id& host, steady_time sent) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_entry.find(host);
    return found != m_entry.end() && !found->second.empty() &&
           found->second.back() + stability_window >= sent;
}

bool disturbance_log::control_was_disturbed(steady_time sent) const {
    const std::lock_guard lock(m_mutex);
    return std::ranges::any_of(m_control, [sent](const control_event& event) {
        return event.m_time + stability_window * (event.m_most_of_cell ? 2 : 1) >= sent;
    });
}

boot_number disturbance_log::boot_of(const core::entry_host_id& host) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_boots.find(host);
    return boot_number(found == m_boots.end() ? 0 : found->second);
}

} // namespace mangoquay::soak
