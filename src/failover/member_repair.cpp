// Admission of new members, and repair of members that do not follow the primary.
#include "failover/group_failover.h"

#include <algorithm>

namespace mangoquay::failover {

// Admits one member at a time; see control::admit_member for the conditions.
void group_failover::admit_next_member(context& ctx) {
    const control::group_record& record = ctx.m_record;
    const auto joining = std::find_if(m_members.begin(), m_members.end(), [&](const auto& member) {
        return !record.m_members.contains(member.first) && !record.m_needs_rewind.contains(member.first) &&
               member.second.m_reachable && member.second.m_follows == m_watched_primary &&
               ctx.m_now - member.second.m_reported_at <= observation_lifetime;
    });
    if (m_stage != stage::watching || joining == m_members.end()) {
        return;
    }
    if (m_admission_barrier != record.m_members_changed_at) {
        if (!ctx.m_leases.applied_by_all_lease_holders(ctx.m_now, ctx.m_state, record.m_members_changed_at)) {
            return;
        }
        m_admission_barrier = record.m_members_changed_at;
        m_primary_position.reset();
        m_members[m_watched_primary].m_pending.erase(step_kind::read_primary);
    }
    if (!m_primary_position) {
        send_step(ctx, step_kind::read_primary, read_position{0, m_watched_primary});
    } else if (barrier_held_by_quorum(ctx)) {
        propose_once(ctx, control::admit_member{m_group, joining->first, record.m_members_changed_at});
    }
}

bool group_failover::barrier_held_by_quorum(const context& ctx) const {
    std::size_t holding = 1;
    for (const auto& [id, member] : m_members) {
        const bool counts = ctx.m_record.m_members.contains(id) && id != m_watched_primary;
        const bool holds = member.m_follows == m_watched_primary &&
                           member.m_reported >= *m_primary_position &&
                           ctx.m_now - member.m_reported_at <= observation_lifetime;
        holding += counts && holds ? 1 : 0;
    }
    return holding >= quorum_size(ctx.m_record.m_members.size());
}

void group_failover::repair_members(context& ctx) {
    for (const core::endpoint_id& id : ctx.m_record.m_members) {
        member_view& member = m_members[id];
        if (id == m_watched_primary || !member.m_next_repair.passed(ctx.m_now)) {
            continue;
        }
        if (ctx.m_record.m_needs_rewind.contains(id)) {
            member.m_next_repair = core::deadline_after(ctx.m_now, repair_period);
            send_step(ctx, step_kind::read_status, read_position{0, id});
        } else if (member.m_following_known && member.m_follows != m_watched_primary) {
            member.m_next_repair = core::deadline_after(ctx.m_now, repair_period);
            send_step(ctx, step_kind::follow, follow_primary{0, id, m_watched_primary});
            if (++member.m_repair_attempts > repair_attempts_before_rewind && member.m_reachable) {
                propose_announcement(ctx, id, control::endpoint_role::primary, {});
            }
        }
    }
}

// Handles a member that has been rewound or rebuilt externally. Streaming under the current term proves that
// its history is that of the group: a diverged replica cannot follow that term.
void group_failover::repair_diverged(context& ctx, const core::endpoint_id& id, member_view& member) {
    const endpoint_status& status = member.m_reading->m_status;
    if (m_stage != stage::watching || !status.m_in_recovery) {
        return;
    }
    if (status.m_streaming && status.m_position.m_term == ctx.m_record.m_term) {
        propose_announcement(ctx, id, control::endpoint_role::replica, ctx.m_record.m_term);
    } else if (!status.m_streaming) {
        send_step(ctx, step_kind::follow, follow_primary{0, id, m_watched_primary});
        if (++member.m_repair_attempts > repair_attempts_before_rewind && member.m_reachable) {
            propose_announcement(ctx, id, control::endpoint_role::primary, {});
        }
    }
}

} // namespace mangoquay::failover
