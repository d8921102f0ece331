// Sessions: statements that need no database, transaction states, and answers to callers.
#include "relay/relay_core.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>
#include <vector>

namespace mangoquay::relay {
namespace {

// A statement is answered this long before its time limit, so that the answer arrives in time.
constexpr core::milliseconds answer_margin{15};
// A statement is refused when this fraction of its latency target has passed without an endpoint: an
// overloaded database needs about the rest of the target.
constexpr double refusal_target_fraction = 0.4;
// Replacing a primary takes seconds, so a caller without any usable endpoint should retry later rather than
// wait. The value is the fraction (1/n) of the latency target after which it is refused.
constexpr int unservable_target_divisor = 5;
// A read without an answer after this fraction (1/n) of its latency target is also sent to a second endpoint.
constexpr int hedge_target_divisor = 2;

// After the replacement of a primary, statements run again within one to two seconds; a queue advances within
// a few statements.
constexpr core::milliseconds retry_when_down{500};
constexpr core::milliseconds retry_when_busy{100};

constexpr const char* local_answer_text = "-";
constexpr const char* too_long = "the statement is too long for a database";
constexpr const char* too_much_state = "too many or too large session values and prepared statements";

// What the relay adds to a shorter statement cannot exceed the limit of a message.
constexpr std::size_t large_statement_bytes = std::size_t{256} << 10U;
const core::history_position longest_position{core::term(std::numeric_limits<std::uint32_t>::max()),
                                              core::log_position(std::numeric_limits<std::uint64_t>::max())};

std::size_t entry_size(const std::string& name, const std::string& text) {
    return name.size() + text.size();
}

core::duration fraction_of(core::milliseconds total, double fraction) {
    return std::chrono::duration_cast<core::duration>(total * fraction);
}

core::time_point earlier(core::time_point left, core::time_point right) {
    return left < right ? left : right;
}

std::optional<std::size_t> value_size(const session& caller, const std::string& name) {
    const auto held = caller.m_values.find(name);
    return held == caller.m_values.end() ? std::nullopt : std::optional(entry_size(name, held->second));
}

std::optional<std::size_t> prepared_size(const session& caller, const std::string& name) {
    const auto held = caller.m_prepared.find(name);
    return held == caller.m_prepared.end()
               ? std::nullopt
               : std::optional(entry_size(name, held->second->m_statement.m_template));
}

} // namespace

void relay_core::on_statement_received(session_id id, const session_statement& statement,
                                       core::time_point now) {
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    ++m_counters.m_statements;
    if (found->second.m_operation || !found->second.m_queued_statements.empty()) {
        found->second.m_queued_statements.push_back(statement);
        return;
    }
    start_statement(id, found->second, statement, now);
    start_queued_statements(id, now);
}

void relay_core::start_queued_statements(session_id id, core::time_point now) {
    for (;;) {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end() || found->second.m_operation ||
            found->second.m_queued_statements.empty()) {
            return;
        }
        const session_statement next = std::move(found->second.m_queued_statements.front());
        found->second.m_queued_statements.pop_front();
        start_statement(id, found->second, next, now);
    }
}

void relay_core::start_statement(session_id id, session& caller, const session_statement& statement,
                                 core::time_point now) {
    // In the order of statement_kind.
    static constexpr std::array<statement_handler, 11> handlers{
        &relay_core::begin_transaction,    &relay_core::begin_transaction, &relay_core::end_transaction,
        &relay_core::end_transaction,      &relay_core::run_statement,     &relay_core::run_statement,
        &relay_core::set_session_value,    &relay_core::prepare_statement, &relay_core::run_statement,
        &relay_core::deallocate_statement, &relay_core::reject_malformed};
    const bool ends =
        statement.m_kind == statement_kind::rollback || statement.m_kind == statement_kind::commit;
    operation started;
    started.m_statement = statement;
    started.m_arrived = now;
    caller.m_operation = std::move(started);
    if (caller.m_ended_by) {
        refuse_and_close(id, caller, now);
        return;
    }
    if (refuse_while_stopping(id, caller, now)) {
        return;
    }
    if (caller.m_state == transaction_state::failed && !ends) {
        if (caller.m_transaction.m_lost && !caller.m_transaction.m_may_be_kept) {
            refuse_statement(id, caller, refusal::aborted, "the transaction was ended; nothing of it is kept",
                             now);
            return;
        }
        refuse_statement(id, caller, refusal::malformed, "the transaction failed; roll it back", now);
        return;
    }
    (this->*handlers.at(static_cast<std::size_t>(statement.m_kind)))(id, caller, statement, now);
}

