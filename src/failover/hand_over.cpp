// Planned hand-over of the primary's role.
#include "failover/group_failover.h"

#include <algorithm>

namespace mangoquay::failover {

void group_failover::try_hand_over(context& here) {
    const auto primary = m_members.find(m_watched);
    if (!m_next_hand_over.passed(here.m_now) || primary == m_members.end()) {
        return;
    }
    const std::uint64_t primary_position = primary->second.m_reported.m_position.value();
    std::size_t following = 0;
    bool close = false;
    for (const auto& [id, member] : m_members) {
        const bool follows = member.m_reachable && member.m_follows == m_watched && id != m_watched &&
                             here.m_now - member.m_reported_at <= view_lifetime &&
                             !here.m_record.m_needs_rewind.contains(id);
        const std::uint64_t position = member.m_reported.m_position.value();
        following += follows ? 1 : 0;
        close = close || (follows && !here.m_drained.contains(id) &&
                          position + largest_hand_over_lag_bytes >= primary_position);
    }
    const std::size_t members = here.m_record.m_members.size();
    if (close && following >= replicas_to_stop(members) && following + 1 >= quorum_of(members)) {
        m_next_hand_over = core::deadline_after(here.m_now, proposal_retry);
        here.m_out.emplace_back(propose{control::hold_writes{m_group, m_watched}});
    }
}

void group_failover::hold(context& here) {
    look(here, true);
    ask_proxies(here);
    const std::size_t cut = replicas_to_stop(here.m_record.m_members.size());
    if (m_suspicion.established(here.m_now, cut) && choice_by_readings(here, std::nullopt)) {
        begin(here);
        return;
    }
    if (here.m_now - m_stage_since > longest_hold) {
        m_next_hand_over = core::deadline_after(here.m_now, hand_over_retry);
        propose_once(here, control::release_writes{m_group});
        return;
    }
    if (writes_drained(here) && !m_primary_position) {
        send(here, step_kind::read_primary, read_position{0, m_watched});
    }
    if (m_primary_position && a_replica_caught_up(here)) {
        begin(here);
    }
}

bool group_failover::writes_drained(const context& here) const {
    const auto endpoint = here.m_state.m_endpoints.find(m_watched);
    return endpoint != here.m_state.m_endpoints.end() &&
           m_primary_report.m_host == endpoint->second.m_owner && m_primary_report.m_lock_held &&
           m_primary_report.m_applied >= here.m_record.m_held_at && m_primary_report.m_in_flight == 0;
}

bool group_failover::a_replica_caught_up(const context& here) const {
    if (!choice_by_readings(here, m_primary_position)) {
        return false;
    }
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& member) {
        const auto& reading = member.second.m_reading;
        return member.first != m_watched && !here.m_drained.contains(member.first) && reading &&
               reading->m_status.m_in_recovery && reading->m_status.m_streaming &&
               here.m_now - reading->m_at <= view_lifetime &&
               reading->m_status.m_position >= *m_primary_position;
    });
}

} // namespace mangoquay::failover
