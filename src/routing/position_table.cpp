// Bookkeeping of learned positions and failures.
#include "routing/position_table.h"

#include <algorithm>

namespace mangoquay::routing {

void failure_memory::failed(core::time_point now) {
    constexpr std::uint32_t most_doublings = 3;
    const core::milliseconds pause = first_failure_pause * (1U << std::min(m_failures, most_doublings));
    m_until = core::deadline_after(now, std::min(pause, longest_failure_pause));
    ++m_failures;
}

void position_table::position_learned(const core::endpoint_id& endpoint,
                                      const core::history_position& position) {
    m_endpoints[endpoint].m_position = position;
}

void position_table::attempt_started(const core::endpoint_id& endpoint) {
    ++m_endpoints[endpoint].m_outstanding;
}

void position_table::attempt_ended(const core::endpoint_id& endpoint) {
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end() && found->second.m_outstanding > 0) {
        --found->second.m_outstanding;
    }
}

void position_table::fell_behind(const core::endpoint_id& endpoint, core::time_point now) {
    m_endpoints[endpoint].m_behind_until = core::deadline_after(now, behind_pause);
}

void position_table::endpoint_failed(const core::endpoint_id& endpoint, core::time_point now) {
    m_endpoints[endpoint].m_failure.failed(now);
}

void position_table::endpoint_succeeded(const core::endpoint_id& endpoint, const core::entry_host_id& owner) {
    m_endpoints[endpoint].m_failure.succeeded();
    m_owners.erase(owner);
}

void position_table::owner_failed(const core::entry_host_id& owner, core::time_point now) {
    m_owners[owner].failed(now);
}

const endpoint_knowledge* position_table::find(const core::endpoint_id& endpoint) const {
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

bool position_table::owner_suspect(const core::entry_host_id& owner, core::time_point now) const {
    const auto found = m_owners.find(owner);
    return found != m_owners.end() && found->second.suspect(now);
}

void position_table::prune(const control::control_state& state) {
    std::erase_if(m_endpoints, [&state](const auto& entry) {
        return entry.second.m_outstanding == 0 && !state.m_endpoints.contains(entry.first);
    });
    std::erase_if(m_owners, [&state](const auto& entry) { return !state.m_proxies.contains(entry.first); });
}

} // namespace mangoquay::routing
