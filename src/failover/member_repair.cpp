// Admission of new members, and repair of what members follow.
#include "failover/group_failover.h"

#include <algorithm>

namespace mangoquay::failover {

// One member at a time; see control::admit_member for the conditions.
void group_failover::admit_next(context& here) {
    const control::group_record& record = here.m_record;
    const auto joining = std::find_if(m_members.begin(), m_members.end(), [&](const auto& member) {
        return !record.m_members.contains(member.first) && !record.m_needs_rewind.contains(member.first) &&
               member.second.m_reachable && member.second.m_follows == m_watched &&
               here.m_now - member.second.m_reported_at <= view_lifetime;
    });
    if (m_stage != stage::watching || joining == m_members.end()) {
        return;
    }
    if (m_admission_barrier != record.m_members_changed_at) {
        if (!here.m_leases.applied_by_all_lease_holders(here.m_now, here.m_state,
                                                        record.m_members_changed_at)) {
            return;
        }
        m_admission_barrier = record.m_members_changed_at;
        m_primary_position.reset();
        m_members[m_watched].m_pending.erase(step_kind::read_primary);
    }
    if (!m_primary_position) {
        send(here, step_kind::read_primary, read_position{0, m_watched});
    } else if (barrier_held_by_quorum(here)) {
        propose_once(here, control::admit_member{m_group, joining->first, record.m_members_changed_at});
    }
}

bool group_failover::barrier_held_by_quorum(const context& here) const {
    std::size_t holding = 1;
    for (const auto& [id, member] : m_members) {
        const bool counts = here.m_record.m_members.contains(id) && id != m_watched;
        const bool holds = member.m_follows == m_watched && member.m_reported >= *m_primary_position &&
                           here.m_now - member.m_reported_at <= view_lifetime;
        holding += counts && holds ? 1 : 0;
    }
    return holding >= quorum_of(here.m_record.m_members.size());
}

void group_failover::repair_members(context& here) {
    for (const core::endpoint_id& id : here.m_record.m_members) {
        member_view& member = m_members[id];
        if (id == m_watched || !member.m_next_repair.passed(here.m_now)) {
            continue;
        }
        if (here.m_record.m_needs_rewind.contains(id)) {
            member.m_next_repair = core::deadline_after(here.m_now, repair_period);
            send(here, step_kind::look, read_position{0, id});
        } else if (member.m_known && member.m_follows != m_watched) {
            member.m_next_repair = core::deadline_after(here.m_now, repair_period);
            send(here, step_kind::follow, follow{0, id, m_watched});
            if (++member.m_repairs > repairs_before_rewind && member.m_reachable) {
                announce(here, id, control::endpoint_role::primary, {});
            }
        }
    }
}

// A member that somebody rewound or rebuilt. Streaming under the present term proves that its history is the
// group's: a diverged replica cannot follow that term.
void group_failover::repair_diverged(context& here, const core::endpoint_id& id, member_view& member) {
    const endpoint_status& status = member.m_reading->m_status;
    if (m_stage != stage::watching || !status.m_in_recovery) {
        return;
    }
    if (status.m_streaming && status.m_position.m_term == here.m_record.m_term) {
        announce(here, id, control::endpoint_role::replica, here.m_record.m_term);
    } else if (!status.m_streaming) {
        send(here, step_kind::follow, follow{0, id, m_watched});
        if (++member.m_repairs > repairs_before_rewind && member.m_reachable) {
            announce(here, id, control::endpoint_role::primary, {});
        }
    }
}

} // namespace mangoquay::failover
