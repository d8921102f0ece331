// Planned hand-over of the primary role.
#include "failover/group_failover.h"

#include <algorithm>

namespace mangoquay::failover {

void group_failover::try_hand_over(context& ctx) {
    const auto primary = m_members.find(m_watched_primary);
    if (!m_next_hand_over.passed(ctx.m_now) || primary == m_members.end()) {
        return;
    }
    const std::uint64_t primary_position = primary->second.m_reported.m_position.value();
    std::size_t following = 0;
    bool within_lag = false;
    for (const auto& [id, member] : m_members) {
        const bool follows = member.m_reachable && member.m_follows == m_watched_primary &&
                             id != m_watched_primary &&
                             ctx.m_now - member.m_reported_at <= observation_lifetime &&
                             !ctx.m_record.m_needs_rewind.contains(id);
        const std::uint64_t position = member.m_reported.m_position.value();
        following += follows ? 1 : 0;
        within_lag = within_lag || (follows && !ctx.m_drained.contains(id) &&
                                    position + max_hand_over_lag_bytes >= primary_position);
    }
    const std::size_t members = ctx.m_record.m_members.size();
    if (within_lag && following >= replicas_to_stop(members) && following + 1 >= quorum_size(members)) {
        m_next_hand_over = core::deadline_after(ctx.m_now, proposal_retry_period);
        ctx.m_actions.emplace_back(propose{control::hold_writes{m_group, m_watched_primary}});
    }
}

void group_failover::drain_writes(context& ctx) {
    read_statuses(ctx, true);
    request_proxy_probes(ctx);
    const std::size_t blocking = replicas_to_stop(ctx.m_record.m_members.size());
    if (m_failure_detector.failure_confirmed(ctx.m_now, blocking) &&
        candidate_from_readings(ctx, std::nullopt)) {
        propose_begin(ctx);
        return;
    }
    if (ctx.m_now - m_stage_entered_at > max_write_hold) {
        m_next_hand_over = core::deadline_after(ctx.m_now, hand_over_retry_period);
        propose_once(ctx, control::release_writes{m_group});
        return;
    }
    if (writes_drained(ctx) && !m_primary_position) {
        send_step(ctx, step_kind::read_primary, read_position{0, m_watched_primary});
    }
    if (m_primary_position && any_replica_caught_up(ctx)) {
        propose_begin(ctx);
    }
}

bool group_failover::writes_drained(const context& ctx) const {
    const auto endpoint = ctx.m_state.m_endpoints.find(m_watched_primary);
    return endpoint != ctx.m_state.m_endpoints.end() && m_primary_report.m_host == endpoint->second.m_owner &&
           m_primary_report.m_lock_held && m_primary_report.m_applied >= ctx.m_record.m_writes_held_at &&
           m_primary_report.m_writes_in_flight == 0;
}

bool group_failover::any_replica_caught_up(const context& ctx) const {
    if (!candidate_from_readings(ctx, m_primary_position)) {
        return false;
    }
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& member) {
        const auto& reading = member.second.m_reading;
        return member.first != m_watched_primary && !ctx.m_drained.contains(member.first) && reading &&
               reading->m_status.m_in_recovery && reading->m_status.m_streaming &&
               ctx.m_now - reading->m_at <= observation_lifetime &&
               reading->m_status.m_position >= *m_primary_position;
    });
}

} // namespace mangoquay::failover
