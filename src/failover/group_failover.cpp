// Event handlers of the failover logic of one group, and the transitions between its stages.
#include "failover/group_failover.h"

#include <algorithm>

namespace mangoquay::failover {

std::set<core::endpoint_id> drained_endpoints(const control::control_state& state) {
    std::set<core::endpoint_id> drained;
    for (const auto& [id, endpoint] : state.m_endpoints) {
        if (endpoint.m_leaving) {
            drained.insert(id);
        }
    }
    for (const auto& [name, service] : state.m_services) {
        const auto preset = state.m_presets.find(service.m_preset);
        if (preset == state.m_presets.end()) {
            continue;
        }
        for (const core::endpoint_id& id : preset->second.m_drained_endpoints) {
            const auto endpoint = state.m_endpoints.find(id);
            if (endpoint != state.m_endpoints.end() &&
                std::find(service.m_groups.begin(), service.m_groups.end(), endpoint->second.m_group) !=
                    service.m_groups.end()) {
                drained.insert(id);
            }
        }
    }
    return drained;
}

void group_failover::on_elected(core::time_point now) {
    *this = group_failover(m_group);
    m_failure_detector.reset(now);
}

void group_failover::on_report(core::time_point now, const control::control_state& state,
                               const membership::heartbeat& beat, const membership::endpoint_report& report) {
    const auto group = state.m_groups.find(m_group);
    if (group == state.m_groups.end()) {
        return;
    }
    member_view& member = m_members[report.m_endpoint];
    member.m_seen_term = std::max(member.m_seen_term, report.m_position.m_term);
    member.m_reported = report.m_position;
    member.m_follows = report.m_follows;
    member.m_reported_at = now;
    member.m_reachable = report.m_reachable;
    member.m_following_known = member.m_following_known || report.m_reachable;
    member.m_repair_attempts = report.m_follows == group->second.m_primary ? 0 : member.m_repair_attempts;
    if (report.m_endpoint == group->second.m_primary) {
        m_failure_detector.on_owner_report(now, beat.m_host, report);
        m_primary_report = {beat.m_host, beat.m_applied, report.m_lock_held, report.m_writes_in_flight};
    }
}

void group_failover::on_probe_result(core::time_point now, const membership::probe_result& result) {
    if (result.m_endpoint == m_watched_primary) {
        m_failure_detector.on_proxy_observation(now, result.m_host, result.m_reachable);
    }
}

actions group_failover::on_step_answer(const environment& env, const step_answer& answer) {
    const auto group = env.m_state.m_groups.find(m_group);
    const auto kind = remove_pending_step(answer);
    if (group == env.m_state.m_groups.end() || !kind) {
        return {};
    }
    context ctx{env, group->second};
    handle_step_answer(ctx, *kind, answer);
    sync_with_record(ctx);
    run_stage(ctx);
    return std::move(ctx.m_actions);
}

actions group_failover::tick(const environment& env) {
    const auto group = env.m_state.m_groups.find(m_group);
    if (group == env.m_state.m_groups.end()) {
        return {};
    }
    context ctx{env, group->second};
    sync_with_record(ctx);
    run_stage(ctx);
    return std::move(ctx.m_actions);
}

// The replicated record determines what is in progress; a new leader resumes from it as well.
void group_failover::sync_with_record(context& ctx) {
    const bool promoting = m_stage != stage::watching && m_stage != stage::holding_writes;
    if (ctx.m_record.m_promotion_in_progress) {
        if (!promoting) {
            m_begin_revision = ctx.m_state.m_revision;
            enter_stage(stage::waiting_for_effect, ctx.m_now);
        }
        return;
    }
    const stage target_stage = ctx.m_record.m_writes_held ? stage::holding_writes : stage::watching;
    if (m_stage != target_stage) {
        enter_stage(target_stage, ctx.m_now);
    }
    if (m_watched_primary != ctx.m_record.m_primary) {
        m_watched_primary = ctx.m_record.m_primary;
        m_failure_detector.reset(ctx.m_now);
        m_primary_report = {};
        m_primary_read_once = false;
    }
}

// A promotion that returns to stage::stopping_followers keeps the members already stopped and the reading of
// the primary.
void group_failover::enter_stage(stage next, core::time_point now, const core::endpoint_id& candidate) {
    m_stage = next;
    m_stage_entered_at = now;
    m_next_proposal = {};
    m_candidate = candidate;
    m_promote_sent = m_promote_sent && next != stage::waiting_for_effect;
    if (next != stage::finishing) {
        m_promoted.reset();
    }
    for (auto& [id, member] : m_members) {
        member.m_pending.clear();
        if (next == stage::waiting_for_effect) {
            member.m_stopped.reset();
        }
    }
    // One reading is sufficient for all stages of a promotion, because no write is acknowledged during them.
    if (next == stage::watching || next == stage::holding_writes || next == stage::waiting_for_effect) {
        m_primary_position.reset();
        m_admission_barrier = {};
    }
}

void group_failover::run_stage(context& ctx) {
    using stage_function = void (group_failover::*)(context&);
    constexpr stage_function functions[] = {&group_failover::watch_primary, &group_failover::drain_writes,
                                            &group_failover::await_effect,  &group_failover::stop_followers,
                                            &group_failover::run_promotion, &group_failover::propose_finish};
    // When a stage ends, the next one starts in the same call; there are at most five consecutive
    // transitions.
    for (std::size_t count = 0; count < std::size(functions); ++count) {
        const stage before = m_stage;
        (this->*functions[static_cast<std::size_t>(m_stage)])(ctx);
        if (m_stage == before) {
            return;
        }
    }
}

std::optional<group_failover::step_kind> group_failover::remove_pending_step(const step_answer& answer) {
    const auto member = m_members.find(answer.m_endpoint);
    if (member == m_members.end()) {
        return std::nullopt;
    }
    auto& pending = member->second.m_pending;
    const auto found = std::find_if(pending.begin(), pending.end(), [&](const auto& step) {
        return step.second.m_attempt == answer.m_attempt;
    });
    if (found == pending.end()) {
        return std::nullopt;
    }
    const step_kind kind = found->first;
    pending.erase(found);
    return kind;
}

void group_failover::handle_step_answer(context& ctx, step_kind kind, const step_answer& answer) {
    member_view& member = m_members[answer.m_endpoint];
    const endpoint_status& status = answer.m_status;
    switch (kind) {
    case step_kind::read_status:
        handle_status_reading(ctx, answer);
        break;
    case step_kind::read_primary:
        // The first reading after writes have stopped covers every acknowledged write; positions only grow.
        if (answer.m_succeeded && !status.m_in_recovery && !m_primary_position) {
            m_primary_position = status.m_position;
        }
        break;
    case step_kind::stop:
        if (answer.m_succeeded) {
            member.m_stopped = status;
            member.m_following_known = true;
            member.m_follows = {};
        }
        break;
    case step_kind::promote:
        if (answer.m_succeeded && !status.m_in_recovery && answer.m_endpoint == m_candidate) {
            m_promoted = status;
        }
        break;
    case step_kind::follow:
        if (answer.m_succeeded && status.m_in_recovery) {
            member.m_follows = m_watched_primary;
        } else if (answer.m_succeeded && m_stage == stage::watching) {
            propose_announcement(ctx, answer.m_endpoint, control::endpoint_role::primary, {});
        }
        break;
    }
}

void group_failover::handle_status_reading(context& ctx, const step_answer& answer) {
    member_view& member = m_members[answer.m_endpoint];
    const endpoint_status& status = answer.m_status;
    member.m_next_status_reading =
        core::deadline_after(ctx.m_now, m_stage == stage::holding_writes ? status_reading_period_while_held
                                                                         : status_reading_period);
    if (answer.m_endpoint == m_watched_primary) {
        m_failure_detector.on_leader_reading(ctx.m_now, answer.m_succeeded && !status.m_in_recovery);
        m_primary_read_once = m_primary_read_once || answer.m_succeeded;
        // The first announcement may have lacked the term.
        if (answer.m_succeeded && !status.m_in_recovery && ctx.m_record.m_fork_positions.size() == 1 &&
            status.m_position.m_term > ctx.m_record.m_term) {
            propose_announcement(ctx, answer.m_endpoint, control::endpoint_role::primary,
                                 status.m_position.m_term);
        }
        return;
    }
    if (!answer.m_succeeded) {
        return;
    }
    member.m_reading = leader_reading{ctx.m_now, status};
    if (status.m_streaming) {
        member.m_seen_term = std::max(member.m_seen_term, status.m_position.m_term);
    }
    m_failure_detector.on_replica_reading(ctx.m_now, answer.m_endpoint, status.m_streaming);
    if (ctx.m_record.m_needs_rewind.contains(answer.m_endpoint)) {
        repair_diverged(ctx, answer.m_endpoint, member);
    }
}

template <class Step>
void group_failover::send_step(context& ctx, step_kind kind, Step step) {
    pending_step& pending = m_members[step.m_endpoint].m_pending[kind];
    if (!ctx.m_state.m_endpoints.contains(step.m_endpoint) || !pending.m_retry.passed(ctx.m_now)) {
        return; // Without an endpoint record the address is unknown.
    }
    step.m_attempt = ++m_last_attempt;
    pending = {step.m_attempt, core::deadline_after(ctx.m_now, step_retry_period)};
    ctx.m_actions.emplace_back(std::move(step));
}

void group_failover::propose_once(context& ctx, control::command change) {
    if (m_next_proposal.passed(ctx.m_now)) {
        m_next_proposal = core::deadline_after(ctx.m_now, proposal_retry_period);
        ctx.m_actions.emplace_back(propose{std::move(change)});
    }
}

void group_failover::propose_announcement(context& ctx, const core::endpoint_id& id,
                                          control::endpoint_role role, core::term term) {
    const auto found = ctx.m_state.m_endpoints.find(id);
    if (found != ctx.m_state.m_endpoints.end()) {
        const control::endpoint_record& record = found->second;
        propose_once(ctx, control::announce_endpoint{id, m_group, record.m_zone, record.m_address, role, term,
                                                     record.m_slots, record.m_connections});
    }
}

// Explicit instantiations for the stages implemented in other files.
template void group_failover::send_step(context&, step_kind, read_position);
template void group_failover::send_step(context&, step_kind, stop_following);
template void group_failover::send_step(context&, step_kind, promote);
template void group_failover::send_step(context&, step_kind, follow_primary);

} // namespace mangoquay::failover
