// The steps of a write and of a commit.
#include "ownership/write_path.h"

#include "dialect/postgres_sql.h"
#include "ownership/stored_outcome.h"

#include <memory>
#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;
using database::database_answer;
using database::outcome;

class write_run : public std::enable_shared_from_this<write_run> {
public:
    // `holder` has the connection; `work` gets the answer.
    write_run(owner_engine& engine, job_ptr holder, job_ptr work)
        : m_engine(engine), m_holder(std::move(holder)), m_work(std::move(work)) {}

    void begin() {
        m_holder->m_term = m_engine.term();
        if (keyed() && !m_engine.outcomes_table_ready()) {
            create_outcomes();
        } else {
            send(sql::begin, {}, keyed() ? &write_run::claim : &write_run::statement);
        }
    }

    void commit(const core::statement_answer& with) {
        m_answer = with;
        // The last moment at which a lost right still means that nothing happened.
        if (!m_engine.may_acknowledge(m_holder->m_term)) {
            const bool other_term = m_engine.term() != m_holder->m_term;
            give_up(other_term ? core::reason::term_replaced : core::reason::lease_lapsed);
            return;
        }
        m_work->m_effects_possible = true;
        send(sql::commit, {}, &write_run::committed);
    }

private:
    using step = void (write_run::*)(const database_answer&);

    [[nodiscard]] bool keyed() const { return !m_work->m_request.m_idempotency_key.value().empty(); }

    // Two sessions that create the table at once may both be refused although it exists then. The claim shows
    // whether it does.
    void create_outcomes() {
        m_engine.execute(m_holder, sql::create_outcomes, {}, m_work->m_request.m_deadline,
                         [self = shared_from_this()](const database_answer& got) {
                             if (got.m_outcome == outcome::completed) {
                                 self->m_engine.set_outcomes_table_ready();
                             } else if (got.m_outcome != outcome::refused) {
                                 self->fail(got);
                                 return;
                             }
                             self->send(sql::begin, {}, &write_run::claim);
                         });
    }

    // The next step runs only after a completed one.
    void send(const std::string& text, const std::vector<core::cell>& parameters, step next) {
        m_engine.execute(m_holder, text, parameters, m_work->m_request.m_deadline,
                         [self = shared_from_this(), next](const database_answer& got) {
                             if (got.m_outcome != outcome::completed) {
                                 self->fail(got);
                                 return;
                             }
                             ((*self).*next)(got);
                         });
    }

    void claim(const database_answer& /*begun*/) {
        send(sql::claim_outcome, {stored_key(m_work->m_request)}, &write_run::claimed);
    }

    void claimed(const database_answer& got) {
        if (got.m_rows_affected > 0) {
            statement(got);
        } else {
            send(sql::read_outcome, {stored_key(m_work->m_request)}, &write_run::outcome_known);
        }
    }

    // The first request's answer, or its commit, may not have reached a quorum: the resend waits for it as
    // well.
    void outcome_known(const database_answer& got) {
        const auto text = got.first_cell();
        auto stored = text ? decode_outcome(m_work->m_request, *text) : std::nullopt;
        if (!stored) {
            give_up(core::reason::malformed_request, "the idempotency key belongs to a different request");
            return;
        }
        m_answer = std::move(*stored);
        m_committed = true;
        send(sql::current_position, {}, &write_run::position_known);
    }

    void statement(const database_answer& /*before*/) {
        m_work->m_effects_possible = true;
        send(m_work->m_request.m_sql, m_work->m_request.m_parameters, &write_run::statement_ran);
    }

    void statement_ran(const database_answer& got) {
        if (m_holder->m_connection.m_connection->transaction() != database::transaction_state::open) {
            m_engine.answer(m_work, core::uncertain_answer(core::reason::malformed_request,
                                                           "the statement ended its transaction"));
            m_engine.clean_up(m_holder, true);
            return;
        }
        core::statement_answer ran;
        ran.m_verdict = core::verdict::ran;
        ran.m_columns = got.m_columns;
        ran.m_rows = got.m_rows;
        ran.m_rows_affected = got.m_rows_affected;
        if (!keyed()) {
            commit(ran);
            return;
        }
        m_answer = ran;
        send(sql::record_outcome, {stored_key(m_work->m_request), encode_outcome(m_work->m_request, ran)},
             &write_run::recorded);
    }

    void recorded(const database_answer& /*got*/) { commit(core::statement_answer(m_answer)); }

    void committed(const database_answer& got) {
        // The database answers a commit of a failed transaction with ROLLBACK.
        if (got.m_command_tag != "COMMIT") {
            m_work->m_effects_possible = false;
            m_engine.refuse(m_work, core::reason::transaction_failed,
                            "the database rolled the transaction back");
            m_engine.clean_up(m_holder, true);
            return;
        }
        m_committed = true;
        send(sql::current_position, {}, &write_run::position_known);
    }

    void position_known(const database_answer& got) {
        const auto text = got.first_cell();
        const auto position =
            text ? m_engine.strategy().parse_position(*text) : std::optional<core::log_position>{};
        if (!position) {
            m_engine.answer(
                m_work, core::uncertain_answer(core::reason::internal_fault, "commit position not readable"));
        } else {
            m_work->m_term = m_holder->m_term;
            m_engine.await_quorum(m_work, *position, std::move(m_answer));
        }
        m_engine.clean_up(m_holder, true);
    }

    void fail(const database_answer& failed) {
        const bool effects =
            m_committed || (m_work->m_effects_possible && failed.m_outcome != outcome::refused);
        m_engine.answer(m_work, m_engine.failed_answer(failed, effects));
        if (failed.m_outcome == outcome::refused) {
            m_engine.clean_up(m_holder, true);
        } else {
            m_engine.connection_lost(m_holder);
        }
    }

    // COMMIT was not sent, so that nothing can take effect.
    void give_up(core::reason why, const std::string& message = {}) {
        m_engine.refuse(m_work, why, message);
        m_engine.clean_up(m_holder, true);
    }

    owner_engine& m_engine;
    job_ptr m_holder;
    job_ptr m_work;
    core::statement_answer m_answer;
    bool m_committed = false; // this request's effects are in the database, not yet known to be replicated
};

} // namespace

void run_write(owner_engine& engine, const job_ptr& work) {
    std::make_shared<write_run>(engine, work, work)->begin();
}

void commit_and_answer(owner_engine& engine, const job_ptr& holder, const job_ptr& work,
                       const core::statement_answer& with) {
    std::make_shared<write_run>(engine, holder, work)->commit(with);
}

} // namespace mangoquay::ownership
