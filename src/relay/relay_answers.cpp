// Applies the answers of databases to the endpoint's view, the connection and the caller's session.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace mangoquay::relay {
namespace {

// A database without a free slot gets statements again after a few of its service times.
constexpr core::milliseconds shedding_pause{30};
constexpr core::milliseconds min_lagging_back_off{50};
constexpr core::milliseconds max_lagging_back_off{800};
// Covers the time until the endpoint's own report of its new role arrives here.
constexpr core::milliseconds not_primary_period{500};
constexpr core::milliseconds retry_pause{10};
// Hedged reads are at most this share of all statements: under overload each of them would lengthen the queue
// that delays it.
constexpr double hedge_tokens_per_statement = 0.03;
constexpr double max_hedge_tokens = 5.0;

} // namespace

void relay_core::on_answer_received(connection_id id, const database_answer& answer, core::time_point now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection& conn = found->second;
    if (conn.m_expected_answers.empty()) {
        handle_lost_connection(id, "unexpected answer", now);
        return;
    }
    const expected_answer expected = conn.m_expected_answers.front();
    conn.m_expected_answers.pop_front();
    conn.m_last_contact = now;
    update_from_answer(conn, expected, answer, now);
    switch (expected.m_step) {
    case request_step::statement:
        set_running(conn, false);
        on_statement_answered(id, expected, answer, now);
        break;
    case request_step::probe:
        if (answer.m_refusal) {
            record_refusal(conn.m_endpoint, *answer.m_refusal, now);
        }
        break;
    case request_step::reset:
        if (answer.m_refusal) {
            handle_lost_connection(id, "the reset was refused", now);
        } else {
            release_connection(id, now);
        }
        break;
    case request_step::rollback:
        if (answer.m_state != transaction_state::idle) {
            handle_lost_connection(id, "still in a transaction after its rollback", now);
        } else if (conn.m_expected_answers.empty()) {
            release_connection(id, now);
        }
        break;
    default: {
        const std::optional<session_id> owner = conn.m_session;
        on_preparation_answered(id, expected.m_step, answer, now);
        if (owner) {
            start_queued_statements(*owner, now);
        }
        break;
    }
    }
}

void relay_core::update_from_answer(const connection& conn, const expected_answer& expected,
                                    const database_answer& answer, core::time_point now) {
    endpoint_view& view = m_endpoints.at(conn.m_endpoint);
    view.m_suspect_until = {};
    view.m_suspect_back_off = {};
    view.m_last_contact = now;
    if (answer.m_position) {
        view.m_position = answer.m_position;
        view.m_position_at = now;
    }
    if (answer.m_refusal) {
        return;
    }
    if (expected.m_step == request_step::statement) {
        const double taken = std::chrono::duration<double, std::milli>(now - expected.m_sent).count();
        view.m_answer_ms += answer_weight * (taken - view.m_answer_ms);
        view.m_lagging_back_off = {};
    }
    // Only a primary accepts a plain begin, so its position is a sample of the primary.
    const bool from_primary =
        (expected.m_step == request_step::begin || expected.m_step == request_step::probe) &&
        answer.m_state == transaction_state::open;
    if (from_primary && answer.m_position && may_act_as_primary(view, expected.m_sent)) {
        m_position_samples[view.m_report.m_service].add(expected.m_sent, *answer.m_position);
    }
}

void relay_core::on_preparation_answered(connection_id id, request_step step, const database_answer& answer,
                                         core::time_point now) {
    connection& conn = m_connections.at(id);
    if (!conn.m_session) {
        handle_lost_connection(id, "the session was closed", now);
        return;
    }
    const session_id owner = *conn.m_session;
    session& caller = m_sessions.at(owner);
    if (answer.m_refusal) {
        const refusal reason = *answer.m_refusal;
        const std::string text = answer.m_text;
        record_event("preparation refused", caller, conn.m_endpoint.value(),
                     std::string(to_string(step)) + ": " + to_string(reason) + " " + text, now);
        record_refusal(conn.m_endpoint, reason, now);
        caller.m_operation->m_avoided.insert(conn.m_endpoint);
        if (reason == refusal::lagging && m_endpoints.at(conn.m_endpoint).m_report.m_is_primary) {
            caller.m_operation->m_primary_only = true;
        }
        const bool clean = conn.m_expected_answers.empty() && answer.m_state == transaction_state::idle &&
                           (step == request_step::begin || step == request_step::begin_read_only);
        conn.m_session.reset();
        caller.m_connection.reset();
        if (!clean) {
            remove_connection(id);
            handle_loss_for_session(owner, text, now);
            return;
        }
        release_connection(id, now);
        retry_or_refuse(owner, caller, reason, text, now);
        return;
    }
    const bool begins = step == request_step::begin || step == request_step::begin_read_only;
    if (begins) {
        caller.m_transaction.m_begun = caller.m_state == transaction_state::open;
    }
    if (!conn.m_expected_answers.empty()) {
        return;
    }
    const bool is_open = answer.m_state == transaction_state::open;
    if (is_open != (begins || caller.m_transaction.m_begun)) {
        caller.m_operation->m_avoided.insert(conn.m_endpoint);
        handle_lost_connection(id, "the database is not in the transaction of the session", now);
        return;
    }
    const bool single_write = caller.m_operation->m_writes && caller.m_state == transaction_state::idle;
    if (single_write && !may_use_primary(conn, now)) { // It ended while the connection was prepared.
        detach_connection(caller, now);
        retry_or_refuse(owner, caller, refusal::read_only, "the primary lease ended", now);
        return;
    }
    send_statement(caller, id, now);
}

