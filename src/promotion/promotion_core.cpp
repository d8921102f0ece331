// Phases of a replacement: monitor the primary, step it down, pause and compare replicas, order the
// promotion, confirm it.
#include "promotion/promotion_core.h"

#include "promotion/promotion_limits.h"
#include "promotion/service_lookup.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mangoquay::promotion {
namespace {

using registry::endpoint_report;
using registry::report_state;

entry_host_counts entry_host_counts_of(const service_view& service, const core::endpoint_id& primary) {
    const auto found = service.m_entry_host_counts.find(primary);
    return found == service.m_entry_host_counts.end() ? entry_host_counts{} : found->second;
}

// Of several endpoints that report being the primary, returns the monitored one as long as it reports, and
// otherwise the one that reported last: a primary that crashed never withdraws its report.
const endpoint_report* claimed_primary(const service_view& service, const core::endpoint_id& watched) {
    const endpoint_report* best = nullptr;
    core::time_point best_contact{};
    for (const endpoint_report& report : service.m_endpoints) {
        const auto contact = service.m_last_contact.find(report.m_id);
        core::time_point when =
            contact == service.m_last_contact.end() ? core::time_point{} : contact->second;
        when += report.m_id == watched ? watched_primary_preference : core::milliseconds(0);
        if (report.m_is_primary && (best == nullptr || when > best_contact)) {
            best = &report;
            best_contact = when;
        }
    }
    return best;
}

} // namespace

void promotion_core::set_leading(bool leading) {
    if (leading != m_leading) {
        m_leading = leading;
        m_service_states.clear();
    }
}

void promotion_core::tick(const std::vector<service_view>& services, core::time_point now) {
    // Indexed by phase.
    static constexpr std::array<phase_handler, 8> handlers{
        &promotion_core::run_watching, &promotion_core::run_fencing,     &promotion_core::run_stepping_down,
        &promotion_core::run_pausing,  &promotion_core::run_catching_up, &promotion_core::run_reserving,
        &promotion_core::run_ordering, &promotion_core::run_confirming};
    if (!m_leading) {
        return;
    }
    for (const service_view& service : services) {
        const auto [found, added] = m_service_states.try_emplace(service.m_name);
        if (added) {
            found->second.m_settle_deadline = core::deadline_after(now, settle_time);
        }
        found->second.m_is_leased = service.m_is_leased;
        found->second.m_old_primary_goes_on = service.m_old_primary_goes_on;
        found->second.m_synchronous_replicas = service.m_synchronous_replicas;
        (this->*handlers.at(static_cast<std::size_t>(found->second.m_phase)))(found->second, service, now);
    }
}

void promotion_core::enter_phase(service_state& state, phase next, core::milliseconds timeout,
                                 core::time_point now) {
    state.m_phase = next;
    state.m_phase_deadline = core::deadline_after(now, timeout);
    state.m_probe_in_flight = false;
    state.m_next_probe = core::deadline{now};
}

void promotion_core::send_probe(service_state& state, const service_view& service,
                                const endpoint_report& target, core::time_point now) {
    if (state.m_probe_in_flight || !state.m_next_probe.passed(now)) {
        return;
    }
    state.m_probe_in_flight = true;
    state.m_probe_sent_at = now;
    state.m_next_probe =
        core::deadline_after(now, state.m_phase == phase::confirming ? confirm_probe_period : probe_period);
    m_ports.run_step(service.m_name, target, step_kind::probe, state.m_highest_term);
}