bool relay_core::refuse_while_stopping(session_id id, session& caller, core::time_point now) {
    if (m_stop_stage == stop_stage::running) {
        return false;
    }
    const statement_kind kind = caller.m_operation->m_statement.m_kind;
    const bool ends = kind == statement_kind::commit || kind == statement_kind::rollback;
    if (caller.m_state == transaction_state::open && (!ends || m_stop_stage == stop_stage::ended)) {
        lose_transaction(caller, "the host is shutting down", now);
        return false; // Handled like any statement of a transaction that was lost.
    }
    const bool is_local = kind == statement_kind::set_value || kind == statement_kind::prepare ||
                          kind == statement_kind::deallocate;
    if (caller.m_state != transaction_state::idle || ends || is_local) {
        return false;
    }
    refuse_statement(id, caller, refusal::busy, "the host is shutting down", now);
    return true;
}

void relay_core::lose_transaction(session& caller, const std::string& reason, core::time_point now) {
    detach_connection(caller, now);
    caller.m_state = transaction_state::failed;
    caller.m_transaction.m_lost = true;
    record_event("transaction ended", caller, "", reason, now);
}

// The transaction begins at the database with its first statement, so an idle time after the begin holds no
// connection.
void relay_core::begin_transaction(session_id id, session& caller, const session_statement& statement,
                                   core::time_point now) {
    if (caller.m_state != transaction_state::idle) {
        refuse_statement(id, caller, refusal::malformed, "a transaction is open", now);
        return;
    }
    if (route_of(caller) == nullptr) {
        refuse_statement(id, caller, refusal::unknown_database, "no route of that name", now);
        return;
    }
    caller.m_state = transaction_state::open;
    caller.m_transaction = {};
    caller.m_transaction.m_read_only = statement.m_kind == statement_kind::begin_read_only;
    caller.m_transaction.m_arrived = now;
    caller.m_transaction.m_idle_deadline = idle_deadline(now);
    m_active_sessions.insert(id);
    answer_locally(id, caller, statement);
}

void relay_core::end_transaction(session_id id, session& caller, const session_statement& statement,
                                 core::time_point now) {
    if (caller.m_state == transaction_state::idle) {
        refuse_statement(id, caller, refusal::malformed, "no transaction is open", now);
        return;
    }
    const bool commits = statement.m_kind == statement_kind::commit;
    if (commits && caller.m_state == transaction_state::open) {
        run_statement(id, caller, statement, now);
        return;
    }
    const bool may_be_kept = caller.m_transaction.m_may_be_kept;
    detach_connection(caller, now);
    clear_transaction(caller);
    if (commits && may_be_kept) {
        refuse_statement(id, caller, refusal::in_doubt, "the database ended the transaction", now);
        return;
    }
    if (commits) {
        refuse_statement(id, caller, refusal::aborted, "the transaction had failed and is rolled back", now);
        return;
    }
    answer_locally(id, caller, statement);
}

void relay_core::set_session_value(session_id id, session& caller, const session_statement& statement,
                                   core::time_point now) {
    if (!replace_entry_size(caller, value_size(caller, statement.m_name),
                            entry_size(statement.m_name, statement.m_argument))) {
        refuse_statement(id, caller, refusal::failed, too_much_state, now);
        return;
    }
    caller.m_values.insert_or_assign(statement.m_name, statement.m_argument);
    answer_locally(id, caller, statement);
}

void relay_core::prepare_statement(session_id id, session& caller, const session_statement& statement,
                                   core::time_point now) {
    statement_handle prepared = m_statements.find_or_add({statement.m_access, statement.m_argument});
    if (!m_ports.can_encode(preparation_of(*prepared))) {
        refuse_statement(id, caller, refusal::malformed, too_long, now);
        return;
    }
    if (!replace_entry_size(caller, prepared_size(caller, statement.m_name),
                            entry_size(statement.m_name, statement.m_argument))) {
        refuse_statement(id, caller, refusal::failed, too_much_state, now);
        return;
    }
    caller.m_prepared.insert_or_assign(statement.m_name, std::move(prepared));
    answer_locally(id, caller, statement);
}

bool relay_core::replace_entry_size(session& caller, std::optional<std::size_t> before,
                                    std::optional<std::size_t> after) {
    const session_state_limits& limits = m_limits.m_session_state;
    const std::size_t entries = caller.m_values.size() + caller.m_prepared.size() + (before ? 0 : 1);
    const std::size_t bytes = caller.m_state_bytes - before.value_or(0) + after.value_or(0);
    const std::size_t total_bytes = m_session_state_bytes - before.value_or(0) + after.value_or(0);
    const std::size_t reserve = bytes <= limits.m_small_session_bytes ? limits.m_reserved_bytes : 0;
    const bool exceeds_limit = entries > limits.m_max_entries || bytes > limits.m_max_bytes ||
                               total_bytes > limits.m_max_total_bytes + reserve;
    if (after.value_or(0) > before.value_or(0) && exceeds_limit) {
        return false;
    }
    caller.m_state_bytes = bytes;
    m_session_state_bytes = total_bytes;
    return true;
}