void relay_core::on_statement_answered(connection_id id, const expected_answer& expected,
                                       const database_answer& answer, core::time_point now) {
    connection& conn = m_connections.at(id);
    if (!conn.m_session) { // The session was closed or the statement was sent to another endpoint.
        if (answer.m_state != transaction_state::idle) {
            roll_back(id, now);
        } else if (conn.m_in_transaction) {
            // It may have ended without a commit, which discards values and statements that the record lists,
            // or may still be open in spite of the reported state.
            remove_connection(id);
            dispatch_waiting(now);
        } else {
            release_connection(id, now);
        }
        return;
    }
    const session_id owner = *conn.m_session;
    session& caller = m_sessions.at(owner);
    const bool ended_by_database = caller.m_state == transaction_state::open && !is_commit(caller) &&
                                   answer.m_state != transaction_state::open;
    if (answer.m_refusal) {
        on_statement_refused(owner, id, answer, now);
    } else if (ended_by_database) {
        // The database may have run and committed a write by itself.
        const refusal reason = caller.m_operation->m_writes ? refusal::in_doubt : refusal::aborted;
        caller.m_transaction.m_may_be_kept = caller.m_operation->m_writes;
        caller.m_connection.reset();
        remove_connection(id);
        lose_transaction(caller, "the database ended it", now);
        refuse_statement(owner, caller, reason, "the database ended the transaction", now);
        dispatch_waiting(now);
    } else {
        on_statement_succeeded(owner, id, expected, answer, now);
    }
    start_queued_statements(owner, now);
}

void relay_core::refuse_late_commit(session_id owner, connection_id id, core::time_point now) {
    session& caller = m_sessions.at(owner);
    ++m_counters.m_late_commits;
    m_connections.at(id).m_session.reset();
    caller.m_connection.reset();
    clear_transaction(caller);
    refuse_statement(owner, caller, refusal::in_doubt,
                     "the primary lease ended before the commit was answered", now);
    release_connection(id, now);
}

void relay_core::on_statement_succeeded(session_id owner, connection_id id, const expected_answer& expected,
                                        const database_answer& answer, core::time_point now) {
    connection& conn = m_connections.at(id);
    session& caller = m_sessions.at(owner);
    const bool commits = is_commit(caller);
    const bool wrote = caller.m_operation->m_writes || (commits && caller.m_transaction.m_wrote);
    if (wrote && answer.m_state == transaction_state::idle && !may_use_primary(conn, now)) {
        refuse_late_commit(owner, id, now);
        return;
    }
    ++m_counters.m_succeeded;
    m_hedge_tokens = std::min(max_hedge_tokens, m_hedge_tokens + hedge_tokens_per_statement);
    const endpoint_view& view = m_endpoints.at(conn.m_endpoint);
    record_answer_time(caller, now - expected.m_sent);
    const documents::route_rule* route = route_of(caller);
    if (route != nullptr && m_limits.m_rules.m_adapt_concurrency_limit) {
        adapt_concurrency_limit(m_endpoints.at(conn.m_endpoint), now - expected.m_sent,
                                route->m_target_latency);
    }
    ++(view.m_report.m_is_primary ? m_counters.m_served_by_primaries : m_counters.m_served_by_replicas);
    if (wrote && answer.m_position && answer.m_state == transaction_state::idle) {
        caller.m_own_commits.insert_or_assign(view.m_report.m_service, own_commit{*answer.m_position, now});
        m_position_samples[view.m_report.m_service].add(expected.m_sent, *answer.m_position);
    }
    session_answer reply{.m_rows = answer.m_rows, .m_text = answer.m_text, .m_position = answer.m_position};
    if (commits) {
        clear_transaction(caller);
    }
    if (caller.m_state == transaction_state::open) {
        caller.m_transaction.m_has_results = true;
    } else {
        conn.m_session.reset();
        caller.m_connection.reset();
        caller.m_transaction = {};
    }
    const bool in_transaction = caller.m_state == transaction_state::open;
    finish_statement(owner, caller, std::move(reply), now);
    if (in_transaction) {
        conn.m_answer_deadline.m_at = core::time_point::max();
    } else if (answer.m_state == transaction_state::idle && (commits || !conn.m_in_transaction)) {
        release_connection(id, now);
    } else if (answer.m_state == transaction_state::idle) { // The database denies the relay's transaction.
        remove_connection(id);
        dispatch_waiting(now);
    } else { // A read inside a transaction of the relay.
        roll_back(id, now);
    }
}

