// Handles the answers of databases to steps and the outcomes of promotion orders.
#include "promotion/promotion_core.h"

#include "promotion/promotion_limits.h"

#include <algorithm>
#include <utility>

namespace mangoquay::promotion {

using registry::endpoint_report;

void promotion_core::on_order_outcome(const core::service_name& service, fencing_token token,
                                      order_outcome outcome, core::time_point now) {
    const auto found = m_service_states.find(service);
    if (!m_leading || found == m_service_states.end() || found->second.m_fencing_token != token) {
        return;
    }
    service_state& state = found->second;
    state.m_earlier_orders_fenced = outcome == order_outcome::accepted; // All earlier tokens are lower.
    state.m_settle_deadline = core::deadline_after(now, settle_time);
    if (state.m_phase == phase::fencing) {
        state.m_last_probe_accepted = state.m_earlier_orders_fenced;
        enter_phase(state, phase::watching, core::milliseconds(0), now);
        return;
    }
    if (state.m_phase != phase::ordering) {
        return;
    }
    switch (outcome) {
    case order_outcome::accepted:
        m_ports.record_event({"promotion accepted", service, state.m_target, ""});
        if (state.m_is_target_adopted && state.is_synchronous()) {
            state.m_adoption_settled = core::deadline_after(now, adoption_settle_time);
        }
        restore_leases(state, service, now);
        enter_phase(state, phase::confirming, confirm_timeout, now);
        break;
    case order_outcome::refused:
        state.m_rejected_until[state.m_target] = core::deadline_after(now, rejection_period);
        m_ports.record_event({"promotion refused", service, state.m_target, ""});
        // An earlier order may have promoted the target, which may have failed since: all positions are
        // requested again.
        enter_phase(state, phase::watching, core::milliseconds(0), now);
        state.m_probes_failing_since = now - primary_mostly_lost_timeout;
        break;
    case order_outcome::unknown:
        state.m_phase_deadline = core::deadline_after(now, probe_period);
        break;
    }
}

void promotion_core::on_step_answer(const core::service_name& service, const step_answer& answer,
                                    core::time_point now) {
    const auto found = m_service_states.find(service);
    if (!m_leading || found == m_service_states.end()) {
        return;
    }
    service_state& state = found->second;
    if (answer.m_status) {
        state.m_highest_term = std::max(state.m_highest_term, answer.m_status->m_term);
    }
    if (answer.m_position) {
        state.m_highest_term = std::max(state.m_highest_term, answer.m_position->m_term);
    }
    if (answer.m_kind == step_kind::probe) {
        state.m_probe_in_flight = false;
    }
    if (answer.m_kind == step_kind::status && answer.m_connections_exhausted) {
        state.m_next_replica_query =
            std::min(state.m_next_replica_query, core::deadline_after(now, successor_query_period));
    }
    if (answer.m_kind == step_kind::step_down && answer.m_status && state.m_is_leased) {
        on_step_down_answer(service, state, answer, now);
    }
    if (answer.m_kind == step_kind::resume && answer.m_answered) {
        state.m_unresumed_replicas.erase(answer.m_endpoint);
    }
    if (state.m_phase == phase::watching && answer.m_kind == step_kind::probe) {
        on_probe_answer(state, answer, now);
    } else if (state.m_phase == phase::watching && answer.m_kind == step_kind::status && answer.m_status) {
        core::history_position& held = state.m_replica_positions[{answer.m_endpoint, answer.m_started_ms}];
        held = std::max(held, answer.m_status->m_received);
        if (state.m_primary_position && answer.m_status->m_received >= *state.m_primary_position) {
            state.m_successor_current_until = core::deadline_after(now, successor_answer_validity);
        }
    } else if (state.m_phase == phase::confirming && answer.m_is_primary &&
               answer.m_endpoint == state.m_target) {
        state.m_primary = state.m_target;
        state.m_required_position.reset();
        end_replacement(state, service, "promotion confirmed", now);
    } else if (state.m_phase == phase::pausing && answer.m_kind == step_kind::pause && answer.m_status) {
        on_pause_answer(service, state, answer, now);
    } else if (state.m_phase == phase::catching_up && answer.m_status) {
        state.m_positions[answer.m_endpoint] = answer.m_status->m_received;
        if (answer.m_endpoint == state.m_primary) {
            state.m_old_primary_answer_expiry = core::deadline_after(now, old_primary_answer_lifetime);
        }
    } else if (state.m_phase == phase::stepping_down && answer.m_kind == step_kind::step_down &&
               answer.m_status && answer.m_endpoint == state.m_primary && !answer.m_status->m_is_primary) {
        state.m_required_position = answer.m_status->m_received;
        state.m_positions = {{answer.m_endpoint, answer.m_status->m_received}};
        state.m_old_primary_answer_expiry = core::deadline_after(now, old_primary_answer_lifetime);
        enter_phase(state, phase::catching_up, catch_up_timeout, now);
    }
}

// An endpoint that is still a primary after a request with the term of the monitored one was promoted after
// it, by an order that was carried out late. It is assigned in its place.
void promotion_core::on_step_down_answer(const core::service_name& service, service_state& state,
                                         const step_answer& answer, core::time_point now) {
    if (!answer.m_status->m_is_primary) {
        m_lease_authority.on_stepped_down(service, answer.m_endpoint);
        return;
    }
    if (state.m_phase == phase::watching && answer.m_endpoint != state.m_primary &&
        answer.m_status->m_term > state.m_primary_term) {
        adopt(service, state, answer, now);
    }
}

void promotion_core::adopt(const core::service_name& service, service_state& state, const step_answer& answer,
                           core::time_point now) {
    m_ports.record_event({"a primary that is not assigned is adopted", service, answer.m_endpoint,
                          "term=" + std::to_string(answer.m_status->m_term.value())});
    state.m_pause_term = core::term(state.m_highest_term.value() + 1);
    state.m_target = answer.m_endpoint;
    state.m_is_target_adopted = true;
    m_lease_authority.withdraw(service);
    enter_phase(state, phase::reserving, reserve_timeout, now);
}

// A pause takes effect only under a term above the highest one, which a new leader may not know yet.
void promotion_core::on_pause_answer(const core::service_name& service, service_state& state,
                                     const step_answer& answer, core::time_point now) {
    if (answer.m_status->m_is_primary && state.m_is_leased) {
        // An old primary that goes on is stepped down once another endpoint is assigned. Otherwise only the
        // latest primary acts as one: the assigned endpoint was never promoted.
        if (!state.m_old_primary_goes_on) {
            adopt(service, state, answer, now);
        }
        return;
    }
    if (answer.m_status->m_is_primary) { // An earlier leader promoted it, and its report has not arrived yet.
        state.m_primary = answer.m_endpoint;
        state.m_required_position.reset();
        end_replacement(state, service, "replacement abandoned: another endpoint is the primary", now);
        return;
    }
    if (answer.m_term != state.m_pause_term) {
        return; // Answer to an earlier request whose term was too low.
    }
    if (answer.m_status->m_term < state.m_pause_term) {
        state.m_positions[answer.m_endpoint] = answer.m_status->m_received;
        state.m_connected_at[answer.m_endpoint] = answer.m_connected_at;
        return;
    }
    state.m_pause_term = core::term(state.m_highest_term.value() + 1);
    state.m_positions.clear();
    for (const auto& [id, report] : state.m_queried_replicas) {
        m_ports.run_step(service, report, step_kind::pause, state.m_pause_term);
    }
}

void promotion_core::on_probe_answer(service_state& state, const step_answer& answer, core::time_point now) {
    if (answer.m_endpoint != state.m_primary) {
        return;
    }
    if (answer.m_connections_exhausted) {
        state.m_probes_failing_since.reset();
        return;
    }
    state.m_last_probe_accepted = answer.m_answered && answer.m_is_primary;
    if (answer.m_position) {
        state.m_primary_term = answer.m_position->m_term;
        state.m_primary_position = answer.m_position;
        state.m_primary_position_at = state.m_probe_sent_at;
    }
    if (state.m_last_probe_accepted) {
        state.m_required_position.reset();
    }
    if (answer.m_answered) {
        state.m_probes_failing_since.reset();
    } else {
        state.m_probes_failing_since = state.m_probes_failing_since.value_or(now);
    }
    if (!answer.m_answered || answer.m_is_primary) {
        state.m_no_primary_since.reset();
    } else {
        state.m_no_primary_since = state.m_no_primary_since.value_or(now);
    }
}

} // namespace mangoquay::promotion
