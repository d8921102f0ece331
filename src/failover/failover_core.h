// The failover cores of all groups of this control cell, and the routing of events to them.
//
// Owns one group_failover per group of the replicated state. Volatile: a new leader calls elected().
#pragma once

#include "failover/group_failover.h"

#include <map>
#include <set>

namespace mangoquay::failover {

class failover_core {
public:
    // See membership::lease_table::on_elected for when.
    void elected(core::time_point now, const control::control_state& state);

    void on_heartbeat(core::time_point now, const control::control_state& state,
                      const membership::heartbeat& beat);
    void on_probe_result(core::time_point now, const control::control_state& state,
                         const membership::probe_result& result);
    actions on_step_answer(core::time_point now, const control::control_state& state,
                           membership::lease_table& leases, const step_answer& answer);
    // About every 50 ms, and at once after commands were applied.
    actions tick(core::time_point now, const control::control_state& state, membership::lease_table& leases);

private:
    group_failover* core_of(const control::control_state& state, const core::endpoint_id& endpoint);
    const std::set<core::endpoint_id>& drained(const control::control_state& state);

    std::map<core::group_id, group_failover> m_groups;
    std::set<core::endpoint_id> m_drained;
    core::revision m_drained_at; // revision that m_drained was taken from
};

} // namespace mangoquay::failover
