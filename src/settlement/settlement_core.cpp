// The control leader's core that settles closed business days.
#include "settlement/settlement_core.h"

#include "failover/candidates.h"

#include <algorithm>

namespace mangoquay::settlement {

void settlement_core::elected() {
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
            advance(now, state, leases, key, day, out);
        } else {
            m_closings.erase(key);
        }
    }
    return out;
}

void settlement_core::advance(core::time_point now, const control::control_state& state,
                              membership::lease_table& leases, const control::day_key& key,
                              const control::day_record& day, actions& out) {
    closing& progress = m_closings[key];
    const auto& groups = state.m_services.at(key.m_service).m_groups;
    for (const core::group_id& group : groups) {
        if (!state.m_groups.contains(group)) {
            return; // not announced yet: nothing can be read
        }
        follow_group(state, group, progress.m_groups[group]);
    }
    progress.m_drained = progress.m_drained || drained(now, state, leases, key, day);
    if (!progress.m_drained) {
        return;
    }
    control::settle_day settle{key, {}};
    for (const core::group_id& group : groups) {
        const control::group_record& record = state.m_groups.at(group);
        group_progress& read = progress.m_groups[group];
        read_group(now, record, read, out);
        if (read.m_target && held_by_quorum(record, read)) {
            settle.m_positions[group] = *read.m_target;
        }
    }
    if (settle.m_positions.size() == groups.size() && progress.m_next_proposal.passed(now)) {
        progress.m_next_proposal = core::deadline_after(now, proposal_retry);
        out.emplace_back(failover::propose{std::move(settle)});
    }
}

// A reading holds for one primary and term only.
void settlement_core::follow_group(const control::control_state& state, const core::group_id& group,
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
        progress.m_owner_seen_at = state.m_revision;
    }
}

bool settlement_core::drained(core::time_point now, const control::control_state& state,
                              membership::lease_table& leases, const control::day_key& key,
                              const control::day_record& day) const {
    for (const auto& [host, proxy] : state.m_proxies) {
        if (!leases.may_hold_lease(now, host)) {
            continue; // its writes cannot be acknowledged; taken_over() waits for their sessions to end
        }
        const auto report = m_hosts.find(host);
        if (report == m_hosts.end() || report->second.m_incarnation != proxy.m_incarnation ||
            report->second.m_applied < day.m_closed_at || report->second.m_unsettled.contains(key)) {
            return false;
        }
    }
    const auto& groups = m_closings.at(key).m_groups;
    const bool owned = std::all_of(groups.begin(), groups.end(), [&](const auto& group) {
        return taken_over(now, state, leases, group.second);
    });
    return owned && leases.applied_by_all_lease_holders(now, state, day.m_closed_at);
}

bool settlement_core::taken_over(core::time_point now, const control::control_state& state,
                                 const membership::lease_table& leases,
                                 const group_progress& progress) const {
    const auto endpoint = state.m_endpoints.find(progress.m_primary);
    if (endpoint == state.m_endpoints.end()) {
        return false;
    }
    const core::entry_host_id& owner = endpoint->second.m_owner;
    const auto report = m_hosts.find(owner);
    return report != m_hosts.end() && leases.is_live(now, state, owner) &&
           report->second.m_applied >= progress.m_owner_seen_at &&
           report->second.m_locked.contains(progress.m_primary);
}

void settlement_core::read_group(core::time_point now, const control::group_record& record,
                                 group_progress& progress, actions& out) {
    if (record.m_promotion_in_progress || record.m_primary.value().empty()) {
        return;
    }
    if (!progress.m_target) {
        request(now, record.m_primary, progress.m_readings[record.m_primary], out);
        return;
    }
    if (held_by_quorum(record, progress)) {
        return;
    }
    for (const core::endpoint_id& member : record.m_members) {
        reading& wanted = progress.m_readings[member];
        if (member != record.m_primary && !wanted.m_holds) {
            request(now, member, wanted, out);
        }
    }
}

void settlement_core::request(core::time_point now, const core::endpoint_id& endpoint, reading& wanted,
                              actions& out) {
    if (wanted.m_retry.passed(now)) {
        wanted.m_attempt = ++m_last_attempt;
        wanted.m_retry = core::deadline_after(now, reading_retry);
        out.emplace_back(failover::read_position{wanted.m_attempt, endpoint});
    }
}

void settlement_core::on_reading(const control::control_state& state, const failover::step_answer& answer) {
    for (auto& [key, progress] : m_closings) {
        for (auto& [group, read] : progress.m_groups) {
            const auto found = read.m_readings.find(answer.m_endpoint);
            const auto record = state.m_groups.find(group);
            if (found == read.m_readings.end() || found->second.m_attempt != answer.m_attempt ||
                record == state.m_groups.end()) {
                continue;
            }
            found->second.m_retry = {};
            const failover::endpoint_status& status = answer.m_status;
            const bool usable = answer.m_ok && status.m_position.m_term == record->second.m_term &&
                                read.m_term == record->second.m_term;
            if (usable && !status.m_in_recovery && answer.m_endpoint == read.m_primary && !read.m_target) {
                read.m_target = status.m_position;
            } else if (usable && status.m_in_recovery && status.m_streaming && read.m_target) {
                found->second.m_holds = status.m_position >= *read.m_target;
            }
        }
    }
}

bool settlement_core::held_by_quorum(const control::group_record& record, const group_progress& progress) {
    const auto holding =
        std::count_if(progress.m_readings.begin(), progress.m_readings.end(), [&](const auto& reading) {
            return reading.second.m_holds && record.m_members.contains(reading.first);
        });
    return static_cast<std::size_t>(holding) + 1 >= failover::quorum_of(record.m_members.size());
}

} // namespace mangoquay::settlement
