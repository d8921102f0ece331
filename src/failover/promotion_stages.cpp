// Failure detection and the stages of a promotion.
#include "failover/group_failover.h"

#include <algorithm>

namespace mangoquay::failover {

void group_failover::watch_primary(context& ctx) {
    if (m_watched_primary.value().empty()) {
        return; // No primary has been announced yet.
    }
    if (m_failure_detector.failure_suspected(ctx.m_now)) {
        read_statuses(ctx, true);
        request_proxy_probes(ctx);
    } else if (!m_primary_read_once) {
        read_statuses(ctx, false);
    }
    const std::size_t blocking = replicas_to_stop(ctx.m_record.m_members.size());
    // Without a quorum of replicas the promotion could not finish, and the primary may still recover.
    if (m_failure_detector.failure_confirmed(ctx.m_now, blocking) &&
        candidate_from_readings(ctx, std::nullopt)) {
        propose_begin(ctx);
    } else if (ctx.m_drained.contains(m_watched_primary)) {
        try_hand_over(ctx);
    }
    repair_members(ctx);
    admit_next_member(ctx);
}

void group_failover::read_statuses(context& ctx, bool include_replicas) {
    for (const core::endpoint_id& id : ctx.m_record.m_members) {
        if ((include_replicas || id == m_watched_primary) &&
            m_members[id].m_next_status_reading.passed(ctx.m_now)) {
            send_step(ctx, step_kind::read_status, read_position{0, id});
        }
    }
}

void group_failover::request_proxy_probes(context& ctx) {
    const auto endpoint = ctx.m_state.m_endpoints.find(m_watched_primary);
    if (endpoint == ctx.m_state.m_endpoints.end() || !m_next_proxy_probe.passed(ctx.m_now)) {
        return;
    }
    std::vector<core::entry_host_id> others;
    for (const auto& [host, proxy] : ctx.m_state.m_proxies) {
        if (host != endpoint->second.m_owner && ctx.m_leases.is_live(ctx.m_now, ctx.m_state, host)) {
            others.push_back(host);
        }
    }
    for (std::size_t count = 0; count < std::min(proxies_probed_at_once, others.size()); ++count) {
        ctx.m_actions.emplace_back(
            request_proxy_probe{others[m_next_proxy_index++ % others.size()], m_watched_primary});
    }
    m_next_proxy_probe = core::deadline_after(ctx.m_now, status_reading_period);
}

std::optional<core::endpoint_id>
group_failover::candidate_from_readings(const context& ctx,
                                        const std::optional<core::history_position>& primary) const {
    std::map<core::endpoint_id, stopped_member> readings;
    for (const auto& [id, member] : m_members) {
        const bool recent = member.m_reading && ctx.m_now - member.m_reading->m_at <= observation_lifetime;
        if (recent && id != m_watched_primary && ctx.m_record.m_members.contains(id)) {
            readings[id] = {member.m_reading->m_status, member.m_seen_term, ctx.m_drained.contains(id)};
        }
    }
    return most_advanced(ctx.m_record, readings, primary);
}

void group_failover::propose_begin(context& ctx) {
    const core::term next{ctx.m_record.m_term.value() + 1};
    propose_once(ctx, control::begin_promotion{m_group, next});
}

void group_failover::await_effect(context& ctx) {
    if (ctx.m_leases.applied_by_all_lease_holders(ctx.m_now, ctx.m_state, m_begin_revision)) {
        enter_stage(stage::stopping_followers, ctx.m_now);
    }
}

std::map<core::endpoint_id, stopped_member> group_failover::stopped_members(const context& ctx) const {
    std::map<core::endpoint_id, stopped_member> stopped;
    for (const auto& [id, member] : m_members) {
        if (member.m_stopped && id != ctx.m_record.m_old_primary && ctx.m_record.m_members.contains(id)) {
            stopped[id] = {*member.m_stopped, member.m_seen_term, ctx.m_drained.contains(id)};
        }
    }
    return stopped;
}

void group_failover::stop_followers(context& ctx) {
    if (!m_catch_up_deadline.passed(ctx.m_now)) {
        return;
    }
    for (const core::endpoint_id& id : ctx.m_record.m_members) {
        member_view& member = m_members[id];
        if (id == ctx.m_record.m_old_primary) {
            if (!m_primary_position) {
                send_step(ctx, step_kind::read_primary, read_position{0, id});
            }
        } else if (!member.m_stopped) {
            send_step(ctx, step_kind::stop, stop_following{0, id});
        }
    }
    const auto stopped = stopped_members(ctx);
    for (const auto& [id, member] : stopped) {
        if (promoted_already(ctx.m_record, id, member.m_status)) {
            m_promoted = member.m_status;
            enter_stage(stage::finishing, ctx.m_now, id);
            return;
        }
    }
    const auto best = most_advanced(ctx.m_record, stopped, m_primary_position);
    if (best) {
        enter_stage(stage::promoting, ctx.m_now, *best);
    } else if (m_primary_position && !m_promote_sent && ctx.m_now - m_stage_entered_at > promotion_timeout) {
        let_replicas_catch_up(ctx);
    }
}

// The old primary answers and is needed for the quorum, but the replicas were stopped before they reached its
// position. No write is acknowledged under its term any more, so following it again is safe as long as none
// of them may have been promoted.
void group_failover::let_replicas_catch_up(context& ctx) {
    m_stage_entered_at = ctx.m_now;
    m_catch_up_deadline = core::deadline_after(ctx.m_now, catch_up_timeout);
    for (auto& [id, member] : m_members) {
        if (member.m_stopped && id != ctx.m_record.m_old_primary) {
            member.m_stopped.reset();
            send_step(ctx, step_kind::follow, follow_primary{0, id, ctx.m_record.m_old_primary});
        }
    }
}

void group_failover::run_promotion(context& ctx) {
    if (m_promoted) {
        enter_stage(stage::finishing, ctx.m_now, core::endpoint_id(m_candidate));
        return;
    }
    if (ctx.m_now - m_stage_entered_at > promotion_timeout) {
        // The candidate may have been promoted although no answer arrived; its answer to the next stop step
        // shows it.
        m_members[m_candidate].m_stopped.reset();
        enter_stage(stage::stopping_followers, ctx.m_now);
        return;
    }
    m_promote_sent = true;
    send_step(ctx, step_kind::promote, promote{0, m_candidate});
}

void group_failover::propose_finish(context& ctx) {
    // The replayed position is a lower bound of the position at which the new term began: a fork position
    // that is too low makes a replica appear diverged, one that is too high would hide a divergence. It is
    // unknown (0) if an earlier leader promoted the member.
    const auto& stopped = m_members[m_candidate].m_stopped;
    const bool known = stopped && stopped->m_in_recovery;
    const core::log_position fork = known ? stopped->m_replayed : core::log_position{};
    propose_once(ctx, control::finish_promotion{m_group, m_promoted->m_position.m_term, m_candidate, fork});
}

} // namespace mangoquay::failover
