// The steps of a read.
#include "ownership/read_path.h"

#include "dialect/postgres_sql.h"

#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;
using database::database_answer;
using database::outcome;

void fail(owner_engine& engine, const job_ptr& work, const database_answer& failed) {
    // A read has no effects, so that it may be repeated unless the caller forbids it.
    engine.answer(work,
                  engine.failed_answer(failed, work->m_request.m_not_repeatable && work->m_effects_possible));
    if (failed.m_outcome == outcome::refused) {
        engine.clean_up(work, false);
    } else {
        engine.connection_lost(work);
    }
}

void finish(owner_engine& engine, const job_ptr& work, core::statement_answer answer) {
    // A primary that was replaced meanwhile may have served old data.
    if (engine.needs_present_primary(work->m_request) && !engine.may_acknowledge(work->m_term)) {
        answer = work->m_request.m_not_repeatable ? core::uncertain_answer(core::reason::lease_lapsed)
                                                  : core::refused_answer(core::reason::lease_lapsed);
    }
    engine.answer(work, std::move(answer));
    // The rollback also undoes SET, so that no session state reaches the next user.
    engine.clean_up(work, false);
}

// A caller without a token gets one that covers all it can have seen, its own lost tokens included.
void add_position(owner_engine& engine, const job_ptr& work, core::statement_answer answer) {
    engine.execute(work, sql::current_position, {}, work->m_request.m_deadline,
                   [&engine, work, answer = std::move(answer)](const database_answer& got) mutable {
                       const auto text = got.first_cell();
                       const auto position = text ? engine.strategy().parse_position(*text)
                                                  : std::optional<core::log_position>{};
                       if (got.m_outcome != outcome::completed || !position) {
                           fail(engine, work, got);
                           return;
                       }
                       answer.m_position = core::history_position{work->m_term, *position};
                       finish(engine, work, std::move(answer));
                   });
}

void send_statement(owner_engine& engine, const job_ptr& work) {
    // Checked again: the age grew while the transaction was opened.
    if (const auto why = engine.read_obstacle(work->m_request); why != core::reason::none) {
        engine.refuse(work, why);
        engine.clean_up(work, false);
        return;
    }
    work->m_effects_possible = true;
    const auto least = engine.position();
    engine.execute(work, work->m_request.m_sql, work->m_request.m_parameters, work->m_request.m_deadline,
                   [&engine, work, least](const database_answer& got) {
                       if (got.m_outcome != outcome::completed) {
                           fail(engine, work, got);
                           return;
                       }
                       core::statement_answer answer;
                       answer.m_verdict = core::verdict::ran;
                       answer.m_columns = got.m_columns;
                       answer.m_rows = got.m_rows;
                       answer.m_rows_affected = got.m_rows_affected;
                       answer.m_position = least;
                       if (engine.is_primary() && !work->m_request.m_min_position) {
                           add_position(engine, work, std::move(answer));
                       } else {
                           finish(engine, work, std::move(answer));
                       }
                   });
}

} // namespace

void run_read(owner_engine& engine, const job_ptr& work) {
    work->m_term = engine.term();
    engine.execute(work, sql::begin_read_only, {}, work->m_request.m_deadline,
                   [&engine, work](const database_answer& got) {
                       if (got.m_outcome != outcome::completed) {
                           fail(engine, work, got);
                           return;
                       }
                       send_statement(engine, work);
                   });
}

} // namespace mangoquay::ownership
