// Failover logic for all groups of this control cell; dispatches events to the group concerned.
//
// Owns one group_failover per group of the replicated state. Nothing is persisted: a new leader calls
// on_elected().
#pragma once

#include "failover/group_failover.h"

#include <map>
#include <set>

namespace mangoquay::failover {

class failover_core {
public:
    // Discards all state. See membership::lease_table for the moment at which a new leader calls it.
    void on_elected(core::time_point now, const control::control_state& state);

    void on_heartbeat(core::time_point now, const control::control_state& state,
                      const membership::heartbeat& beat);
    void on_probe_result(core::time_point now, const control::control_state& state,
                         const membership::probe_result& result);
    actions on_step_answer(core::time_point now, const control::control_state& state,
                           membership::lease_table& leases, const step_answer& answer);
    // Called about every 50 ms, and immediately after commands have been applied.
    actions tick(core::time_point now, const control::control_state& state, membership::lease_table& leases);

private:
    group_failover* group_core_for(const control::control_state& state, const core::endpoint_id& endpoint);
    const std::set<core::endpoint_id>& current_drained_endpoints(const control::control_state& state);

    std::map<core::group_id, group_failover> m_groups;
    std::set<core::endpoint_id> m_drained;
    core::revision m_drained_revision; // Revision of the state that m_drained was computed from.
};

} // namespace mangoquay::failover