void relay_core::remove_session(session_id id) {
    const auto found = m_sessions.find(id);
    if (found->second.m_customer) {
        m_quotas.on_session_closed(*found->second.m_customer);
    }
    m_session_state_bytes -= found->second.m_state_bytes;
    m_sessions.erase(found);
}

void relay_core::deallocate_statement(session_id id, session& caller, const session_statement& statement,
                                      core::time_point now) {
    const auto held = caller.m_prepared.find(statement.m_name);
    if (held == caller.m_prepared.end()) {
        refuse_statement(id, caller, refusal::unknown_statement, "no prepared statement of that name", now);
        return;
    }
    replace_entry_size(caller, prepared_size(caller, statement.m_name), std::nullopt);
    caller.m_prepared.erase(held);
    answer_locally(id, caller, statement);
}

void relay_core::reject_malformed(session_id id, session& caller, const session_statement& /*statement*/,
                                  core::time_point now) {
    refuse_statement(id, caller, refusal::malformed, "the statement cannot be read", now);
}

void relay_core::run_statement(session_id id, session& caller, const session_statement& statement,
                               core::time_point now) {
    const documents::route_rule* route = route_of(caller);
    if (route == nullptr) {
        refuse_statement(id, caller, refusal::unknown_database, "no route of that name", now);
        return;
    }
    operation& op = *caller.m_operation;
    op.m_writes = statement.m_kind == statement_kind::write;
    if (statement.m_kind == statement_kind::execute) {
        const auto prepared = caller.m_prepared.find(statement.m_name);
        if (prepared == caller.m_prepared.end()) {
            refuse_statement(id, caller, refusal::unknown_statement, "no prepared statement of that name",
                             now);
            return;
        }
        op.m_writes = prepared->second->m_statement.m_access == access_kind::write;
    }
    if (statement.m_id.size() + statement.m_text.size() >= large_statement_bytes) {
        if (!fits_in_message(caller)) {
            refuse_statement(id, caller, refusal::malformed, too_long, now);
            return;
        }
        avoid_position_beyond_limit(caller);
    }
    op.m_deadline.m_at = now + route->m_statement_timeout - answer_margin;
    op.m_refusal_deadline.m_at =
        earlier(now + fraction_of(route->m_target_latency, refusal_target_fraction), op.m_deadline.m_at);
    op.m_unservable_deadline.m_at =
        earlier(now + route->m_target_latency / unservable_target_divisor, op.m_deadline.m_at);
    m_active_sessions.insert(id);
    dispatch(id, now);
}

// A caller's message may be as long as the protocol allows. The name that replaces the caller's can make it
// too long for a database.
bool relay_core::fits_in_message(const session& caller) const {
    const database_request request = statement_request(caller);
    return request.m_kind != request_kind::execute || m_ports.can_encode(request);
}

void relay_core::avoid_position_beyond_limit(session& caller) {
    operation& op = *caller.m_operation;
    if (op.m_writes || caller.m_state != transaction_state::idle) {
        return;
    }
    database_request request = statement_request(caller);
    request.m_min_position = longest_position;
    op.m_primary_only = op.m_primary_only || !m_ports.can_encode(request);
}

void relay_core::answer_locally(session_id id, session& caller, const session_statement& statement) {
    session_answer answer;
    answer.m_request = statement.m_id;
    answer.m_text = local_answer_text;
    answer.m_state = caller.m_state;
    caller.m_operation.reset();
    if (caller.m_state == transaction_state::idle) {
        m_active_sessions.erase(id);
    }
    m_ports.send_answer(id, answer);
}

void relay_core::refuse_statement(session_id id, session& caller, refusal reason, const std::string& text,
                                  core::time_point now) {
    refund_operation(caller, now);
    session_answer answer;
    answer.m_refusal = reason;
    answer.m_text = text;
    if (guarantees_not_run(reason) && reason != refusal::unknown_statement) {
        const bool down = caller.m_operation->m_unservable;
        answer.m_retry_after = down ? retry_when_down : retry_when_busy;
    }
    const bool without_effect = guarantees_not_run(reason) || reason == refusal::malformed ||
                                reason == refusal::unknown_database || reason == refusal::unauthorized;
    ++(without_effect ? m_counters.m_refused : m_counters.m_uncertain);
    record_event("refused", caller, "", to_string(reason) + std::string(" ") + text, now);
    finish_statement(id, caller, std::move(answer), now);
}

