// Execution of transaction steps.
#include "ownership/transaction_path.h"

#include "dialect/postgres_sql.h"
#include "ownership/write_path.h"

#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;
using database::database_answer;
using database::statement_outcome;
using database::transaction_state;

core::statement_answer make_ran_answer(const database_answer& reply) {
    core::statement_answer answer;
    answer.m_verdict = core::verdict::ran;
    answer.m_columns = reply.m_columns;
    answer.m_rows = reply.m_rows;
    answer.m_rows_affected = reply.m_rows_affected;
    return answer;
}

void on_step_answer(owner_engine& engine, const request_context_ptr& connection_context,
                    const request_context_ptr& context, const database_answer& reply) {
    const core::transaction_id id = context->m_request.m_transaction;
    if (reply.m_outcome == statement_outcome::completed) {
        if (connection_context->m_connection.m_connection->transaction() != transaction_state::open) {
            engine.unregister_transaction(id);
            engine.answer(context, core::uncertain_answer(core::reason::malformed_request,
                                                          "the statement ended its transaction"));
            engine.clean_up(connection_context, true);
            return;
        }
        engine.answer(context, make_ran_answer(reply));
        engine.on_step_finished(id, false);
    } else if (reply.m_outcome == statement_outcome::refused) {
        engine.answer(context, engine.answer_for_failure(reply, false));
        engine.on_step_finished(id, true);
    } else {
        engine.unregister_transaction(id);
        engine.answer(context,
                      engine.answer_for_failure(reply, reply.m_outcome != statement_outcome::not_sent));
        engine.on_connection_lost(connection_context);
    }
}

void run_statement(owner_engine& engine, const request_context_ptr& connection_context,
                   const request_context_ptr& context) {
    const core::transaction_id id = context->m_request.m_transaction;
    core::reason reason = core::reason::none;
    if (engine.strategy().controls_transaction(context->m_request.m_sql)) {
        reason = core::reason::malformed_request;
    } else if (engine.open_transactions().failed(id)) {
        reason = core::reason::transaction_failed;
    } else if (!engine.count_unsettled_day(connection_context, context->m_request)) {
        reason = core::reason::day_closed;
    }
    if (reason != core::reason::none) {
        engine.refuse(context, reason);
        engine.on_step_finished(id, false);
        return;
    }
    context->m_effects_possible = true;
    engine.execute(connection_context, context->m_request.m_sql, context->m_request.m_parameters,
                   context->m_request.m_deadline,
                   [&engine, connection_context, context](const database_answer& reply) {
                       on_step_answer(engine, connection_context, context, reply);
                   });
}

void run_commit(owner_engine& engine, const request_context_ptr& connection_context,
                const request_context_ptr& context) {
    const bool failed = engine.open_transactions().failed(context->m_request.m_transaction);
    engine.unregister_transaction(context->m_request.m_transaction);
    if (failed) {
        engine.refuse(context, core::reason::transaction_failed,
                      "an earlier step failed; the transaction was rolled back");
        engine.clean_up(connection_context, true);
        return;
    }
    core::statement_answer committed;
    committed.m_verdict = core::verdict::ran;
    commit_and_answer(engine, connection_context, context, committed);
}

// The answer is always `ran`: without a commit the effects are discarded, even if the session is lost.
void run_rollback(owner_engine& engine, const request_context_ptr& connection_context,
                  const request_context_ptr& context) {
    engine.unregister_transaction(context->m_request.m_transaction);
    engine.execute(connection_context, sql::rollback, {}, context->m_request.m_deadline,
                   [&engine, connection_context, context](const database_answer& reply) {
                       engine.answer(context, make_ran_answer(reply));
                       if (reply.m_outcome == statement_outcome::completed ||
                           reply.m_outcome == statement_outcome::refused) {
                           engine.clean_up(connection_context, true);
                       } else {
                           engine.on_connection_lost(connection_context);
                       }
                   });
}

void on_begin_answer(owner_engine& engine, const request_context_ptr& context, const database_answer& reply) {
    if (reply.m_outcome != statement_outcome::completed) {
        engine.answer(context, engine.answer_for_failure(reply, false));
        if (reply.m_outcome == statement_outcome::refused) {
            engine.clean_up(context, true);
        } else {
            engine.on_connection_lost(context);
        }
        return;
    }
    if (context->m_origin_lost || !engine.register_transaction(context)) {
        engine.refuse(context, context->m_origin_lost ? core::reason::connection_lost
                                                      : core::reason::malformed_request);
        engine.clean_up(context, true);
        return;
    }
    engine.answer(context, make_ran_answer(reply));
}

} // namespace

void run_begin(owner_engine& engine, const request_context_ptr& context) {
    context->m_term = engine.term();
    engine.execute(
        context, sql::begin, {}, context->m_request.m_deadline,
        [&engine, context](const database_answer& reply) { on_begin_answer(engine, context, reply); });
}

void run_step(owner_engine& engine, const request_context_ptr& context) {
    const auto& request = context->m_request;
    const transactions::transaction_origin origin{request.m_service, request.m_caller, context->m_origin};
    const core::reason reason =
        engine.open_transactions().begin_step(request.m_transaction, origin, owner_engine::now());
    if (reason != core::reason::none) {
        engine.refuse(
            context, reason,
            reason == core::reason::transaction_failed ? "a step of the transaction is still running" : "");
        return;
    }
    const request_context_ptr connection_context = engine.transaction_contexts().at(request.m_transaction);
    if (request.m_kind == core::statement_kind::commit) {
        run_commit(engine, connection_context, context);
    } else if (request.m_kind == core::statement_kind::rollback) {
        run_rollback(engine, connection_context, context);
    } else {
        run_statement(engine, connection_context, context);
    }
}

} // namespace mangoquay::ownership
