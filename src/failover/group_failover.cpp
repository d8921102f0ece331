// Events of the failover core, and the way they lead from stage to stage.
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

void group_failover::elected(core::time_point now) {
    *this = group_failover(m_group);
    m_suspicion.reset(now);
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
    member.m_known = member.m_known || report.m_reachable;
    member.m_repairs = report.m_follows == group->second.m_primary ? 0 : member.m_repairs;
    if (report.m_endpoint == group->second.m_primary) {
        m_suspicion.owner_report(now, beat.m_host, report);
        m_primary_report = {beat.m_host, beat.m_applied, report.m_lock_held, report.m_writes_in_flight};
    }
}

void group_failover::on_probe_result(core::time_point now, const membership::probe_result& result) {
    if (result.m_endpoint == m_watched) {
        m_suspicion.proxy_view(now, result.m_host, result.m_reachable);
    }
}

actions group_failover::on_step_answer(const surroundings& around, const step_answer& answer) {
    const auto group = around.m_state.m_groups.find(m_group);
    const auto kind = take_pending(answer);
    if (group == around.m_state.m_groups.end() || !kind) {
        return {};
    }
    context here{around, group->second};
    take_answer(here, *kind, answer);
    follow_state(here);
    run_stage(here);
    return std::move(here.m_out);
}

actions group_failover::tick(const surroundings& around) {
    const auto group = around.m_state.m_groups.find(m_group);
    if (group == around.m_state.m_groups.end()) {
        return {};
    }
    context here{around, group->second};
    follow_state(here);
    run_stage(here);
    return std::move(here.m_out);
}

// The replicated record decides what is in progress; this also resumes after an election.
void group_failover::follow_state(context& here) {
    const bool promoting = m_stage != stage::watching && m_stage != stage::holding_writes;
    if (here.m_record.m_promotion_in_progress) {
        if (!promoting) {
            m_begun_at = here.m_state.m_revision;
            enter(stage::waiting_in_force, here.m_now);
        }
        return;
    }
    const stage wanted = here.m_record.m_writes_held ? stage::holding_writes : stage::watching;
    if (m_stage != wanted) {
        enter(wanted, here.m_now);
    }
    if (m_watched != here.m_record.m_primary) {
        m_watched = here.m_record.m_primary;
        m_suspicion.reset(here.m_now);
        m_primary_report = {};
        m_looked_once = false;
    }
}

// A promotion that goes back to `stopping` keeps the stops and the reading that it has.
void group_failover::enter(stage next, core::time_point now, const core::endpoint_id& chosen) {
    m_stage = next;
    m_stage_since = now;
    m_next_proposal = {};
    m_chosen = chosen;
    m_promote_sent = m_promote_sent && next != stage::waiting_in_force;
    if (next != stage::finishing) {
        m_promoted.reset();
    }
    for (auto& [id, member] : m_members) {
        member.m_pending.clear();
        if (next == stage::waiting_in_force) {
            member.m_stopped.reset();
        }
    }
    // Of the stages of a promotion one reading serves: no write is acknowledged in them.
    if (next == stage::watching || next == stage::holding_writes || next == stage::waiting_in_force) {
        m_primary_position.reset();
        m_admission_barrier = {};
    }
}

void group_failover::run_stage(context& here) {
    using stage_function = void (group_failover::*)(context&);
    constexpr stage_function functions[] = {&group_failover::watch,         &group_failover::hold,
                                            &group_failover::wait_in_force, &group_failover::stop_followers,
                                            &group_failover::run_promotion, &group_failover::finish};
    // A stage that ends lets the next one start in the same call; five transitions at most follow each other.
    for (std::size_t count = 0; count < std::size(functions); ++count) {
        const stage before = m_stage;
        (this->*functions[static_cast<std::size_t>(m_stage)])(here);
        if (m_stage == before) {
            return;
        }
    }
}

