// Opening, loss and return of connections.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace mangoquay::relay {
namespace {

constexpr core::milliseconds min_back_off{100};
constexpr core::milliseconds max_back_off{1600};
// Other hosts close their extra connections within this time when their load falls.
constexpr core::milliseconds connection_limit_pause{150};
// A connection that was detached from its session is closed if its statement takes longer than this.
constexpr core::milliseconds detached_timeout{3000};
// Session values of an ordinary session are smaller.
constexpr std::size_t large_state_bytes = std::size_t{64} << 10U;

// Prepared statements are limited by held_statements.
std::size_t state_bytes(const connection& conn) {
    std::size_t bytes = 0;
    for (const auto& [name, value] : conn.m_values) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

} // namespace

void relay_core::on_connection_opened(connection_id id, std::optional<core::history_position> position,
                                      core::time_point now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection& conn = found->second;
    conn.m_phase = connection_phase::idle;
    --m_endpoints.at(conn.m_endpoint).m_opening;
    conn.m_last_contact = now;
    conn.m_answer_deadline.m_at = core::time_point::max();
    endpoint_view& view = m_endpoints.at(conn.m_endpoint);
    view.m_suspect_until = {};
    view.m_suspect_back_off = {};
    view.m_last_contact = now;
    if (position) {
        view.m_position = position;
        view.m_position_at = now;
    }
    // The first reads after a start need a position of the primary.
    if (view.m_report.m_is_primary && !m_position_samples[view.m_report.m_service].last_request_time()) {
        start_probe(view.m_report.m_service, now);
    }
    dispatch_waiting(now);
}

void relay_core::record_failure(const core::endpoint_id& endpoint, core::time_point now) {
    endpoint_view& view = m_endpoints.at(endpoint);
    view.m_suspect_back_off =
        std::clamp<core::duration>(view.m_suspect_back_off * 2, min_back_off, max_back_off);
    view.m_suspect_until.m_at = now + view.m_suspect_back_off;
}

void relay_core::on_connection_failed(connection_id id, std::optional<refusal> reason, core::time_point now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    if (reason == refusal::too_many_connections) {
        endpoint_view& view = m_endpoints.at(found->second.m_endpoint);
        view.m_full_until.m_at = now + connection_limit_pause;
        remove_connection(id);
        return;
    }
    handle_lost_connection(id, reason ? to_string(*reason) : "connection lost", now);
}

// Removes a connection that broke, whose answer is overdue or that got an unexpected answer.
void relay_core::handle_lost_connection(connection_id id, const std::string& reason, core::time_point now,
                                        failure_source source) {
    const connection lost = m_connections.at(id);
    remove_connection(id);
    const bool was_idle = lost.m_phase == connection_phase::idle;
    if (!was_idle && source == failure_source::endpoint) {
        record_failure(lost.m_endpoint, now);
    }
    if (lost.m_session) {
        const session_id owner = *lost.m_session;
        m_sessions.at(owner).m_connection.reset();
        handle_loss_for_session(owner, reason, now);
        start_queued_statements(owner, now);
    }
    if (lost.m_requested_by) { // A loan that was lost before its first answer arrived.
        m_sessions.at(*lost.m_requested_by).m_operation->m_loan.reset();
    }
    dispatch_waiting(now);
}

void relay_core::handle_loss_for_session(session_id owner, const std::string& reason, core::time_point now) {
    session& caller = m_sessions.at(owner);
    const bool in_transaction = caller.m_state == transaction_state::open;
    if (!caller.m_operation) { // Between two statements of a transaction.
        caller.m_state = transaction_state::failed;
        caller.m_transaction.m_lost = true;
        return;
    }
    operation& op = *caller.m_operation;
    const bool sent = op.m_phase == operation_phase::running;
    record_event("link lost", caller, "", reason, now);
    if (in_transaction && is_commit(caller) && sent) {
        const bool wrote = caller.m_transaction.m_wrote;
        clear_transaction(caller);
        refuse_statement(owner, caller, wrote ? refusal::in_doubt : refusal::aborted, reason, now);
        return;
    }
    // The statement may have run, and a transaction stays on the connection of its first statement.
    if (in_transaction && (sent || caller.m_transaction.m_has_results || is_commit(caller))) {
        if (is_commit(caller)) {
            clear_transaction(caller);
        }
        refuse_statement(owner, caller, refusal::aborted, reason, now);
        return;
    }
    caller.m_transaction.m_begun = false;
    if (!in_transaction && op.m_writes && sent) {
        refuse_statement(owner, caller, refusal::in_doubt, reason, now);
        return;
    }
    retry_or_refuse(owner, caller, refusal::timed_out, reason, now);
}

// Separates the session from its connection. A connection with a statement in progress is used again once
// that is answered.
void relay_core::detach_connection(session& caller, core::time_point now) {
    if (!caller.m_connection) {
        return;
    }
    const connection_id id = *caller.m_connection;
    caller.m_connection.reset();
    connection& conn = m_connections.at(id);
    conn.m_session.reset();
    const bool begun =
        caller.m_transaction.m_begun || (caller.m_operation && caller.m_operation->m_primary_only);
    caller.m_transaction.m_begun = false;
    if (!conn.m_expected_answers.empty()) {
        conn.m_answer_deadline.m_at = now + detached_timeout;
        const bool only_statement = conn.m_expected_answers.size() == 1 &&
                                    conn.m_expected_answers.front().m_step == request_step::statement;
        if (!only_statement) {
            remove_connection(id);
        }
        return;
    }
    if (!begun) {
        release_connection(id, now);
        return;
    }
    roll_back(id, now);
}

void relay_core::roll_back(connection_id id, core::time_point now) {
    connection& conn = m_connections.at(id);
    if (conn.m_borrowed) {
        return_connection(id, true);
        return;
    }
    conn.m_answer_deadline.m_at = now + rollback_timeout;
    if (!conn.m_changed_in_transaction) {
        send_requests(id, conn, {{.m_kind = request_kind::rollback}}, {request_step::rollback}, now);
        return;
    }
    conn.m_values.clear();
    conn.m_prepared.clear();
    send_requests(id, conn, {{.m_kind = request_kind::rollback}, {.m_kind = request_kind::reset}},
                  {request_step::rollback, request_step::reset}, now);
}

void relay_core::return_connection(connection_id id, bool in_transaction) {
    const auto found = m_connections.find(id);
    const connection& conn = found->second;
    const lending::returned_state state{.m_has_session_values =
                                            !conn.m_values.empty() || !conn.m_prepared.empty(),
                                        .m_in_transaction = in_transaction};
    std::erase_if(m_probes, [id](const auto& entry) { return entry.second == id; });
    --m_endpoints.at(conn.m_endpoint).m_loans;
    m_connections.erase(found);
    m_ports.return_connection(id, state);
}

void relay_core::release_connection(connection_id id, core::time_point now) {
    connection& conn = m_connections.at(id);
    std::erase_if(m_probes, [id](const auto& entry) { return entry.second == id; });
    endpoint_view& view = m_endpoints.at(conn.m_endpoint);
    if (conn.m_phase == connection_phase::busy && !conn.m_borrowed) {
        --view.m_busy;
    }
    conn.m_phase = connection_phase::idle;
    conn.m_session.reset();
    conn.m_changed_in_transaction = false;
    conn.m_in_transaction = false;
    conn.m_answer_deadline.m_at = core::time_point::max();
    if (conn.m_borrowed) {
        return_connection(id, false);
        return;
    }
    if (view.m_report.m_state == registry::report_state::removed || keeps_too_much_state(conn)) {
        remove_connection(id);
    }
    dispatch_waiting(now);
}

// Connections that are kept for later sessions hold as much as all sessions together, and no more.
bool relay_core::keeps_too_much_state(const connection& conn) const {
    if (state_bytes(conn) < large_state_bytes) {
        return false;
    }
    std::size_t total = 0;
    for (const auto& [id, other] : m_connections) {
        total += state_bytes(other);
    }
    return total > m_limits.m_session_state.m_max_total_bytes;
}

void relay_core::remove_connection(connection_id id) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    std::erase_if(m_probes, [id](const auto& entry) { return entry.second == id; });
    endpoint_view& view = m_endpoints.at(found->second.m_endpoint);
    if (found->second.m_borrowed) {
        --view.m_loans;
    } else {
        --view.m_connections;
        view.m_opening -= found->second.m_phase == connection_phase::opening ? 1 : 0;
        view.m_busy -= found->second.m_phase == connection_phase::busy ? 1 : 0;
        set_running(found->second, false);
    }
    m_connections.erase(found);
    m_ports.close_connection(id);
}

relay_core::relay_core(relay_ports& ports, relay_limits limits)
    : m_ports(ports), m_limits(std::move(limits)), m_quotas(m_limits.m_incarnation) {}

} // namespace mangoquay::relay
