// Steps of settling a closed business day.
#include "settlement/settlement_core.h"

#include "failover/candidates.h"

#include <algorithm>

namespace mangoquay::settlement {

void settlement_core::on_elected() {
    m_hosts.clear();
    m_closings.clear();
}

void settlement_core::on_heartbeat(const membership::heartbeat& beat) {
    host_report& report = m_hosts[beat.m_host];
    if (report.m_incarnation > beat.m_incarnation ||
        (report.m_incarnation == beat.m_incarnation && report.m_number >= beat.m_number)) {
        return;
    }
    report = {beat.m_incarnation, beat.m_number, beat.m_applied, {}, {}};
    for (const membership::unsettled_day& day : beat.m_unsettled) {
        report.m_unsettled[day.m_key] = day.m_writes;
    }
    for (const membership::endpoint_report& endpoint : beat.m_health) {
        if (endpoint.m_lock_held) {
            report.m_locked.insert(endpoint.m_endpoint);
        }
    }
}

actions settlement_core::tick(core::time_point now, const control::control_state& state,
                              membership::lease_table& leases) {
    actions out;
    for (const auto& [key, day] : state.m_days) {
        if (day.m_phase == control::day_phase::closing) {
            advance_closing(now, state, leases, key, day, out);
        } else {
            m_closings.erase(key);
        }
    }
    return out;
}

void settlement_core::advance_closing(core::time_point now, const control::control_state& state,
                                      membership::lease_table& leases, const control::day_key& key,
                                      const control::day_record& day, actions& out) {
    closing_progress& progress = m_closings[key];
    const auto& groups = state.m_services.at(key.m_service).m_groups;
    for (const core::group_id& group : groups) {
        if (!state.m_groups.contains(group)) {
            return; // The group is not announced yet, so its position cannot be read.
        }
        track_group(state, group, progress.m_groups[group]);
    }
    progress.m_drained = progress.m_drained || drained(now, state, leases, key, day);
    if (!progress.m_drained) {
        return;
    }
    control::settle_day command{key, {}};
    for (const core::group_id& group : groups) {
        const control::group_record& record = state.m_groups.at(group);
        group_progress& current = progress.m_groups[group];
        request_positions(now, record, current, out);
        if (current.m_target && held_by_quorum(record, current)) {
            command.m_positions[group] = *current.m_target;
        }
    }
    if (command.m_positions.size() == groups.size() && progress.m_next_proposal.passed(now)) {
        progress.m_next_proposal = core::deadline_after(now, proposal_retry);
        out.emplace_back(failover::propose{std::move(command)});
    }
}

// Resets the progress of a group when its primary or term changes, because position reads are valid for one
// primary and term only. Also tracks the owner of the primary.
void settlement_core::track_group(const control::control_state& state, const core::group_id& group,
                                  group_progress& progress) {
    const control::group_record& record = state.m_groups.at(group);
    if (progress.m_term != record.m_term || progress.m_primary != record.m_primary) {
        progress = {};
        progress.m_term = record.m_term;
        progress.m_primary = record.m_primary;
    }
    const auto endpoint = state.m_endpoints.find(record.m_primary);
    const core::owner_epoch epoch =
        endpoint == state.m_endpoints.end() ? core::owner_epoch{} : endpoint->second.m_owner_epoch;
    if (progress.m_epoch != epoch) {
        progress.m_epoch = epoch;
        progress.m_owner_assigned_at = state.m_revision;
    }
}

bool settlement_core::drained(core::time_point now, const control::control_state& state,
                              membership::lease_table& leases, const control::day_key& key,
                              const control::day_record& day) const {
    for (const auto& [host, proxy] : state.m_proxies) {
        if (!leases.may_hold_lease(now, host)) {
            continue; // Its writes cannot be acknowledged; owner_established() waits until their sessions
                      // have ended.
        }
        const auto report = m_hosts.find(host);
        if (report == m_hosts.end() || report->second.m_incarnation != proxy.m_incarnation ||
            report->second.m_applied < day.m_closed_at || report->second.m_unsettled.contains(key)) {
            return false;
        }
    }
    const auto& groups = m_closings.at(key).m_groups;
    const bool owners_established = std::all_of(groups.begin(), groups.end(), [&](const auto& group) {
        return owner_established(now, state, leases, group.second);
    });
    return owners_established && leases.applied_by_all_lease_holders(now, state, day.m_closed_at);
}

bool settlement_core::owner_established(core::time_point now, const control::control_state& state,
                                        const membership::lease_table& leases,
                                        const group_progress& progress) const {
    const auto endpoint = state.m_endpoints.find(progress.m_primary);
    if (endpoint == state.m_endpoints.end()) {
        return false;
    }
    const core::entry_host_id& owner = endpoint->second.m_owner;
    const auto report = m_hosts.find(owner);
    return report != m_hosts.end() && leases.is_live(now, state, owner) &&
           report->second.m_applied >= progress.m_owner_assigned_at &&
           report->second.m_locked.contains(progress.m_primary);
}

void settlement_core::request_positions(core::time_point now, const control::group_record& record,
                                        group_progress& progress, actions& out) {
    if (record.m_promotion_in_progress || record.m_primary.value().empty()) {
        return;
    }
    if (!progress.m_target) {
        request_position(now, record.m_primary, progress.m_position_reads[record.m_primary], out);
        return;
    }
    if (held_by_quorum(record, progress)) {
        return;
    }
    for (const core::endpoint_id& member : record.m_members) {
        position_read& read = progress.m_position_reads[member];
        if (member != record.m_primary && !read.m_holds_target) {
            request_position(now, member, read, out);
        }
    }
}

void settlement_core::request_position(core::time_point now, const core::endpoint_id& endpoint,
                                       position_read& read, actions& out) {
    if (read.m_retry.passed(now)) {
        read.m_attempt = ++m_last_attempt;
        read.m_retry = core::deadline_after(now, position_read_retry);
        out.emplace_back(failover::read_position{read.m_attempt, endpoint});
    }
}

void settlement_core::on_position_answer(const control::control_state& state,
                                         const failover::step_answer& answer) {
    for (auto& [key, progress] : m_closings) {
        for (auto& [group, current] : progress.m_groups) {
            const auto found = current.m_position_reads.find(answer.m_endpoint);
            const auto record = state.m_groups.find(group);
            if (found == current.m_position_reads.end() || found->second.m_attempt != answer.m_attempt ||
                record == state.m_groups.end()) {
                continue;
            }
            found->second.m_retry = {};
            const failover::endpoint_status& status = answer.m_status;
            const bool usable = answer.m_succeeded && status.m_position.m_term == record->second.m_term &&
                                current.m_term == record->second.m_term;
            if (usable && !status.m_in_recovery && answer.m_endpoint == current.m_primary &&
                !current.m_target) {
                current.m_target = status.m_position;
            } else if (usable && status.m_in_recovery && status.m_streaming && current.m_target) {
                found->second.m_holds_target = status.m_position >= *current.m_target;
            }
        }
    }
}

bool settlement_core::held_by_quorum(const control::group_record& record, const group_progress& progress) {
    const auto holding = std::count_if(
        progress.m_position_reads.begin(), progress.m_position_reads.end(), [&](const auto& position_read) {
            return position_read.second.m_holds_target && record.m_members.contains(position_read.first);
        });
    return static_cast<std::size_t>(holding) + 1 >= failover::quorum_size(record.m_members.size());
}

} // namespace mangoquay::settlement