void promotion_core::run_watching(service_state& state, const service_view& service, core::time_point now) {
    const endpoint_report* primary = primary_of(state, service, now);
    if (primary == nullptr) {
        state.m_no_primary_since = state.m_no_primary_since.value_or(now);
        const bool replaceable =
            has_successor(service, {}) && *state.m_no_primary_since + no_primary_timeout < now;
        if (replaceable) {
            state.m_primary = {};
            begin_pause(state, service, "no endpoint reports being the primary", now);
        }
        return;
    }
    if (primary->m_id != state.m_primary || primary->m_started_ms != state.m_primary_started_ms) {
        state.m_primary = primary->m_id;
        state.m_primary_started_ms = primary->m_started_ms;
        state.m_probes_failing_since.reset();
        state.m_no_primary_since.reset();
        state.m_probe_in_flight = false;
        state.m_last_probe_accepted = false;
        state.m_primary_term = {};
        state.m_primary_position.reset();
        state.m_replica_positions.clear();
        state.m_release_positions.clear();
        state.m_successor_current_until = {};
        state.m_planned_wait_end.reset();
    }
    if (state.m_is_leased) {
        maintain_assignment(state, service, *primary, now);
        step_down_others(state, service, *primary, now);
    }
    if (state.m_replicas_may_be_paused && state.m_last_probe_accepted &&
        state.m_settle_deadline.passed(now)) {
        // Without synchronous replicas a late order loses no commit that was guaranteed to survive, and the
        // order that invalidates earlier ones may itself be carried out late.
        if (!state.m_earlier_orders_fenced && service.m_synchronous_replicas > 0) {
            state.m_target = primary->m_id;
            issue_order(state, service, phase::fencing, now);
            return;
        }
        state.m_replicas_may_be_paused = false;
    }
    if (!state.m_replicas_may_be_paused) {
        resume_replicas(state, service, now);
    }
    repeat_resume(state, service, now);
    send_probe(state, service, *primary, now);
    if (is_primary_lost(state, service, now)) {
        begin_pause(state, service, "the primary is lost", now);
        return;
    }
    if (state.m_no_primary_since && *state.m_no_primary_since + no_primary_timeout < now &&
        has_successor(service, primary->m_id)) {
        if (state.m_is_leased) {
            // The assigned endpoint is a replica and a candidate like the others: its promotion was not
            // ordered, or the order was lost.
            const endpoint_report* acting = claimed_primary(service, {});
            state.m_primary =
                !state.m_old_primary_goes_on || acting == nullptr || acting->m_id == primary->m_id
                    ? core::endpoint_id()
                    : acting->m_id;
        }
        begin_pause(state, service, "the reported primary rejects probes", now);
        return;
    }
    run_planned_replacement(state, service, *primary, now);
    if (state.m_phase == phase::watching && state.is_synchronous()) {
        release_copies(state, service);
        // Keeps a connection to each replica: entry hosts may hold all others when one is needed.
        query_replicas(state, service, *primary, replica_query_period, now);
    }
}

bool promotion_core::is_primary_lost(const service_state& state, const service_view& service,
                                     core::time_point now) const {
    if (!state.m_probes_failing_since || !has_successor(service, state.m_primary)) {
        return false;
    }
    const entry_host_counts counts = entry_host_counts_of(service, state.m_primary);
    // Entry hosts that are partitioned from the leader may still reach the primary: a replacement would
    // interrupt their service.
    if (service.m_nonreporting_hosts > service.m_reporting_hosts) {
        return false;
    }
    const core::duration failing = now - *state.m_probes_failing_since;
    if (counts.m_answered == 0) {
        return failing >= primary_lost_timeout;
    }
    return failing >= primary_mostly_lost_timeout && counts.m_failing > counts.m_answered;
}

void promotion_core::run_fencing(service_state& state, const service_view&, core::time_point now) {
    if (state.m_phase_deadline.passed(now)) {
        enter_phase(state, phase::watching, core::milliseconds(0), now);
        // The primary must accept a probe again before another order names it.
        state.m_last_probe_accepted = false;
    }
}

void promotion_core::run_stepping_down(service_state& state, const service_view& service,
                                       core::time_point now) {
    if (state.m_phase_deadline.passed(now)) {
        begin_pause(state, service, "the old primary did not answer the step-down request", now);
    }
}

