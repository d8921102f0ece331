// The steps of transactions.
#include "ownership/transaction_path.h"

#include "dialect/postgres_sql.h"
#include "ownership/write_path.h"

#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;
using database::database_answer;
using database::outcome;
using database::transaction_state;

core::statement_answer ran(const database_answer& got) {
    core::statement_answer answer;
    answer.m_verdict = core::verdict::ran;
    answer.m_columns = got.m_columns;
    answer.m_rows = got.m_rows;
    answer.m_rows_affected = got.m_rows_affected;
    return answer;
}

void step_answered(owner_engine& engine, const job_ptr& holder, const job_ptr& work,
                   const database_answer& got) {
    const core::transaction_id id = work->m_request.m_transaction;
    if (got.m_outcome == outcome::completed) {
        if (holder->m_connection.m_connection->transaction() != transaction_state::open) {
            engine.transaction_closed(id);
            engine.answer(work, core::uncertain_answer(core::reason::malformed_request,
                                                       "the statement ended its transaction"));
            engine.clean_up(holder, true);
            return;
        }
        engine.answer(work, ran(got));
        engine.step_ended(id, false);
    } else if (got.m_outcome == outcome::refused) {
        engine.answer(work, engine.failed_answer(got, false));
        engine.step_ended(id, true);
    } else {
        engine.transaction_closed(id);
        engine.answer(work, engine.failed_answer(got, got.m_outcome != outcome::not_sent));
        engine.connection_lost(holder);
    }
}

void run_statement(owner_engine& engine, const job_ptr& holder, const job_ptr& work) {
    const core::transaction_id id = work->m_request.m_transaction;
    core::reason why = core::reason::none;
    if (engine.strategy().controls_transaction(work->m_request.m_sql)) {
        why = core::reason::malformed_request;
    } else if (engine.open_transactions().failed(id)) {
        why = core::reason::transaction_failed;
    } else if (!engine.count_day(holder, work->m_request)) {
        why = core::reason::day_closed;
    }
    if (why != core::reason::none) {
        engine.refuse(work, why);
        engine.step_ended(id, false);
        return;
    }
    work->m_effects_possible = true;
    engine.execute(
        holder, work->m_request.m_sql, work->m_request.m_parameters, work->m_request.m_deadline,
        [&engine, holder, work](const database_answer& got) { step_answered(engine, holder, work, got); });
}

void run_commit(owner_engine& engine, const job_ptr& holder, const job_ptr& work) {
    const bool failed = engine.open_transactions().failed(work->m_request.m_transaction);
    engine.transaction_closed(work->m_request.m_transaction);
    if (failed) {
        engine.refuse(work, core::reason::transaction_failed, "an earlier step failed; rolled back");
        engine.clean_up(holder, true);
        return;
    }
    core::statement_answer committed;
    committed.m_verdict = core::verdict::ran;
    commit_and_answer(engine, holder, work, committed);
}

// The answer is `ran` in any case: without a commit the effects are gone, whatever becomes of the session.
void run_rollback(owner_engine& engine, const job_ptr& holder, const job_ptr& work) {
    engine.transaction_closed(work->m_request.m_transaction);
    engine.execute(holder, sql::rollback, {}, work->m_request.m_deadline,
                   [&engine, holder, work](const database_answer& got) {
                       engine.answer(work, ran(got));
                       if (got.m_outcome == outcome::completed || got.m_outcome == outcome::refused) {
                           engine.clean_up(holder, true);
                       } else {
                           engine.connection_lost(holder);
                       }
                   });
}

void begun(owner_engine& engine, const job_ptr& work, const database_answer& got) {
    if (got.m_outcome != outcome::completed) {
        engine.answer(work, engine.failed_answer(got, false));
        if (got.m_outcome == outcome::refused) {
            engine.clean_up(work, true);
        } else {
            engine.connection_lost(work);
        }
        return;
    }
    if (work->m_origin_lost || !engine.transaction_opened(work)) {
        engine.refuse(work,
                      work->m_origin_lost ? core::reason::connection_lost : core::reason::malformed_request);
        engine.clean_up(work, true);
        return;
    }
    engine.answer(work, ran(got));
}

} // namespace

void run_begin(owner_engine& engine, const job_ptr& work) {
    work->m_term = engine.term();
    engine.execute(work, sql::begin, {}, work->m_request.m_deadline,
                   [&engine, work](const database_answer& got) { begun(engine, work, got); });
}

void run_step(owner_engine& engine, const job_ptr& work) {
    const auto& request = work->m_request;
    const transactions::transaction_origin owner{request.m_service, request.m_caller, work->m_origin};
    const core::reason why =
        engine.open_transactions().begin_step(request.m_transaction, owner, owner_engine::now());
    if (why != core::reason::none) {
        engine.refuse(work, why,
                      why == core::reason::transaction_failed ? "a step of it is still running" : "");
        return;
    }
    const job_ptr holder = engine.transaction_jobs().at(request.m_transaction);
    if (request.m_kind == core::statement_kind::commit) {
        run_commit(engine, holder, work);
    } else if (request.m_kind == core::statement_kind::rollback) {
        run_rollback(engine, holder, work);
    } else {
        run_statement(engine, holder, work);
    }
}

} // namespace mangoquay::ownership
