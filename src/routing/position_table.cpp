// Table of endpoint positions, outstanding requests and failures.
#include "routing/position_table.h"

#include <algorithm>

namespace mangoquay::routing {

void failure_backoff::record_failure(core::time_point now) {
    constexpr std::uint32_t max_doublings = 3;
    const core::milliseconds backoff = initial_failure_backoff * (1U << std::min(m_failures, max_doublings));
    m_suspect_until = core::deadline_after(now, std::min(backoff, max_failure_backoff));
    ++m_failures;
}

void position_table::set_position(const core::endpoint_id& endpoint, const core::history_position& position) {
    m_endpoints[endpoint].m_position = position;
}

void position_table::record_attempt_start(const core::endpoint_id& endpoint) {
    ++m_endpoints[endpoint].m_outstanding;
}

void position_table::record_attempt_end(const core::endpoint_id& endpoint) {
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end() && found->second.m_outstanding > 0) {
        --found->second.m_outstanding;
    }
}

void position_table::record_lag(const core::endpoint_id& endpoint, core::time_point now) {
    m_endpoints[endpoint].m_behind_until = core::deadline_after(now, lag_backoff);
}

void position_table::record_endpoint_failure(const core::endpoint_id& endpoint, core::time_point now) {
    m_endpoints[endpoint].m_failure.record_failure(now);
}

void position_table::record_success(const core::endpoint_id& endpoint, const core::entry_host_id& owner) {
    m_endpoints[endpoint].m_failure.reset();
    m_owners.erase(owner);
}

void position_table::record_owner_failure(const core::entry_host_id& owner, core::time_point now) {
    m_owners[owner].record_failure(now);
}

const endpoint_hints* position_table::find(const core::endpoint_id& endpoint) const {
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

bool position_table::is_owner_suspect(const core::entry_host_id& owner, core::time_point now) const {
    const auto found = m_owners.find(owner);
    return found != m_owners.end() && found->second.is_suspect(now);
}

void position_table::prune(const control::control_state& state) {
    std::erase_if(m_endpoints, [&state](const auto& entry) {
        return entry.second.m_outstanding == 0 && !state.m_endpoints.contains(entry.first);
    });
    std::erase_if(m_owners, [&state](const auto& entry) { return !state.m_proxies.contains(entry.first); });
}

} // namespace mangoquay::routing
