// Steps of a read: begin a read-only transaction, run the statement, read the position, roll back.
#include "ownership/read_path.h"

#include "dialect/postgres_sql.h"

#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;
using database::database_answer;
using database::statement_outcome;

void fail(owner_engine& engine, const request_context_ptr& context, const database_answer& failed) {
    // A read has no effects, so it may be repeated unless the caller forbids it.
    engine.answer(context, engine.answer_for_failure(failed, context->m_request.m_not_repeatable &&
                                                                 context->m_effects_possible));
    if (failed.m_outcome == statement_outcome::refused) {
        engine.clean_up(context, false);
    } else {
        engine.on_connection_lost(context);
    }
}

void finish(owner_engine& engine, const request_context_ptr& context, core::statement_answer answer) {
    // A primary that was replaced while the statement ran may have returned stale data.
    if (engine.requires_current_primary(context->m_request) && !engine.may_acknowledge(context->m_term)) {
        answer = context->m_request.m_not_repeatable ? core::uncertain_answer(core::reason::lease_lapsed)
                                                     : core::refused_answer(core::reason::lease_lapsed);
    }
    engine.answer(context, std::move(answer));
    // The rollback also reverts SET, so that no session state reaches the next user of the connection.
    engine.clean_up(context, false);
}

// A caller without a token gets one that covers everything it may have seen, including the tokens that it
// lost.
void add_position(owner_engine& engine, const request_context_ptr& context, core::statement_answer answer) {
    engine.execute(context, sql::current_position, {}, context->m_request.m_deadline,
                   [&engine, context, answer = std::move(answer)](const database_answer& reply) mutable {
                       const auto text = reply.first_cell();
                       const auto position = text ? engine.strategy().parse_position(*text)
                                                  : std::optional<core::log_position>{};
                       if (reply.m_outcome != statement_outcome::completed || !position) {
                           fail(engine, context, reply);
                           return;
                       }
                       answer.m_position = core::history_position{context->m_term, *position};
                       finish(engine, context, std::move(answer));
                   });
}

void send_statement(owner_engine& engine, const request_context_ptr& context) {
    // Checked again, because the data has aged while the transaction was opened.
    if (const auto reason = engine.read_refusal_reason(context->m_request); reason != core::reason::none) {
        engine.refuse(context, reason);
        engine.clean_up(context, false);
        return;
    }
    context->m_effects_possible = true;
    const auto position_before = engine.position();
    engine.execute(context, context->m_request.m_sql, context->m_request.m_parameters,
                   context->m_request.m_deadline,
                   [&engine, context, position_before](const database_answer& reply) {
                       if (reply.m_outcome != statement_outcome::completed) {
                           fail(engine, context, reply);
                           return;
                       }
                       core::statement_answer answer;
                       answer.m_verdict = core::verdict::ran;
                       answer.m_columns = reply.m_columns;
                       answer.m_rows = reply.m_rows;
                       answer.m_rows_affected = reply.m_rows_affected;
                       answer.m_position = position_before;
                       if (engine.is_primary() && !context->m_request.m_min_position) {
                           add_position(engine, context, std::move(answer));
                       } else {
                           finish(engine, context, std::move(answer));
                       }
                   });
}

} // namespace

void run_read(owner_engine& engine, const request_context_ptr& context) {
    context->m_term = engine.term();
    engine.execute(context, sql::begin_read_only, {}, context->m_request.m_deadline,
                   [&engine, context](const database_answer& reply) {
                       if (reply.m_outcome != statement_outcome::completed) {
                           fail(engine, context, reply);
                           return;
                       }
                       send_statement(engine, context);
                   });
}

} // namespace mangoquay::ownership
