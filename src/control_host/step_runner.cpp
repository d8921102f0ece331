// Runs each step as a short sequence of SQL statements, followed by a query of the endpoint's status.
#include "control_host/step_runner.h"

#include "core/log.h"
#include "core/quoting.h"
#include "dialect/postgres_sql.h"

#include <utility>

namespace mangoquay::control_host {
namespace {

namespace sql = dialect::postgres_sql;

constexpr core::milliseconds poll_interval{10};

std::string quote_literal(const std::string& text) {
    std::string out = "'";
    for (const char character : text) {
        out += character;
        if (character == '\'') {
            out += character;
        }
    }
    return out + "'";
}

// The replica uses its id as application name, which identifies it in pg_stat_replication of the primary.
std::string follow_statement(const control::socket_address& primary, const core::endpoint_id& replica,
                             const std::string& user) {
    return sql::follow_prefix +
           quote_literal("host=" + primary.m_host + " port=" + std::to_string(primary.m_port) +
                         " user=" + user + " application_name=" + replica.value());
}

} // namespace

step_runner::step_runner(transport::event_loop& loop, core::entry_host_id self,
                         dialect::connection_settings settings, const dialect::database_dialect& strategy,
                         leading_term current_term)
    : m_loop(loop), m_self(std::move(self)), m_settings(std::move(settings)), m_strategy(strategy),
      m_leading_term(std::move(current_term)) {}

step_runner::~step_runner() {
    for (auto& [number, step] : m_steps) {
        step.m_connection->close();
    }
}

void step_runner::run(const control::control_state& state, const failover::read_position& step,
                      step_handler done) {
    running_step running;
    running.m_handler = std::move(done);
    start(state, step.m_attempt, step.m_endpoint, std::move(running));
}

void step_runner::run(const control::control_state& state, const failover::stop_following& step,
                      step_handler done) {
    running_step running;
    running.m_fencing_term =
        m_leading_term().value_or(0); // Raft terms start at 1, so term 0 abandons the step.
    running.m_pending_sql = {sql::stop_following, sql::reload_configuration};
    running.m_repeat_until_zero = sql::count_wal_receivers;
    running.m_handler = std::move(done);
    start(state, step.m_attempt, step.m_endpoint, std::move(running));
}

void step_runner::run(const control::control_state& state, const failover::promote& step, step_handler done) {
    running_step running;
    running.m_fencing_term =
        m_leading_term().value_or(0); // Raft terms start at 1, so term 0 abandons the step.
    running.m_pending_sql = {sql::promote};
    running.m_wait_for_primary = true;
    running.m_handler = std::move(done);
    start(state, step.m_attempt, step.m_endpoint, std::move(running));
}

void step_runner::run(const control::control_state& state, const failover::follow_primary& step,
                      step_handler done) {
    const auto primary = state.m_endpoints.find(step.m_primary);
    running_step running;
    running.m_fencing_term =
        m_leading_term().value_or(0); // Raft terms start at 1, so term 0 abandons the step.
    running.m_handler = std::move(done);
    if (primary != state.m_endpoints.end()) {
        running.m_pending_sql = {
            follow_statement(primary->second.m_address, step.m_endpoint, m_settings.m_user),
            sql::reload_configuration};
    }
    start(state, step.m_attempt, step.m_endpoint, std::move(running));
}

void step_runner::probe(const control::control_state& state, const core::endpoint_id& endpoint,
                        std::function<void(bool)> done) {
    run(state, failover::read_position{0, endpoint},
        [done = std::move(done)](const failover::step_answer& answer) { done(answer.m_succeeded); });
}

void step_runner::start(const control::control_state& state, std::uint64_t attempt,
                        const core::endpoint_id& endpoint, running_step step) {
    const std::uint64_t number = ++m_last_number;
    step.m_answer.m_attempt = attempt;
    step.m_answer.m_endpoint = endpoint;
    step.m_deadline = core::deadline_after(transport::event_loop::now(), failover::step_timeout);
    const auto record = state.m_endpoints.find(endpoint);
    if (record == state.m_endpoints.end()) {
        m_loop.post([done = std::move(step.m_handler), answer = step.m_answer] { done(answer); });
        return;
    }
    // The application name differs from that of owners, so that a change of owner does not terminate a step.
    const std::string name =
        step.m_fencing_term
            ? "mangoquay-control/" + std::to_string(*step.m_fencing_term) + "/" + std::to_string(attempt)
            : "mangoquay-read/" + m_self.value();
    step.m_connection = std::make_shared<database::connection>(
        m_loop, m_strategy.connection_parameters(record->second.m_address, m_settings, name));
    const auto connection = step.m_connection;
    const core::deadline deadline = step.m_deadline;
    m_steps.emplace(number, std::move(step));
    connection->open(deadline, [this, number](bool is_open, const std::string&) {
        if (is_open) {
            on_connection_opened(number);
        } else {
            finish(number, false);
        }
    });
}

void step_runner::on_connection_opened(std::uint64_t number) {
    running_step* step = find(number);
    if (step == nullptr) {
        return;
    }
    if (!step->m_fencing_term) {
        run_next_statement(number);
        return;
    }
    if (m_leading_term() != step->m_fencing_term) {
        core::log_line(core::log_level::warning, "failover", "step abandoned reason=leader lease expired");
        finish(number, false);
        return;
    }
    step->m_connection->execute(
        sql::end_earlier_steps,
        {std::to_string(*step->m_fencing_term), std::to_string(step->m_answer.m_attempt)}, step->m_deadline,
        [this, number](const auto& answer) { on_statement_answer(number, answer); });
}

step_runner::running_step* step_runner::find(std::uint64_t number) {
    const auto found = m_steps.find(number);
    return found == m_steps.end() ? nullptr : &found->second;
}

void step_runner::run_next_statement(std::uint64_t number) {
    running_step* step = find(number);
    if (step == nullptr) {
        return;
    }
    if (!step->m_pending_sql.empty()) {
        const std::string statement = step->m_pending_sql.front();
        step->m_pending_sql.pop_front();
        step->m_connection->execute(statement, {}, step->m_deadline, [this, number](const auto& answer) {
            on_statement_answer(number, answer);
        });
        return;
    }
    if (!step->m_repeat_until_zero.empty()) {
        repeat_until_zero(number);
        return;
    }
    read_receivers(number);
}

void step_runner::on_statement_answer(std::uint64_t number, const database::database_answer& answer) {
    if (answer.m_outcome != database::statement_outcome::completed) {
        core::log_line(core::log_level::warning, "failover",
                       "step statement failed reason=" + core::quoted(answer.m_message));
        finish(number, false);
        return;
    }
    run_next_statement(number);
}

void step_runner::repeat_until_zero(std::uint64_t number) {
    running_step* step = find(number);
    if (step == nullptr) {
        return;
    }
    step->m_connection->execute(
        step->m_repeat_until_zero, {}, step->m_deadline, [this, number](const auto& answer) {
            running_step* waiting = find(number);
            if (waiting == nullptr) {
                return;
            }
            if (answer.m_outcome != database::statement_outcome::completed) {
                finish(number, false);
            } else if (answer.first_cell() == "0") {
                waiting->m_repeat_until_zero.clear();
                run_next_statement(number);
            } else {
                m_loop.run_after(poll_interval, [this, number, alive = std::weak_ptr(m_alive)] {
                    if (!alive.expired()) {
                        repeat_until_zero(number);
                    }
                });
            }
        });
}

// A replica keeps primary_conninfo even if it cannot stream, so only a running WAL receiver shows that it
// streams.
void step_runner::read_receivers(std::uint64_t number) {
    running_step* step = find(number);
    if (step == nullptr) {
        return;
    }
    step->m_connection->execute(sql::count_wal_receivers, {}, step->m_deadline,
                                [this, number](const auto& answer) {
                                    running_step* reading = find(number);
                                    if (reading == nullptr) {
                                        return;
                                    }
                                    if (answer.m_outcome != database::statement_outcome::completed) {
                                        finish(number, false);
                                        return;
                                    }
                                    reading->m_answer.m_status.m_streaming = answer.first_cell() != "0";
                                    read_status(number);
                                });
}

void step_runner::read_status(std::uint64_t number) {
    running_step* step = find(number);
    if (step == nullptr) {
        return;
    }
    step->m_connection->execute(sql::status, {}, step->m_deadline,
                                [this, number](const auto& answer) { on_status_answer(number, answer); });
}

void step_runner::on_status_answer(std::uint64_t number, const database::database_answer& answer) {
    running_step* step = find(number);
    if (step == nullptr) {
        return;
    }
    if (answer.m_outcome != database::statement_outcome::completed || answer.m_rows.size() != 1) {
        finish(number, false);
        return;
    }
    const auto status = m_strategy.parse_status(answer.m_rows.front());
    if (!status) {
        core::log_line(core::log_level::error, "failover",
                       "cannot parse endpoint status reason=" + core::quoted(status.reason()));
        finish(number, false);
        return;
    }
    if (step->m_wait_for_primary && status->m_is_replica) {
        m_loop.run_after(poll_interval, [this, number, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired()) {
                read_status(number);
            }
        });
        return;
    }
    failover::endpoint_status& seen = step->m_answer.m_status;
    seen.m_in_recovery = status->m_is_replica;
    seen.m_position =
        status->m_is_replica ? std::max(status->m_durable, status->m_applied) : status->m_durable;
    seen.m_streaming = seen.m_streaming && status->m_is_replica;
    finish(number, true);
}

void step_runner::finish(std::uint64_t number, bool ok) {
    const auto found = m_steps.find(number);
    if (found == m_steps.end()) {
        return;
    }
    running_step step = std::move(found->second);
    m_steps.erase(found);
    step.m_connection->close();
    step.m_answer.m_succeeded = ok;
    step.m_handler(step.m_answer);
}

} // namespace mangoquay::control_host
