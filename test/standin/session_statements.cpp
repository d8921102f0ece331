// Runs a session's statements: simulated durations, lock waits, transactions, answers and injected faults.
#include "dialect/postgres_sql.h"
#include "session.h"

#include <cstdlib>

namespace mangoquay::standin {
namespace {

// The stand-in detects no deadlocks: it reports a lock wait of this duration as one. PostgreSQL checks for a
// deadlock after 1 s.
constexpr core::milliseconds deadlock_after{5000};

} // namespace

void session::begin_statement(statement next) {
    m_current = std::move(next);
    m_busy = true;
    m_lock_timer_set = false;
    if (m_current.m_description.m_is_caller_statement) {
        usage& use = m_database.m_usage;
        m_counted_as_running = true;
        ++use.m_caller_statements;
        ++use.m_running_statements;
        use.m_peak_running_statements = std::max(use.m_peak_running_statements, use.m_running_statements);
    }
    const core::duration time = statement_time();
    if (time == core::duration{}) {
        try_statement();
    } else {
        schedule(time, &session::on_statement_due);
    }
}

void session::end_caller_statement() {
    if (m_counted_as_running) {
        m_counted_as_running = false;
        --m_database.m_usage.m_running_statements;
    }
}

core::duration session::statement_time() const {
    const timing& times = m_database.m_layout.m_timing;
    if (m_current.m_sql == dialect::postgres_sql::promote) {
        return times.m_promotion_duration;
    }
    if (!m_current.m_description.m_is_caller_statement) {
        return {};
    }
    if (m_current.m_sql.find("pg_sleep") != std::string::npos && !m_current.m_parameters.empty()) {
        const double seconds = std::strtod(m_current.m_parameters.front().value_or("0").c_str(), nullptr);
        return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(seconds));
    }
    const straggler_rule& rule = times.m_stragglers;
    const bool by_text = !rule.m_text.empty() && m_current.m_sql.find(rule.m_text) != std::string::npos;
    const bool by_count = rule.m_every > 0 && m_database.m_usage.m_caller_statements % rule.m_every == 0;
    return times.m_statement_duration * (by_text || by_count ? rule.m_factor : 1);
}

void session::on_statement_due() {
    try_statement();
    process_input();
}

void session::try_statement() {
    if (m_current.m_cancelled) {
        statement_outcome cancelled;
        cancelled.m_sqlstate = "57014";
        cancelled.m_message = "canceling statement due to user request";
        finish_statement(cancelled, m_database.durable_position());
        return;
    }
    const std::uint64_t before = m_database.durable_position();
    statement_context context{m_database,
                              *this,
                              m_current.m_parameters,
                              m_current.m_sql,
                              transport::event_loop::now(),
                              m_environment.m_upstream_of,
                              m_environment.m_streaming_from};
    const statement_outcome result = run_statement(context);
    if (!result.m_wait) {
        finish_statement(result, before);
        return;
    }
    m_waiting_for_lock = true;
    if (!m_lock_timer_set) {
        m_lock_timer_set = true;
        schedule(deadlock_after, &session::on_lock_timeout);
    }
}

void session::on_lock_released() {
    if (m_waiting_for_lock) {
        m_waiting_for_lock = false;
        schedule({}, &session::on_statement_due);
    }
}

void session::on_lock_timeout() {
    if (m_waiting_for_lock) {
        m_waiting_for_lock = false;
        statement_outcome deadlock;
        deadlock.m_sqlstate = "40P01";
        deadlock.m_message = "deadlock detected";
        finish_statement(deadlock, m_database.durable_position());
        process_input();
    }
}

void session::cancel(std::int32_t secret) {
    if (secret != m_secret || !m_busy || m_phase != phase::ready) {
        return;
    }
    m_current.m_cancelled = true;
    m_waiting_for_lock = false;
    schedule({}, &session::on_cancel_due);
}

void session::on_cancel_due() {
    try_statement();
    process_input();
}

void session::finish_statement(const statement_outcome& result, std::uint64_t position_before) {
    end_caller_statement();
    m_busy = false;
    ++m_statement_number;
    if (result.m_sqlstate.empty()) {
        m_transaction.m_implicit = !m_transaction.m_open;
        write_result(result);
    } else {
        write_error(result.m_sqlstate, result.m_message);
        m_skip_to_sync = !m_current.m_simple;
    }
    if (m_close_after_flush || !after_commit(position_before)) {
        return;
    }
    if (m_current.m_simple && end_implicit_transaction()) {
        write_ready();
    }
}

bool session::end_implicit_transaction() {
    if (m_transaction.m_open) {
        return true;
    }
    const std::uint64_t before = m_database.durable_position();
    m_database.commit(*this, transport::event_loop::now());
    return after_commit(before);
}

bool session::after_commit(std::uint64_t position_before) {
    if (m_database.durable_position() == position_before) {
        return true;
    }
    m_environment.m_on_committed();
    if (!m_database.m_faults.m_drop_next_answer) {
        return true;
    }
    m_database.m_faults.m_drop_next_answer = false;
    m_output.clear();
    close();
    return false;
}

void session::handle_sync() {
    m_skip_to_sync = false;
    if (end_implicit_transaction()) {
        write_ready();
    }
}

void session::write_result(const statement_outcome& result) {
    std::string answer;
    if (m_current.m_simple && !m_current.m_description.m_columns.empty()) {
        answer += row_description(m_current.m_description.m_columns);
    }
    for (const auto& row : result.m_rows) {
        answer += data_row(row);
    }
    answer += message_writer('C').text(result.m_tag).finish();
    bool& truncate = m_database.m_faults.m_truncate_next_answer;
    if (truncate && m_current.m_description.m_is_caller_statement && !result.m_rows.empty()) {
        truncate = false;
        m_output += answer.substr(0, answer.size() / 2);
        m_close_after_flush = true;
        m_busy = true;
        flush();
        return;
    }
    m_output += answer;
}

void session::write_error(const std::string& sqlstate, const std::string& text) {
    m_output += error_response("ERROR", sqlstate, text);
    // An error releases the locks at once. A transaction block stays open in the failed state until it is
    // ended.
    const bool open = m_transaction.m_open;
    m_database.roll_back(*this);
    m_transaction.m_open = open;
    m_transaction.m_failed = open;
    m_skip_to_sync = true;
}

void session::write_ready() {
    char status = 'I';
    if (m_transaction.m_open) {
        status = m_transaction.m_failed ? 'E' : 'T';
    }
    m_output += message_writer('Z').byte(status).finish();
    flush();
}

} // namespace mangoquay::standin