// Answers the statement in progress. The answer carries the transaction state of the session after it.
void relay_core::finish_statement(session_id id, session& caller, session_answer answer,
                                  core::time_point now) {
    answer.m_request = caller.m_operation->m_statement.m_id;
    const documents::route_rule* route = route_of(caller);
    m_ports.count_statement({route == nullptr ? documents::consistency::latest : route->m_consistency,
                             answer.m_refusal, now - caller.m_operation->m_arrived});
    if (answer.m_refusal && caller.m_state == transaction_state::open) {
        caller.m_state = transaction_state::failed;
    }
    answer.m_state = caller.m_state;
    cancel_loan(caller);
    caller.m_operation.reset();
    if (caller.m_state == transaction_state::idle) {
        m_active_sessions.erase(id);
    }
    caller.m_transaction.m_idle_deadline = idle_deadline(now);
    caller.m_closing = caller.m_closing || caller.m_ended_by;
    m_ports.send_answer(id, answer);
    if (caller.m_closing && caller.m_state == transaction_state::idle && caller.m_queued_statements.empty()) {
        remove_session(id);
        m_ports.close_session(id);
    }
}

core::deadline relay_core::idle_deadline(core::time_point now) const {
    const core::milliseconds idle = m_configuration.m_transaction_idle_timeout;
    return idle.count() > 0 ? core::deadline_after(now, idle) : core::deadline{core::time_point::max()};
}

void relay_core::clear_transaction(session& caller) {
    caller.m_state = transaction_state::idle;
    caller.m_transaction = {};
}

void relay_core::on_session_closed(session_id id, core::time_point now) {
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    refund_operation(found->second, now);
    cancel_loan(found->second);
    detach_connection(found->second, now);
    m_active_sessions.erase(id);
    remove_session(id);
    dispatch_waiting(now);
}

std::size_t relay_core::close_idle_sessions(std::size_t max_closed) {
    std::size_t closed = 0;
    for (auto it = m_sessions.begin(); it != m_sessions.end();) {
        const bool idle = !it->second.m_operation && it->second.m_queued_statements.empty() &&
                          it->second.m_state == transaction_state::idle;
        it->second.m_closing = true;
        if (!idle || closed == max_closed) {
            ++it;
            continue;
        }
        ++closed;
        const session_id id = it->first;
        ++it;
        remove_session(id);
        m_ports.close_session(id);
    }
    return m_sessions.size();
}

void relay_core::end_transactions(core::time_point now) {
    m_stop_stage = std::max(m_stop_stage, stop_stage::ending_transactions);
    for (auto& [id, caller] : m_sessions) {
        if (caller.m_state == transaction_state::open && !caller.m_operation) {
            lose_transaction(caller, "the host is shutting down", now);
        }
    }
}

void relay_core::answer_all_statements(core::time_point now) {
    m_stop_stage = stop_stage::ended;
    const std::vector<session_id> active(m_active_sessions.begin(), m_active_sessions.end());
    for (const session_id id : active) {
        const auto found = m_sessions.find(id);
        if (found == m_sessions.end() || !found->second.m_operation) {
            continue;
        }
        session& caller = found->second;
        const bool in_transaction = caller.m_state == transaction_state::open;
        const bool was_sent = caller.m_operation->m_phase == operation_phase::running;
        const bool may_take_effect =
            was_sent && (is_commit(caller) ? caller.m_transaction.m_wrote
                                           : !in_transaction && caller.m_operation->m_writes);
        const refusal not_run = in_transaction ? refusal::aborted : refusal::busy;
        // The end of the connection rolls back what was not committed.
        if (caller.m_connection) {
            const connection_id connection = *caller.m_connection;
            caller.m_connection.reset();
            remove_connection(connection);
        }
        if (is_commit(caller)) {
            clear_transaction(caller);
        }
        refuse_statement(id, caller, may_take_effect ? refusal::in_doubt : not_run,
                         "the host is shutting down", now);
        start_queued_statements(id, now);
    }
}

const documents::route_rule* relay_core::route_of(const session& caller) const {
    return m_configuration.find_route(caller.m_database);
}

void relay_core::record_event(const char* action, const session& caller, const std::string& endpoint,
                              const std::string& reason, core::time_point now) {
    statement_event event{action, "", endpoint, reason, 0, 0};
    if (caller.m_operation) {
        event.m_request = caller.m_operation->m_statement.m_id;
        event.m_attempts = caller.m_operation->m_attempts;
        event.m_age_ms =
            std::chrono::duration_cast<core::milliseconds>(now - caller.m_operation->m_arrived).count();
    }
    m_ports.record_event(event);
}

} // namespace mangoquay::relay
