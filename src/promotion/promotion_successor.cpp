// The choice of the successor: what is known of the positions of databases, and which of them may be
// promoted.
#include "promotion/promotion_core.h"

#include "core/quoting.h"
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

// The copies that a replacement waits for, each with the start of its incarnation if it has ended.
std::string copies_without_answer(const service_view& service,
                                  const std::map<core::endpoint_id, core::history_position>& answered) {
    std::string names;
    for (const counted_copy& counted : service.m_copies) {
        if (counted.m_ended_at || !answered.contains(counted.m_copy.m_endpoint)) {
            names += (names.empty() ? "" : ",") + core::word_or_quoted(counted.m_copy.m_endpoint.value());
            names += counted.m_ended_at ? "@" + std::to_string(counted.m_copy.m_started_ms) : "";
        }
    }
    return names.empty() ? "none" : names;
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

// A copy that has ended received no commit after the primary was found at the position, so when enough others
// hold that position, each acknowledged commit is held by the primary and by them.
void promotion_core::release_copies(service_state& state, const service_view& service) {
    std::erase_if(state.m_release_positions, [&service](const auto& item) {
        return std::ranges::none_of(service.m_copies, [&item](const counted_copy& counted) {
            return counted.m_copy == item.first && counted.m_ended_at;
        });
    });
    if (!state.m_primary_position) {
        return;
    }
    for (const counted_copy& ended : service.m_copies) {
        if (!ended.m_ended_at || state.m_primary_position_at < *ended.m_ended_at) {
            continue;
        }
        const core::history_position needed =
            state.m_release_positions.try_emplace(ended.m_copy, *state.m_primary_position).first->second;
        const auto holders = std::ranges::count_if(service.m_copies, [&](const counted_copy& other) {
            const auto held = state.m_replica_positions.find(other.m_copy);
            return !other.m_ended_at && other.m_copy.m_endpoint != state.m_primary &&
                   held != state.m_replica_positions.end() && held->second >= needed;
        });
        if (holders >= static_cast<std::ptrdiff_t>(state.m_synchronous_replicas)) {
            m_ports.release_copy(service.m_name, ended.m_copy);
        }
    }
}

// A commit is acknowledged once the primary and as many replicas as the service requires have received it, so
// any (copies - required) copies include one that holds it, whether the old primary is one of them or not.
std::size_t promotion_core::quorum_of(const service_view& service) {
    const std::size_t copies = std::max(service.m_copies.size(), service.m_endpoints.size());
    return service.m_synchronous_replicas == 0 || copies <= service.m_synchronous_replicas
               ? 1
               : copies - service.m_synchronous_replicas;
}

std::size_t promotion_core::answered_copies(const service_state& state, const service_view& service) {
    if (service.m_synchronous_replicas == 0) {
        return state.m_positions.size();
    }
    return static_cast<std::size_t>(std::ranges::count_if(service.m_copies, [&](const counted_copy& counted) {
        const core::endpoint_id& id = counted.m_copy.m_endpoint;
        const endpoint_report* report = find(service, id);
        return !counted.m_ended_at && report != nullptr && incarnation_of(*report) == counted.m_copy &&
               state.m_positions.contains(id) && service.m_last_contact.at(id) > state.m_connected_at.at(id);
    }));
}

void promotion_core::run_pausing(service_state& state, const service_view& service, core::time_point now) {
    const bool all =
        state.m_positions.size() == state.m_queried_replicas.size() && !state.m_queried_replicas.empty();
    if (!all && !state.m_phase_deadline.passed(now)) {
        return;
    }
    const std::size_t needed = quorum_of(service);
    const std::size_t answered = answered_copies(state, service);
    std::optional<core::history_position> highest;
    for (const auto& [id, position] : state.m_positions) {
        highest = std::max(highest, std::optional(position));
    }
    const bool holds_required = state.m_required_position && highest >= state.m_required_position;
    if (highest && (answered >= needed || holds_required)) {
        choose_and_order(state, service, state.is_synchronous() ? highest : std::nullopt, now);
        return;
    }
    end_replacement(state, service.m_name,
                    "replacement abandoned: too few replicas answered count=" + std::to_string(answered) +
                        " needed=" + std::to_string(needed) +
                        " copies_without_answer=" + copies_without_answer(service, state.m_positions),
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
    state.m_is_target_adopted = false;
    m_ports.record_event({"successor chosen", service.m_name, state.m_target,
                          "position=" + to_text(std::get<core::history_position>(best_rank)) +
                              " required=" + (floor ? to_text(*floor) : "none") +
                              " positions=" + std::to_string(state.m_positions.size()) +
                              " quorum=" + std::to_string(quorum_of(service))});
    enter_phase(state, phase::reserving, reserve_timeout, now);
    run_reserving(state, service, now);
}

} // namespace mangoquay::promotion