std::optional<group_failover::step_kind> group_failover::take_pending(const step_answer& answer) {
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

void group_failover::take_answer(context& here, step_kind kind, const step_answer& answer) {
    member_view& member = m_members[answer.m_endpoint];
    const endpoint_status& status = answer.m_status;
    switch (kind) {
    case step_kind::look:
        take_look(here, answer);
        break;
    case step_kind::read_primary:
        // The first reading after the writes ended covers every acknowledged write; later ones only grow.
        if (answer.m_ok && !status.m_in_recovery && !m_primary_position) {
            m_primary_position = status.m_position;
        }
        break;
    case step_kind::stop:
        if (answer.m_ok) {
            member.m_stopped = status;
            member.m_known = true;
            member.m_follows = {};
        }
        break;
    case step_kind::promote:
        if (answer.m_ok && !status.m_in_recovery && answer.m_endpoint == m_chosen) {
            m_promoted = status;
        }
        break;
    case step_kind::follow:
        if (answer.m_ok && status.m_in_recovery) {
            member.m_follows = m_watched;
        } else if (answer.m_ok && m_stage == stage::watching) {
            announce(here, answer.m_endpoint, control::endpoint_role::primary, {});
        }
        break;
    }
}

void group_failover::take_look(context& here, const step_answer& answer) {
    member_view& member = m_members[answer.m_endpoint];
    const endpoint_status& status = answer.m_status;
    member.m_next_look = core::deadline_after(
        here.m_now, m_stage == stage::holding_writes ? look_period_while_held : look_period);
    if (answer.m_endpoint == m_watched) {
        m_suspicion.leader_view(here.m_now, answer.m_ok && !status.m_in_recovery);
        m_looked_once = m_looked_once || answer.m_ok;
        // The first announcement may have come without the term.
        if (answer.m_ok && !status.m_in_recovery && here.m_record.m_fork_positions.size() == 1 &&
            status.m_position.m_term > here.m_record.m_term) {
            announce(here, answer.m_endpoint, control::endpoint_role::primary, status.m_position.m_term);
        }
        return;
    }
    if (!answer.m_ok) {
        return;
    }
    member.m_reading = own_reading{here.m_now, status};
    if (status.m_streaming) {
        member.m_seen_term = std::max(member.m_seen_term, status.m_position.m_term);
    }
    m_suspicion.replica_view(here.m_now, answer.m_endpoint, status.m_streaming);
    if (here.m_record.m_needs_rewind.contains(answer.m_endpoint)) {
        repair_diverged(here, answer.m_endpoint, member);
    }
}

template <class Step>
void group_failover::send(context& here, step_kind kind, Step step) {
    pending_step& pending = m_members[step.m_endpoint].m_pending[kind];
    if (!here.m_state.m_endpoints.contains(step.m_endpoint) || !pending.m_retry.passed(here.m_now)) {
        return; // without a record there is no address
    }
    step.m_attempt = ++m_last_attempt;
    pending = {step.m_attempt, core::deadline_after(here.m_now, step_retry)};
    here.m_out.emplace_back(std::move(step));
}

void group_failover::propose_once(context& here, control::command change) {
    if (m_next_proposal.passed(here.m_now)) {
        m_next_proposal = core::deadline_after(here.m_now, proposal_retry);
        here.m_out.emplace_back(propose{std::move(change)});
    }
}

void group_failover::announce(context& here, const core::endpoint_id& id, control::endpoint_role role,
                              core::term term) {
    const auto found = here.m_state.m_endpoints.find(id);
    if (found != here.m_state.m_endpoints.end()) {
        const control::endpoint_record& record = found->second;
        propose_once(here, control::announce_endpoint{id, m_group, record.m_zone, record.m_address, role,
                                                      term, record.m_slots, record.m_connections});
    }
}

// Instantiated here for the stages in the other files.
template void group_failover::send(context&, step_kind, read_position);
template void group_failover::send(context&, step_kind, stop_following);
template void group_failover::send(context&, step_kind, promote);
template void group_failover::send(context&, step_kind, follow);

} // namespace mangoquay::failover
