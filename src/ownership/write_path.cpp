// Steps of a write and of a commit.
#include "ownership/write_path.h"

#include "dialect/postgres_sql.h"
#include "ownership/stored_outcome.h"

#include <memory>
#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;
using database::database_answer;
using database::statement_outcome;

class write_operation : public std::enable_shared_from_this<write_operation> {
public:
    // `connection_context` holds the connection; `context` gets the answer.
    write_operation(owner_engine& engine, request_context_ptr connection_context, request_context_ptr context)
        : m_engine(engine), m_connection_context(std::move(connection_context)),
          m_context(std::move(context)) {}

    void begin() {
        m_connection_context->m_term = m_engine.term();
        if (has_idempotency_key() && !m_engine.outcomes_table_ready()) {
            create_outcomes_table();
        } else {
            send(sql::begin, {},
                 has_idempotency_key() ? &write_operation::claim_key : &write_operation::run_statement);
        }
    }

    void commit(const core::statement_answer& result) {
        m_answer = result;
        // Last check before the commit: if the right to acknowledge is lost here, nothing has taken effect.
        if (!m_engine.may_acknowledge(m_connection_context->m_term)) {
            const bool other_term = m_engine.term() != m_connection_context->m_term;
            refuse_and_roll_back(other_term ? core::reason::term_replaced : core::reason::lease_lapsed);
            return;
        }
        m_context->m_effects_possible = true;
        send(sql::commit, {}, &write_operation::on_committed);
    }

private:
    using step = void (write_operation::*)(const database_answer&);

    [[nodiscard]] bool has_idempotency_key() const {
        return !m_context->m_request.m_idempotency_key.value().empty();
    }

    // Two sessions that create the table concurrently may both get an error although the table then exists.
    // The claim that follows shows whether it does.
    void create_outcomes_table() {
        m_engine.execute(m_connection_context, sql::create_outcomes, {}, m_context->m_request.m_deadline,
                         [self = shared_from_this()](const database_answer& reply) {
                             if (reply.m_outcome == statement_outcome::completed) {
                                 self->m_engine.set_outcomes_table_ready();
                             } else if (reply.m_outcome != statement_outcome::refused) {
                                 self->on_failure(reply);
                                 return;
                             }
                             self->send(sql::begin, {}, &write_operation::claim_key);
                         });
    }

    // Calls `next` only if the statement completes.
    void send(const std::string& text, const std::vector<core::cell>& parameters, step next) {
        m_engine.execute(m_connection_context, text, parameters, m_context->m_request.m_deadline,
                         [self = shared_from_this(), next](const database_answer& reply) {
                             if (reply.m_outcome != statement_outcome::completed) {
                                 self->on_failure(reply);
                                 return;
                             }
                             ((*self).*next)(reply);
                         });
    }

    void claim_key(const database_answer& /*begun*/) {
        send(sql::claim_outcome, {stored_key(m_context->m_request)}, &write_operation::on_key_claimed);
    }

    void on_key_claimed(const database_answer& reply) {
        if (reply.m_rows_affected > 0) {
            run_statement(reply);
        } else {
            send(sql::read_outcome, {stored_key(m_context->m_request)}, &write_operation::on_stored_outcome);
        }
    }

    // The commit of the first request may not have reached a quorum yet, so the resend waits for the quorum
    // too.
    void on_stored_outcome(const database_answer& reply) {
        const auto text = reply.first_cell();
        auto stored = text ? decode_outcome(m_context->m_request, *text) : std::nullopt;
        if (!stored) {
            refuse_and_roll_back(core::reason::malformed_request,
                                 "the idempotency key belongs to a different request");
            return;
        }
        m_answer = std::move(*stored);
        m_committed = true;
        send(sql::current_position, {}, &write_operation::on_commit_position);
    }

    void run_statement(const database_answer& /*before*/) {
        m_context->m_effects_possible = true;
        send(m_context->m_request.m_sql, m_context->m_request.m_parameters,
             &write_operation::on_statement_finished);
    }

    void on_statement_finished(const database_answer& reply) {
        if (m_connection_context->m_connection.m_connection->transaction() !=
            database::transaction_state::open) {
            m_engine.answer(m_context, core::uncertain_answer(core::reason::malformed_request,
                                                              "the statement ended its transaction"));
            m_engine.clean_up(m_connection_context, true);
            return;
        }
        core::statement_answer ran;
        ran.m_verdict = core::verdict::ran;
        ran.m_columns = reply.m_columns;
        ran.m_rows = reply.m_rows;
        ran.m_rows_affected = reply.m_rows_affected;
        if (!has_idempotency_key()) {
            commit(ran);
            return;
        }
        m_answer = ran;
        send(sql::record_outcome,
             {stored_key(m_context->m_request), encode_outcome(m_context->m_request, ran)},
             &write_operation::on_outcome_recorded);
    }

    void on_outcome_recorded(const database_answer& /*reply*/) { commit(core::statement_answer(m_answer)); }

    void on_committed(const database_answer& reply) {
        // For a failed transaction, the database answers COMMIT with the command tag ROLLBACK.
        if (reply.m_command_tag != "COMMIT") {
            m_context->m_effects_possible = false;
            m_engine.refuse(m_context, core::reason::transaction_failed,
                            "the database rolled back the transaction");
            m_engine.clean_up(m_connection_context, true);
            return;
        }
        m_committed = true;
        send(sql::current_position, {}, &write_operation::on_commit_position);
    }

    void on_commit_position(const database_answer& reply) {
        const auto text = reply.first_cell();
        const auto position =
            text ? m_engine.strategy().parse_position(*text) : std::optional<core::log_position>{};
        if (!position) {
            m_engine.answer(m_context, core::uncertain_answer(core::reason::internal_fault,
                                                              "cannot parse the commit position"));
        } else {
            m_context->m_term = m_connection_context->m_term;
            m_engine.await_quorum(m_context, *position, std::move(m_answer));
        }
        m_engine.clean_up(m_connection_context, true);
    }

    void on_failure(const database_answer& failed) {
        const bool effects =
            m_committed || (m_context->m_effects_possible && failed.m_outcome != statement_outcome::refused);
        m_engine.answer(m_context, m_engine.answer_for_failure(failed, effects));
        if (failed.m_outcome == statement_outcome::refused) {
            m_engine.clean_up(m_connection_context, true);
        } else {
            m_engine.on_connection_lost(m_connection_context);
        }
    }

    // Used only before COMMIT is sent, so nothing can take effect.
    void refuse_and_roll_back(core::reason reason, const std::string& message = {}) {
        m_engine.refuse(m_context, reason, message);
        m_engine.clean_up(m_connection_context, true);
    }

    owner_engine& m_engine;
    request_context_ptr m_connection_context;
    request_context_ptr m_context;
    core::statement_answer m_answer;
    bool m_committed = false; // The effects of the request are committed, but not known to be replicated.
};

} // namespace

void run_write(owner_engine& engine, const request_context_ptr& context) {
    std::make_shared<write_operation>(engine, context, context)->begin();
}

void commit_and_answer(owner_engine& engine, const request_context_ptr& connection_context,
                       const request_context_ptr& context, const core::statement_answer& result) {
    std::make_shared<write_operation>(engine, connection_context, context)->commit(result);
}

} // namespace mangoquay::ownership
