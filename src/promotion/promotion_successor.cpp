// The choice of the successor: what is known of the positions of databases, and which of them may be
// promoted.
#include "promotion/promotion_core.h"

#include "promotion/promotion_limits.h"
#include "promotion/service_lookup.h"

#include <algorithm>
#include <tuple>

namespace mangoquay::promotion {
namespace {

using registry::endpoint_report;
using registry::report_state;

std::string to_text(const core::history_position& position) {
    return std::to_string(position.m_term.value()) + "." + std::to_string(position.m_position.value());
}

} // namespace

// A primary that leaves is stepped down only when a replica is known to hold what it holds and to answer this
// host: otherwise the service would have no primary until some replica does.
void promotion_core::run_planned_replacement(service_state& state, const service_view& service,
                                             const endpoint_report& primary, core::time_point now) {
    if (primary.m_state != report_state::draining) {
        state.m_planned_wait_end.reset();
        return;
    }
    if (!state.m_planned_wait_end) {
        state.m_planned_wait_end =
            core::deadline_after(now, state.is_synchronous() ? planned_wait_synchronous : planned_wait);
        state.m_next_replica_query = core::deadline{now};
    }
    const bool may_start = has_successor(service, primary.m_id) && !state.m_probes_failing_since &&
                           state.m_highest_term.value() > 0 && state.m_next_planned_replacement.passed(now) &&
                           (!state.is_synchronous() || state.m_earlier_orders_fenced);
    if (!may_start) {
        return;
    }
    const bool is_current = !state.m_successor_current_until.passed(now);
    if (is_current || state.m_planned_wait_end->passed(now)) {
        m_ports.record_event({"planned replacement", service.m_name, primary.m_id,
                              is_current ? "the primary is draining and a replica has its position"
                                         : "the primary is draining and no replica has answered with its "
                                           "position in time"});
        enter_phase(state, phase::stepping_down, step_down_timeout, now);
        m_ports.run_step(service.m_name, primary, step_kind::step_down,
                         core::term(state.m_highest_term.value() + 1));
        return;
    }
    query_replicas(state, service, primary, successor_query_period, now);
}

void promotion_core::query_replicas(service_state& state, const service_view& service,
                                    const endpoint_report& primary, core::milliseconds period,
                                    core::time_point now) {
    if (!state.m_next_replica_query.passed(now)) {
        return;
    }
    state.m_next_replica_query = core::deadline_after(now, period);
    for (const endpoint_report& report : service.m_endpoints) {
        if (report.m_id != primary.m_id && report.m_state == report_state::ready) {
            m_ports.run_step(service.m_name, report, step_kind::status, state.m_highest_term);
        }
    }
}

void promotion_core::update_replicated_time(service_state& state, const service_view& service) {
    if (!state.m_primary_position) {
        return;
    }
    const auto current = std::ranges::count_if(service.m_endpoints, [&](const endpoint_report& report) {
        const auto held = state.m_replica_positions.find(report.m_id);
        return report.m_id != state.m_primary && held != state.m_replica_positions.end() &&
               held->second >= *state.m_primary_position;
    });
    if (current >= static_cast<std::ptrdiff_t>(state.m_synchronous_replicas)) {
        state.m_replicated_as_of = state.m_primary_position_at;
    }
}

// A commit is acknowledged once the primary and as many replicas as the service requires have received it, so
// any (copies - required) databases include one that holds it, whether the old primary is one of them or not.
// A database that has left counts until the others are known to hold all that it may have received.
std::size_t promotion_core::quorum_of(const service_state& state, const service_view& service) {
    const auto departed = std::ranges::count_if(
        service.m_departures, [&](core::time_point left) { return left >= state.m_replicated_as_of; });
    const std::size_t copies = service.m_endpoints.size() + static_cast<std::size_t>(departed);
    return service.m_synchronous_replicas == 0 || copies <= service.m_synchronous_replicas
               ? 1
               : copies - service.m_synchronous_replicas;
}

void promotion_core::run_pausing(service_state& state, const service_view& service, core::time_point now) {
    const bool all =
        state.m_positions.size() == state.m_queried_replicas.size() && !state.m_queried_replicas.empty();
    if (!all && !state.m_phase_deadline.passed(now)) {
        return;
    }
    const std::size_t needed = quorum_of(state, service);
    std::optional<core::history_position> highest;
    for (const auto& [id, position] : state.m_positions) {
        highest = std::max(highest, std::optional(position));
    }
    const bool holds_required = state.m_required_position && highest >= state.m_required_position;
    if (highest && (state.m_positions.size() >= needed || holds_required)) {
        choose_and_order(state, service, state.is_synchronous() ? highest : std::nullopt, now);
        return;
    }
    end_replacement(state, service.m_name,
                    "replacement abandoned: too few replicas answered count=" +
                        std::to_string(state.m_positions.size()) + " needed=" + std::to_string(needed),
                    now);
    state.m_probes_failing_since = now; // A new attempt starts after the usual timeout.
}

void promotion_core::run_catching_up(service_state& state, const service_view& service,
                                     core::time_point now) {
    const bool reached = std::ranges::any_of(state.m_positions, [&](const auto& held) {
        const endpoint_report* report = find(service, held.first);
        return report != nullptr && report->m_state == report_state::ready &&
               held.second >= *state.m_required_position;
    });
    if (reached || (state.m_phase_deadline.passed(now) && !state.is_synchronous())) {
        choose_and_order(state, service, state.is_synchronous() ? state.m_required_position : std::nullopt,
                         now);
        return;
    }
    const endpoint_report* old_primary = find(service, state.m_primary);
    if (state.m_phase_deadline.passed(now)) {
        if (old_primary == nullptr || state.m_old_primary_answer_expiry.passed(now)) {
            begin_pause(state, service, "the old primary is gone and no replica has its position", now);
            return;
        }
        // The old primary may lead again, unless it is about to leave.
        if (!state.m_planned_wait_end || !state.m_planned_wait_end->passed(now)) {
            choose_and_order(state, service, state.m_required_position, now);
            return;
        }
    }
    if (state.m_next_probe.passed(now)) {
        state.m_next_probe = core::deadline_after(now, catch_up_poll_period);
        send_step_to_replicas(state, service, step_kind::status, state.m_highest_term);
        if (old_primary != nullptr && state.is_synchronous()) {
            m_ports.run_step(service.m_name, *old_primary, step_kind::status, state.m_highest_term);
        }
    }
}

void promotion_core::choose_and_order(service_state& state, const service_view& service,
                                      const std::optional<core::history_position>& floor,
                                      core::time_point now) {
    const endpoint_report* best = nullptr;
    std::tuple<bool, bool, core::history_position> best_rank;
    for (const auto& [id, position] : state.m_positions) {
        const endpoint_report* report = find(service, id);
        // A database that leaves is better than the loss of acknowledged commits.
        const bool is_candidate = report != nullptr && (report->m_state == report_state::ready || floor) &&
                                  (!floor || position >= *floor);
        if (!is_candidate) {
            continue;
        }
        const auto rejected_until = state.m_rejected_until.find(id);
        const bool rejected =
            rejected_until != state.m_rejected_until.end() && !rejected_until->second.passed(now);
        const std::tuple rank(report->m_state == report_state::ready, !rejected, position);
        if (best == nullptr || best_rank < rank) {
            best = report;
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        end_replacement(state, service.m_name, "replacement abandoned: no replica may be promoted", now);
        state.m_probes_failing_since = now;
        return;
    }
    if (best->m_state != report_state::ready) {
        state.m_next_planned_replacement = core::deadline_after(now, rejection_period);
    }
    state.m_target = best->m_id;
    m_ports.record_event({"successor chosen", service.m_name, state.m_target,
                          "position=" + to_text(std::get<core::history_position>(best_rank)) +
                              " required=" + (floor ? to_text(*floor) : "none") +
                              " positions=" + std::to_string(state.m_positions.size()) +
                              " quorum=" + std::to_string(quorum_of(state, service))});
    enter_phase(state, phase::reserving, reserve_timeout, now);
    run_reserving(state, service, now);
}

} // namespace mangoquay::promotion