void promotion_core::begin_pause(service_state& state, const service_view& service, const char* reason,
                                 core::time_point now) {
    const entry_host_counts counts = entry_host_counts_of(service, state.m_primary);
    const auto failing = state.m_probes_failing_since.value_or(now);
    m_ports.record_event(
        {"replacement", service.m_name, state.m_primary,
         reason + std::string(" answered_entry_hosts=") + std::to_string(counts.m_answered) +
             " failing_entry_hosts=" + std::to_string(counts.m_failing) +
             " silent_entry_hosts=" + std::to_string(service.m_nonreporting_hosts) + " probes_failing_ms=" +
             std::to_string(std::chrono::duration_cast<core::milliseconds>(now - failing).count())});
    state.m_positions.clear();
    state.m_replicas_may_be_paused = true;
    state.m_unresumed_replicas.clear();
    state.m_resumed_endpoints.clear();
    state.m_pause_term = core::term(state.m_highest_term.value() + 1);
    enter_phase(state, phase::pausing, pause_timeout, now);
    // Hosts that can still be reached stop using the old primary while the replicas are compared.
    authority_of(service).withdraw(service.m_name);
    send_step_to_replicas(state, service, step_kind::pause, state.m_pause_term);
    state.m_next_step_down = core::deadline{now};
}

void promotion_core::send_step_to_replicas(service_state& state, const service_view& service, step_kind kind,
                                           core::term term) {
    state.m_queried_replicas.clear();
    for (const endpoint_report& report : service.m_endpoints) {
        if (report.m_id != state.m_primary) {
            state.m_queried_replicas.emplace(report.m_id, report);
            m_ports.run_step(service.m_name, report, kind, term);
        }
    }
}

void promotion_core::issue_order(service_state& state, const service_view& service, phase next,
                                 core::time_point now) {
    const auto token = m_ports.next_fencing_token();
    if (!token) {
        return; // This host may no longer lead; retried at the next tick.
    }
    state.m_fencing_token = *token;
    state.m_earlier_orders_fenced = false;
    state.m_required_position.reset(); // The order may be carried out although its answer is lost.
    enter_phase(state, next, order_timeout, now);
    const char* message =
        next == phase::fencing ? "order issued to invalidate earlier orders" : "promotion ordered";
    m_ports.record_event(
        {message, service.m_name, state.m_target, "fence=" + std::to_string(token->value())});
    m_ports.send_promotion_order(service.m_name, state.m_target, *token);
}

void promotion_core::run_reserving(service_state& state, const service_view& service, core::time_point now) {
    if (authority_of(service).reserve(service.m_name, state.m_target, now)) {
        issue_order(state, service, phase::ordering, now);
        return;
    }
    if (state.m_phase_deadline.passed(now)) {
        begin_pause(state, service, "the successor could not be assigned", now);
        return;
    }
    // An old primary that answers ends the wait at once.
    if (const endpoint_report* primary = find(service, state.m_primary);
        primary != nullptr && state.m_primary != state.m_target && state.m_next_step_down.passed(now)) {
        state.m_next_step_down = core::deadline_after(now, step_down_period);
        m_ports.run_step(service.m_name, *primary, step_kind::step_down, state.m_pause_term);
    }
}

void promotion_core::run_ordering(service_state& state, const service_view& service, core::time_point now) {
    if (state.m_phase_deadline.passed(now)) {
        issue_order(state, service, phase::ordering, now);
    }
}

void promotion_core::run_confirming(service_state& state, const service_view& service, core::time_point now) {
    const endpoint_report* target = find(service, state.m_target);
    if (target == nullptr || state.m_phase_deadline.passed(now)) {
        state.m_rejected_until[state.m_target] = core::deadline_after(now, rejection_period);
        begin_pause(state, service, "the promotion was not confirmed", now);
        return;
    }
    send_probe(state, service, *target, now);
}

void promotion_core::end_replacement(service_state& state, const core::service_name& service,
                                     const std::string& message, core::time_point now) {
    m_ports.record_event({message, service, state.m_target, ""});
    restore_leases(state, service, now);
    state.m_probes_failing_since.reset();
    state.m_no_primary_since.reset();
    state.m_last_probe_accepted = false;
    enter_phase(state, phase::watching, core::milliseconds(0), now);
}