void relay_core::record_answer_time(const session& caller, core::duration taken) {
    const double taken_ms = std::chrono::duration<double, std::milli>(taken).count();
    const auto [known, added] = m_expected_ms.try_emplace(caller.m_database, taken_ms);
    if (!added) {
        known->second += answer_weight * (taken_ms - known->second);
    }
}

void relay_core::on_statement_refused(session_id owner, connection_id id, const database_answer& answer,
                                      core::time_point now) {
    connection& conn = m_connections.at(id);
    session& caller = m_sessions.at(owner);
    operation& op = *caller.m_operation;
    const refusal reason = *answer.m_refusal;
    record_refusal(conn.m_endpoint, reason, now);
    const bool primary = m_endpoints.at(conn.m_endpoint).m_report.m_is_primary;
    const bool retries_in_place = caller.m_state == transaction_state::open && reason == refusal::busy &&
                                  answer.m_state == transaction_state::open &&
                                  !op.m_refusal_deadline.passed(now);
    if (retries_in_place) {
        --op.m_attempts;
        op.m_phase = operation_phase::waiting;
        op.m_not_before.m_at = now + retry_pause;
        return;
    }
    if (reason == refusal::unknown_statement) {
        on_unknown_statement(owner, id, answer.m_text, now);
        return;
    }
    const bool not_run = guarantees_not_run(reason);
    // A transaction stays on the connection of the first statement that ran.
    if (caller.m_state == transaction_state::open &&
        (!not_run || caller.m_transaction.m_has_results || is_commit(caller))) {
        const bool commits = is_commit(caller);
        const bool may_be_kept = op.m_writes && !not_run && answer.m_state == transaction_state::idle;
        detach_connection(caller, now);
        if (commits) {
            clear_transaction(caller);
        }
        caller.m_transaction.m_may_be_kept = may_be_kept;
        const refusal ended = may_be_kept ? refusal::in_doubt : refusal::aborted;
        refuse_statement(owner, caller, not_run || !commits ? ended : reason, answer.m_text, now);
        return;
    }
    op.m_avoided.insert(conn.m_endpoint);
    op.m_primary_only = op.m_primary_only || (reason == refusal::lagging && primary);
    detach_connection(caller, now);
    caller.m_transaction.m_begun = false;
    retry_or_refuse(owner, caller, reason, answer.m_text, now);
}

void relay_core::on_unknown_statement(session_id owner, connection_id id, const std::string& text,
                                      core::time_point now) {
    session& caller = m_sessions.at(owner);
    m_connections.at(id).m_session.reset();
    caller.m_connection.reset();
    remove_connection(id);
    caller.m_transaction.m_begun = false;
    if (caller.m_transaction.m_has_results) {
        refuse_statement(owner, caller, refusal::aborted, text, now);
        return;
    }
    caller.m_operation->m_phase = operation_phase::waiting;
    retry_or_refuse(owner, caller, refusal::busy, text, now);
}

// Repeats the statement, possibly at another endpoint, if that is safe, or refuses it. The statement is no
// longer on a connection.
bool relay_core::retry_or_refuse(session_id owner, session& caller, refusal reason, const std::string& text,
                                 core::time_point now) {
    operation& op = *caller.m_operation;
    const documents::route_rule* route = route_of(caller);
    const bool has_not_run = guarantees_not_run(reason) || op.m_phase != operation_phase::running;
    const bool may_run_twice =
        !op.m_writes && route != nullptr && op.m_attempts < std::max(2U, route->m_max_attempts);
    const bool in_time = has_not_run ? !op.m_refusal_deadline.passed(now) : !op.m_deadline.passed(now);
    if (in_time && reason != refusal::unknown_statement && (has_not_run || may_run_twice)) {
        op.m_phase = operation_phase::waiting;
        op.m_last_refusal = has_not_run ? reason : refusal::timed_out;
        op.m_last_reason = text;
        op.m_not_before.m_at =
            now + (has_not_run && reason == refusal::busy ? retry_pause : core::milliseconds(0));
        record_event("repeated", caller, "", to_string(reason), now);
        dispatch(owner, now);
        return true;
    }
    refusal reported = reason;
    if (caller.m_state == transaction_state::open) {
        reported = refusal::aborted; // Its commit was not sent.
    } else if (has_not_run && !guarantees_not_run(reported)) {
        reported = refusal::busy;
    }
    refuse_statement(owner, caller, reported, text, now);
    return false;
}

void relay_core::record_refusal(const core::endpoint_id& endpoint, refusal reason, core::time_point now) {
    endpoint_view& view = m_endpoints.at(endpoint);
    if (reason == refusal::busy || reason == refusal::too_many_connections) {
        view.m_shedding_until.m_at = now + shedding_pause;
    } else if (reason == refusal::lagging) {
        if (view.m_lagging_until.passed(now)) { // Refusals of reads already in flight are not counted again.
            view.m_lagging_back_off = std::clamp<core::duration>(view.m_lagging_back_off * 2,
                                                                 min_lagging_back_off, max_lagging_back_off);
            view.m_lagging_until.m_at = now + view.m_lagging_back_off;
        }
    } else if (reason == refusal::read_only) {
        view.m_not_primary_until.m_at = now + not_primary_period;
    }
}

} // namespace mangoquay::relay
