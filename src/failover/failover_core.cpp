// Dispatches events to the failover logic of each group of this control cell.
#include "failover/failover_core.h"

#include <iterator>

namespace mangoquay::failover {

void failover_core::on_elected(core::time_point now, const control::control_state& state) {
    m_groups.clear();
    m_drained_revision = {};
    for (const auto& [id, record] : state.m_groups) {
        m_groups.try_emplace(id, id).first->second.on_elected(now);
    }
}

group_failover* failover_core::group_core_for(const control::control_state& state,
                                              const core::endpoint_id& endpoint) {
    const auto record = state.m_endpoints.find(endpoint);
    if (record == state.m_endpoints.end()) {
        return nullptr;
    }
    const core::group_id& group = record->second.m_group;
    return &m_groups.try_emplace(group, group).first->second;
}

void failover_core::on_heartbeat(core::time_point now, const control::control_state& state,
                                 const membership::heartbeat& beat) {
    for (const membership::endpoint_report& report : beat.m_health) {
        group_failover* const group_core = group_core_for(state, report.m_endpoint);
        if (group_core != nullptr && state.m_endpoints.at(report.m_endpoint).m_owner == beat.m_host) {
            group_core->on_report(now, state, beat, report);
        }
    }
}

void failover_core::on_probe_result(core::time_point now, const control::control_state& state,
                                    const membership::probe_result& result) {
    group_failover* const group_core = group_core_for(state, result.m_endpoint);
    if (group_core != nullptr) {
        group_core->on_probe_result(now, result);
    }
}

actions failover_core::on_step_answer(core::time_point now, const control::control_state& state,
                                      membership::lease_table& leases, const step_answer& answer) {
    group_failover* const group_core = group_core_for(state, answer.m_endpoint);
    return group_core == nullptr
               ? actions{}
               : group_core->on_step_answer({now, state, leases, current_drained_endpoints(state)}, answer);
}

actions failover_core::tick(core::time_point now, const control::control_state& state,
                            membership::lease_table& leases) {
    actions out;
    for (const auto& [id, record] : state.m_groups) {
        group_failover& group_core = m_groups.try_emplace(id, id).first->second;
        actions requested = group_core.tick({now, state, leases, current_drained_endpoints(state)});
        std::move(requested.begin(), requested.end(), std::back_inserter(out));
    }
    return out;
}

const std::set<core::endpoint_id>&
failover_core::current_drained_endpoints(const control::control_state& state) {
    if (m_drained_revision != state.m_revision) {
        m_drained = drained_endpoints(state);
        m_drained_revision = state.m_revision;
    }
    return m_drained;
}

} // namespace mangoquay::failover