primary_authority& promotion_core::authority_of(const service_view& service) {
    return service.m_is_leased ? m_lease_authority : static_cast<primary_authority&>(m_unrestricted);
}

const endpoint_report* promotion_core::primary_of(service_state& state, const service_view& service,
                                                  core::time_point now) {
    const auto assigned = authority_of(service).assigned_primary(service.m_name);
    if (!assigned) {
        return claimed_primary(service, state.m_primary);
    }
    if (const endpoint_report* report = find(service, *assigned)) {
        state.m_assigned_absent_since.reset();
        return report;
    }
    state.m_assigned_absent_since = state.m_assigned_absent_since.value_or(now);
    // Others that report to be primaries may have been replaced by the assigned one.
    return *state.m_assigned_absent_since + assigned_absent_timeout < now
               ? claimed_primary(service, state.m_primary)
               : nullptr;
}

void promotion_core::restore_leases(const service_state& state, const core::service_name& service,
                                    core::time_point now) {
    if (state.m_is_leased && (!state.is_synchronous() || state.m_earlier_orders_fenced) &&
        state.m_adoption_settled.passed(now)) {
        m_lease_authority.restore(service);
    }
}

void promotion_core::maintain_assignment(service_state& state, const service_view& service,
                                         const endpoint_report& primary, core::time_point now) {
    if (!state.m_last_probe_accepted) {
        return;
    }
    // The first assignment, or the assigned endpoint has left and its log continues at another one.
    const bool assigned = m_lease_authority.assigned_primary(service.m_name) == primary.m_id;
    if (!assigned && !m_lease_authority.reserve(service.m_name, primary.m_id, now)) {
        return;
    }
    restore_leases(state, service.m_name, now);
}

void promotion_core::step_down_others(service_state& state, const service_view& service,
                                      const endpoint_report& primary, core::time_point now) {
    if (!state.m_last_probe_accepted || !state.m_next_step_down.passed(now)) {
        return;
    }
    state.m_next_step_down = core::deadline_after(now, step_down_period);
    std::erase_if(state.m_stepping_down, [&](const core::endpoint_id& id) {
        const endpoint_report* report = find(service, id);
        return report == nullptr || !report->m_is_primary;
    });
    for (const endpoint_report& report : service.m_endpoints) {
        if (report.m_is_primary && report.m_id != primary.m_id) {
            if (state.m_stepping_down.insert(report.m_id).second) {
                m_ports.record_event({"stepping down a primary that is not assigned", service.m_name,
                                      report.m_id, "term=" + std::to_string(state.m_primary_term.value())});
            }
            m_ports.run_step(service.m_name, report, step_kind::step_down, state.m_primary_term);
        }
    }
}

void promotion_core::resume_replicas(service_state& state, const service_view& service,
                                     core::time_point now) {
    for (const endpoint_report& report : service.m_endpoints) {
        // The report of a paused replica may arrive after the others have been resumed.
        if (state.m_resumed_endpoints.insert(report.m_id).second) {
            state.m_unresumed_replicas.insert(report.m_id);
            state.m_next_resume = core::deadline{now};
            state.m_resume_deadline = core::deadline_after(now, resume_timeout);
        }
    }
}

void promotion_core::repeat_resume(service_state& state, const service_view& service, core::time_point now) {
    if (state.m_unresumed_replicas.empty() || !state.m_next_resume.passed(now)) {
        return;
    }
    if (state.m_resume_deadline.passed(now)) {
        // A restart ends a pause, so databases that are down need no resume.
        state.m_unresumed_replicas.clear();
        return;
    }
    state.m_next_resume = core::deadline_after(now, resume_period);
    for (const endpoint_report& report : service.m_endpoints) {
        if (state.m_unresumed_replicas.contains(report.m_id)) {
            m_ports.run_step(service.m_name, report, step_kind::resume, state.m_highest_term);
        }
    }
}

} // namespace mangoquay::promotion
