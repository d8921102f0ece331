// Handling of deadlines: connections that do not answer, statements that waited too long, reads that are
// hedged.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mangoquay::relay {
namespace {

constexpr core::milliseconds observation_max_age{600};
constexpr core::milliseconds hedge_retry_delay{50};

} // namespace

void relay_core::check_connection(connection_id id, core::time_point now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || !found->second.m_answer_deadline.passed(now)) {
        return;
    }
    handle_lost_connection(id,
                           found->second.m_phase == connection_phase::opening
                               ? "connection was not opened in time"
                               : "no answer in time",
                           now);
}

void relay_core::check_session(session_id id, core::time_point now) {
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    session& caller = found->second;
    if (!caller.m_operation) {
        if (caller.m_state == transaction_state::open && caller.m_ended_by) {
            lose_transaction(caller, "the key is not valid", now);
        } else if (caller.m_state == transaction_state::open &&
                   caller.m_transaction.m_idle_deadline.passed(now)) {
            lose_transaction(caller, "idle time limit exceeded", now);
        }
        return;
    }
    operation& op = *caller.m_operation;
    if (op.m_phase == operation_phase::waiting) {
        const bool no_endpoint_in_time = op.m_unservable && op.m_unservable_deadline.passed(now);
        if (op.m_refusal_deadline.passed(now) || no_endpoint_in_time) {
            const bool in_transaction = caller.m_state == transaction_state::open;
            const bool commits = is_commit(caller);
            detach_connection(caller, now);
            if (commits) {
                clear_transaction(caller);
            }
            refuse_statement(id, caller, in_transaction ? refusal::aborted : op.m_last_refusal,
                             op.m_last_reason, now);
            start_queued_statements(id, now);
            return;
        }
        dispatch(id, now);
        start_queued_statements(id, now);
        return;
    }
    // A session whose key was withdrawn cannot be sent elsewhere, and waits for its answer.
    const bool may_hedge = !caller.m_ended_by && op.m_phase == operation_phase::running && !op.m_writes &&
                           caller.m_state == transaction_state::idle && op.m_attempts == 1;
    if (may_hedge && op.m_hedge_after.passed(now)) {
        hedge_read(id, caller, now);
    }
}

bool relay_core::take_hedge_token() {
    if (m_hedge_tokens < 1.0) {
        return false;
    }
    m_hedge_tokens -= 1.0;
    return true;
}

// Sends the read to a second endpoint: the first one may have lost the statement, or its connection may be
// broken without a reset.
void relay_core::hedge_read(session_id id, session& caller, core::time_point now) {
    operation& op = *caller.m_operation;
    const core::endpoint_id slow_endpoint = m_connections.at(*caller.m_connection).m_endpoint;
    op.m_avoided.insert(slow_endpoint);
    const documents::route_rule* route = route_of(caller);
    const auto request = route == nullptr ? std::nullopt : request_of(caller, *route, now);
    const auto other = request ? choose_endpoint(m_endpoints, *request, now) : placement_outcome{};
    // At the same endpoint the second attempt would only wait behind the first.
    if (!other.m_chosen || other.m_chosen->m_endpoint == slow_endpoint || !take_hedge_token()) {
        op.m_hedge_after.m_at = now + hedge_retry_delay;
        return;
    }
    endpoint_view& view = m_endpoints.at(slow_endpoint);
    const double waited_ms =
        std::chrono::duration<double, std::milli>(now - op.m_hedge_after.m_at).count() + view.m_answer_ms;
    view.m_answer_ms += answer_weight * std::max(0.0, waited_ms - view.m_answer_ms);
    record_event("repeated", caller, slow_endpoint.value(), "no answer for half of the latency target", now);
    detach_connection(caller, now);
    op.m_phase = operation_phase::waiting;
    op.m_last_refusal = refusal::timed_out;
    op.m_refusal_deadline = op.m_deadline;
    dispatch(id, now);
}

void relay_core::tick(core::time_point now) {
    std::vector<connection_id> overdue;
    for (const auto& [id, conn] : m_connections) {
        if (conn.m_answer_deadline.passed(now)) {
            overdue.push_back(id);
        }
    }
    for (const connection_id id : overdue) {
        check_connection(id, now);
    }
    close_extra_connections(now);
    const std::vector<session_id> sessions(m_active_sessions.begin(), m_active_sessions.end());
    for (const session_id id : sessions) {
        check_session(id, now);
    }
}

std::vector<primary_observation> relay_core::primary_observations(core::time_point now) const {
    std::vector<primary_observation> seen;
    for (const auto& [id, view] : m_endpoints) {
        if (!view.m_report.m_is_primary) {
            continue;
        }
        const bool answered = view.m_last_contact + observation_max_age > now;
        seen.push_back({id, answered, view.m_suspect_back_off.count() > 0});
    }
    return seen;
}

} // namespace mangoquay::relay
