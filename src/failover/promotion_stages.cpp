// Suspicion and the steps of a promotion.
#include "failover/group_failover.h"

#include <algorithm>

namespace mangoquay::failover {

void group_failover::watch(context& here) {
    if (m_watched.value().empty()) {
        return; // nothing announced as primary yet
    }
    if (m_suspicion.worth_a_look(here.m_now)) {
        look(here, true);
        ask_proxies(here);
    } else if (!m_looked_once) {
        look(here, false);
    }
    const std::size_t cut = replicas_to_stop(here.m_record.m_members.size());
    // Without a quorum of replicas the promotion could not end, and the primary may still come back.
    if (m_suspicion.established(here.m_now, cut) && choice_by_readings(here, std::nullopt)) {
        begin(here);
    } else if (here.m_drained.contains(m_watched)) {
        try_hand_over(here);
    }
    repair_members(here);
    admit_next(here);
}

void group_failover::look(context& here, bool at_replicas) {
    for (const core::endpoint_id& id : here.m_record.m_members) {
        if ((at_replicas || id == m_watched) && m_members[id].m_next_look.passed(here.m_now)) {
            send(here, step_kind::look, read_position{0, id});
        }
    }
}

void group_failover::ask_proxies(context& here) {
    const auto endpoint = here.m_state.m_endpoints.find(m_watched);
    if (endpoint == here.m_state.m_endpoints.end() || !m_next_ask.passed(here.m_now)) {
        return;
    }
    std::vector<core::entry_host_id> others;
    for (const auto& [host, proxy] : here.m_state.m_proxies) {
        if (host != endpoint->second.m_owner && here.m_leases.is_live(here.m_now, here.m_state, host)) {
            others.push_back(host);
        }
    }
    for (std::size_t count = 0; count < std::min(proxies_asked_at_once, others.size()); ++count) {
        here.m_out.emplace_back(ask_proxy{others[m_next_asked++ % others.size()], m_watched});
    }
    m_next_ask = core::deadline_after(here.m_now, look_period);
}

std::optional<core::endpoint_id>
group_failover::choice_by_readings(const context& here,
                                   const std::optional<core::history_position>& primary) const {
    std::map<core::endpoint_id, stopped_member> readings;
    for (const auto& [id, member] : m_members) {
        const bool fresh = member.m_reading && here.m_now - member.m_reading->m_at <= view_lifetime;
        if (fresh && id != m_watched && here.m_record.m_members.contains(id)) {
            readings[id] = {member.m_reading->m_status, member.m_seen_term, here.m_drained.contains(id)};
        }
    }
    return most_advanced(here.m_record, readings, primary);
}

void group_failover::begin(context& here) {
    const core::term next{here.m_record.m_term.value() + 1};
    propose_once(here, control::begin_promotion{m_group, next});
}

void group_failover::wait_in_force(context& here) {
    if (here.m_leases.applied_by_all_lease_holders(here.m_now, here.m_state, m_begun_at)) {
        enter(stage::stopping, here.m_now);
    }
}

std::map<core::endpoint_id, stopped_member> group_failover::stopped_members(const context& here) const {
    std::map<core::endpoint_id, stopped_member> stopped;
    for (const auto& [id, member] : m_members) {
        if (member.m_stopped && id != here.m_record.m_old_primary && here.m_record.m_members.contains(id)) {
            stopped[id] = {*member.m_stopped, member.m_seen_term, here.m_drained.contains(id)};
        }
    }
    return stopped;
}

void group_failover::stop_followers(context& here) {
    if (!m_catching_up.passed(here.m_now)) {
        return;
    }
    for (const core::endpoint_id& id : here.m_record.m_members) {
        member_view& member = m_members[id];
        if (id == here.m_record.m_old_primary) {
            if (!m_primary_position) {
                send(here, step_kind::read_primary, read_position{0, id});
            }
        } else if (!member.m_stopped) {
            send(here, step_kind::stop, stop_following{0, id});
        }
    }
    const auto stopped = stopped_members(here);
    for (const auto& [id, member] : stopped) {
        if (promoted_already(here.m_record, id, member.m_status)) {
            m_promoted = member.m_status;
            enter(stage::finishing, here.m_now, id);
            return;
        }
    }
    const auto best = most_advanced(here.m_record, stopped, m_primary_position);
    if (best) {
        enter(stage::promoting, here.m_now, *best);
    } else if (m_primary_position && !m_promote_sent && here.m_now - m_stage_since > promotion_patience) {
        let_replicas_catch_up(here);
    }
}

// The old primary answers and is needed for the quorum, but the replicas were stopped short of its position.
// No write is acknowledged under its term any more, so following it once more is safe, as long as none of
// them may have been promoted.
void group_failover::let_replicas_catch_up(context& here) {
    m_stage_since = here.m_now;
    m_catching_up = core::deadline_after(here.m_now, catch_up_time);
    for (auto& [id, member] : m_members) {
        if (member.m_stopped && id != here.m_record.m_old_primary) {
            member.m_stopped.reset();
            send(here, step_kind::follow, follow{0, id, here.m_record.m_old_primary});
        }
    }
}

void group_failover::run_promotion(context& here) {
    if (m_promoted) {
        enter(stage::finishing, here.m_now, core::endpoint_id(m_chosen));
        return;
    }
    if (here.m_now - m_stage_since > promotion_patience) {
        // It may have been promoted without an answer; its next answer to a stop says so.
        m_members[m_chosen].m_stopped.reset();
        enter(stage::stopping, here.m_now);
        return;
    }
    m_promote_sent = true;
    send(here, step_kind::promote, promote{0, m_chosen});
}

void group_failover::finish(context& here) {
    // The replayed position is a lower bound of the place where the new term began: too low a fork makes a
    // replica look diverged, too high a one would hide that it is. Unknown (0) when an earlier leader
    // promoted.
    const auto& stopped = m_members[m_chosen].m_stopped;
    const bool known = stopped && stopped->m_in_recovery;
    const core::log_position fork = known ? stopped->m_replayed : core::log_position{};
    propose_once(here, control::finish_promotion{m_group, m_promoted->m_position.m_term, m_chosen, fork});
}

} // namespace mangoquay::failover
